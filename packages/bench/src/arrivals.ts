import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RateSegment} from './types.js';

/** Gives numbers from 0 to below 1. */
export type RandomNumbers = () => number;

/** Seeded random numbers. @param stream - separates the streams of one seed */
export function seededNumbers(seed: number, stream: number): RandomNumbers {
	// Multiplying by an odd constant keeps the streams of neighbouring seeds apart.
	const generator = xoroshiro128plus(Math.imul(seed, 0x9E_37_79_B1) + Math.imul(stream + 1, 0x85_EB_CA_6B));
	return () => uniformFloat64(generator);
}

/**
 * Times of Poisson arrivals whose rate changes by segment.
 * @param segments - rates in order of time
 * @param durationMs - end of the schedule
 * @returns milliseconds since the start, in order
 */
export function * poissonArrivals(segments: readonly RateSegment[], durationMs: number, next: RandomNumbers): Generator<number> {
	for (const [index, {fromMs, ratePerSecond}] of segments.entries()) {
		const untilMs = Math.min(segments[index + 1]?.fromMs ?? durationMs, durationMs);
		const meanGapMs = 1000 / ratePerSecond;
		// Arrivals have no memory, so that each segment may start afresh.
		for (let atMs = fromMs + gapMs(meanGapMs, next()); atMs < untilMs; atMs += gapMs(meanGapMs, next())) {
			yield atMs;
		}
	}
}

function gapMs(meanMs: number, random: number): number {
	return -Math.log(1 - random) * meanMs;
}
