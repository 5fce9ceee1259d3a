import {
	compositeKey, type Clock, type Configuration, type Dispatcher, type GroupDirectory, type GroupState, type HolderStats, type Member, type Membership, type PeerRpc, withTimeout,
} from '@crocusloom/model';
import {compareConditions, type Condition} from './conditions.js';
import {ConditionTracker} from './conditionTracker.js';
import {type InvalidEntry} from './configurationState.js';
import {type PlatformHealth} from './platformFollower.js';

/** Members of the configuration store that the report uses. */
export type StatusSource = {
	readonly isReady: boolean;
	readonly invalidEntries: readonly InvalidEntry[];
	readonly highestKnownRevision: number;
	current(): Configuration;
	platformHealth(signal: AbortSignal): Promise<PlatformHealth>;
};

export type StatusReporterOptions = {
	readonly store: StatusSource;
	readonly membership: Membership;
	readonly directory: Pick<GroupDirectory, 'states' | 'promotions'>;
	readonly dispatcher: Pick<Dispatcher, 'holderStats'>;
	readonly peers?: PeerRpc;
	readonly clock: Clock;
	/** Returns the health of the platform; defaults to that of the configuration store. */
	readonly platformHealth?: (signal: AbortSignal) => Promise<PlatformHealth> | PlatformHealth;
};

/** Response body of `GET /v1/status`. */
export type StatusReport = {
	readonly host: string;
	readonly failureDomain: string;
	readonly ready: boolean;
	readonly revision: number;
	readonly platform: PlatformHealth;
	readonly conditions: readonly Condition[];
	readonly hosts: readonly Member[];
	readonly groups: readonly GroupState[];
	/** Statistics of the databases that hosts hold, with the host that reports them. */
	readonly holders: ReadonlyArray<HolderStats & {readonly host: string}>;
	/** Hosts that did not respond in time; their holders and conditions are missing. */
	readonly silentHosts: readonly string[];
};

type LocalStatus = Pick<StatusReport, 'host' | 'conditions' | 'holders'>;

const statusMethod = 'control.status';
const peerCallTimeoutMs = 1000;
/** Maximum number of hosts queried for one report, so that its cost does not grow with the number of hosts. */
const maximumQueriedHosts = 32;
/** Interval at which conditions are evaluated in the background, so that their durations are known when a report is requested. */
const evaluationIntervalMs = 1000;
/**
 * Maximum age of the platform's health in background evaluations. Hosts that do not watch the platform query a watcher, and a
 * failure domain of 100 hosts has only two watchers, so the health is cached for longer than the evaluation interval.
 */
const backgroundHealthMaximumAgeMs = 10_000;

/** Reports the status of this host and of the peers that respond. */
export class StatusReporter {
	private readonly tracker: ConditionTracker;
	private cachedHealth: {readonly health: PlatformHealth; readonly observedAtMs: number} | undefined;

	constructor(private readonly options: StatusReporterOptions) {
		this.tracker = new ConditionTracker(options.clock);
		options.peers?.handle(statusMethod, async (_parameters, _from, signal) => this.localStatus(signal));
	}

	/** Evaluates the conditions periodically until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.evaluateConditions(signal, backgroundHealthMaximumAgeMs);
			await this.options.clock.sleep(evaluationIntervalMs, signal);
		}
	}

	/**
	 * Evaluates the conditions from the states that this host knows.
	 * @param maximumHealthAgeMs - maximum age in milliseconds of a cached health of the platform
	 */
	async evaluateConditions(signal: AbortSignal, maximumHealthAgeMs = 0): Promise<readonly Condition[]> {
		const {directory, dispatcher, store} = this.options;
		const platform = await this.platformHealth(signal, maximumHealthAgeMs);
		return this.tracker.evaluate({
			configuration: store.current(),
			groups: directory.states(),
			holders: dispatcher.holderStats(),
			members: this.membersWithCurrentRevision(),
			platform,
			invalidEntries: store.invalidEntries,
			highestKnownRevision: store.highestKnownRevision,
		});
	}

	/** Builds a report from the status of this host and of its peers. */
	async buildReport(signal: AbortSignal): Promise<StatusReport> {
		const {directory, membership, store} = this.options;
		const [local, platform, peers] = await Promise.all([this.localStatus(signal), this.platformHealth(signal), this.collectPeerStatuses(signal)]);
		const peerStatuses = peers.flatMap(({status}) => status ? [status] : []);
		return {
			host: membership.self.host,
			failureDomain: membership.self.failureDomain,
			ready: store.isReady,
			revision: store.current().revision,
			platform,
			conditions: mergeConditions([local, ...peerStatuses].flatMap(({conditions}) => conditions)),
			hosts: this.membersWithCurrentRevision(),
			groups: directory.states(),
			holders: [local, ...peerStatuses].flatMap(({holders}) => holders),
			silentHosts: peers.filter(({status}) => !status).map(({host}) => host),
		};
	}

	/** Returns the members, with the current revision of this host, which the membership may report one heartbeat late. */
	private membersWithCurrentRevision(): readonly Member[] {
		const {membership, store} = this.options;
		const self = {...membership.self, configurationRevision: store.current().revision};
		return [self, ...membership.members().filter(({host}) => host !== self.host)];
	}

	private async localStatus(signal: AbortSignal): Promise<LocalStatus> {
		const {host} = this.options.membership.self;
		const conditions = await this.evaluateConditions(signal);
		return {host, conditions, holders: this.options.dispatcher.holderStats().map(stats => ({...stats, host}))};
	}

	private async collectPeerStatuses(signal: AbortSignal): Promise<ReadonlyArray<{readonly host: string; readonly status?: LocalStatus}>> {
		const {clock, membership, peers} = this.options;
		if (!peers) {
			return [];
		}

		const hosts = membership.members().filter(({host, state}) => host !== membership.self.host && state !== 'dead').slice(0, maximumQueriedHosts);
		return Promise.all(hosts.map(async ({host}) => {
			try {
				return {host, status: await withTimeout(clock, peerCallTimeoutMs, signal, async callSignal => peers.call<LocalStatus>(host, statusMethod, {}, callSignal))};
			} catch {
				return {host};
			}
		}));
	}

	private async platformHealth(signal: AbortSignal, maximumAgeMs = 0): Promise<PlatformHealth> {
		const ageMs = this.options.clock.nowMs() - (this.cachedHealth?.observedAtMs ?? -Infinity);
		if (this.cachedHealth && ageMs < maximumAgeMs) {
			const {health} = this.cachedHealth;
			return {...health, sinceMs: health.sinceMs + ageMs};
		}

		const health = await this.queryPlatformHealth(signal);
		this.cachedHealth = {health, observedAtMs: this.options.clock.nowMs()};
		return health;
	}

	private async queryPlatformHealth(signal: AbortSignal): Promise<PlatformHealth> {
		return (this.options.platformHealth ?? (async (callSignal: AbortSignal) => this.options.store.platformHealth(callSignal)))(signal);
	}
}

/** Keeps one condition per type and resource: the most severe one, and among equals the one that has held longest. */
export function mergeConditions(conditions: readonly Condition[]): readonly Condition[] {
	const conditionByKey = new Map<string, Condition>();
	for (const condition of conditions.toSorted((a, b) => compareConditions(a, b) || b.sinceMs - a.sinceMs)) {
		const key = compositeKey([condition.type, condition.resource]);
		if (!conditionByKey.has(key)) {
			conditionByKey.set(key, condition);
		}
	}

	return [...conditionByKey.values()];
}
