import {type Clock} from './ports.js';

/** Attempts to read both clocks without a pause between the two readings. */
const readingAttempts = 3;
/** Duration of a reading up to which no further attempt is made. */
const shortReadingMs = 1;

/**
 * Detects that time may have passed which the monotonic clock has not counted, because the process was suspended. The wall clock counts
 * it, but may be stepped, too, so a step in either direction is treated like a suspension.
 *
 * The clocks are compared whenever this object is asked. Ask at regular intervals, as a suspension is missed if a step of the wall clock
 * between the same two comparisons makes up for it.
 */
export class ClockContinuity {
	private referenceOffsetMs: number;
	private continuousSinceMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param clock - both clocks
	 * @param toleranceMs - uncounted time in milliseconds up to which durations count as measured correctly
	 */
	constructor(private readonly clock: Clock, private readonly toleranceMs: number) {
		this.referenceOffsetMs = this.readOffsetMs();
	}

	/**
	 * Compares the clocks.
	 * @returns monotonic time in milliseconds from which on durations can be measured; the time that has passed since an earlier one is unknown
	 */
	sinceMs(): number {
		const offsetMs = this.readOffsetMs();
		if (Math.abs(offsetMs - this.referenceOffsetMs) > this.toleranceMs) {
			this.referenceOffsetMs = offsetMs;
			this.continuousSinceMs = this.clock.nowMs();
		}

		return this.continuousSinceMs;
	}

	/** Compares the clocks and returns the monotonic time in milliseconds, as the start of a duration. */
	nowMs(): number {
		this.sinceMs();
		return this.clock.nowMs();
	}

	/** Reads the wall clock minus the monotonic clock. The shortest of several readings counts, as the process may have had to wait during the others. */
	private readOffsetMs(): number {
		let shortestMs = Number.POSITIVE_INFINITY;
		let offsetMs = 0;
		for (let attempt = 0; attempt < readingAttempts && shortestMs > shortReadingMs; attempt++) {
			const startedMs = this.clock.nowMs();
			const wallMs = this.clock.wallMs();
			const tookMs = this.clock.nowMs() - startedMs;
			if (tookMs < shortestMs) {
				shortestMs = tookMs;
				offsetMs = wallMs - startedMs;
			}
		}

		return offsetMs;
	}
}
