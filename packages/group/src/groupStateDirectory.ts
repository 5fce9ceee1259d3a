import {setMaxListeners} from 'node:events';
import {
	type Clock, FailureError, type GroupDirectory, type GroupState, type GroupView, type Logger, type LogPosition, type Membership, noopLogger, type PeerRpc, type PromotionRecord, runSupervised,
	toFailure,
} from '@crocusloom/model';
import {SharedProbe} from './sharedProbe.js';
import {
	addElapsedTime, type CommitPositionMessage, commitPositionMethod, decodeStates, encodeStates, groupStateMethod,
} from './stateMessage.js';
import {peerFailure, withTimeout} from './timeout.js';
import {peerProbeTimeoutMs, publishIntervalMs} from './timing.js';

/** The group monitors of this process. */
export type LocalMonitors = {
	get(group: string): GroupView | undefined;
	groups(): readonly string[];
	/** Returns the hosts that monitor a group according to configuration and membership. */
	monitoringHosts(group: string): readonly string[];
};

export type GroupStateDirectoryOptions = {
	readonly clock: Clock;
	readonly membership: Membership;
	readonly peers: PeerRpc;
	readonly localMonitors: LocalMonitors;
	readonly log?: Logger;
};

type RemoteState = {readonly state: GroupState; readonly receivedAtMs: number};

/** A state of a peer is removed if no newer one has arrived for this long, because the peer's monitor has stopped. */
const remoteStateTtlMs = 60_000;

/** States of all groups, from the monitors of this process and from the states that peers send. */
export class GroupStateDirectory implements GroupDirectory {
	/** States received from peers, by group and reporting host. */
	private readonly remoteStates = new Map<string, Map<string, RemoteState>>();
	private readonly probes = new Map<string, SharedProbe<LogPosition>>();
	private readonly publishedFingerprints = new Map<string, string>();
	private readonly closeController = new AbortController();

	constructor(private readonly options: GroupStateDirectoryOptions) {
		// Each call to a peer adds a listener, which would exceed the default limit and print a warning.
		setMaxListeners(0, this.closeController.signal);
	}

	/** Registers the peer methods and starts to publish states periodically. */
	start(): void {
		const {clock, log = noopLogger, peers} = this.options;
		peers.handle(groupStateMethod, (parameters, callerHost) => {
			this.recordRemoteStates(decodeStates(parameters, callerHost) ?? [], callerHost);
		});
		peers.handle(commitPositionMethod, async (parameters, _callerHost, signal) => this.handleCommitPosition(parameters as CommitPositionMessage, signal));
		void runSupervised('group states', async () => this.publishPeriodically(), {clock, log}, this.closeController.signal);
	}

	close(): void {
		this.closeController.abort(new Error('the directory is closed'));
	}

	stateOf(group: string): GroupState | undefined {
		const localState = this.options.localMonitors.get(group)?.state();
		return this.knownStatesOf(group, localState).toSorted(compareStates)[0];
	}

	states(): readonly GroupState[] {
		const groups = new Set([...this.options.localMonitors.groups(), ...this.remoteStates.keys()]);
		return [...groups].toSorted().map(group => this.stateOf(group)).filter(state => state !== undefined);
	}

	async commitPosition(group: string, signal: AbortSignal): Promise<LogPosition> {
		let probe = this.probes.get(group);
		if (!probe) {
			probe = new SharedProbe(this.options.clock, async () => this.probeMonitors(group));
			this.probes.set(group, probe);
		}

		return probe.joinNextRun(signal);
	}

	promotions(): readonly PromotionRecord[] {
		const {localMonitors} = this.options;
		return localMonitors.groups().flatMap(group => [...localMonitors.get(group)?.promotions() ?? []]);
	}

	/** Returns the latest state of a group that a host reported, if any, with the ages advanced to now. */
	reportOf(group: string, host: string): GroupState | undefined {
		const remoteState = this.remoteStates.get(group)?.get(host);
		return remoteState && addElapsedTime(remoteState.state, this.options.clock.nowMs() - remoteState.receivedAtMs);
	}

	/** Sends the state of a group to the peers if more than its ages and positions have changed since it was last sent. */
	publishChange(group: string): void {
		const state = this.options.localMonitors.get(group)?.state();
		if (state && this.publishedFingerprints.get(group) !== fingerprintOf(state)) {
			this.publish([state]);
		}
	}

	private knownStatesOf(group: string, localState: GroupState | undefined): GroupState[] {
		const hosts = [...this.remoteStates.get(group)?.keys() ?? []];
		const reports = hosts.map(host => this.reportOf(group, host));
		return [localState, ...reports].filter(state => state !== undefined);
	}

