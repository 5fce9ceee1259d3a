import {build, encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {
	bucketMs, outcomes, type Outcome, type RankLoad, type RankResult,
} from './types.js';

const highestMicros = 60_000_000;

/** Histogram of times in microseconds with three significant digits. */
export function timeHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestMicros, numberOfSignificantValueDigits: 3, bitBucketSize: 32,
	});
}

/** Records a time in milliseconds. */
export function recordMs(histogram: Histogram, timeMs: number): void {
	histogram.recordValue(Math.min(highestMicros, Math.max(1, Math.round(timeMs * 1000))));
}

/** Collects the measurements of one rank; times are milliseconds since the start of the run. */
export class RankRecorder {
	private readonly counts = Object.fromEntries(outcomes.map(outcome => [outcome, 0])) as Record<Outcome, number>;
	private readonly histogram = timeHistogram();
	private readonly scheduledSeries: number[] = [];
	private readonly withinTargetSeries: number[] = [];
	private readonly completedSeries: number[] = [];
	private readonly errors: Record<string, number> = {};
	private scheduled = 0;

	constructor(private readonly load: RankLoad) {}

	arrived(scheduledMs: number): void {
		this.scheduled++;
		increment(this.scheduledSeries, scheduledMs);
	}

	completed(scheduledMs: number, nowMs: number): void {
		const latencyMs = nowMs - scheduledMs;
		this.counts.completed++;
		recordMs(this.histogram, latencyMs);
		increment(this.completedSeries, nowMs);
		if (latencyMs <= this.load.targetMs) {
			increment(this.withinTargetSeries, scheduledMs);
		}
	}

	ended(outcome: Exclude<Outcome, 'completed'>, reason: string): void {
		this.counts[outcome]++;
		this.errors[reason] = (this.errors[reason] ?? 0) + 1;
	}

	result(): RankResult {
		const {load, scheduled, counts, scheduledSeries, withinTargetSeries, completedSeries, errors} = this;
		return {
			rank: load.rank,
			targetMs: load.targetMs,
			scheduled,
			counts,
			histogram: encodeIntoCompressedBase64(this.histogram),
			scheduledSeries: filled(scheduledSeries),
			withinTargetSeries: filled(withinTargetSeries),
			completedSeries: filled(completedSeries),
			errors,
		};
	}
}

function increment(series: number[], atMs: number): void {
	const index = Math.floor(atMs / bucketMs);
	series[index] = (series[index] ?? 0) + 1;
}

function filled(series: readonly number[]): readonly number[] {
	return Array.from(series, value => value ?? 0);
}
