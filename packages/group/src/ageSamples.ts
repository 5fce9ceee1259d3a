import {holdsPosition, type LogPosition} from '@crocusloom/model';
import {type ConfirmedPosition} from './confirmation.js';

/** Samples kept of one group; at one sample in 200 ms they reach back about 50 s. */
const maximumSamples = 256;

/** Confirmed positions of the primary in the order of their times, from which the age of a database's data is proven. */
export class AgeSamples {
	private samples: readonly ConfirmedPosition[] = [];

	/** Adds a sample unless it proves no more than the newest one. */
	add(sample: ConfirmedPosition): void {
		const newest = this.samples.at(-1);
		if (newest && sample.confirmedAtMs <= newest.confirmedAtMs) {
			return;
		}

		this.samples = [...this.samples.slice(1 - maximumSamples), sample];
	}

	/** Time of the newest sample, which is the time at which the group's term was last confirmed. */
	get newestAtMs(): number | undefined {
		return this.samples.at(-1)?.confirmedAtMs;
	}

	/**
	 * Upper bound of the age of data at a position.
	 * @returns milliseconds; Infinity when nothing is proven
	 */
	ageMs(position: LogPosition, nowMs: number): number {
		const reached = this.samples.findLast(sample => holdsPosition(position, sample.position));
		return reached ? nowMs - reached.confirmedAtMs : Number.POSITIVE_INFINITY;
	}
}
