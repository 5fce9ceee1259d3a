import {type RandomSource} from '../ports.js';

/** Creates a seeded random number generator (mulberry32). */
export function seededRandom(seed: number): RandomSource {
	let state = seed;
	return {
		next() {
			/* eslint-disable no-bitwise */
			state = Math.trunc(state + 0x6D_2B_79_F5) % (2 ** 31);
			let value = Math.imul(state ^ (state >>> 15), 1 | state);
			value ^= value + Math.imul(value ^ (value >>> 7), 61 | value);
			return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
			/* eslint-enable no-bitwise */
		},
	};
}
