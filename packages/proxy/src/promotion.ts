import {
	comparePositions, formatPosition, type Logger, type LogPosition, errorMessageOf,
} from '@crocusloom/model';
import {type Backend, unconfirmedServerGraceMs} from './backend.js';
import {type CommitProof} from './commitEvidence.js';
import {OrphanedPauseCleaner, promotionSettleMs} from './orphanedPauseCleaner.js';
import {probeStatus} from './leadershipProver.js';
import {PrimaryMonitor, type PromotionNeed} from './primaryMonitor.js';
import {
	type Candidate, pollIntervalMs, PromotionHalt, PromotionOrders, type PromotionPorts, type PromotionTarget,
} from './promotionOrder.js';
import {ReachedServerRecorder} from './reachedServerRecorder.js';
import {ReplicationPauses, sendControlCommand} from './replicationPauses.js';
import {findObstacle} from './promotionObstacles.js';
import {type ServiceView} from './serviceView.js';
import {type ServerStatus} from './statement.js';
import {TermRecorder} from './termRecorder.js';

/** Interval between two checks of each primary. */
const checkIntervalMs = 100;
/** Time in which a silent primary can still answer the final probe before it is replaced. */
const finalProbeTimeoutMs = 60;
/** Time in which a replica must receive the complete log of a primary that stepped down. */
const catchUpTimeoutMs = 1500;
/** Time in which a promoted server must become the primary. */
const promotionTimeoutMs = 4000;
/** Time for which the old primary is repeatedly told to step down after a promotion. */
const stepDownTimeoutMs = 20_000;
const stepDownRetryDelayMs = 500;
/** Time in which replicas usually learn the new term. After it the term is recorded, so that those which did not can be resumed. */
const termRecordDelayMs = 200;
/** Time after which a pause that could not be ended is left to the search for orphaned pauses. */
const endPauseTimeoutMs = 20_000;
/** Time after which a promotion is tried again for which no server was known to have each acknowledged commit. */
const unprovenRetryDelayMs = 300;

/** Monitors of one service. They exist while this process holds the promotion lease. */
type ServiceMonitors = {
	readonly primaryMonitor: PrimaryMonitor;
	readonly pauseCleaner: OrphanedPauseCleaner;
	readonly termRecorder: TermRecorder;
};

/** Terms with which a promotion pauses and steps down servers. */
type PromotionTerms = {
	/** Term of the promotion, above all terms that were found. */
	readonly term: number;
	/** Term of the primary that is replaced; 0 if no primary is known. */
	readonly primaryTerm: number;
	/** Number of replicas that have each acknowledged commit. */
	readonly syncReplicas: number;
};

/** The primary that a promotion replaces. */
type FormerPrimary = {
	/** Undefined if no primary was known. */
	readonly backend: Backend | undefined;
	/** Highest term that was known before the promotion. A replica that knows it receives from no primary before the former one. */
	readonly term: number;
	hasSteppedDown: boolean;
};

/** A promotion that took effect, whose pauses are to be ended. */
type EffectivePromotion = {
	readonly view: ServiceView;
	readonly pauses: ReplicationPauses;
	readonly formerPrimary: FormerPrimary;
	readonly newTerm: number;
	/** Fencing token of the promotion. */
	readonly token: number;
	readonly signal: AbortSignal;
};

/** Service and pauses of a promotion that is under way, and the signal that ends it. */
type PauseScope = {readonly view: ServiceView; readonly pauses: ReplicationPauses; readonly signal: AbortSignal};

type UnprovenKind = Exclude<CommitProof['kind'], 'proven'>;
type ProofOf<K extends UnprovenKind> = Extract<CommitProof, {kind: K}>;

