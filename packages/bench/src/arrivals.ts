import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RateSegment} from './types.js';

/** Returns a random number that is at least 0 and less than 1. */
export type RandomSource = () => number;

/** Creates a seeded random number generator. @param stream - selects one of the independent streams of a seed */
export function seededRandom(seed: number, stream: number): RandomSource {
	// Multiplying by odd constants keeps the streams of consecutive seeds and stream numbers distinct.
	const generator = xoroshiro128plus(Math.imul(seed, 0x9E_37_79_B1) + Math.imul(stream + 1, 0x85_EB_CA_6B));
	return () => uniformFloat64(generator);
}

/**
 * Generates the arrival times of a Poisson process with a piecewise constant rate.
 * @param segments - rates in chronological order
 * @param durationMs - end of the schedule, in milliseconds
 * @returns arrival times in milliseconds since the start, in ascending order
 */
export function * poissonArrivals(segments: readonly RateSegment[], durationMs: number, random: RandomSource): Generator<number> {
	for (const [index, {fromMs, ratePerSecond}] of segments.entries()) {
		const untilMs = Math.min(segments[index + 1]?.fromMs ?? durationMs, durationMs);
		const meanGapMs = 1000 / ratePerSecond;
		// A Poisson process is memoryless, so each segment can draw its first gap independently of the previous one.
		for (let atMs = fromMs + exponentialGapMs(meanGapMs, random()); atMs < untilMs; atMs += exponentialGapMs(meanGapMs, random())) {
			yield atMs;
		}
	}
}

function exponentialGapMs(meanGapMs: number, uniform: number): number {
	return -Math.log(1 - uniform) * meanGapMs;
}
