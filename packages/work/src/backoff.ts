import {type Clock, type RandomSource} from '@crocusloom/model';

/** Initial backoff after a failed connection attempt, and the maximum that it grows to. */
const initialBackoffMs = 50;
const maximumBackoffMs = 2000;

/** Exponential backoff for connection attempts. The pauses are jittered, so that holders do not reconnect in step. */
export class Backoff {
	private consecutiveFailures = 0;
	private blockedUntilMs = 0;

	constructor(private readonly clock: Clock, private readonly random: RandomSource) {}

	/** True until the next attempt is allowed. */
	get isBlocked(): boolean {
		return this.clock.nowMs() < this.blockedUntilMs;
	}

	reset(): void {
		this.consecutiveFailures = 0;
		this.blockedUntilMs = 0;
	}

	recordFailure(): void {
		const backoffMs = Math.min(maximumBackoffMs, initialBackoffMs * (2 ** this.consecutiveFailures));
		this.consecutiveFailures = Math.min(this.consecutiveFailures + 1, 16);
		this.blockedUntilMs = this.clock.nowMs() + (backoffMs * (0.5 + (this.random.next() / 2)));
	}
}