/** Reasons why no server can be promoted, by the kind of the proof that failed. */
const unprovenReasons: {readonly [K in UnprovenKind]: (proof: ProofOf<K>, position: LogPosition) => string} = {
	incomplete: ({requiredPosition}, position) => `position ${formatPosition(requiredPosition)} is required and ${formatPosition(position)} was found`,
	unknown: ({departedServers}) => `the commit position after the departure of ${departedServers.join(', ')} is not known`,
	tooFew: ({serverCount}) => `no primary was known, and servers beside the ${serverCount} listed may have acknowledged commits`,
};

/**
 * Replaces failed and leaving primaries while this process holds the promotion lease.
 *
 * The new primary must have every commit that the old primary acknowledges. To ensure this, either the old primary steps
 * down and reports the end of its log, or replication to all other servers is paused first, so that the old primary cannot
 * acknowledge further commits, and the server with the most complete log is promoted. A server that departed before may have taken
 * acknowledged commits with it. If the remaining ones are not known to have them, none is promoted, and the old primary is awaited.
 */
export class PromotionTask {
	private readonly monitors = new Map<ServiceView, ServiceMonitors>();
	/** Kept without the lease, as what was tried under it may be recorded later. */
	private readonly reachedServers = new Map<ServiceView, ReachedServerRecorder>();
	private readonly activeChecks = new Set<ServiceView>();
	/** Times from which on abandoned promotions may be tried again. */
	private readonly retryFromMs = new Map<ServiceView, number>();
	private readonly orders: PromotionOrders;
	/** Number of promotions and of checks of pauses that are running. */
	private runningCount = 0;
	private isStopping = false;

