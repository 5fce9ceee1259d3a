import {type Clock, type RandomSource} from '@crocusloom/model';

/** First and longest pause after a failed attempt to connect. */
const firstBackoffMs = 50;
const longestBackoffMs = 2000;

/** Spaces attempts that fail: pauses double up to a limit and are jittered, so that holders do not connect in step. */
export class Backoff {
	private failures = 0;
	private blockedUntilMs = 0;

	constructor(private readonly clock: Clock, private readonly random: RandomSource) {}

	/** True while the next attempt is not due. */
	get isBlocked(): boolean {
		return this.clock.nowMs() < this.blockedUntilMs;
	}

	reset(): void {
		this.failures = 0;
		this.blockedUntilMs = 0;
	}

	noteFailure(): void {
		const longestMs = Math.min(longestBackoffMs, firstBackoffMs * (2 ** this.failures));
		this.failures = Math.min(this.failures + 1, 16);
		this.blockedUntilMs = this.clock.nowMs() + (longestMs * (0.5 + (this.random.next() / 2)));
	}
}
