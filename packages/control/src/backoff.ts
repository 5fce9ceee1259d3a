import {type RandomSource} from '@crocusloom/model';

/** Limits of a back-off with full jitter. */
export type BackoffLimits = {
	readonly baseMs: number;
	readonly maximumMs: number;
};

/**
 * Computes the pause before a retry. The whole pause is random, so that hosts that failed together do not retry together.
 * @param attempt - number of failures so far, from 1
 * @param limits - bounds of the pause in milliseconds
 * @param random - source of the jitter
 * @returns pause in milliseconds, between 0 and `min(maximumMs, baseMs * 2^attempt)`
 */
export function backoffMs(attempt: number, limits: BackoffLimits, random: RandomSource): number {
	return random.next() * Math.min(limits.maximumMs, limits.baseMs * (2 ** Math.min(attempt, 30)));
}
