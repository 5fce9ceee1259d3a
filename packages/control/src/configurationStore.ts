import {
	type Clock, type Configuration, type ConfigurationSource, type KeyValueStore, type Logger, type Membership, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {backoffMs} from './backoff.js';
import {ChangeAcceptor, type ChangeOutcome, type ConfigurationChange} from './changeAcceptor.js';
import {ConfigurationReplica} from './configurationReplica.js';
import {changesSince, type ChangeSet, type InvalidEntry} from './configurationState.js';
import {PeerPropagation, peerMethods, type RendezvousOrder} from './peerPropagation.js';
import {PlatformFollower, reconnectBackoff, type PlatformHealth} from './platformFollower.js';
import {withTimeLimit} from './timeLimit.js';

export type ConfigurationStoreOptions = {
	/** Name of the deployment, part of the keys in the platform's store. */
	readonly deployment: string;
	readonly store: KeyValueStore;
	readonly peers: PeerRpc;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly rendezvousOrder: RendezvousOrder;
};

/** Hosts of each failure domain that watch the platform. */
const watchersPerFailureDomain = 2;
/** Peers asked for their configuration at the start. */
const peersAskedAtStart = 3;
const healthLimitMs = 500;

/** The configuration in force on this host: loaded from the newest of platform and peers, and kept up to date. */
export class ConfigurationStore implements ConfigurationSource {
	private readonly replica = new ConfigurationReplica();
	private readonly propagation: PeerPropagation;
	private readonly follower: PlatformFollower;
	private readonly acceptor: ChangeAcceptor;

	constructor(private readonly options: ConfigurationStoreOptions) {
		const {clock, log, membership, peers, random, rendezvousOrder, store} = options;
		const prefix = `crocusloom/${options.deployment}/`;
		const {replica} = this;
		this.propagation = new PeerPropagation({
			replica, peers, membership, clock, random, rendezvousOrder,
		});
		this.follower = new PlatformFollower({
			prefix, host: membership.self.host, store, replica, clock, random, log, isWatcher: () => this.watchers().includes(membership.self.host),
		});
		this.acceptor = new ChangeAcceptor({
			prefix,
			store,
			replica,
			clock,
			random,
			loadSnapshot: async signal => this.follower.loadSnapshot(signal),
			confirm: async (changes, signal) => this.propagation.confirm(changes, signal),
		});
		peers.handle(peerMethods.platformHealth, () => this.follower.health());
	}

	/** True once a configuration is in force. */
	get ready(): boolean {
		return this.replica.ready;
	}

	/** Stored values that were skipped because they do not fit their schema. */
	get invalidEntries(): readonly InvalidEntry[] {
		return this.replica.invalidEntries;
	}

	/** Highest revision that this host holds or that a peer has reported. */
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

	/** Calls a listener with the entries of each change, until the signal is aborted. */
	onChangeSet(listener: (changes: ChangeSet) => void, signal: AbortSignal): void {
		this.replica.onChange(listener, signal);
	}

	/** Newest version of each entry that changed after a revision, deletions included. */
	changesSince(revision: number): ChangeSet {
		return changesSince(this.replica.state, revision);
	}

	/** Accepts an operator's change; see `ChangeAcceptor`. */
	async accept(change: ConfigurationChange, signal: AbortSignal): Promise<ChangeOutcome> {
		if (!this.ready) {
			return {type: 'unavailable', effect: 'none', message: 'no configuration is in force yet'};
		}

		return this.acceptor.accept(change, signal);
	}

	/** Hosts of this host's failure domain that watch the platform. */
	watchers(): readonly string[] {
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

	/** Health of the platform, as a watcher of this failure domain sees it. */
	async platformHealth(signal: AbortSignal): Promise<PlatformHealth> {
		const {clock, membership, peers} = this.options;
		const watchers = this.watchers();
		if (watchers.includes(membership.self.host)) {
			return this.follower.health();
		}

		try {
			return await withTimeLimit(clock, healthLimitMs, signal, async limited =>
				Promise.any(watchers.map(async host => peers.call<PlatformHealth>(host, peerMethods.platformHealth, {}, limited))));
		} catch {
			return this.follower.health();
		}
	}

	/**
	 * Loads the configuration and keeps it up to date until the signal is aborted.
	 * @param signal - ends everything that this call started
	 * @returns resolves when a configuration is in force
	 */
	async start(signal: AbortSignal): Promise<void> {
		await this.load(signal);
		void this.ignoreAbort(this.follower.run(signal), signal);
		void this.ignoreAbort(this.propagation.run(signal), signal);
	}

	/** Serves only what is no older than any revision that a peer knows, which includes what this host reported before. */
	private async load(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		for (let attempt = 1; ; attempt++) {
			const answers = await Promise.all([this.loadFromPlatform(signal), this.propagation.pullFromNewest(peersAskedAtStart, signal)]);
			signal.throwIfAborted();
			if (answers.includes(true) && this.replica.state.revision >= this.propagation.highestKnownRevision()) {
				this.replica.serve();
				return;
			}

			await clock.sleep(backoffMs(attempt, reconnectBackoff, random), signal);
		}
	}

	private async loadFromPlatform(signal: AbortSignal): Promise<boolean> {
		try {
			await this.follower.loadSnapshot(signal);
			return true;
		} catch {
			return false;
		}
	}

	private async ignoreAbort(running: Promise<void>, signal: AbortSignal): Promise<void> {
		try {
			await running;
		} catch (error) {
			if (!signal.aborted) {
				this.options.log.error({error: String(error)}, 'the configuration is no longer kept up to date');
			}
		}
	}
}
