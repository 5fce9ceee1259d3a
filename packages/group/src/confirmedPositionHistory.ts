import {holdsPosition, type LogPosition} from '@crocusloom/model';
import {type ConfirmedPosition} from './confirmation.js';

/** Maximum number of samples per group. At one sample per 200 ms they cover about 50 s. */
const maximumSamples = 256;

/** Confirmed positions of the primary in the order of their times. They prove an upper bound on the age of a database's data. */
export class ConfirmedPositionHistory {
	private samples: readonly ConfirmedPosition[] = [];

	/** Adds a sample if it was confirmed later than the newest one. */
	add(sample: ConfirmedPosition): void {
		const newestSample = this.samples.at(-1);
		if (newestSample && sample.confirmedAtMs <= newestSample.confirmedAtMs) {
			return;
		}

		this.samples = [...this.samples.slice(1 - maximumSamples), sample];
	}

	/** Time at which the group's term was last confirmed. */
	get newestConfirmedAtMs(): number | undefined {
		return this.samples.at(-1)?.confirmedAtMs;
	}

	/**
	 * Returns an upper bound on the age of the data of a database at a position.
	 * @returns milliseconds, or Infinity if no sample proves a bound
	 */
	ageUpperBoundMs(position: LogPosition, nowMs: number): number {
		const newestHeldSample = this.samples.findLast(sample => holdsPosition(position, sample.position));
		return newestHeldSample ? nowMs - newestHeldSample.confirmedAtMs : Number.POSITIVE_INFINITY;
	}
}
