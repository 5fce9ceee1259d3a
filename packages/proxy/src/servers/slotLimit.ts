import {RunTimeRatio} from './runTimeRatio.js';

/** Minimum time between two reductions, so that one full queue at the server causes only one reduction. */
const minimumReductionIntervalMs = 100;
/** Time without congestion after which the limit grows. */
const growthIntervalMs = 400;
/** Growth interval while the limit is below one, where the host is far below its fair share of an idle server. */
const fractionalGrowthIntervalMs = 150;
/** Growth factor while the limit is below one. */
const fractionalGrowthFactor = 1.4;
/** Lower bound of the limit, so that each of many hosts still sends a statement to the server occasionally. */
const minimumLimit = 0.1;
/** Reduction factor after statements that took much longer than usual. */
const congestionReductionFactor = 0.8;
/** Reduction factor after the server refused a statement. */
const refusalReductionFactor = 0.5;
/** Ratio of run time to typical run time from which on statements are assumed to queue at the server. */
const congestedRunTimeRatio = 5;
/** Ratio above which a limit of one or more does not grow, so that proxies with a lower limit catch up first. */
const growthRunTimeRatio = 3.5;
/** Maximum pause after a statement while the limit is below one. */
const maximumPauseMs = 400;

/**
 * Adaptive limit on the statements that one proxy has in flight at a backend server. All proxies share the slots of the
 * server without a common queue, and the queue at the server ignores ranks. Each proxy therefore lowers its limit when the
 * server refuses work or when statements take much longer than usual, so that work queues at the proxies, by rank. A limit
 * below one is a share of time: the proxy pauses after each statement.
 */
export class SlotLimit {
	private limit: number;
	private lastChangeMs = 0;
	private readonly runTimeRatio = new RunTimeRatio();

	constructor(private ceiling: number) {
		this.limit = ceiling;
	}

	/** Current limit; may be a fraction below one. */
	get value(): number {
		return this.limit;
	}

	/** Sets the upper bound of the limit. */
	setCeiling(ceiling: number): void {
		if (ceiling !== this.ceiling) {
			this.ceiling = ceiling;
			this.limit = Math.min(this.limit, ceiling);
		}
	}

	/**
	 * Returns the pause in milliseconds after an answer, during which only open transactions and the most urgent rank send statements.
	 * @param runMs - run time of the answered statement
	 */
	pauseMs(runMs: number): number {
		return this.limit >= 1 ? 0 : Math.min(maximumPauseMs, runMs * ((1 / this.limit) - 1));
	}

	/**
	 * Records that the server refused a statement because its queue was full.
	 * @returns true if the limit changed
	 */
	recordOverload(nowMs: number): boolean {
		return this.decrease(nowMs, refusalReductionFactor);
	}

	/**
	 * Records the run time of a served statement.
	 * @param statementClass - class of statements with similar run times
	 * @returns true if the limit changed
	 */
	recordServed(statementClass: string, runMs: number, nowMs: number): boolean {
		const meanRatio = this.runTimeRatio.record(statementClass, runMs);
		if (meanRatio >= congestedRunTimeRatio) {
			return this.decrease(nowMs, congestionReductionFactor);
		}

		return (this.limit < 1 || meanRatio <= growthRunTimeRatio) && this.increase(nowMs);
	}

	private decrease(nowMs: number, factor: number): boolean {
		if (nowMs - this.lastChangeMs < minimumReductionIntervalMs) {
			return false;
		}

		this.lastChangeMs = nowMs;
		this.limit = Math.max(minimumLimit, this.limit > 1 ? Math.max(1, Math.floor(this.limit * factor)) : this.limit * factor);
		return true;
	}

	private increase(nowMs: number): boolean {
		const intervalMs = this.limit < 1 ? fractionalGrowthIntervalMs : growthIntervalMs;
		if (this.limit >= this.ceiling || nowMs - this.lastChangeMs < intervalMs) {
			return false;
		}

		this.lastChangeMs = nowMs;
		this.limit = this.limit < 1 ? Math.min(1, this.limit * fractionalGrowthFactor) : Math.min(this.ceiling, this.limit + 1);
		return true;
	}
}
