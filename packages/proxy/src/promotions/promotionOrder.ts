import {
	type Clock, formatPosition, type Logger, type Metrics,
} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {
	type PromotionLease, type PromotionOrder, type PromotionResult, type PromotionService, type RecordedOrder,
} from '../ports.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type ServerStatus} from '../statements/statement.js';
import {type ReplicationPauses} from './replicationPauses.js';
import {promotionSettleMs} from './orphanedPauseCleaner.js';

/** Interval of status polls while a promotion waits for a server. */
export const pollIntervalMs = 40;
/** Delay before a promotion request without a definite result is repeated. */
const requestRetryDelayMs = 150;
/** Longest time between the confirmation of the lease and a promotion request. A holder may have been suspended between the two. */
const maximumConfirmationAgeMs = 1200;
/** Time in which the connection for a promotion request is made or given up, and in which a request that was sent is answered or given up. */
export const promotionRequestTimeoutMs = 1500;
/**
 * Time for which an order without a definite result may be received and take effect. The order of an earlier holder was sent at most
 * `maximumConfirmationAgeMs` after the lease was acquired, so that it may be on its way for the time left before the next holder orders.
 */
export const orderSettleMs = promotionRequestTimeoutMs + promotionSettleMs;
/**
 * Time for which an order counts as one that may still take effect, unless its effect is seen. Longer than an operating system goes on sending
 * for a process that has ended.
 */
export const unsettledOrderMs = 120_000;
/** Minimum time between two attempts to remove settled orders of a service from the record. */
const clearIntervalMs = 1000;
/** Time for which a server is watched whose promotion was abandoned after requests without an answer. */
const lateEffectWatchMs = 20_000;
const lateEffectPollIntervalMs = 500;
/** Maximum number of promotion requests for one candidate before the promotion is abandoned and starts over. */
const maximumRequests = 6;

export type PromotionPorts = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly lease: PromotionLease;
	readonly promotionService: PromotionService;
};

export type Candidate = {readonly backend: Backend; readonly status: ServerStatus};

/** The server to be promoted, and the highest term before the promotion. */
export type PromotionTarget = {readonly backend: Backend; readonly highestPriorTerm: number};

export type PromotionPlan = {
	readonly target: PromotionTarget;
	readonly pauses: ReplicationPauses;
	/** Fencing token under which the promotion began. Another process may have held the lease before a later one. */
	readonly token: number;
	/** Checks before each request whether the promotion is still safe; returns the reason if it is not. */
	readonly findObstacle: () => Promise<string | undefined>;
	readonly signal: AbortSignal;
};

/** A promotion, and whether an earlier one for the same server may still take effect. */
type OrderPlan = PromotionPlan & {readonly hasEarlierOrder: boolean};

type RequestOutcome = 'accepted' | 'refused' | 'unanswered' | `not sent, because ${string}`;

/** Outcomes of an order whose last request had a definite result. After the other results the request is repeated. */
const definiteOutcomes: Readonly<Partial<Record<PromotionResult, RequestOutcome>>> = {accepted: 'accepted', notRunning: 'refused'};

/** Thrown to abandon a promotion, with the reason as message. */
export class PromotionHalt extends Error {
	override readonly name = 'PromotionHalt';

	/**
	 * @param retryDelayMs - time after which the promotion may be tried again
	 */
	constructor(message: string, readonly retryDelayMs = 0) {
		super(message);
	}
}

/** Requests promotions, and knows which requests may still take effect. */
export class PromotionOrders {
	/** Times until which repeated requests may still take effect. */
	private readonly repeatsPendingUntilMs = new Map<ServiceView, number>();

	/** Number of orders of each service, to tell the last one. */
	private readonly orderCounts = new Map<ServiceView, number>();

	/** Orders of earlier holders for which a promotion need not wait any more. */
	private readonly noLongerAwaited = new WeakSet<RecordedOrder>();
	/** Times from which on settled orders of a service may be removed from the record again. */
	private readonly clearFromMs = new Map<ServiceView, number>();

	constructor(private readonly ports: PromotionPorts) {}

	/**
	 * Checks whether an order of an earlier holder may still be received. Until then, this process must neither promote or step down a
	 * server of the service nor end a pause.
	 * @returns false once each such order has taken effect, or its time has passed
	 */
	async isPriorOrderPending(view: ServiceView): Promise<boolean> {
		const priorOrders = this.ports.lease.recordedOrders(view.name).filter(({isPrior}) => isPrior);
		const awaited = priorOrders.filter(recorded => !this.noLongerAwaited.has(recorded));
		const checks = await Promise.all(awaited.map(async recorded => this.isAwaited(view, recorded)));
		return checks.includes(true);
	}

	/**
	 * Removes the orders from the record that can no longer take effect, and those whose effect all servers know. Hosts pass on commits only with
	 * the servers that the others name.
	 */
	clearSettled(view: ServiceView, signal: AbortSignal): void {
		const {clock, lease} = this.ports;
		if (clock.nowMs() < (this.clearFromMs.get(view) ?? 0)) {
			return;
		}

		const orders = lease.recordedOrders(view.name);
		if (orders.length > 0) {
			this.clearFromMs.set(view, clock.nowMs() + clearIntervalMs);
			void this.clearOrders(view, orders, signal);
		}
	}

