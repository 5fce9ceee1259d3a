import {build, encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {
	bucketMs, outcomes, type Outcome, type RankLoad, type RankResult,
} from './types.js';

const maxTrackableMicros = 60_000_000;

/** Creates a histogram of times in microseconds with three significant digits. */
export function createTimeHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: maxTrackableMicros, numberOfSignificantValueDigits: 3, bitBucketSize: 32,
	});
}

/** Records a time given in milliseconds, clamped to the range of the histogram. */
export function recordMs(histogram: Histogram, timeMs: number): void {
	histogram.recordValue(Math.min(maxTrackableMicros, Math.max(1, Math.round(timeMs * 1000))));
}

/** Collects the measurements of one rank. Times are in milliseconds since the start of the load. */
export class RankRecorder {
	private readonly counts = Object.fromEntries(outcomes.map(outcome => [outcome, 0])) as Record<Outcome, number>;
	private readonly histogram = createTimeHistogram();
	private readonly scheduledSeries: number[] = [];
	private readonly withinTargetSeries: number[] = [];
	private readonly completedSeries: number[] = [];
	private readonly errors: Record<string, number> = {};
	private scheduled = 0;

	constructor(private readonly load: RankLoad) {}

	recordArrival(scheduledMs: number): void {
		this.scheduled++;
		incrementBucket(this.scheduledSeries, scheduledMs);
	}

	recordCompletion(scheduledMs: number, nowMs: number): void {
		const latencyMs = nowMs - scheduledMs;
		this.counts.completed++;
		recordMs(this.histogram, latencyMs);
		incrementBucket(this.completedSeries, nowMs);
		if (latencyMs <= this.load.targetMs) {
			incrementBucket(this.withinTargetSeries, scheduledMs);
		}
	}

	recordFailure(outcome: Exclude<Outcome, 'completed'>, reason: string): void {
		this.counts[outcome]++;
		this.errors[reason] = (this.errors[reason] ?? 0) + 1;
	}

	toResult(): RankResult {
		const {load, scheduled, counts, scheduledSeries, withinTargetSeries, completedSeries, errors} = this;
		return {
			rank: load.rank,
			targetMs: load.targetMs,
			scheduled,
			counts,
			histogram: encodeIntoCompressedBase64(this.histogram),
			scheduledSeries: fillHoles(scheduledSeries),
			withinTargetSeries: fillHoles(withinTargetSeries),
			completedSeries: fillHoles(completedSeries),
			errors,
		};
	}
}

function incrementBucket(series: number[], atMs: number): void {
	const index = Math.floor(atMs / bucketMs);
	series[index] = (series[index] ?? 0) + 1;
}

function fillHoles(series: readonly number[]): readonly number[] {
	return Array.from(series, value => value ?? 0);
}
