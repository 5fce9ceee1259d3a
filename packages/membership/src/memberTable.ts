import {type Clock, type Member} from '@crocusloom/model';

/** A heartbeat partner is suspected after this time without a newer record of it. */
export const memberSuspectTimeoutMs = 1500;
/** A heartbeat partner is considered dead after this time without a newer record of it. */
export const memberDeadTimeoutMs = 3000;
/**
 * Factor by which both timeouts are longer for members that are not partners. Their records are forwarded by random other
 * members, and with the timeouts of partners, a deployment of 20 hosts considered live members dead.
 */
const indirectTimeoutFactor = 5;
/** A member is removed after this time without a newer record of it. */
export const memberRemovalTimeoutMs = 60_000;

/** State that a host reports about itself. Other hosts forward it unchanged. */
export type MemberRecord = {
	readonly host: string;
	/** Increases with each start of the process. */
	readonly incarnation: number;
	/** Increases with each heartbeat, so that receivers can tell which of two records is newer. */
	readonly counter: number;
	readonly failureDomain: string;
	readonly address: string;
	readonly peerPort: number;
	readonly workPort: number;
	readonly operatorPort: number;
	readonly leaving: boolean;
	readonly configurationRevision: number;
};

type TableEntry = {
	readonly record: MemberRecord;
	readonly lastHeardAtMs: number;
	/** True after a caller has reported the host as unreachable, until the next heartbeat from the host itself or its restart. */
	readonly isUnreachable: boolean;
};

/** The members known to this host, with the time at which the latest record of each was received. */
export class MemberTable {
	private readonly entries = new Map<string, TableEntry>();
	private heartbeatPartners: ReadonlySet<string> = new Set();

	constructor(private readonly clock: Clock) {}

	/** Sets the hosts with which this host exchanges heartbeats directly. */
	setHeartbeatPartners(hosts: readonly string[]): void {
		this.heartbeatPartners = new Set(hosts);
	}

	/**
	 * Stores a record if it is newer than the known one.
	 * @param record - record sent by the host itself or forwarded by another
	 * @param isDirect - true if the host itself sent the record
	 * @returns true if the set of usable hosts or fields of the record other than its counter may have changed
	 */
	merge(record: MemberRecord, isDirect: boolean): boolean {
		const existingEntry = this.entries.get(record.host);
		if (existingEntry && !isNewer(record, existingEntry.record)) {
			return false;
		}

		const wasUsable = existingEntry !== undefined && this.isUsable(existingEntry);
		const isUnreachable = !isDirect && (existingEntry?.isUnreachable ?? false) && record.incarnation === existingEntry?.record.incarnation;
		this.entries.set(record.host, {record, lastHeardAtMs: this.clock.nowMs(), isUnreachable});
		return !wasUsable || isUnreachable !== existingEntry.isUnreachable || hasChanged(record, existingEntry.record);
	}

	/**
	 * Marks a host as unreachable until it sends a heartbeat itself or restarts.
	 * @returns true if the host was known and not marked before
	 */
	markUnreachable(host: string): boolean {
		const entry = this.entries.get(host);
		if (!entry || entry.isUnreachable) {
			return false;
		}

		this.entries.set(host, {...entry, isUnreachable: true});
		return true;
	}

	/** Removes hosts that have been silent for longer than the removal timeout. */
	prune(): void {
		for (const [host, entry] of this.entries) {
			if (this.silentMs(entry) > memberRemovalTimeoutMs) {
				this.entries.delete(host);
			}
		}
	}

	recordOf(host: string): MemberRecord | undefined {
		return this.entries.get(host)?.record;
	}

	/** Returns the names of all hosts in the table, including dead ones. */
	knownHosts(): string[] {
		return [...this.entries.keys()];
	}

	/** Returns the records of the hosts that are not dead. */
	liveRecords(): MemberRecord[] {
		return [...this.entries.values()].filter(entry => this.isLive(entry)).map(({record}) => record);
	}

	/** Returns the records of the hosts that may hold databases: live, reachable and not leaving. */
	usableRecords(): MemberRecord[] {
		return [...this.entries.values()].filter(entry => this.isUsable(entry)).map(({record}) => record);
	}

	members(): Member[] {
		return [...this.entries.values()].map(entry => this.toMember(entry));
	}

	private toMember(entry: TableEntry): Member {
		const {counter, ...record} = entry.record;
		return {...record, silentMs: this.silentMs(entry), state: this.stateOf(entry)};
	}

	private isUsable(entry: TableEntry): boolean {
		return !entry.isUnreachable && !entry.record.leaving && this.isLive(entry);
	}

	private isLive(entry: TableEntry): boolean {
		return this.stateOf(entry) !== 'dead';
	}

	private stateOf(entry: TableEntry): Member['state'] {
		const timeoutFactor = this.heartbeatPartners.has(entry.record.host) ? 1 : indirectTimeoutFactor;
		const silentMs = this.silentMs(entry);
		if (silentMs < memberSuspectTimeoutMs * timeoutFactor) {
			return 'alive';
		}

		return silentMs < memberDeadTimeoutMs * timeoutFactor ? 'suspected' : 'dead';
	}

	private silentMs(entry: TableEntry): number {
		return this.clock.nowMs() - entry.lastHeardAtMs;
	}
}

function isNewer(record: MemberRecord, knownRecord: MemberRecord): boolean {
	return record.incarnation === knownRecord.incarnation ? record.counter > knownRecord.counter : record.incarnation > knownRecord.incarnation;
}

function hasChanged(record: MemberRecord, knownRecord: MemberRecord): boolean {
	return record.incarnation !== knownRecord.incarnation
		|| record.leaving !== knownRecord.leaving
		|| record.configurationRevision !== knownRecord.configurationRevision;
}
