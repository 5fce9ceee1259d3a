import {type Clock, type Member} from '@crocusloom/model';

/** A heartbeat partner is suspected after this time without a sign of life. */
export const suspectAfterMs = 1500;
/** A heartbeat partner counts as dead after this time without a sign of life. */
export const deadAfterMs = 3000;
/**
 * Factor on both times for members that are not partners. Their records arrive by way of others, at random, and a
 * fleet of 20 hosts was seen to lose live members at the partners' times.
 */
const indirectFactor = 5;
/** A dead member is forgotten after this time. */
export const forgetAfterMs = 60_000;

/** What a host says of itself; it is passed on by others unchanged. */
export type MemberRecord = {
	readonly host: string;
	/** Rises with each start of the process. */
	readonly incarnation: number;
	/** Rises with each heartbeat, so that others can tell a fresh record from an old one. */
	readonly counter: number;
	readonly failureDomain: string;
	readonly address: string;
	readonly peerPort: number;
	readonly workPort: number;
	readonly operatorPort: number;
	readonly leaving: boolean;
	readonly configurationRevision: number;
};

type Entry = {
	readonly record: MemberRecord;
	readonly heardAtMs: number;
	/** Set when work could not reach the host; cleared by its next own heartbeat. */
	readonly isUnreachable: boolean;
};

/** The members that this host knows, with the time of the last sign of life of each. */
export class MemberTable {
	private readonly entries = new Map<string, Entry>();
	private partners: ReadonlySet<string> = new Set();

	constructor(private readonly clock: Clock) {}

	/** Sets the hosts whose own heartbeats this host expects. */
	setPartners(hosts: readonly string[]): void {
		this.partners = new Set(hosts);
	}

	/**
	 * Takes a record if it is newer than the known one.
	 * @param record - from the host itself or passed on
	 * @param isDirect - true if the host itself sent it
	 * @returns true if the set of usable hosts or a record's lasting fields may have changed
	 */
	merge(record: MemberRecord, isDirect: boolean): boolean {
		const known = this.entries.get(record.host);
		if (known && !isNewer(record, known.record)) {
			return false;
		}

		const wasUsable = known !== undefined && this.isUsable(known);
		const isUnreachable = !isDirect && (known?.isUnreachable ?? false) && record.incarnation === known?.record.incarnation;
		this.entries.set(record.host, {record, heardAtMs: this.clock.nowMs(), isUnreachable});
		return !wasUsable || isUnreachable !== known.isUnreachable || hasChanged(record, known.record);
	}

	/** Marks a host as unreachable until its next own heartbeat. */
	markUnreachable(host: string): boolean {
		const entry = this.entries.get(host);
		if (!entry || entry.isUnreachable) {
			return false;
		}

		this.entries.set(host, {...entry, isUnreachable: true});
		return true;
	}

	/** Forgets hosts that have been dead for long. */
	prune(): void {
		for (const [host, entry] of this.entries) {
			if (this.silentMs(entry) > forgetAfterMs) {
				this.entries.delete(host);
			}
		}
	}

	record(host: string): MemberRecord | undefined {
		return this.entries.get(host)?.record;
	}

	/** Names of all hosts that are not forgotten. */
	knownHosts(): string[] {
		return [...this.entries.keys()];
	}

	/** Records of the hosts that are not dead. */
	liveRecords(): MemberRecord[] {
		return [...this.entries.values()].filter(entry => this.isLive(entry)).map(({record}) => record);
	}

	/** Records of the hosts to which work may go. */
	usableRecords(): MemberRecord[] {
		return [...this.entries.values()].filter(entry => this.isUsable(entry)).map(({record}) => record);
	}

	members(): Member[] {
		return [...this.entries.values()].map(entry => this.toMember(entry));
	}

	private toMember(entry: Entry): Member {
		const {counter, ...record} = entry.record;
		return {...record, silentMs: this.silentMs(entry), state: this.stateOf(entry)};
	}

	private isUsable(entry: Entry): boolean {
		return !entry.isUnreachable && !entry.record.leaving && this.isLive(entry);
	}

	private isLive(entry: Entry): boolean {
		return this.stateOf(entry) !== 'dead';
	}

	private stateOf(entry: Entry): Member['state'] {
		const factor = this.partners.has(entry.record.host) ? 1 : indirectFactor;
		const silentMs = this.silentMs(entry);
		if (silentMs < suspectAfterMs * factor) {
			return 'alive';
		}

		return silentMs < deadAfterMs * factor ? 'suspected' : 'dead';
	}

	private silentMs(entry: Entry): number {
		return this.clock.nowMs() - entry.heardAtMs;
	}
}

function isNewer(record: MemberRecord, known: MemberRecord): boolean {
	return record.incarnation === known.incarnation ? record.counter > known.counter : record.incarnation > known.incarnation;
}

function hasChanged(record: MemberRecord, known: MemberRecord): boolean {
	return record.incarnation !== known.incarnation
		|| record.leaving !== known.leaving
		|| record.configurationRevision !== known.configurationRevision;
}
