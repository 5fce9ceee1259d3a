import {type RandomSource} from '@crocusloom/model';

/** Limits of an exponential backoff with full jitter. */
export type BackoffLimits = {
	readonly baseMs: number;
	readonly maximumMs: number;
};

/**
 * Computes the delay before a retry. The jitter spans the whole delay, so that hosts that failed together do not retry together.
 * @param attempt - number of failures so far, starting at 1
 * @param limits - bounds of the delay in milliseconds
 * @param random - source of the jitter
 * @returns delay in milliseconds, between 0 and `min(maximumMs, baseMs * 2^attempt)`
 */
export function backoffMs(attempt: number, limits: BackoffLimits, random: RandomSource): number {
	return random.next() * Math.min(limits.maximumMs, limits.baseMs * (2 ** Math.min(attempt, 30)));
}