	constructor(private readonly services: () => readonly ServiceView[], private readonly ports: PromotionPorts) {
		this.orders = new PromotionOrders(ports);
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.ports.clock.sleep(checkIntervalMs, signal);
			if (this.isStopping) {
				return;
			}

			if (this.ports.lease.fencingToken() === undefined) {
				this.monitors.clear();
				continue;
			}

			for (const view of this.services()) {
				if (!this.activeChecks.has(view)) {
					void this.checkService(view, signal);
				}
			}
		}
	}

	/**
	 * Begins no further promotions and ends no further pauses, and waits for those that are running, so that the lease can be handed over. The next holder could
	 * otherwise request a promotion of the same service while a request of this process may still take effect.
	 * @param timeoutMs - longest wait in milliseconds
	 * @returns false if one is still running after the timeout
	 */
	async stop(timeoutMs: number): Promise<boolean> {
		this.isStopping = true;
		const {clock} = this.ports;
		const deadlineMs = clock.nowMs() + timeoutMs;
		while (this.runningCount > 0 && clock.nowMs() < deadlineMs) {
			await clock.sleep(pollIntervalMs);
		}

		return this.runningCount === 0;
	}

	/** Checks one service and replaces its primary if necessary. */
	private async checkService(view: ServiceView, signal: AbortSignal): Promise<void> {
		this.activeChecks.add(view);
		try {
			const {primaryMonitor, pauseCleaner} = this.monitorsOf(view);
			const need = await primaryMonitor.check();
			this.orders.clearSettled(view, signal);
			if (await this.orders.isPriorOrderPending(view)) {
				return;
			}

			if (need.kind === 'none') {
				void this.reachedServersOf(view).check(this.ports.lease.fencingToken(), signal);
				await this.runBeforeStop(async () => pauseCleaner.check(async status => this.mayEndOrphanedPause(view, status, signal)));
			} else if (this.mayTry(view, need)) {
				await this.runBeforeStop(async () => this.promote(view, need, signal));
			}
		} catch (error) {
			const retryDelayMs = error instanceof PromotionHalt ? error.retryDelayMs : 0;
			this.retryFromMs.set(view, this.ports.clock.nowMs() + retryDelayMs);
			if (!signal.aborted) {
				this.ports.log.warn({service: view.name, reason: errorMessageOf(error)}, 'a promotion was not made');
			}
		} finally {
			this.activeChecks.delete(view);
		}
	}

	/** Runs a task that sends commands to servers, unless the task is stopping, which waits for its end. */
	private async runBeforeStop(run: () => Promise<void>): Promise<void> {
		if (this.isStopping) {
			return;
		}

		this.runningCount++;
		await run().finally(() => {
			this.runningCount--;
		});
	}

	private mayTry(view: ServiceView, need: PromotionNeed): boolean {
		const isTooSoon = this.ports.clock.nowMs() < (this.retryFromMs.get(view) ?? 0);
		return !isTooSoon && !(need.kind === 'leaving' && this.orders.hasPendingRepeats(view));
	}

	private monitorsOf(view: ServiceView): ServiceMonitors {
		const {clock, log} = this.ports;
		const monitors = this.monitors.get(view) ?? {
			primaryMonitor: new PrimaryMonitor(view, clock, log),
			pauseCleaner: new OrphanedPauseCleaner(view, clock, log),
			termRecorder: new TermRecorder(view, clock),
		};
		this.monitors.set(view, monitors);
		return monitors;
	}

	private reachedServersOf(view: ServiceView): ReachedServerRecorder {
		const recorder = this.reachedServers.get(view) ?? new ReachedServerRecorder(view, this.ports.clock);
		this.reachedServers.set(view, recorder);
		return recorder;
	}

	private async promote(view: ServiceView, need: PromotionNeed, signal: AbortSignal): Promise<void> {
		// The pauses of a process that has lost the lease would replace and end those of the next holder.
		const token = this.ports.lease.fencingToken();
		if (token === undefined || !await this.ports.lease.confirm(signal)) {
			throw new PromotionHalt('the promotion lease is not confirmed');
		}

		const startedMs = this.ports.clock.nowMs();
		const primary = 'primary' in need ? need.primary : undefined;
		const others = view.listMembers().filter(backend => backend !== primary);
		const statuses = await Promise.all(view.listBackends().map(async backend => ({
			backend, status: await probeStatus(backend, need.kind === 'failed' && backend === primary ? finalProbeTimeoutMs : undefined),
		})));
		const otherPrimary = statuses.find(({backend, status}) => status?.role === 'primary' && backend !== primary);
		for (const {backend, status} of statuses) {
			if (status) {
				view.recordStatus(backend, status);
			}
		}

		if (otherPrimary && view.currentPrimary?.backend === otherPrimary.backend) {
			return;
		}

		if (need.kind !== 'leaving' && statuses.some(({backend, status}) => backend === primary && status)) {
			throw new PromotionHalt('the primary answers again');
		}

		if (need.kind !== 'leaving') {
			requireAllCommits(view, statuses.filter(({backend}) => others.includes(backend)).flatMap(({status}) => status ? [status.receivedPosition] : []));
		}

		const primaryTerm = view.currentPrimary?.term ?? 0;
		const highestPriorTerm = Math.max(primaryTerm, ...statuses.map(({status}) => status?.term ?? 0));
		const term = Math.max(highestPriorTerm, ...statuses.map(({status}) => status?.pausedTerm ?? 0)) + 1;
		this.ports.log.info({
			service: view.name, need: need.kind, primary: primary?.id, term, others: others.map(({id}) => id),
		}, 'a promotion begins');
		const pauses = new ReplicationPauses(
			this.ports.log,
			async () => this.ports.lease.fencingToken() === token && this.ports.lease.confirm(signal),
			status => this.mayReceive(view, status),
		);
		const scope: PauseScope = {view, pauses, signal};
		const terms: PromotionTerms = {term, primaryTerm, syncReplicas: view.syncReplicas};
		const candidate = need.kind === 'leaving'
			? await this.switchOver(need.primary, others, terms, scope)
			: await this.pauseAndChooseSuccessor(others, terms, scope);
		const target: PromotionTarget = {backend: candidate.backend, highestPriorTerm};
		logPauses(this.ports.log, view, pauses, candidate);
		await this.orders.requestOrResume(view, candidate, {
			target, pauses, token, findObstacle: async () => findObstacle(view, {
				primary, others, pauses, candidate,
			}), signal,
		});
		view.recordPromotedLog(candidate.backend, candidate.status.receivedPosition);
		const newTerm = await this.completePromotion(view, target, term, startedMs);
		void this.reportLongerLogs(view, candidate);
		const formerPrimary: FormerPrimary = {backend: primary, term: highestPriorTerm, hasSteppedDown: need.kind === 'leaving'};
		void this.stepDownWhenReachable(formerPrimary, newTerm, signal);
		const pausedBackends = pauses.backends.filter(backend => backend !== candidate.backend);
		await Promise.all(pausedBackends.map(async backend => this.endPause(backend, {
			view, pauses, formerPrimary, newTerm, token, signal,
		})));
	}

	/**
	 * Checks whether a server may receive again: it knows the newest term, or no host passes on a commit of an earlier one any more. It could
	 * otherwise receive from a primary that was replaced.
	 */
	private mayReceive(view: ServiceView, {term}: ServerStatus): boolean {
		return term >= view.newestTerm || this.monitorsOf(view).termRecorder.isVisible(view.newestTerm);
	}

	/** Checks the same for a pause that an earlier promotion left behind, and records the newest term if it has to be. */
	private async mayEndOrphanedPause(view: ServiceView, status: ServerStatus, signal: AbortSignal): Promise<boolean> {
		const token = this.ports.lease.fencingToken();
		if (token !== undefined && !this.mayReceive(view, status)) {
			await this.monitorsOf(view).termRecorder.record(view.newestTerm, token, signal);
		}

		return this.mayReceive(view, status) && this.ports.lease.confirm(signal);
	}

	/** Makes a leaving primary step down and waits until another server has its complete log. */
	private async switchOver(primary: Backend, others: readonly Backend[], terms: PromotionTerms, scope: PauseScope): Promise<Candidate> {
		const stayingBackends = others.filter(backend => !backend.server.isLeaving);
		const statuses = await Promise.all((stayingBackends.length > 0 ? stayingBackends : others).map(async backend => ({backend, status: await probeStatus(backend)})));
		const answeringBackends = statuses.filter(({status}) => status).map(({backend}) => backend);
		if (answeringBackends.length === 0) {
			throw new PromotionHalt('no other server answers');
		}

		const finalStatus = await sendControlCommand(primary, {kind: 'stepDown', term: terms.term});
		if (!finalStatus) {
			throw new PromotionHalt('the leaving primary did not confirm the command to step down');
		}

		const deadlineMs = this.ports.clock.nowMs() + catchUpTimeoutMs;
		const requiredPosition = finalStatus.receivedPosition;
		while (this.ports.clock.nowMs() < deadlineMs) {
			for (const backend of answeringBackends) {
				const status = await probeStatus(backend);
				if (status && comparePositions(status.receivedPosition, requiredPosition) >= 0) {
					return {backend, status};
				}
			}

			await this.ports.clock.sleep(pollIntervalMs);
		}

		return this.pauseAndChooseCandidate([...others, primary], {...terms, term: terms.term + 1}, scope);
	}

	/**
	 * Pauses replication to the servers and chooses the successor of a primary that does not answer.
	 * @throws PromotionHalt if none of them is known to have each acknowledged commit
	 */
	private async pauseAndChooseSuccessor(others: readonly Backend[], terms: PromotionTerms, scope: PauseScope): Promise<Candidate> {
		const candidate = await this.pauseAndChooseCandidate(others, terms, scope);
		try {
			requireAllCommits(scope.view, [candidate.status.receivedPosition]);
		} catch (error) {
			await scope.pauses.endAll();
			throw error;
		}

		return candidate;
	}

	/**
	 * Pauses replication to the servers and chooses the one with the most complete log. An entry without a server, which never answered this
	 * process or any recorded holder of the promotion lease, is left out once enough others are paused, so that it does not keep a primary
	 * from being replaced for ever. Such a server confirms no commits at any host.
	 * @throws PromotionHalt if one cannot be paused, because it might be the only one with an acknowledged commit
	 */
	private async pauseAndChooseCandidate(others: readonly Backend[], {term, primaryTerm, syncReplicas}: PromotionTerms, {view, pauses, signal}: PauseScope): Promise<Candidate> {
		const results = await Promise.all(others.map(async backend => ({backend, status: await pauses.pause(backend, term, primaryTerm)})));
		const candidates = results.filter((result): result is Candidate => result.status !== undefined);
		const unpausedBackends = results.filter(({status}) => !status).map(({backend}) => backend);
		const unconfirmedBackends = candidates.length > syncReplicas ? unpausedBackends.filter(({isUnconfirmed}) => isUnconfirmed) : [];
		const leftOutBackends = await this.reachedServersOf(view).findNeverReached(unconfirmedBackends, signal);
		const blockingBackends = unpausedBackends.filter(backend => !leftOutBackends.includes(backend));
		if (blockingBackends.length > 0 || candidates.length === 0) {
			await pauses.endAll();
			const receivingIds = blockingBackends.map(({id}) => id);
			throw new PromotionHalt(`replication to ${receivingIds.join(', ') || 'any server'} could not be paused, which may hold an acknowledged commit alone`);
		}

		if (unpausedBackends.length > 0) {
			this.ports.log.warn({servers: unpausedBackends.map(({id}) => id), graceMs: unconfirmedServerGraceMs}, 'listed servers that never answered are left out of a promotion');
		}

		return candidates.toSorted(compareCandidates)[0]!;
	}

	/**
	 * Waits until the promotion takes effect, and records and logs the new primary.
	 * @returns the new term
	 * @throws PromotionHalt if the server does not become the primary in time
	 */
	private async completePromotion(view: ServiceView, target: PromotionTarget, plannedTerm: number, startedMs: number): Promise<number> {
		const {backend} = target;
		const status = await this.orders.waitForNewTerm(target, promotionTimeoutMs);
		if (!status) {
			throw new PromotionHalt(`${backend.id} did not become the primary within ${promotionTimeoutMs} ms after the promotion request`);
		}

		view.recordStatus(backend, status);
		this.ports.log.info({
			service: view.name, server: backend.id, term: status.term, plannedTerm, tookMs: Math.round(this.ports.clock.nowMs() - startedMs),
		}, 'a promotion took effect');
		return status.term;
	}

	/**
	 * Logs each server whose log goes on where that of the promoted server ended. The commits between the two are rolled back, and lost
	 * if they were acknowledged.
	 */
	private async reportLongerLogs(view: ServiceView, candidate: Candidate): Promise<void> {
		const promotedPosition = candidate.status.receivedPosition;
		await Promise.all(view.listBackends().filter(backend => backend !== candidate.backend).map(async backend => {
			const status = await probeStatus(backend);
			const {receivedPosition = promotedPosition, role, pausedTerm} = status ?? {};
			if (receivedPosition.term === promotedPosition.term && comparePositions(receivedPosition, promotedPosition) > 0) {
				const positions = {position: formatPosition(receivedPosition), promotedPosition: formatPosition(promotedPosition)};
				this.ports.log.warn({
					service: view.name, server: backend.id, role, pausedTerm, promoted: candidate.backend.id, ...positions,
				}, 'a server has commits that the promoted log lacks');
			}
		}));
	}

	/**
	 * Resumes replication to a server that is still paused after a promotion. A server that has not heard of the new term could receive
	 * from the former primary, which would then acknowledge commits that the new primary lacks. The pause therefore lasts until the server
	 * knows the term or the former primary has stepped down. If neither happens in time, the new term is recorded for all hosts, and
	 * replication is resumed once none of them passes on commits of the former primary, because the new primary may need the server for its
	 * commits.
	 */
	private async endPause(backend: Backend, {
		view, pauses, formerPrimary, newTerm, token, signal,
	}: EffectivePromotion): Promise<void> {
		const {termRecorder} = this.monitorsOf(view);
		const startedMs = this.ports.clock.nowMs();
		const mayReceive = (status: ServerStatus) => status.term >= newTerm || (formerPrimary.hasSteppedDown && status.term >= formerPrimary.term) || this.mayReceive(view, status);
		while (!signal.aborted) {
			const status = await probeStatus(backend);
			if (status && !pauses.isPausedBy(backend, status)) {
				return;
			}

			const waitedMs = this.ports.clock.nowMs() - startedMs;
			const isOverdue = waitedMs >= promotionSettleMs && (this.ports.lease.fencingToken() !== token || waitedMs >= endPauseTimeoutMs);
			const isSafe = status !== undefined && (status.term >= newTerm || formerPrimary.hasSteppedDown || waitedMs >= promotionSettleMs) && mayReceive(status);
			if (isSafe) {
				this.ports.log.info({
					server: backend.id, term: status?.term, newTerm, formerPrimaryHasSteppedDown: formerPrimary.hasSteppedDown, waitedMs: Math.round(waitedMs),
				}, 'replication is resumed after a promotion');
			}

			if (isOverdue || isSafe) {
				await pauses.end(backend, mayReceive);
				return;
			}

			if (waitedMs >= termRecordDelayMs) {
				void termRecorder.record(newTerm, token, signal);
			}

			await this.ports.clock.sleep(pollIntervalMs);
		}
	}

	/**
	 * Tells a replaced primary to step down, and repeats the command until the server is a replica or the time has passed.
	 * @param newTerm - term of the new primary. A higher one would make hosts wait for a primary of that term.
	 */
	private async stepDownWhenReachable(formerPrimary: FormerPrimary, newTerm: number, signal: AbortSignal): Promise<void> {
		const {backend} = formerPrimary;
		if (!backend) {
			return;
		}

		const deadlineMs = this.ports.clock.nowMs() + stepDownTimeoutMs;
		while (!signal.aborted && this.ports.clock.nowMs() < deadlineMs) {
			const status = await sendControlCommand(backend, {kind: 'stepDown', term: newTerm});
			if (status?.role === 'replica') {
				formerPrimary.hasSteppedDown = true;
				return;
			}

			await this.ports.clock.sleep(stepDownRetryDelayMs, signal).catch(() => undefined);
		}
	}
}

