/** Longest interval without an acknowledged write after a fault. */
export type FailoverGap = {
	readonly fault: string;
	readonly gapMs: number;
	/** False if no write was acknowledged before the observation window ended; `gapMs` is then a lower bound. */
	readonly hasEnded: boolean;
};

/** A fault and the observation window of its failover gap, in milliseconds since the epoch. */
export type FaultWindow = {readonly fault: string; readonly atMs: number; readonly untilMs: number};

/**
 * Finds the longest interval without an acknowledged write within the observation window of a fault.
 * @param timesMs - times of acknowledged writes, in milliseconds since the epoch, in any order
 */
export function findFailoverGap(timesMs: readonly number[], {fault, atMs, untilMs}: FaultWindow): FailoverGap {
	const sorted = timesMs.toSorted((a, b) => a - b);
	const inWindow = sorted.filter(time => time > atMs && time <= untilMs);
	const points = [sorted.findLast(time => time <= atMs) ?? atMs, ...inWindow, untilMs];
	let longest = {gapMs: 0, index: 0};
	for (let index = 1; index < points.length; index++) {
		// Time before the fault does not count towards the gap.
		const gapMs = points[index]! - Math.max(points[index - 1]!, atMs);
		longest = gapMs > longest.gapMs ? {gapMs, index} : longest;
	}

	return {fault, gapMs: longest.gapMs, hasEnded: longest.index < points.length - 1};
}
