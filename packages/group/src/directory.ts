import {setMaxListeners} from 'node:events';
import {
	type Clock, FailureError, type GroupDirectory, type GroupState, type GroupView, type LogPosition, type Membership, type PeerRpc, type PromotionRecord, toFailure,
} from '@crocusloom/model';
import {SharedProbe} from './sharedProbe.js';
import {
	ageState, type CommitPositionMessage, commitPositionMethod, decodeStates, encodeStates, stateMethod,
} from './stateMessage.js';
import {databaseFailure, withTimeLimit} from './timeLimit.js';
import {peerProbeLimitMs, publishIntervalMs} from './timing.js';

/** Monitors of this process. */
export type LocalMonitors = {
	get(group: string): GroupView | undefined;
	groups(): readonly string[];
	/** Hosts that should monitor a group by configuration and membership. */
	monitoringHosts(group: string): readonly string[];
};

export type DirectoryOptions = {
	readonly clock: Clock;
	readonly membership: Membership;
	readonly peers: PeerRpc;
	readonly local: LocalMonitors;
};

type RemoteState = {readonly state: GroupState; readonly receivedAtMs: number};

/** A peer's state without a newer one is dropped after this; its monitor has stopped. */
const remoteStateLifetimeMs = 60_000;

/** What this proxy knows of all groups, from its own monitors and from the states that peers send. */
export class Directory implements GroupDirectory {
	/** States by group and reporting host. */
	private readonly remote = new Map<string, Map<string, RemoteState>>();
	private readonly probes = new Map<string, SharedProbe<LogPosition>>();
	private readonly published = new Map<string, string>();
	private readonly lifetime = new AbortController();

	constructor(private readonly options: DirectoryOptions) {
		// Each call to a peer listens.
		setMaxListeners(0, this.lifetime.signal);
	}

	/** Registers the peer methods and starts the periodic publication. */
	start(): void {
		const {peers} = this.options;
		peers.handle(stateMethod, (parameters, from) => {
			this.takeStates(decodeStates(parameters, from) ?? [], from);
		});
		peers.handle(commitPositionMethod, async (parameters, _from, signal) => this.answerCommitPosition(parameters as CommitPositionMessage, signal));
		void this.publishPeriodically();
	}

	close(): void {
		this.lifetime.abort(new Error('the directory is closed'));
	}

	stateOf(group: string): GroupState | undefined {
		const local = this.options.local.get(group)?.state();
		return this.statesOf(group, local).toSorted(compareStates)[0];
	}

	states(): readonly GroupState[] {
		const groups = new Set([...this.options.local.groups(), ...this.remote.keys()]);
		return [...groups].toSorted().map(group => this.stateOf(group)).filter(state => state !== undefined);
	}

	async commitPosition(group: string, signal: AbortSignal): Promise<LogPosition> {
		let probe = this.probes.get(group);
		if (!probe) {
			probe = new SharedProbe(this.options.clock, async () => this.probeMonitors(group));
			this.probes.set(group, probe);
		}

		return probe.ask(signal);
	}

	promotions(): readonly PromotionRecord[] {
		const {local} = this.options;
		return local.groups().flatMap(group => [...local.get(group)?.promotions() ?? []]);
	}

	/** State that a host reported of a group, if it is known. */
	reportOf(group: string, host: string): GroupState | undefined {
		const remote = this.remote.get(group)?.get(host);
		return remote && ageState(remote.state, this.options.clock.nowMs() - remote.receivedAtMs);
	}

	/** Sends the state of a group to the peers if it differs from the one sent last in more than ages and positions. */
	publishChange(group: string): void {
		const state = this.options.local.get(group)?.state();
		if (state && this.published.get(group) !== outline(state)) {
			this.publish([state]);
		}
	}

	private statesOf(group: string, local: GroupState | undefined): GroupState[] {
		const hosts = [...this.remote.get(group)?.keys() ?? []];
		const reports = hosts.map(host => this.reportOf(group, host));
		return [local, ...reports].filter(state => state !== undefined);
	}

