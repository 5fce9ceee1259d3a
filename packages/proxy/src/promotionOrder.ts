import {type Clock, formatPosition, type Logger} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {probeStatus} from './leadershipProver.js';
import {promotionSettleMs} from './orphanedPauseCleaner.js';
import {type PromotionLease, type PromotionService} from './ports.js';
import {type ReplicationPauses} from './replicationPauses.js';
import {type ServiceView} from './serviceView.js';
import {type ServerStatus} from './statement.js';

/** Interval of status polls while a promotion waits for a server. */
export const pollIntervalMs = 40;
/** Delay before a promotion request without a definite result is repeated. */
const requestRetryDelayMs = 150;
/** Maximum number of promotion requests for one candidate before the promotion is abandoned and starts over. */
const maximumRequests = 6;

export type PromotionPorts = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly lease: PromotionLease;
	readonly promotionService: PromotionService;
};

export type Candidate = {readonly backend: Backend; readonly status: ServerStatus};

/** The server to be promoted, and the highest term before the promotion. */
export type PromotionTarget = {readonly backend: Backend; readonly highestPriorTerm: number};

export type PromotionPlan = {readonly target: PromotionTarget; readonly pauses: ReplicationPauses; readonly signal: AbortSignal};

type RequestOutcome = 'accepted' | 'refused' | 'unanswered' | 'not sent, because the duty is no longer held';

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

	constructor(private readonly ports: PromotionPorts) {}

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
	async requestOrResume(view: ServiceView, candidate: Candidate, {target, pauses, signal}: PromotionPlan): Promise<void> {
		const outcome = await this.requestPromotion(view, candidate, signal);
		if (outcome === 'accepted') {
			return;
		}

		if (outcome === 'unanswered' && await this.waitForNewTerm(target, promotionSettleMs)) {
			return;
		}

		await pauses.endAll();
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
	private async requestPromotion(view: ServiceView, {backend, status}: Candidate, signal: AbortSignal): Promise<RequestOutcome> {
		for (let attempt = 0; attempt < maximumRequests; attempt++) {
			const isHeld = await this.ports.lease.confirm(signal);
			const token = this.ports.lease.fencingToken();
			if (!isHeld || token === undefined) {
				return attempt === 0 ? 'not sent, because the duty is no longer held' : 'unanswered';
			}

			if (attempt > 0) {
				this.repeatsPendingUntilMs.set(view, this.ports.clock.nowMs() + promotionSettleMs);
			}

			const result = await this.ports.promotionService.requestPromotion(view.name, backend.id, {holder: this.ports.lease.holder, token}, signal);
			this.ports.log.info({
				service: view.name, server: backend.id, token, result, position: formatPosition(status.receivedPosition), attempt,
			}, 'a promotion was ordered');
			if (result === 'accepted') {
				return result;
			}

			if (result === 'notRunning') {
				// Earlier requests without an answer may still take effect once the server runs again.
				return attempt === 0 ? 'refused' : 'unanswered';
			}

			await this.ports.clock.sleep(requestRetryDelayMs, signal);
		}

		return 'unanswered';
	}
}