/**
 * Checks that servers together have each commit that departed servers may have acknowledged.
 * @param positions - ends of their logs
 * @throws PromotionHalt if that is not known
 */
function requireAllCommits(view: ServiceView, positions: readonly LogPosition[]): void {
	const [newestPosition] = positions.toSorted((a, b) => comparePositions(b, a));
	if (!newestPosition) {
		return;
	}

	const proof = view.checkCommits(newestPosition);
	if (proof.kind !== 'proven') {
		const describe = unprovenReasons[proof.kind] as (proof: CommitProof, position: LogPosition) => string;
		throw new PromotionHalt(`the servers that answer are not known to have each acknowledged commit: ${describe(proof, newestPosition)}`, unprovenRetryDelayMs);
	}
}

/** Logs which servers a promotion paused, and where their logs ended, so that a server that received commits later can be told from these. */
function logPauses(log: Logger, view: ServiceView, pauses: ReplicationPauses, {backend, status}: Candidate): void {
	const paused = pauses.answers.map(({backend: {id}, status: {role, term, pausedTerm, receivedPosition}}) => ({
		server: id, role, term, pausedTerm, position: formatPosition(receivedPosition),
	}));
	log.info({
		service: view.name, server: backend.id, position: formatPosition(status.receivedPosition), paused,
	}, 'replication is paused for a promotion');
}

/** Compares candidates by received position, highest first. Among equal positions, leaving servers come last. */
function compareCandidates(a: Candidate, b: Candidate): number {
	const difference = comparePositions(b.status.receivedPosition, a.status.receivedPosition);
	return difference === 0 ? Number(a.backend.server.isLeaving) - Number(b.backend.server.isLeaving) : difference;
}