	/**
	 * Checks whether a repeated request may still take effect. It would promote a server again that has stepped down for its successor,
	 * so a leaving primary is replaced later.
	 */
	hasPendingRepeats(view: ServiceView): boolean {
		return this.ports.clock.nowMs() < (this.repeatsPendingUntilMs.get(view) ?? 0);
	}

	/**
	 * Requests the promotion. If no request is accepted, resumes replication, but only when no request can take effect any more.
	 * Otherwise the candidate could be promoted without a commit that was acknowledged after replication had resumed.
	 */
	async requestOrResume(view: ServiceView, candidate: Candidate, plan: PromotionPlan): Promise<void> {
		const {target, pauses, signal} = plan;
		const {lease} = this.ports;
		const isNamed = ({order}: RecordedOrder) => order?.server === target.backend.id;
		const hasEarlierOrder = lease.recordedOrders(view.name).some(recorded => isNamed(recorded));
		const outcome = await this.requestPromotion(view, candidate, {...plan, hasEarlierOrder});
		if (outcome === 'accepted') {
			return;
		}

		if (outcome === 'unanswered' && await this.waitForNewTerm(target, orderSettleMs)) {
			return;
		}

		// This process may hold the lease anew since, and know of the order of a holder in between.
		const recorded = lease.recordedOrders(view.name).find(order => isNamed(order) && !order.isPrior);
		if (outcome !== 'unanswered' && recorded !== undefined && !hasEarlierOrder) {
			await lease.clearOrder(view.name, recorded, signal);
		}

		await pauses.endAll();
		if (outcome === 'unanswered') {
			void this.watchForLateEffect(view, plan);
		}

		throw new PromotionHalt(`the promotion request for ${candidate.backend.id} was ${outcome}`);
	}

	/**
	 * Waits until the promoted server is the primary of a new term. A former primary that has not stepped down also claims to
	 * be the primary, but in a term that was known before the request.
	 */
	async waitForNewTerm({backend, highestPriorTerm}: PromotionTarget, timeoutMs: number): Promise<ServerStatus | undefined> {
		const deadlineMs = this.ports.clock.nowMs() + timeoutMs;
		while (this.ports.clock.nowMs() < deadlineMs) {
			const status = await probeStatus(backend);
			if (status?.role === 'primary' && status.term > highestPriorTerm) {
				return status;
			}

			await this.ports.clock.sleep(pollIntervalMs);
		}

		return undefined;
	}

	/** Requests the promotion while this process holds the promotion lease, and repeats requests without a definite result. */
	private async requestPromotion(view: ServiceView, {backend, status}: Candidate, plan: OrderPlan): Promise<RequestOutcome> {
		const {clock, log} = this.ports;
		const {token, signal} = plan;
		this.orderCounts.set(view, this.countOrders(view) + 1);
		let unansweredCount = 0;
		for (let attempt = 0; attempt < maximumRequests; attempt++) {
			const startedMs = clock.nowMs();
			const {result, obstacle} = await this.requestOnce(view, plan, unansweredCount);
			log.info({
				service: view.name, server: backend.id, token, result, obstacle, position: formatPosition(status.receivedPosition), attempt, tookMs: Math.round(clock.nowMs() - startedMs),
			}, result === 'notSent' ? 'a promotion request was not sent' : 'a promotion was ordered');
			unansweredCount += result === 'unanswered' ? 1 : 0;
			const outcome = obstacle === undefined ? definiteOutcomes[result] : `not sent, because ${obstacle}` as const;
			if (outcome !== undefined) {
				// Earlier requests without an answer may still take effect.
				return outcome === 'accepted' || unansweredCount === 0 ? outcome : 'unanswered';
			}

			await clock.sleep(requestRetryDelayMs, signal);
		}

		return unansweredCount === 0 ? 'not sent, because the platform accepted no request' : 'unanswered';
	}

	/**
	 * Requests the promotion once.
	 * @param unansweredCount - number of earlier requests of this order that may still take effect
	 * @returns the result, and why the request was not allowed to be sent
	 */
	private async requestOnce(view: ServiceView, plan: OrderPlan, unansweredCount: number): Promise<{readonly result: PromotionResult; readonly obstacle: string | undefined}> {
		const {lease, promotionService} = this.ports;
		let obstacle: string | undefined;
		const result = await promotionService.requestPromotion({
			service: view.name,
			server: plan.target.backend.id,
			holder: lease.holder,
			token: plan.token,
			mayBeSent: async () => {
				obstacle = await this.prepareToSend(view, plan, unansweredCount);
				return obstacle === undefined;
			},
		}, plan.signal);
		return {result, obstacle};
	}

