import {
	type Clock, errorMessageOf, type Logger, type Member, type Membership, type PeerRpc, type RandomSource, withTimeout,
} from '@crocusloom/model';
import {z} from 'zod';
import {pullTimeoutMs, revisionCheckIntervalMs} from './changeTiming.js';
import {
	changesSince, firstChanges, toEntryKey, type ChangeSet, type ConfigurationEntry,
} from './configurationState.js';
import {type ConfigurationReplica} from './configurationReplica.js';

/** Orders hosts by rendezvous hashing with a key, best first. */
export type RendezvousOrder = (key: string, hosts: readonly string[]) => readonly string[];

/** JSON-RPC methods that peers call. */
export const peerMethods = {
	changesSince: 'configuration.changesSince',
	changed: 'configuration.changed',
	platformHealth: 'configuration.platformHealth',
} as const;

const entrySchema = z.object({
	key: z.string().transform(key => toEntryKey(key, '')),
	revision: z.int().min(0),
	value: z.string().optional(),
	lastValid: z.object({revision: z.int().min(0), value: z.string()}).optional(),
});
/** Entries that are not resources of this release are left out, as those of the store are. */
const entriesSchema = z.array(entrySchema).transform(entries => entries.flatMap(({key, ...entry}): readonly ConfigurationEntry[] => key ? [{key, ...entry}] : []));
const changeSetSchema = z.object({sinceRevision: z.int().min(0), revision: z.int().min(0), entries: entriesSchema});
const changesResponseSchema = z.object({
	changes: changeSetSchema, hasMore: z.boolean().default(false), highestKnownRevision: z.int().min(0), ready: z.boolean(),
});
type ChangesResponse = z.infer<typeof changesResponseSchema>;
const changesRequestSchema = z.object({revision: z.int().min(0)});

export type PeerPropagationOptions = {
	readonly replica: ConfigurationReplica;
	readonly peers: PeerRpc;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly rendezvousOrder: RendezvousOrder;
};

/** Maximum number of neighbours notified of a change. Hosts that are nobody's neighbour learn of it from heartbeats. */
export const maximumNotifiedNeighbours = 4;
/** Maximum number of neighbours to which an accepted change is sent; one copy is awaited before the operator receives the response. */
const maximumCopyNeighbours = 2;
const peerCopyTimeoutMs = 500;
/** Maximum number of entries in a notification. Of a larger change, only the revision is sent, and the peers that lack it pull it. */
const maximumPushedEntries = 32;

/** Maximum size of the values in the response to a pull. Three such responses arrive over a link of 2 Mbit/s within the timeout of a pull. */
const maximumPulledCharacters = 64 * 1024;

/** Propagates configuration changes between peers: notifies neighbours of changes and pulls missing ones. */
export class PeerPropagation {
	private pendingPull: Promise<boolean> | undefined;
	/** Signal of `run`; undefined before it is called. */
	private runSignal: AbortSignal | undefined;

	constructor(private readonly options: PeerPropagationOptions) {
		const {peers, replica} = options;
		peers.handle(peerMethods.changesSince, parameters => {
			const {revision} = changesRequestSchema.parse(parameters);
			const allChanges = changesSince(replica.state, revision);
			const changes = firstChanges(allChanges, maximumPulledCharacters);
			return {
				changes, hasMore: changes.revision < allChanges.revision, highestKnownRevision: this.highestKnownRevision(), ready: replica.isReady,
			};
		});
		peers.handle(peerMethods.changed, (parameters, callerHost) => {
			const changes = changeSetSchema.parse(parameters);
			replica.recordReportedRevision(changes.revision);
			replica.merge(changes);
			if (this.runSignal && replica.state.revision < changes.revision) {
				void this.pullFrom(callerHost, this.runSignal);
			}

			return {revision: replica.state.revision};
		});
	}

	/**
	 * Returns the highest revision that this host has or that any member has reported in heartbeats. It is recorded, because a
	 * member that restarts reports 0 at first and must learn from its peers which revision it had reported.
	 */
	highestKnownRevision(): number {
		const {membership, replica} = this.options;
		for (const {configurationRevision} of membership.members()) {
			replica.recordReportedRevision(configurationRevision);
		}

		return replica.highestKnownRevision;
	}

