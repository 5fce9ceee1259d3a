import {type Clock, type Logger} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {askStatus} from './leadProof.js';
import {type ServiceView} from './serviceView.js';
import {type ServerStatus} from './statement.js';
import {isTrueWithin} from './withinLimit.js';

/** Silence of a primary after which it is asked. */
const quietMs = 200;
/** Time in which it must answer. */
const answerLimitMs = 300;
/** Time without an answer after which it is also tried whether its host accepts connections. */
const reachAfterMs = 60;
/** Unanswered questions in a row after which it is taken for failed although its host can be reached. */
const failuresUntilSuspected = 4;
/** The same for a primary whose host cannot be reached. */
const unreachableUntilSuspected = 1;

export type PromotionNeed
	= | {readonly kind: 'none'}
		/** The primary does not answer. */
		| {readonly kind: 'failed'; readonly primary: Backend}
		/** The primary is leaving and still answers. */
		| {readonly kind: 'leaving'; readonly primary: Backend}
		/** No server says that it is the primary. */
		| {readonly kind: 'missing'};

/** Time for which no primary was found after which one is made. */
const missingMs = 1500;

/** Decides whether the primary of one service has to be replaced. */
export class PrimaryWatch {
	private failures = 0;
	private missingSinceMs: number | undefined;

	constructor(private readonly view: ServiceView, private readonly clock: Clock, private readonly log: Logger) {}

	/** Looks at the primary, and asks it if it has been silent. */
	async look(): Promise<PromotionNeed> {
		const lead = this.view.currentLead;
		if (!lead) {
			return this.lookForMissing();
		}

		this.missingSinceMs = undefined;
		const {backend} = lead;
		if (backend.server.leaving) {
			return {kind: 'leaving', primary: backend};
		}

		const silentMs = this.clock.nowMs() - backend.lastHeardMs;
		if (silentMs < quietMs) {
			this.failures = 0;
			return {kind: 'none'};
		}

		const {status, isReachable} = await this.question(backend);
		if (status !== undefined || this.clock.nowMs() - backend.lastHeardMs < quietMs) {
			this.failures = 0;
			return {kind: 'none'};
		}

		this.failures++;
		const isFailed = this.failures >= (isReachable ? failuresUntilSuspected : unreachableUntilSuspected);
		this.log.warn({
			service: this.view.name, server: backend.id, silentMs: Math.round(silentMs), failures: this.failures, isReachable, isFailed,
		}, 'the primary is silent');
		return isFailed ? {kind: 'failed', primary: backend} : {kind: 'none'};
	}

	/** Asks for the status and, if no answer comes soon, tries the host at the same time. */
	private async question(backend: Backend): Promise<{readonly status: ServerStatus | undefined; readonly isReachable: boolean}> {
		const asked = askStatus(backend, answerLimitMs);
		const hasAnsweredSoon = await isTrueWithin(asked.then(status => status !== undefined), reachAfterMs, this.clock);
		const [status, isReachable] = await Promise.all([asked, hasAnsweredSoon || backend.reach()]);
		return {status, isReachable};
	}

	private lookForMissing(): PromotionNeed {
		const nowMs = this.clock.nowMs();
		this.missingSinceMs ??= nowMs;
		return nowMs - this.missingSinceMs >= missingMs ? {kind: 'missing'} : {kind: 'none'};
	}
}