	/**
	 * Checks once more that the promotion is safe, and records the order. Nothing may delay the request after this.
	 * @param unansweredCount - number of earlier requests of this order that may still take effect
	 * @returns why the request must not be sent, or undefined if it may be
	 */
	private async prepareToSend(view: ServiceView, plan: OrderPlan, unansweredCount: number): Promise<string | undefined> {
		const {target, token, hasEarlierOrder, signal} = plan;
		const obstacle = await plan.findObstacle();
		if (obstacle !== undefined) {
			return obstacle;
		}

		const order: PromotionOrder = {
			service: view.name, server: target.backend.id, priorTerm: target.highestPriorTerm, isRepeated: hasEarlierOrder || unansweredCount > 0,
		};
		if (!await this.recordAndConfirm(order, {token, unansweredCount}, signal)) {
			return 'the duty is no longer held';
		}

		if (unansweredCount > 0) {
			this.repeatsPendingUntilMs.set(view, this.ports.clock.nowMs() + orderSettleMs);
		}

		return undefined;
	}

	/**
	 * Records the order before the first request, and as repeated after one without an answer. Confirms the lease before each further one, which
	 * changes nothing in the record.
	 * @returns false if the lease is not certainly held now, under the token
	 */
	private async recordAndConfirm(order: PromotionOrder, {token, unansweredCount}: {readonly token: number; readonly unansweredCount: number}, signal: AbortSignal): Promise<boolean> {
		const {clock, lease} = this.ports;
		if (lease.fencingToken() !== token) {
			return false;
		}

		const startedMs = clock.nowMs();
		const isHeld = unansweredCount < 2 ? await lease.recordOrder(order, signal) : await lease.confirm(signal);
		return isHeld && lease.fencingToken() === token && clock.nowMs() - startedMs <= maximumConfirmationAgeMs;
	}

	private async isAwaited(view: ServiceView, recorded: RecordedOrder): Promise<boolean> {
		const {clock, log} = this.ports;
		const waitedMs = clock.nowMs() - recorded.sinceMs;
		const hasEffect = await hasTakenFinalEffect(view, recorded);
		if (waitedMs < orderSettleMs && !hasEffect) {
			return true;
		}

		this.noLongerAwaited.add(recorded);
		log.info({
			service: view.name, server: recorded.order?.server, hasTakenEffect: hasEffect, waitedMs: Math.round(waitedMs),
		}, 'the order of an earlier holder of the promotion lease is not awaited any more');
		return false;
	}

	private async clearOrders(view: ServiceView, orders: readonly RecordedOrder[], signal: AbortSignal): Promise<void> {
		for (const recorded of orders) {
			if (await this.isSettled(view, recorded)) {
				await this.ports.lease.clearOrder(view.name, recorded, signal);
			}
		}
	}

	/** A server that has not heard of the new term could still receive commits from the former primary, which the promoted server lacks. */
	private async isSettled(view: ServiceView, {order, sinceMs}: RecordedOrder): Promise<boolean> {
		if (this.ports.clock.nowMs() - sinceMs >= unsettledOrderMs) {
			return true;
		}

		const primary = view.currentPrimary;
		const hasEffect = order !== undefined && !order.isRepeated && primary?.backend.id === order.server && primary.term > order.priorTerm;
		return hasEffect && isTermKnownToAll(view, primary.term);
	}

	/**
	 * Reports an order that takes effect although its promotion was abandoned. Commits that were acknowledged after its pauses had ended may be lost.
	 * The watch ends with a further order, and with the lease, because another one may then promote the same server.
	 */
	private async watchForLateEffect(view: ServiceView, {target: {backend, highestPriorTerm}, token, signal}: PromotionPlan): Promise<void> {
		const {clock, lease, log, metrics} = this.ports;
		const count = this.countOrders(view);
		const startedMs = clock.nowMs();
		while (!signal.aborted && clock.nowMs() - startedMs < lateEffectWatchMs) {
			const status = await probeStatus(backend);
			if (this.countOrders(view) !== count || lease.fencingToken() !== token) {
				return;
			}

			if (status?.role === 'primary' && status.term > highestPriorTerm) {
				metrics.count('late_promotions', {service: view.name});
				log.error({
					service: view.name, server: backend.id, token, term: status.term, lateMs: Math.round(clock.nowMs() - startedMs),
				}, 'an order of an abandoned promotion took effect, so that acknowledged commits may be lost');
				return;
			}

			await clock.sleep(lateEffectPollIntervalMs, signal).catch(() => undefined);
		}
	}

	private countOrders(view: ServiceView): number {
		return this.orderCounts.get(view) ?? 0;
	}
}

/** Checks whether an order has taken effect, and cannot do so again. The host then knows the new primary. */
async function hasTakenFinalEffect(view: ServiceView, {order}: RecordedOrder): Promise<boolean> {
	const backend = view.listBackends().find(({id}) => id === order?.server);
	if (!order || order.isRepeated || !backend) {
		return false;
	}

	const status = await probeStatus(backend);
	if (status?.role !== 'primary' || status.term <= order.priorTerm) {
		return false;
	}

	view.recordStatus(backend, status);
	return true;
}

/** Checks whether each listed server follows a term or a later one. */
async function isTermKnownToAll(view: ServiceView, term: number): Promise<boolean> {
	const statuses = await Promise.all(view.listBackends().map(async backend => probeStatus(backend)));
	return statuses.every(status => status !== undefined && status.term >= term);
}