	private recordRemoteStates(states: readonly GroupState[], reportingHost: string): void {
		const receivedAtMs = this.options.clock.nowMs();
		for (const state of states) {
			const statesByHost = this.remoteStates.get(state.group) ?? new Map<string, RemoteState>();
			statesByHost.set(reportingHost, {state, receivedAtMs});
			this.remoteStates.set(state.group, statesByHost);
		}
	}

	private async publishPeriodically(): Promise<void> {
		const {clock, localMonitors} = this.options;
		while (!this.closeController.signal.aborted) {
			this.removeExpiredStates();
			this.publish(localMonitors.groups().map(group => localMonitors.get(group)?.state()).filter(state => state !== undefined));
			try {
				await clock.sleep(publishIntervalMs, this.closeController.signal);
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
			this.publishedFingerprints.set(state.group, fingerprintOf(state));
		}

		const message = encodeStates(states);
		for (const {host, state} of membership.members()) {
			if (host !== membership.self.host && state !== 'dead') {
				peers.notify(host, groupStateMethod, message);
			}
		}
	}

	private removeExpiredStates(): void {
		const oldestReceivedAtMs = this.options.clock.nowMs() - remoteStateTtlMs;
		for (const [group, statesByHost] of this.remoteStates) {
			for (const [host, {receivedAtMs}] of statesByHost) {
				if (receivedAtMs < oldestReceivedAtMs) {
					statesByHost.delete(host);
				}
			}

			if (statesByHost.size === 0) {
				this.remoteStates.delete(group);
			}
		}
	}

	private async handleCommitPosition({group}: CommitPositionMessage, signal: AbortSignal): Promise<LogPosition> {
		const localMonitor = this.options.localMonitors.get(group);
		if (!localMonitor) {
			throw new FailureError(peerFailure('probe', this.options.membership.self.host, `this host does not monitor group ${group}`));
		}

		return localMonitor.commitPosition(signal);
	}

	/** Probes the monitor of this host first, then the other monitoring hosts in the order of their latest confirmation. */
	private async probeMonitors(group: string): Promise<LogPosition> {
		const {localMonitors, membership} = this.options;
		const localMonitor = localMonitors.get(group);
		const otherHosts = localMonitors.monitoringHosts(group).filter(host => host !== membership.self.host);
		const hostsByConfirmedAge = otherHosts.toSorted((a, b) => this.reportedConfirmedAgeMs(group, a) - this.reportedConfirmedAgeMs(group, b));
		const probes: ReadonlyArray<() => Promise<LogPosition>> = [
			...(localMonitor ? [async () => localMonitor.commitPosition(this.closeController.signal)] : []),
			...hostsByConfirmedAge.map(host => async () => this.probePeer(host, group)),
		];
		let lastErrorMessage = 'no host monitors the group';
		for (const probe of probes) {
			try {
				return await probe();
			} catch (error) {
				lastErrorMessage = toFailure(error, message => peerFailure('probe', group, message)).message;
			}
		}

		throw new FailureError({
			kind: 'notRun', reason: 'noPrimary', step: 'probe', peer: group, message: `no monitor returned the commit position: ${lastErrorMessage}`,
		});
	}

	private async probePeer(host: string, group: string): Promise<LogPosition> {
		const {clock, peers} = this.options;
		const failure = peerFailure('probe', host, `no commit position within ${peerProbeTimeoutMs} ms`);
		const timeoutOptions = {
			clock, timeoutMs: peerProbeTimeoutMs, signal: this.closeController.signal, failure,
		};
		const message: CommitPositionMessage = {group};
		return withTimeout(timeoutOptions, async signal => peers.call<LogPosition>(host, commitPositionMethod, message, signal));
	}

	private reportedConfirmedAgeMs(group: string, host: string): number {
		return Math.min(this.reportOf(group, host)?.confirmedAgeMs ?? Number.MAX_VALUE, Number.MAX_VALUE);
	}
}

/** Sorts the highest term first, then the latest confirmation. */
function compareStates(a: GroupState, b: GroupState): number {
	if (a.term !== b.term) {
		return b.term - a.term;
	}

	return Math.min(a.confirmedAgeMs, Number.MAX_VALUE) - Math.min(b.confirmedAgeMs, Number.MAX_VALUE);
}

/** Returns the parts of a state whose change is published at once: all but ages and positions. */
function fingerprintOf(state: GroupState): string {
	const databases = state.databases.map(view => [view.database, view.role, view.reachable, view.fencedTerm]);
	return JSON.stringify([state.term, state.primary, databases]);
}
