import {formatPosition, type Logger, errorMessageOf} from '@crocusloom/model';
import {probeStatus} from '../servers/leadershipProver.js';
import {PrimaryMonitor, type PromotionNeed} from '../servers/primaryMonitor.js';
import {ReachedServerRecorder} from '../servers/reachedServerRecorder.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type ServerStatus} from '../statements/statement.js';
import {TermRecorder} from '../servers/termRecorder.js';
import {OrphanedPauseCleaner} from './orphanedPauseCleaner.js';
import {PromotionFollowUp} from './promotionFollowUp.js';
import {
	type Candidate, pollIntervalMs, PromotionHalt, PromotionOrders, type PromotionPorts, type PromotionTarget,
} from './promotionOrder.js';
import {ReplicationPauses} from './replicationPauses.js';
import {findObstacle} from './promotionObstacles.js';
import {type PromotionTerms, requireAllCommits, SuccessorChoice} from './successorChoice.js';

/** Interval between two checks of each primary. */
const checkIntervalMs = 100;
/** Time in which a silent primary can still answer the final probe before it is replaced. */
const finalProbeTimeoutMs = 60;
/** Time in which a promoted server must become the primary. */
const promotionTimeoutMs = 4000;
/** Monitors of one service. They exist while this process holds the promotion lease. */
type ServiceMonitors = {
	readonly primaryMonitor: PrimaryMonitor;
	readonly pauseCleaner: OrphanedPauseCleaner;
	readonly termRecorder: TermRecorder;
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
		const {clock, log} = this.ports;
		const choice = new SuccessorChoice({
			view, pauses, reachedServers: this.reachedServersOf(view), signal,
		}, clock, log);
		const terms: PromotionTerms = {term, primaryTerm, syncReplicas: view.syncReplicas};
		const candidate = need.kind === 'leaving'
			? await choice.switchOver(need.primary, others, terms)
			: await choice.pauseAndChooseSuccessor(others, terms);
		const target: PromotionTarget = {backend: candidate.backend, highestPriorTerm};
		logPauses(this.ports.log, view, pauses, candidate);
		await this.orders.requestOrResume(view, candidate, {
			target, pauses, token, findObstacle: async () => findObstacle(view, {
				primary, others, pauses, candidate,
			}), signal,
		});
		view.recordPromotedLog(candidate.backend, candidate.status.receivedPosition);
		const newTerm = await this.completePromotion(view, target, term, startedMs);
		await new PromotionFollowUp({
			view,
			pauses,
			candidate,
			formerPrimary: {backend: primary, term: highestPriorTerm, hasSteppedDown: need.kind === 'leaving'},
			newTerm,
			termRecorder: this.monitorsOf(view).termRecorder,
			token,
			currentToken: () => this.ports.lease.fencingToken(),
			mayReceive: status => this.mayReceive(view, status),
			signal,
		}, clock, log).run();
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
