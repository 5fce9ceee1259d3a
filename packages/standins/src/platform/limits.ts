/** A token bucket: `perSecond` calls on average, with one second's worth of burst, or one call if that is more. */
export class TokenBucket {
	private readonly capacity: number;
	private tokens: number;
	private filledAtMs = performance.now();

	constructor(private readonly perSecond: number) {
		this.capacity = Math.max(perSecond, 1);
		this.tokens = this.capacity;
	}

	/** Takes a token. @returns false if there is none */
	take(): boolean {
		const nowMs = performance.now();
		this.tokens = Math.min(this.capacity, this.tokens + ((nowMs - this.filledAtMs) * this.perSecond / 1000));
		this.filledAtMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}
