import {comparePositions, type LogPosition} from '@crocusloom/model';

/** Least time between two kept samples. */
const sampleSpacingMs = 20;
/** Time for which samples are kept; longer than any freshness bound in use. */
const keptMs = 30_000;
/** Samples kept; the oldest are dropped first. */
const maximumSamples = 400;
/** Taken off a freshness bound for the difference between timers. */
export const boundMarginMs = 60;

/** At `takenMs`, no commit above `position` had been acknowledged. */
export type CommitSample = {readonly takenMs: number; readonly position: LogPosition};

/**
 * Samples of a service's commit position over time. A read that accepts data of a stated age needs only a position that
 * was sampled no longer ago, which most replicas hold.
 */
export class CommitSamples {
	private readonly samples: CommitSample[] = [];

	/** Time of the newest sample, or -Infinity. */
	get newestMs(): number {
		return this.samples.at(-1)?.takenMs ?? Number.NEGATIVE_INFINITY;
	}

	/**
	 * Adds a sample.
	 * @param takenMs - moment before which every acknowledged commit is at or below the position
	 */
	add(takenMs: number, position: LogPosition): void {
		const last = this.samples.at(-1);
		if (last && (takenMs < last.takenMs + sampleSpacingMs || comparePositions(position, last.position) < 0)) {
			return;
		}

		this.samples.push({takenMs, position});
		while (this.samples.length > maximumSamples || this.samples[0]!.takenMs < takenMs - keptMs) {
			this.samples.shift();
		}
	}

	/**
	 * Gives the lowest position that satisfies a freshness bound.
	 * @param sinceMs - the oldest moment whose commits the read must see
	 * @returns undefined if no sample is young enough
	 */
	floorSince(sinceMs: number): CommitSample | undefined {
		let found: CommitSample | undefined;
		for (let index = this.samples.length - 1; index >= 0; index--) {
			const sample = this.samples[index]!;
			if (sample.takenMs < sinceMs) {
				break;
			}

			found = sample;
		}

		return found;
	}

	/** Forgets samples of terms before `term`, whose positions a promotion may have discarded. */
	dropBefore(term: number): void {
		while (this.samples.length > 0 && this.samples[0]!.position.term < term) {
			this.samples.shift();
		}
	}
}