	/** Notifies neighbours of each change and pulls changes that this host lacks, until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, membership, replica} = this.options;
		this.runSignal = signal;
		membership.onChange(() => {
			this.highestKnownRevision();
		}, signal);
		replica.onChange(changes => {
			this.notifyNeighbours(changes);
		}, signal);
		while (!signal.aborted) {
			this.highestKnownRevision();
			await this.pullIfBehind(signal);
			await clock.sleep(revisionCheckIntervalMs, signal);
		}
	}

	/**
	 * Sends a change to neighbours and waits, for a bounded time, until one has it, so that the change survives the loss of this
	 * process while the platform is unavailable.
	 */
	async copyToNeighbour(changes: ChangeSet, signal: AbortSignal): Promise<void> {
		const {clock, peers} = this.options;
		const calls = this.orderedNeighbours().slice(0, maximumCopyNeighbours).map(async host => withTimeout(
			clock,
			peerCopyTimeoutMs,
			signal,
			async callSignal => peers.call(host, peerMethods.changed, changes, callSignal),
		));
		try {
			await Promise.any(calls);
		} catch {
			// The change is in the platform's store, and peers learn its revision from heartbeats.
		}
	}

	/** Pulls from a random peer that has reported a higher revision, preferably one in this host's failure domain. */
	async pullIfBehind(signal: AbortSignal): Promise<void> {
		const {membership, random, replica} = this.options;
		const peersAhead = this.livePeers().filter(member => member.configurationRevision > replica.state.revision);
		const localPeersAhead = peersAhead.filter(member => member.failureDomain === membership.self.failureDomain);
		const candidates = localPeersAhead.length > 0 ? localPeersAhead : peersAhead;
		const selectedPeer = candidates[Math.floor(random.next() * candidates.length)];
		if (selectedPeer) {
			await this.pullFrom(selectedPeer.host, signal);
		}
	}

	/**
	 * Pulls from the peers that report the highest revisions.
	 * @param maximumPeers - maximum number of peers to call
	 * @returns true if at least one peer that has a configuration in force has responded
	 */
	async pullFromNewest(maximumPeers: number, signal: AbortSignal): Promise<boolean> {
		const newestPeers = this.livePeers().toSorted((a, b) => b.configurationRevision - a.configurationRevision).slice(0, maximumPeers);
		const pullResults = await Promise.all(newestPeers.map(async ({host}) => this.requestChanges(host, signal)));
		return pullResults.includes(true);
	}

	private async pullFrom(host: string, signal: AbortSignal): Promise<boolean> {
		this.pendingPull ??= this.requestChanges(host, signal).finally(() => {
			this.pendingPull = undefined;
		});
		return this.pendingPull;
	}

	/**
	 * Pulls the changes of a peer in parts, and merges them together, because the configuration between two parts may refer to a resource
	 * that was already deleted.
	 * @returns true if the peer has responded and has a configuration in force
	 */
	private async requestChanges(host: string, signal: AbortSignal): Promise<boolean> {
		const {log, replica} = this.options;
		const sinceRevision = replica.state.revision;
		const entries: ConfigurationEntry[] = [];
		let revision = sinceRevision;
		try {
			let response: ChangesResponse;
			do {
				response = await this.requestChangesSince(revision, host, signal);
				replica.recordReportedRevision(response.highestKnownRevision);
				entries.push(...response.changes.entries);
				revision = response.changes.revision;
			} while (response.hasMore);

			replica.merge({sinceRevision, revision, entries});
			return response.ready;
		} catch (error) {
			if (!signal.aborted) {
				log.warn({
					peer: host, revision, highestKnownRevision: replica.highestKnownRevision, reason: errorMessageOf(error),
				}, 'changes could not be pulled from a peer');
			}

			return false;
		}
	}

	private async requestChangesSince(revision: number, host: string, signal: AbortSignal): Promise<ChangesResponse> {
		const {clock, peers} = this.options;
		const response = await withTimeout(clock, pullTimeoutMs, signal, async callSignal => peers.call(host, peerMethods.changesSince, {revision}, callSignal));
		return changesResponseSchema.parse(response);
	}

	private notifyNeighbours(changes: ChangeSet): void {
		const message = changes.entries.length > maximumPushedEntries ? {...changes, sinceRevision: changes.revision, entries: []} : changes;
		for (const host of this.orderedNeighbours().slice(0, maximumNotifiedNeighbours)) {
			this.options.peers.notify(host, peerMethods.changed, message);
		}
	}

	private orderedNeighbours(): readonly string[] {
		return this.options.rendezvousOrder(this.options.membership.self.host, this.livePeers().map(({host}) => host));
	}

	private livePeers(): readonly Member[] {
		const {membership} = this.options;
		return membership.members().filter(member => member.host !== membership.self.host && member.state !== 'dead');
	}
}
