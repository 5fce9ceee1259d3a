import {
	type Clock, type Logger, type Member, type Membership, type Metrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {MemberTable, type MemberRecord} from './memberTable.js';
import {type PeerAddress} from './peerTransport.js';
import {rendezvousFirst} from './rendezvous.js';

/** Time between two heartbeats to one partner. */
export const heartbeatIntervalMs = 500;
/** Heartbeat partners of a host, its neighbours on the ring of host names. */
export const maximumPartners = 6;
/** Records of other members carried in a heartbeat; needed only where not all members are partners. */
const digestsPerHeartbeat = 2;

/** First heartbeats of a host, all of which go to silent seeds as well. */
const seedHeartbeats = 20;
/** Later, every so many heartbeats go to silent seeds, which may be addresses where no peer listens. */
const seedPeriod = 10;
/** Every so many heartbeats carry whole records; the others carry what changes with each heartbeat. */
const wholeRecordPeriod = 4;
/** Heartbeats with whole records to a partner that was not known before, or after a change of the own record. */
const introductions = 3;

const heartbeatMethod = 'membership.heartbeat';

/**
 * A heartbeat; records are arrays in `recordFields` order, because field names would be most of its bytes. A record of which
 * only the first `signFields` are given is a sign of life of a host whose whole record the partner has.
 */
type Heartbeat = {readonly r: ReadonlyArray<readonly unknown[]>};

const recordFields = [
	'host', 'incarnation', 'counter', 'failureDomain', 'address', 'peerPort', 'workPort', 'operatorPort', 'leaving', 'configurationRevision',
] as const satisfies ReadonlyArray<keyof MemberRecord>;

/** Host, incarnation and counter. */
const signFields = 3;

export type MembershipOptions = {
	readonly self: Omit<MemberRecord, 'counter' | 'leaving' | 'configurationRevision'>;
	/** Peers to which the first heartbeats go when the host list does not answer. */
	readonly seeds: readonly PeerAddress[];
	readonly peers: PeerRpc;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Revision of the configuration that this host has. */
	readonly configurationRevision: () => number;
};

/** Longest time for which a computed holder is kept: members fall silent without a message, and every statement asks for a holder. */
const holderCacheMs = 50;

type HolderCache = {readonly validUntilMs: number; readonly holders: Map<string, Member>};

/** Prefix of the names under which peers are addressed before their host name is known. */
const seedPrefix = 'seed:';

/** Live view of the proxies, from direct heartbeats and from records that partners pass on. */
export class MembershipService implements Membership {
	private readonly table: MemberTable;
	private readonly listeners = new Set<() => void>();
	private readonly seeds = new Map<string, PeerAddress>();
	private counter = 0;
	/** Whole own records sent to each partner since the partner's start or the last change of the record. */
	private introduced: ReadonlyMap<string, number> = new Map();
	private isLeaving = false;
	private cachedSelf: Member | undefined;
	private cache: HolderCache = {validUntilMs: 0, holders: new Map()};

	constructor(private readonly options: MembershipOptions) {
		this.table = new MemberTable(options.clock);
		for (const seed of options.seeds) {
			this.addSeed(seed);
		}

		options.peers.handle(heartbeatMethod, parameters => {
			this.receive(parameters as Heartbeat);
		});
	}

	get self(): Member {
		const known = this.cachedSelf;
		if (known?.leaving === this.isLeaving && known.configurationRevision === this.options.configurationRevision()) {
			return known;
		}

		const {counter, ...record} = this.ownRecord();
		this.cachedSelf = {...record, state: 'alive', silentMs: 0};
		return this.cachedSelf;
	}

	/** Sends heartbeats until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let usable = '';
		while (!signal.aborted) {
			this.heartbeat();
			this.table.prune();
			usable = this.announceIfChanged(usable);
			await this.options.clock.sleep(heartbeatIntervalMs, signal);
		}
	}

	/** True once every seed has answered; until then this host may hold databases that a peer holds already. */
	hasHeardSeeds(): boolean {
		const known = this.table.knownHosts().map(host => this.resolve(host)).filter(address => address !== undefined);
		return [...this.seeds.values()].every(seed => known.some(({address, port}) => address === seed.address && port === seed.port));
	}

	/** Tells peers that this host leaves, so that they take its databases over at once. */
	leave(): void {
		this.isLeaving = true;
		this.heartbeat();
		this.announce();
	}

	members(): readonly Member[] {
		return [this.self, ...this.table.members()];
	}

	holderOf(database: string, failureDomain: string): Member {
		const nowMs = this.options.clock.nowMs();
		if (nowMs >= this.cache.validUntilMs) {
			this.cache = {validUntilMs: nowMs + holderCacheMs, holders: new Map()};
		}

		const {holders} = this.cache;
		const key = `${failureDomain} ${database}`;
		let holder = holders.get(key);
		if (!holder) {
			holder = this.computeHolder(database, failureDomain);
			holders.set(key, holder);
		}

		return holder;
	}

	reportUnreachable(host: string): void {
		if (this.table.markUnreachable(host)) {
			this.options.metrics.count('membership_unreachable_total');
			this.announce();
		}
	}

	onChange(listener: () => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	/** Finds where a host listens for peers. */
	resolve(host: string): PeerAddress | undefined {
		const record = this.table.record(host);
		return record ? {address: record.address, port: record.peerPort} : this.seeds.get(host);
	}

	/** Adds a peer to which heartbeats go until it answers. */
	addSeed(seed: PeerAddress): void {
		const {address, peerPort} = this.options.self;
		if (seed.address !== address || seed.port !== peerPort) {
			this.seeds.set(`${seedPrefix}${seed.address}:${seed.port}`, seed);
		}
	}

	private computeHolder(database: string, failureDomain: string): Member {
		const records = this.table.usableRecords();
		const candidates = this.isLeaving ? records : [this.ownRecord(), ...records];
		const local = candidates.filter(record => record.failureDomain === failureDomain);
		const pool = local.length > 0 ? local : candidates;
		const host = rendezvousFirst(database, pool.map(record => record.host));
		return this.members().find(member => member.host === host) ?? this.self;
	}

	private ownRecord(): MemberRecord {
		return {
			...this.options.self,
			counter: this.counter,
			leaving: this.isLeaving,
			configurationRevision: this.options.configurationRevision(),
		};
	}

	private heartbeat(): void {
		this.counter++;
		const own = this.ownRecord();
		const others = this.table.liveRecords();
		for (const partner of this.partners(others)) {
			const digests = pickRandom(others.filter(record => record.host !== partner), digestsPerHeartbeat, this.options.random);
			const isWhole = this.needsWholeRecords(partner, own);
			// Larger fleets learn of hosts that are not partners by digests alone; a fleet of 20 hosts lost members by signs of life.
			const areDigestsWhole = isWhole || others.length > maximumPartners;
			const message: Heartbeat = {r: [encodeRecord(own, isWhole), ...digests.map(record => encodeRecord(record, areDigestsWhole))]};
			this.options.peers.notify(partner, heartbeatMethod, message);
		}
	}

	/** A partner without the sender's record, or with an old one, cannot use a sign of life. */
	private needsWholeRecords(partner: string, {leaving, configurationRevision}: MemberRecord): boolean {
		const key = [partner, this.table.record(partner)?.incarnation, leaving, configurationRevision].join(' ');
		const sent = this.introduced.get(key) ?? 0;
		const others = [...this.introduced].filter(([other]) => !other.startsWith(`${partner} `));
		this.introduced = new Map([...others, [key, sent + 1]]);
		return sent < introductions || this.counter % wholeRecordPeriod === 0;
	}

	/** Neighbours on the ring of host names, and seeds from which nothing has been heard yet. */
	private partners(others: readonly MemberRecord[]): string[] {
		// Dead hosts stay on the ring, because a partner that left it would be judged by the longer times again.
		const neighbours = ringNeighbours(this.options.self.host, this.table.knownHosts());
		this.table.setPartners(neighbours);
		const known = new Set(others.map(record => `${record.address}:${record.peerPort}`));
		const silentSeeds = [...this.seeds].filter(([, seed]) => !known.has(`${seed.address}:${seed.port}`)).map(([name]) => name);
		const areSeedsDue = others.length === 0 || this.counter <= seedHeartbeats || this.counter % seedPeriod === 0;
		return areSeedsDue ? [...neighbours, ...silentSeeds] : neighbours;
	}

	private receive(heartbeat: Heartbeat): void {
		const known = heartbeat.r.map(fields => this.decodeRecord(fields)).filter(record => record !== undefined);
		const records = known.filter(record => record.host !== this.options.self.host);
		let hasNews = false;
		const sender = heartbeat.r[0]?.[0];
		for (const record of records) {
			const isNews = this.table.merge(record, record.host === sender);
			hasNews ||= isNews;
		}

		if (hasNews) {
			this.announce();
		}
	}

	/** @returns undefined for a sign of life of a host whose whole record is not known */
	private decodeRecord(fields: readonly unknown[]): MemberRecord | undefined {
		if (fields.length > signFields) {
			return wholeRecord(fields);
		}

		const [host, incarnation, counter] = fields as [string, number, number];
		const known = this.table.record(host);
		return known?.incarnation === incarnation ? {...known, counter} : undefined;
	}

	/** Members also change by falling silent, which no message tells. */
	private announceIfChanged(before: string): string {
		const after = this.table.usableRecords().map(record => record.host).toSorted().join(',');
		if (after !== before) {
			this.options.log.info({hosts: after}, 'the set of live peers changed');
			this.options.metrics.gauge('membership_live_peers', after === '' ? 0 : after.split(',').length);
			this.announce();
		}

		return after;
	}

	private announce(): void {
		this.cache = {validUntilMs: 0, holders: new Map()};
		for (const listener of this.listeners) {
			listener();
		}
	}
}

/**
 * Gives the neighbours of a host on the ring of host names, half before it and half behind it.
 */
export function ringNeighbours(self: string, others: readonly string[]): string[] {
	if (others.length <= maximumPartners) {
		return [...others];
	}

	const ring = [self, ...others].toSorted();
	const at = ring.indexOf(self);
	const offsets = Array.from({length: maximumPartners}, (_, index) => index < maximumPartners / 2 ? index + 1 : -(index + 1 - (maximumPartners / 2)));
	return offsets.map(offset => ring[(at + offset + ring.length) % ring.length]!);
}

function pickRandom<T>(items: readonly T[], count: number, random: RandomSource): T[] {
	const pool = [...items];
	const picked: T[] = [];
	while (picked.length < count && pool.length > 0) {
		picked.push(...pool.splice(Math.floor(random.next() * pool.length), 1));
	}

	return picked;
}

function encodeRecord(record: MemberRecord, isWhole: boolean): unknown[] {
	const fields = isWhole ? recordFields : recordFields.slice(0, signFields);
	return fields.map(field => record[field]);
}

function wholeRecord(fields: readonly unknown[]): MemberRecord {
	return Object.fromEntries(recordFields.map((field, index) => [field, fields[index]])) as unknown as MemberRecord;
}