	private takeStates(states: readonly GroupState[], from: string): void {
		const receivedAtMs = this.options.clock.nowMs();
		for (const state of states) {
			const hosts = this.remote.get(state.group) ?? new Map<string, RemoteState>();
			hosts.set(from, {state, receivedAtMs});
			this.remote.set(state.group, hosts);
		}
	}

	private async publishPeriodically(): Promise<void> {
		const {clock, local} = this.options;
		while (!this.lifetime.signal.aborted) {
			this.dropOldStates();
			this.publish(local.groups().map(group => local.get(group)?.state()).filter(state => state !== undefined));
			try {
				await clock.sleep(publishIntervalMs, this.lifetime.signal);
			} catch {
				return;
			}
		}
	}

	private publish(states: readonly GroupState[]): void {
		if (states.length === 0) {
			return;
		}

		const {membership, peers} = this.options;
		for (const state of states) {
			this.published.set(state.group, outline(state));
		}

		const message = encodeStates(states);
		for (const {host, state} of membership.members()) {
			if (host !== membership.self.host && state !== 'dead') {
				peers.notify(host, stateMethod, message);
			}
		}
	}

	private dropOldStates(): void {
		const oldestMs = this.options.clock.nowMs() - remoteStateLifetimeMs;
		for (const [group, hosts] of this.remote) {
			for (const [host, {receivedAtMs}] of hosts) {
				if (receivedAtMs < oldestMs) {
					hosts.delete(host);
				}
			}

			if (hosts.size === 0) {
				this.remote.delete(group);
			}
		}
	}

	private async answerCommitPosition({group}: CommitPositionMessage, signal: AbortSignal): Promise<LogPosition> {
		const view = this.options.local.get(group);
		if (!view) {
			throw new FailureError(databaseFailure('probe', this.options.membership.self.host, `group ${group} is not monitored here`));
		}

		return view.commitPosition(signal);
	}

	/** Asks this host's monitor first, then the other monitoring hosts, those with the freshest report first. */
	private async probeMonitors(group: string): Promise<LogPosition> {
		const {local, membership} = this.options;
		const view = local.get(group);
		const others = local.monitoringHosts(group).filter(host => host !== membership.self.host);
		const hosts = others.toSorted((a, b) => this.confirmedAgeMs(group, a) - this.confirmedAgeMs(group, b));
		const attempts: ReadonlyArray<() => Promise<LogPosition>> = [
			...(view ? [async () => view.commitPosition(this.lifetime.signal)] : []),
			...hosts.map(host => async () => this.askPeer(host, group)),
		];
		let lastMessage = 'no host monitors the group';
		for (const attempt of attempts) {
			try {
				return await attempt();
			} catch (error) {
				lastMessage = toFailure(error, message => databaseFailure('probe', group, message)).message;
			}
		}

		throw new FailureError({
			kind: 'notRun', reason: 'noPrimary', step: 'probe', peer: group, message: `no monitor gave the commit position: ${lastMessage}`,
		});
	}

	private async askPeer(host: string, group: string): Promise<LogPosition> {
		const {clock, peers} = this.options;
		const failure = databaseFailure('probe', host, `no commit position within ${peerProbeLimitMs} ms`);
		const limit = {
			clock, limitMs: peerProbeLimitMs, signal: this.lifetime.signal, failure,
		};
		const message: CommitPositionMessage = {group};
		return withTimeLimit(limit, async signal => peers.call<LogPosition>(host, commitPositionMethod, message, signal));
	}

	private confirmedAgeMs(group: string, host: string): number {
		return Math.min(this.reportOf(group, host)?.confirmedAgeMs ?? Number.MAX_VALUE, Number.MAX_VALUE);
	}
}

/** Highest term first, then the newest confirmation. */
function compareStates(a: GroupState, b: GroupState): number {
	if (a.term !== b.term) {
		return b.term - a.term;
	}

	return Math.min(a.confirmedAgeMs, Number.MAX_VALUE) - Math.min(b.confirmedAgeMs, Number.MAX_VALUE);
}

function outline(state: GroupState): string {
	const databases = state.databases.map(view => [view.database, view.role, view.reachable, view.fencedTerm]);
	return JSON.stringify([state.term, state.primary, databases]);
}
