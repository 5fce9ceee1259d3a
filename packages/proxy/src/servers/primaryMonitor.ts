import {type Clock, type Logger} from '@crocusloom/model';
import {type ServerStatus} from '../statements/statement.js';
import {isTrueWithin} from '../statements/withTimeout.js';
import {type Backend} from './backend.js';
import {probeStatus} from './leadershipProver.js';
import {type ServiceView} from './serviceView.js';

/** Time without contact after which the primary is probed. */
const silenceThresholdMs = 200;
/** Time in which the primary must answer a probe. */
const probeTimeoutMs = 300;
/** Time without an answer to a probe after which the reachability of the primary's host is checked in parallel. */
const reachabilityCheckDelayMs = 60;
/** Consecutive unanswered probes after which a primary counts as failed although its host is reachable. */
const failuresBeforeFailover = 4;
/** Consecutive unanswered probes after which a primary counts as failed if its host is unreachable. */
const unreachableFailuresBeforeFailover = 1;

/** Whether a service needs a promotion, and why. */
export type PromotionNeed
	= | {readonly kind: 'none'}
		/** The primary does not answer. */
		| {readonly kind: 'failed'; readonly primary: Backend}
		/** Service discovery lists the primary as leaving. */
		| {readonly kind: 'leaving'; readonly primary: Backend}
		/** No primary has been found for a while. */
		| {readonly kind: 'missing'};

/** Time without a known primary after which a server is promoted. */
const missingPrimaryTimeoutMs = 1500;

/** Monitors the primary of one service and decides whether it must be replaced. */
export class PrimaryMonitor {
	private failures = 0;
	private missingSinceMs: number | undefined;

	constructor(private readonly view: ServiceView, private readonly clock: Clock, private readonly log: Logger) {}

	/** Checks the primary, and probes it if it has been silent. */
	async check(): Promise<PromotionNeed> {
		const primary = this.view.currentPrimary;
		if (!primary) {
			return this.checkMissing();
		}

		this.missingSinceMs = undefined;
		const {backend} = primary;
		if (backend.server.isLeaving) {
			return {kind: 'leaving', primary: backend};
		}

		const silentMs = this.clock.nowMs() - backend.lastContactMs;
		if (silentMs < silenceThresholdMs) {
			this.failures = 0;
			return {kind: 'none'};
		}

		const {status, isReachable} = await this.probe(backend);
		if (status !== undefined || this.clock.nowMs() - backend.lastContactMs < silenceThresholdMs) {
			this.failures = 0;
			return {kind: 'none'};
		}

		this.failures++;
		const isFailed = this.failures >= (isReachable ? failuresBeforeFailover : unreachableFailuresBeforeFailover);
		this.log.warn({
			service: this.view.name, server: backend.id, silentMs: Math.round(silentMs), failures: this.failures, isReachable, isFailed,
		}, 'the primary is silent');
		return isFailed ? {kind: 'failed', primary: backend} : {kind: 'none'};
	}

	/** Probes the status and, if there is no answer soon, also checks whether the host is reachable. */
	private async probe(backend: Backend): Promise<{readonly status: ServerStatus | undefined; readonly isReachable: boolean}> {
		const statusProbe = probeStatus(backend, probeTimeoutMs);
		const hasAnsweredSoon = await isTrueWithin(statusProbe.then(status => status !== undefined), reachabilityCheckDelayMs, this.clock);
		const [status, isReachable] = await Promise.all([statusProbe, hasAnsweredSoon || backend.isHostReachable()]);
		return {status, isReachable};
	}

	private checkMissing(): PromotionNeed {
		const nowMs = this.clock.nowMs();
		this.missingSinceMs ??= nowMs;
		return nowMs - this.missingSinceMs >= missingPrimaryTimeoutMs ? {kind: 'missing'} : {kind: 'none'};
	}
}
