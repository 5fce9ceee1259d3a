/** Time without an acknowledged write around a fault. */
export type FailoverGap = {
	readonly fault: string;
	readonly gapMs: number;
	/** False if no write was acknowledged again before the observation ended, so that the gap is a lower bound. */
	readonly hasEnded: boolean;
};

/** A fault and the span in which its gap is looked for, in milliseconds of the epoch. */
export type FaultSpan = {readonly fault: string; readonly atMs: number; readonly untilMs: number};

/**
 * Finds the longest time without an acknowledged write that ends after the fault.
 * @param timesMs - times of acknowledged writes
 */
export function failoverGap(timesMs: readonly number[], {fault, atMs, untilMs}: FaultSpan): FailoverGap {
	const sorted = timesMs.toSorted((a, b) => a - b);
	const inSpan = sorted.filter(time => time > atMs && time <= untilMs);
	const points = [sorted.findLast(time => time <= atMs) ?? atMs, ...inSpan, untilMs];
	let longest = {gapMs: 0, index: 0};
	for (let index = 1; index < points.length; index++) {
		// What came before the fault does not count as a gap of it.
		const gapMs = points[index]! - Math.max(points[index - 1]!, atMs);
		longest = gapMs > longest.gapMs ? {gapMs, index} : longest;
	}

	return {fault, gapMs: longest.gapMs, hasEnded: longest.index < points.length - 1};
}
