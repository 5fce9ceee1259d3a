/** Weight of the newest statement in the exponential moving average of the ratio. */
const ratioWeight = 0.15;
/**
 * Weights of a shorter and of a longer run time in the moving average of the typical run time. The average rises slowly so
 * that a few seconds of congestion do not count as typical.
 */
const decreaseWeight = 0.05;
const increaseWeight = 0.005;
/** Multiple of the typical run time to which longer run times are capped in the moving average of the typical run time. */
const maximumCountedRatio = 2;
/** Lower limit of the typical run time, so that very short statements do not make others look slow. */
const minimumTypicalMs = 2;

/** Tracks the ratio of the run times at a server to the typical run times of the same statement classes. */
export class RunTimeRatio {
	private readonly typicalMsByClass = new Map<string, number>();
	private meanRatio = 1;

	/**
	 * Records the run time of a statement.
	 * @param statementClass - class of statements with similar run times
	 * @param runMs - run time in milliseconds
	 * @returns moving average of the ratio of run times to typical run times
	 */
	record(statementClass: string, runMs: number): number {
		const typicalMs = this.typicalMsByClass.get(statementClass) ?? Math.max(minimumTypicalMs, runMs / maximumCountedRatio);
		const countedMs = Math.min(runMs, typicalMs * maximumCountedRatio);
		const weight = runMs < typicalMs ? decreaseWeight : increaseWeight;
		this.typicalMsByClass.set(statementClass, Math.max(minimumTypicalMs, typicalMs + ((countedMs - typicalMs) * weight)));
		this.meanRatio += ((runMs / typicalMs) - this.meanRatio) * ratioWeight;
		return this.meanRatio;
	}
}
