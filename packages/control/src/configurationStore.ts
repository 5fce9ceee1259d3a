import {
	childSignal, runSupervised, type Clock, type Configuration, type ConfigurationSource, type KeyValueStore, type Logger, type Membership, type PeerRpc, type RandomSource, withTimeout,
} from '@crocusloom/model';
import {backoffMs} from './backoff.js';
import {ChangeAcceptor, type ChangeOutcome, type ConfigurationChange} from './changeAcceptor.js';
import {ConfigurationReplica} from './configurationReplica.js';
import {changesSince, type ChangeSet, type InvalidEntry} from './configurationState.js';
import {PeerPropagation, peerMethods, type RendezvousOrder} from './peerPropagation.js';
import {PlatformFollower, initialLoadBackoff, type PlatformHealth} from './platformFollower.js';

export type ConfigurationStoreOptions = {
	/** Name of the deployment, part of the keys in the platform's store. */
	readonly deployment: string;
	readonly keyValueStore: KeyValueStore;
	readonly peers: PeerRpc;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly rendezvousOrder: RendezvousOrder;
};

/** Number of hosts of each failure domain that watch the platform. */
const watchersPerFailureDomain = 2;
/** Maximum number of peers from which the configuration is pulled at startup. */
const maximumPeersPulledAtStart = 3;
const platformHealthTimeoutMs = 500;

/** The configuration in force on this host. It is loaded from the platform and from peers, and kept up to date. */
export class ConfigurationStore implements ConfigurationSource {
	private readonly replica: ConfigurationReplica;
	private readonly propagation: PeerPropagation;
	private readonly follower: PlatformFollower;
	private readonly acceptor: ChangeAcceptor;

	constructor(private readonly options: ConfigurationStoreOptions) {
		const {clock, log, membership, peers, random, rendezvousOrder, keyValueStore} = options;
		const prefix = `crocusloom/${options.deployment}/`;
		this.replica = new ConfigurationReplica(log);
		const {replica} = this;
		this.propagation = new PeerPropagation({
			replica, peers, membership, clock, random, log, rendezvousOrder,
		});
		this.follower = new PlatformFollower({
			prefix, host: membership.self.host, keyValueStore, replica, clock, random, log, isWatcher: () => this.watcherHosts().includes(membership.self.host),
		});
		this.acceptor = new ChangeAcceptor({
			prefix,
			keyValueStore,
			replica,
			clock,
			random,
			loadSnapshot: async signal => this.follower.loadSnapshot(signal),
			copyToNeighbour: async (changes, signal) => this.propagation.copyToNeighbour(changes, signal),
		});
		peers.handle(peerMethods.platformHealth, () => this.follower.health());
	}

	/** True once a configuration is in force. */
	get isReady(): boolean {
		return this.replica.isReady;
	}

	/** Stored values that were skipped because they do not match their schema. */
	get invalidEntries(): readonly InvalidEntry[] {
		return this.replica.invalidEntries;
	}

	/** Highest revision that this host has or that a peer has reported. */
	get highestKnownRevision(): number {
		return this.propagation.highestKnownRevision();
	}

	current(): Configuration {
		return this.replica.configuration;
	}

	/** Revision to report in heartbeats; 0 until a configuration is in force. */
	revision(): number {
		return this.replica.configuration.revision;
	}

	onChange(listener: (configuration: Configuration) => void, signal: AbortSignal): void {
		this.replica.onChange(() => {
			listener(this.replica.configuration);
		}, signal);
	}

	/** Calls a listener with each change set, until the signal is aborted. */
	onChangeSet(listener: (changes: ChangeSet) => void, signal: AbortSignal): void {
		this.replica.onChange(listener, signal);
	}

	/** Returns the newest version of each entry that changed after a revision, including deletions. */
	changesSince(revision: number): ChangeSet {
		return changesSince(this.replica.state, revision);
	}

	/** Validates and writes an operator's change; see `ChangeAcceptor`. */
	async accept(change: ConfigurationChange, signal: AbortSignal): Promise<ChangeOutcome> {
		if (!this.isReady) {
			return {type: 'unavailable', effect: 'none', message: 'no configuration is in force yet'};
		}

		return this.acceptor.accept(change, signal);
	}

	/**
	 * Records that the change of a group's databases to a generation is in force, so that the next change may be made. May be repeated.
	 * @returns true if it is recorded, false if the store did not answer or has another generation
	 */
	async settleDatabases(group: string, generation: number, signal: AbortSignal): Promise<boolean> {
		const outcome = await this.accept({
			action: 'settle', kind: 'databaseGroups', name: group, generation, changeId: `settle-${generation}`,
		}, signal);
		return outcome.type === 'accepted';
	}

	/** Returns the hosts of this host's failure domain that watch the platform. */
	watcherHosts(): readonly string[] {
		const {membership, rendezvousOrder} = this.options;
		const {failureDomain, host} = membership.self;
		const hosts = new Set([host]);
		for (const member of membership.members()) {
			if (member.failureDomain === failureDomain && member.state === 'alive') {
				hosts.add(member.host);
			}
		}

		return rendezvousOrder(`configuration-watch/${failureDomain}`, [...hosts]).slice(0, watchersPerFailureDomain);
	}

	/** Returns the health of the platform as observed by a watcher of this failure domain, or by this host if no watcher responds. */
	async platformHealth(signal: AbortSignal): Promise<PlatformHealth> {
		const {clock, membership, peers} = this.options;
		const watchers = this.watcherHosts();
		if (watchers.includes(membership.self.host)) {
			return this.follower.health();
		}

		try {
			return await withTimeout(clock, platformHealthTimeoutMs, signal, async callSignal =>
				Promise.any(watchers.map(async host => peers.call<PlatformHealth>(host, peerMethods.platformHealth, {}, callSignal))));
		} catch {
			return this.follower.health();
		}
	}

	/**
	 * Loads the configuration, then keeps it up to date in the background until the signal is aborted.
	 * @param signal - stops loading and the background tasks
	 * @returns resolves when a configuration is in force
	 */
	async start(signal: AbortSignal): Promise<void> {
		await this.loadInitialConfiguration(signal);
		void this.supervise('configuration watch', async runSignal => this.follower.run(runSignal), signal);
		void this.supervise('configuration propagation', async runSignal => this.propagation.run(runSignal), signal);
	}

	/**
	 * Retries until the loaded configuration is at least as new as any revision known to a peer, which includes the revision
	 * that this host reported before a restart.
	 */
	private async loadInitialConfiguration(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		for (let attempt = 1; ; attempt++) {
			const loadResults = await Promise.all([this.tryLoadFromPlatform(signal), this.propagation.pullFromNewest(maximumPeersPulledAtStart, signal)]);
			signal.throwIfAborted();
			if (loadResults.includes(true) && this.replica.state.revision >= this.propagation.highestKnownRevision()) {
				this.replica.serve();
				return;
			}

			await clock.sleep(backoffMs(attempt, initialLoadBackoff, random), signal);
		}
	}

	private async tryLoadFromPlatform(signal: AbortSignal): Promise<boolean> {
		try {
			await this.follower.loadSnapshot(signal);
			return true;
		} catch {
			return false;
		}
	}

	/** Runs a task until the signal aborts. Each run has a signal of its own, so that the listeners of a failed one are removed. */
	private async supervise(task: string, run: (runSignal: AbortSignal) => Promise<void>, signal: AbortSignal): Promise<void> {
		await runSupervised(task, async () => {
			const runController = childSignal(signal);
			try {
				await run(runController.signal);
			} finally {
				runController.abort();
				runController.release();
			}
		}, this.options, signal);
	}
}
