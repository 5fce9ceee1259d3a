import {
	type Clock, type Configuration, type Dispatcher, type GroupDirectory, type GroupState, type HolderStats, type Member, type Membership, type PeerRpc,
} from '@crocusloom/model';
import {compareConditions, type Condition} from './conditions.js';
import {ConditionTracker} from './conditionTracker.js';
import {type InvalidEntry} from './configurationState.js';
import {type PlatformHealth} from './platformFollower.js';
import {withTimeLimit} from './timeLimit.js';

/** What the report needs of the configuration store. */
export type StatusSource = {
	readonly ready: boolean;
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
	/** Health of the platform; the configuration store's own view by default. */
	readonly platformHealth?: (signal: AbortSignal) => Promise<PlatformHealth> | PlatformHealth;
};

/** Answer of `GET /v1/status`. */
export type StatusReport = {
	readonly host: string;
	readonly failureDomain: string;
	readonly ready: boolean;
	readonly revision: number;
	readonly platform: PlatformHealth;
	readonly conditions: readonly Condition[];
	readonly hosts: readonly Member[];
	readonly groups: readonly GroupState[];
	/** Databases that hosts hold, with the host that reports them. */
	readonly holders: ReadonlyArray<HolderStats & {readonly host: string}>;
	/** Hosts that did not answer in time; their holders and conditions are missing. */
	readonly silentHosts: readonly string[];
};

type LocalStatus = Pick<StatusReport, 'host' | 'conditions' | 'holders'>;

const statusMethod = 'control.status';
const peerLimitMs = 1000;
/** Hosts asked for one report, so that the cost of a report does not grow with the fleet. */
const maximumAskedHosts = 32;
/** Interval at which conditions are evaluated, so that their durations are known when somebody asks. */
const evaluationIntervalMs = 1000;
/** Hosts that do not watch the platform ask a watcher; asked less often, so that a failure domain of 100 hosts does not load its two watchers. */
const backgroundHealthAgeMs = 10_000;

/** Reports the status of this host and, as far as they answer, of its peers. */
export class StatusReporter {
	private readonly tracker: ConditionTracker;
	private lastHealth: {readonly health: PlatformHealth; readonly atMs: number} | undefined;

	constructor(private readonly options: StatusReporterOptions) {
		this.tracker = new ConditionTracker(options.clock);
		options.peers?.handle(statusMethod, async (_parameters, _from, signal) => this.localStatus(signal));
	}

	/** Evaluates the conditions regularly until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.conditions(signal, backgroundHealthAgeMs);
			await this.options.clock.sleep(evaluationIntervalMs, signal);
		}
	}

	/**
	 * Conditions that this host sees.
	 * @param maximumHealthAgeMs - age in milliseconds that the observation of the platform may have
	 */
	async conditions(signal: AbortSignal, maximumHealthAgeMs = 0): Promise<readonly Condition[]> {
		const {directory, dispatcher, store} = this.options;
		const platform = await this.platformHealth(signal, maximumHealthAgeMs);
		return this.tracker.evaluate({
			configuration: store.current(),
			groups: directory.states(),
			holders: dispatcher.holderStats(),
			members: this.members(),
			platform,
			invalidEntries: store.invalidEntries,
			highestKnownRevision: store.highestKnownRevision,
		});
	}

	/** Builds the report of this host and its peers. */
	async report(signal: AbortSignal): Promise<StatusReport> {
		const {directory, membership, store} = this.options;
		const [local, platform, peers] = await Promise.all([this.localStatus(signal), this.platformHealth(signal), this.peerStatuses(signal)]);
		const answers = peers.flatMap(({status}) => status ? [status] : []);
		return {
			host: membership.self.host,
			failureDomain: membership.self.failureDomain,
			ready: store.ready,
			revision: store.current().revision,
			platform,
			conditions: mergeConditions([local, ...answers].flatMap(({conditions}) => conditions)),
			hosts: this.members(),
			groups: directory.states(),
			holders: [local, ...answers].flatMap(({holders}) => holders),
			silentHosts: peers.filter(({status}) => !status).map(({host}) => host),
		};
	}

	/** Members with this host's own revision, which its membership may report a heartbeat late. */
	private members(): readonly Member[] {
		const {membership, store} = this.options;
		const self = {...membership.self, configurationRevision: store.current().revision};
		return [self, ...membership.members().filter(({host}) => host !== self.host)];
	}

	private async localStatus(signal: AbortSignal): Promise<LocalStatus> {
		const {host} = this.options.membership.self;
		const conditions = await this.conditions(signal);
		return {host, conditions, holders: this.options.dispatcher.holderStats().map(stats => ({...stats, host}))};
	}

	private async peerStatuses(signal: AbortSignal): Promise<ReadonlyArray<{readonly host: string; readonly status?: LocalStatus}>> {
		const {clock, membership, peers} = this.options;
		if (!peers) {
			return [];
		}

		const hosts = membership.members().filter(({host, state}) => host !== membership.self.host && state !== 'dead').slice(0, maximumAskedHosts);
		return Promise.all(hosts.map(async ({host}) => {
			try {
				return {host, status: await withTimeLimit(clock, peerLimitMs, signal, async limited => peers.call<LocalStatus>(host, statusMethod, {}, limited))};
			} catch {
				return {host};
			}
		}));
	}

	private async platformHealth(signal: AbortSignal, maximumAgeMs = 0): Promise<PlatformHealth> {
		const ageMs = this.options.clock.nowMs() - (this.lastHealth?.atMs ?? -Infinity);
		if (this.lastHealth && ageMs < maximumAgeMs) {
			const {health} = this.lastHealth;
			return {...health, sinceMs: health.sinceMs + ageMs};
		}

		const health = await this.askPlatformHealth(signal);
		this.lastHealth = {health, atMs: this.options.clock.nowMs()};
		return health;
	}

	private async askPlatformHealth(signal: AbortSignal): Promise<PlatformHealth> {
		return (this.options.platformHealth ?? (async (given: AbortSignal) => this.options.store.platformHealth(given)))(signal);
	}
}

/** Keeps one condition for each type and resource: the most severe, and of equals the one that has held longest. */
export function mergeConditions(conditions: readonly Condition[]): readonly Condition[] {
	const merged = new Map<string, Condition>();
	for (const condition of conditions.toSorted((a, b) => compareConditions(a, b) || b.sinceMs - a.sinceMs)) {
		const key = `${condition.type} ${condition.resource}`;
		if (!merged.has(key)) {
			merged.set(key, condition);
		}
	}

	return [...merged.values()];
}
