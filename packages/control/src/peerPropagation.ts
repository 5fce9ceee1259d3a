import {
	type Clock, type Member, type Membership, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {z} from 'zod';
import {changesSince, type ChangeSet, type EntryKey} from './configurationState.js';
import {type ConfigurationReplica} from './configurationReplica.js';
import {withTimeLimit} from './timeLimit.js';

/** Orders hosts by rendezvous hashing with a key, best first. */
export type RendezvousOrder = (key: string, hosts: readonly string[]) => readonly string[];

/** Methods that peers call. */
export const peerMethods = {
	changesSince: 'configuration.changesSince',
	changed: 'configuration.changed',
	platformHealth: 'configuration.platformHealth',
} as const;

const entrySchema = z.object({
	key: z.string().transform(key => key as EntryKey),
	revision: z.int().min(0),
	value: z.string().optional(),
	lastValid: z.object({revision: z.int().min(0), value: z.string()}).optional(),
});
const changeSetSchema = z.object({sinceRevision: z.int().min(0), revision: z.int().min(0), entries: z.array(entrySchema)});
const changesAnswerSchema = z.object({changes: changeSetSchema, highestKnownRevision: z.int().min(0), ready: z.boolean()});
const changesRequestSchema = z.object({revision: z.int().min(0)});

export type PeerPropagationOptions = {
	readonly replica: ConfigurationReplica;
	readonly peers: PeerRpc;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly rendezvousOrder: RendezvousOrder;
};

/** Neighbours told of a change; heartbeats reach the few hosts that are nobody's neighbour. */
const notifiedNeighbours = 4;
/** Neighbours of which one must hold an accepted change before the operator is told. */
const confirmingNeighbours = 2;
const confirmLimitMs = 500;
const pullLimitMs = 2000;
/** The interval of heartbeats, which carry the revisions. */
const revisionCheckMs = 500;
/** A larger change is announced by its revision alone and pulled by those that lack it. */
const maximumPushedEntries = 32;

/** Brings configuration changes to the peers and takes them from peers. */
export class PeerPropagation {
	private pulling: Promise<boolean> | undefined;
	/** Set while `run` is running. */
	private runSignal: AbortSignal | undefined;

	constructor(private readonly options: PeerPropagationOptions) {
		const {peers, replica} = options;
		peers.handle(peerMethods.changesSince, parameters => {
			const {revision} = changesRequestSchema.parse(parameters);
			return {changes: changesSince(replica.state, revision), highestKnownRevision: this.highestKnownRevision(), ready: replica.ready};
		});
		peers.handle(peerMethods.changed, (parameters, from) => {
			const changes = changeSetSchema.parse(parameters);
			replica.note(changes.revision);
			replica.merge(changes);
			if (this.runSignal && replica.state.revision < changes.revision) {
				void this.pullFrom(from, this.runSignal);
			}

			return {revision: replica.state.revision};
		});
	}

	/**
	 * Highest revision that this host or, by their heartbeats, any member has reported. It is remembered, because a member
	 * that restarts reports 0 again and must learn from its peers what it had reported.
	 */
	highestKnownRevision(): number {
		const {membership, replica} = this.options;
		for (const {configurationRevision} of membership.members()) {
			replica.note(configurationRevision);
		}

		return replica.highestKnownRevision;
	}

	/** Tells neighbours of each change and pulls what this host lacks, until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, membership, replica} = this.options;
		this.runSignal = signal;
		membership.onChange(() => {
			this.highestKnownRevision();
		}, signal);
		replica.onChange(changes => {
			this.announce(changes);
		}, signal);
		while (!signal.aborted) {
			this.highestKnownRevision();
			await this.catchUp(signal);
			await clock.sleep(revisionCheckMs, signal);
		}
	}

	/**
	 * Waits, for a bounded time, until a neighbour holds a change, so that it outlives this process without the platform.
	 */
	async confirm(changes: ChangeSet, signal: AbortSignal): Promise<void> {
		const {clock, peers} = this.options;
		const calls = this.neighbours().slice(0, confirmingNeighbours).map(async host => withTimeLimit(
			clock,
			confirmLimitMs,
			signal,
			async limited => peers.call(host, peerMethods.changed, changes, limited),
		));
		try {
			await Promise.any(calls);
		} catch {
			// The change is in the platform's store; the heartbeats carry its revision.
		}
	}

	/** Pulls from a peer that has reported a higher revision. */
	async catchUp(signal: AbortSignal): Promise<void> {
		const {membership, random, replica} = this.options;
		const ahead = this.livePeers().filter(member => member.configurationRevision > replica.state.revision);
		const near = ahead.filter(member => member.failureDomain === membership.self.failureDomain);
		const candidates = near.length > 0 ? near : ahead;
		const chosen = candidates[Math.floor(random.next() * candidates.length)];
		if (chosen) {
			await this.pullFrom(chosen.host, signal);
		}
	}

	/**
	 * Pulls from the peers that report the highest revisions.
	 * @param count - most peers to ask
	 * @returns true if at least one peer that serves a configuration has answered
	 */
	async pullFromNewest(count: number, signal: AbortSignal): Promise<boolean> {
		const newest = this.livePeers().toSorted((a, b) => b.configurationRevision - a.configurationRevision).slice(0, count);
		const answers = await Promise.all(newest.map(async ({host}) => this.request(host, signal)));
		return answers.includes(true);
	}

	private async pullFrom(host: string, signal: AbortSignal): Promise<boolean> {
		this.pulling ??= this.request(host, signal).finally(() => {
			this.pulling = undefined;
		});
		return this.pulling;
	}

	private async request(host: string, signal: AbortSignal): Promise<boolean> {
		const {clock, peers, replica} = this.options;
		const {revision} = replica.state;
		try {
			const answer = await withTimeLimit(clock, pullLimitMs, signal, async limited => peers.call(host, peerMethods.changesSince, {revision}, limited));
			const {changes, highestKnownRevision, ready} = changesAnswerSchema.parse(answer);
			replica.note(highestKnownRevision);
			replica.merge(changes);
			return ready;
		} catch {
			return false;
		}
	}

	private announce(changes: ChangeSet): void {
		const message = changes.entries.length > maximumPushedEntries ? {...changes, sinceRevision: changes.revision, entries: []} : changes;
		for (const host of this.neighbours().slice(0, notifiedNeighbours)) {
			this.options.peers.notify(host, peerMethods.changed, message);
		}
	}

	private neighbours(): readonly string[] {
		return this.options.rendezvousOrder(this.options.membership.self.host, this.livePeers().map(({host}) => host));
	}

	private livePeers(): readonly Member[] {
		const {membership} = this.options;
		return membership.members().filter(member => member.host !== membership.self.host && member.state !== 'dead');
	}
}
