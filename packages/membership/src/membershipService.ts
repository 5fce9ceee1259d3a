import {
	compositeKey, type Clock, type Logger, type Member, type Membership, type Metrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {decodeRecord, encodeRecord} from './memberRecords.js';
import {MemberTable, type MemberRecord} from './memberTable.js';
import {type PeerAddress} from './peerConnection.js';
import {rendezvousFirst} from './rendezvous.js';

/** Interval between heartbeats to each partner. */
export const heartbeatIntervalMs = 500;
/**
 * Time without a message from a partner after which a heartbeat also verifies the connection. Shorter than the interval, so that a
 * connection that dies is replaced before the partner takes this host for dead.
 */
export const heartbeatVerificationMs = 400;
/** Maximum number of heartbeat partners of a host, which are its neighbours on the ring of host names. */
export const maximumHeartbeatPartners = 6;
/** Number of records of other members that a heartbeat forwards; needed only if not all members are partners. */
const forwardedRecordsPerHeartbeat = 2;

/** Number of heartbeats after the start that are all sent to silent seeds as well. */
const initialSeedHeartbeats = 20;
/** After the initial heartbeats, only one in this many is sent to silent seeds, because no peer may be listening there. */
const seedHeartbeatPeriod = 10;
/** One in this many heartbeats contains full records; the others contain compact records. */
const fullRecordPeriod = 4;
/** Number of heartbeats with full records that are sent to a new partner and after a change of this host's record. */
const initialFullRecords = 3;

const heartbeatMethod = 'membership.heartbeat';

/** A heartbeat: the record of the sender, and records that it forwards. */
type Heartbeat = {readonly r: ReadonlyArray<readonly unknown[]>};

export type MembershipOptions = {
	readonly self: Omit<MemberRecord, 'counter' | 'leaving' | 'configurationRevision'>;
	/** Addresses of peers that receive the first heartbeats, for a start at which the host list does not respond. */
	readonly seeds: readonly PeerAddress[];
	readonly peers: PeerRpc;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Returns the revision of the configuration in force on this host. */
	readonly configurationRevision: () => number;
};

/**
 * Maximum time for which a computed holder is cached. Holders are cached because every statement looks one up, and only briefly
 * because a member that becomes silent causes no notification.
 */
const holderCacheMs = 50;

type HolderCache = {readonly validUntilMs: number; readonly holders: Map<string, Member>};

/** Prefix of the placeholder host names under which seeds are addressed, because their host names are not known. */
const seedPrefix = 'seed:';

/** The proxies of the deployment and their states, from direct heartbeats and from records that partners forward. */
export class MembershipService implements Membership {
	private readonly table: MemberTable;
	private readonly listeners = new Set<() => void>();
	private readonly seeds = new Map<string, PeerAddress>();
	private counter = 0;
	/** Number of full records of this host sent to each partner since the partner's start or the last change of the record. */
	private fullRecordsSent: ReadonlyMap<string, number> = new Map();
	private isLeaving = false;
	private cachedSelf: Member | undefined;
	private holderCache: HolderCache = {validUntilMs: 0, holders: new Map()};

	constructor(private readonly options: MembershipOptions) {
		this.table = new MemberTable(options.clock);
		for (const seed of options.seeds) {
			this.addSeed(seed);
		}

		options.peers.handle(heartbeatMethod, parameters => {
			this.receiveHeartbeat(parameters);
		});
	}

	get self(): Member {
		const cachedMember = this.cachedSelf;
		if (cachedMember?.leaving === this.isLeaving && cachedMember.configurationRevision === this.options.configurationRevision()) {
			return cachedMember;
		}

		const {counter, ...record} = this.ownRecord();
		this.cachedSelf = {...record, state: 'alive', silentMs: 0};
		return this.cachedSelf;
	}

	/** Sends heartbeats until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let usableHosts = '';
		while (!signal.aborted) {
			this.sendHeartbeats();
			this.table.prune();
			usableHosts = this.notifyIfLivePeersChanged(usableHosts);
			await this.options.clock.sleep(heartbeatIntervalMs, signal);
		}
	}

	/** Returns true once the host at every seed address is known. Until then, this host may claim databases that a peer already holds. */
	hasHeardFromAllSeeds(): boolean {
		const knownAddresses = this.table.knownHosts().map(host => this.resolveAddress(host)).filter(address => address !== undefined);
		return [...this.seeds.values()].every(seed => knownAddresses.some(({address, port}) => address === seed.address && port === seed.port));
	}

	/** Notifies peers that this host is leaving, so that they take over its databases immediately. */
	leave(): void {
		this.isLeaving = true;
		this.sendHeartbeats();
		this.notifyListeners();
	}

	members(): readonly Member[] {
		return [this.self, ...this.table.members()];
	}

	holderOf(database: string, failureDomain: string): Member {
		const nowMs = this.options.clock.nowMs();
		if (nowMs >= this.holderCache.validUntilMs) {
			this.holderCache = {validUntilMs: nowMs + holderCacheMs, holders: new Map()};
		}

		const {holders} = this.holderCache;
		const key = compositeKey([failureDomain, database]);
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
			this.notifyListeners();
		}
	}

	onChange(listener: () => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	/** Returns the address at which a host listens for peers, or undefined if it is not known. */
	resolveAddress(host: string): PeerAddress | undefined {
		const record = this.table.recordOf(host);
		return record ? {address: record.address, port: record.peerPort} : this.seeds.get(host);
	}

	/** Adds the address of a peer to which heartbeats are sent until the peer is known. The address of this host is ignored. */
	addSeed(seed: PeerAddress): void {
		const {address, peerPort} = this.options.self;
		if (seed.address !== address || seed.port !== peerPort) {
			this.seeds.set(`${seedPrefix}${seed.address}:${seed.port}`, seed);
		}
	}

	private computeHolder(database: string, failureDomain: string): Member {
		const usableRecords = this.table.usableRecords();
		const candidates = this.isLeaving ? usableRecords : [this.ownRecord(), ...usableRecords];
		const localCandidates = candidates.filter(record => record.failureDomain === failureDomain);
		const preferredCandidates = localCandidates.length > 0 ? localCandidates : candidates;
		const host = rendezvousFirst(database, preferredCandidates.map(record => record.host));
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

	private sendHeartbeats(): void {
		this.counter++;
		const ownRecord = this.ownRecord();
		const otherRecords = this.table.liveRecords();
		for (const partner of this.selectHeartbeatTargets(otherRecords)) {
			const forwardedRecords = pickRandom(otherRecords.filter(record => record.host !== partner), forwardedRecordsPerHeartbeat, this.options.random);
			const isFull = this.needsFullRecords(partner, ownRecord);
			// Hosts that are not partners are known from forwarded records alone, so these are full. With compact ones, a deployment of 20 hosts lost members.
			const areForwardedFull = isFull || otherRecords.length > maximumHeartbeatPartners;
			const message: Heartbeat = {r: [encodeRecord(ownRecord, isFull), ...forwardedRecords.map(record => encodeRecord(record, areForwardedFull))]};
			this.options.peers.notify(partner, heartbeatMethod, message, {verifyAfterMs: heartbeatVerificationMs});
		}
	}

	/** Returns true if a partner may lack the current full record of this host, without which it cannot use compact records, or if full records are due. */
	private needsFullRecords(partner: string, {leaving, configurationRevision}: MemberRecord): boolean {
		const key = [partner, this.table.recordOf(partner)?.incarnation, leaving, configurationRevision].join(' ');
		const sentCount = this.fullRecordsSent.get(key) ?? 0;
		const otherCounts = [...this.fullRecordsSent].filter(([other]) => !other.startsWith(`${partner} `));
		this.fullRecordsSent = new Map([...otherCounts, [key, sentCount + 1]]);
		return sentCount < initialFullRecords || this.counter % fullRecordPeriod === 0;
	}

	/** Returns the neighbours on the ring of host names and, if they are due, the seeds that are not known yet. */
	private selectHeartbeatTargets(otherRecords: readonly MemberRecord[]): string[] {
		// Dead hosts stay on the ring, because the longer timeouts of indirect members would apply to a partner that was removed from it.
		const neighbours = ringNeighbours(this.options.self.host, this.table.knownHosts());
		this.table.setHeartbeatPartners(neighbours);
		const knownAddresses = new Set(otherRecords.map(record => `${record.address}:${record.peerPort}`));
		const silentSeeds = [...this.seeds].filter(([, seed]) => !knownAddresses.has(`${seed.address}:${seed.port}`)).map(([name]) => name);
		const areSeedsDue = otherRecords.length === 0 || this.counter <= initialSeedHeartbeats || this.counter % seedHeartbeatPeriod === 0;
		return areSeedsDue ? [...neighbours, ...silentSeeds] : neighbours;
	}

	private receiveHeartbeat(parameters: unknown): void {
		const encodedRecords = (parameters as Partial<Heartbeat> | null)?.r;
		const [ownRecord, ...forwardedRecords] = this.decodeRecords(Array.isArray(encodedRecords) ? encodedRecords : [undefined]);
		const sender = ownRecord?.host;
		const records = [ownRecord, ...forwardedRecords].filter(record => record !== undefined);
		let hasChanges = false;
		for (const record of records.filter(({host}) => host !== this.options.self.host)) {
			const isChange = this.table.merge(record, record.host === sender);
			hasChanges ||= isChange;
		}

		if (hasChanges) {
			this.notifyListeners();
		}
	}

	/** Decodes the records of a heartbeat; one that cannot be used is undefined. */
	private decodeRecords(encodedRecords: readonly unknown[]): ReadonlyArray<MemberRecord | undefined> {
		const results = encodedRecords.map(fields => decodeRecord(fields, host => this.table.recordOf(host)));
		const invalidCount = results.filter(result => result === 'invalid').length;
		if (invalidCount > 0) {
			this.options.metrics.count('membership_invalid_records_total', undefined, invalidCount);
		}

		return results.map(result => typeof result === 'object' ? result : undefined);
	}

	/** Notifies listeners of changes that no heartbeat reports, such as members that have become silent. */
	private notifyIfLivePeersChanged(previousHosts: string): string {
		const hosts = this.table.usableRecords().map(record => record.host).toSorted();
		const currentHosts = compositeKey(hosts);
		if (currentHosts !== previousHosts) {
			this.options.log.info({hosts: hosts.join(',')}, 'the set of live peers changed');
			this.options.metrics.gauge('membership_live_peers', hosts.length);
			this.notifyListeners();
		}

		return currentHosts;
	}

	private notifyListeners(): void {
		this.holderCache = {validUntilMs: 0, holders: new Map()};
		for (const listener of this.listeners) {
			listener();
		}
	}
}

/**
 * Returns the neighbours of a host on the ring of host names, half of them before and half after it.
 */
export function ringNeighbours(self: string, otherHosts: readonly string[]): string[] {
	if (otherHosts.length <= maximumHeartbeatPartners) {
		return [...otherHosts];
	}

	const ring = [self, ...otherHosts].toSorted();
	const selfIndex = ring.indexOf(self);
	const offsets = Array.from({length: maximumHeartbeatPartners}, (_, index) => index < maximumHeartbeatPartners / 2 ? index + 1 : -(index + 1 - (maximumHeartbeatPartners / 2)));
	return offsets.map(offset => ring[(selfIndex + offset + ring.length) % ring.length]!);
}

function pickRandom<T>(items: readonly T[], count: number, random: RandomSource): T[] {
	const remainingItems = [...items];
	const pickedItems: T[] = [];
	while (pickedItems.length < count && remainingItems.length > 0) {
		pickedItems.push(...remainingItems.splice(Math.floor(random.next() * remainingItems.length), 1));
	}

	return pickedItems;
}
