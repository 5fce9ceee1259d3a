import {comparePositions, type LogPosition} from '@crocusloom/model';

/** Minimum time between two stored samples. */
const minimumSampleIntervalMs = 20;
/** Retention time of samples; longer than any freshness bound in use. */
const sampleRetentionMs = 30_000;
/** Maximum number of stored samples. The oldest samples are dropped first. */
const maximumSamples = 400;
/** Safety margin subtracted from a freshness bound to allow for differences between timers. */
export const freshnessMarginMs = 60;

/** Sample of the commit position: at `takenMs`, no commit above `position` had been acknowledged. */
export type CommitSample = {readonly takenMs: number; readonly position: LogPosition};

/**
 * Records the commit position of a service over time. A read with a freshness bound only needs a position that was sampled
 * within the bound, which most replicas have already applied.
 */
export class CommitSamples {
	private readonly samples: CommitSample[] = [];

	/** Time of the newest sample, or -Infinity if there is none. */
	get newestSampleMs(): number {
		return this.samples.at(-1)?.takenMs ?? Number.NEGATIVE_INFINITY;
	}

	/**
	 * Adds a sample. Samples that follow the newest one too soon or have a lower position are ignored.
	 * @param takenMs - time up to which every acknowledged commit is at or below the position
	 */
	add(takenMs: number, position: LogPosition): void {
		const newestSample = this.samples.at(-1);
		if (newestSample && (takenMs < newestSample.takenMs + minimumSampleIntervalMs || comparePositions(position, newestSample.position) < 0)) {
			return;
		}

		this.samples.push({takenMs, position});
		while (this.samples.length > maximumSamples || this.samples[0]!.takenMs < takenMs - sampleRetentionMs) {
			this.samples.shift();
		}
	}

	/**
	 * Returns the oldest sample within a freshness bound, which has the lowest position that satisfies it.
	 * @param sinceMs - start of the bound; the read must see every commit acknowledged before this time
	 * @returns undefined if no sample was taken at or after `sinceMs`
	 */
	oldestSampleSince(sinceMs: number): CommitSample | undefined {
		let oldestSample: CommitSample | undefined;
		for (let index = this.samples.length - 1; index >= 0; index--) {
			const sample = this.samples[index]!;
			if (sample.takenMs < sinceMs) {
				break;
			}

			oldestSample = sample;
		}

		return oldestSample;
	}

	/** Drops the samples that were taken before a time. */
	dropBefore(timeMs: number): void {
		while (this.samples.length > 0 && this.samples[0]!.takenMs < timeMs) {
			this.samples.shift();
		}
	}

	/** Drops the samples of terms before `term`, because a promotion may have discarded their positions. */
	dropTermsBefore(term: number): void {
		while (this.samples.length > 0 && this.samples[0]!.position.term < term) {
			this.samples.shift();
		}
	}
}
