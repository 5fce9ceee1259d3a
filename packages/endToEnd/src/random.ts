const modulus = 2_147_483_647;
const multiplier = 48_271;

/** Random numbers that a seed determines (Lehmer generator of Park and Miller). */
export class SeededRandom {
	private state: number;

	/** @param seed - an integer at or above 0 */
	constructor(seed: number) {
		this.state = (seed % (modulus - 1)) + 1;
		// The first number of neighbouring seeds differs little.
		this.next();
		this.next();
	}

	/** Number at or above 0 and below 1. */
	next(): number {
		this.state = (this.state * multiplier) % modulus;
		return (this.state - 1) / (modulus - 1);
	}

	/** One of the items. */
	pick<T>(items: readonly T[]): T {
		return items[Math.floor(this.next() * items.length)]!;
	}
}
