const modulus = 2_147_483_647;
const multiplier = 48_271;

/** Generates reproducible pseudo-random numbers from a seed (Lehmer generator of Park and Miller). */
export class SeededRandom {
	private state: number;

	/** @param seed - a non-negative integer */
	constructor(seed: number) {
		this.state = (seed % (modulus - 1)) + 1;
		// The first numbers of adjacent seeds are close together, so they are skipped.
		this.next();
		this.next();
	}

	/** Returns a number in the range [0, 1). */
	next(): number {
		this.state = (this.state * multiplier) % modulus;
		return (this.state - 1) / (modulus - 1);
	}

	/** Returns a randomly chosen item. */
	pick<T>(items: readonly T[]): T {
		return items[Math.floor(this.next() * items.length)]!;
	}
}
