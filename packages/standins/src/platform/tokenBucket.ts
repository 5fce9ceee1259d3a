/**
 * Rate limiter: `tokensPerSecond` calls on average. The bucket holds the tokens of one second, and at least one, so that
 * rates below one call per second still admit calls.
 */
export class TokenBucket {
	private readonly capacity: number;
	private tokens: number;
	private lastRefillMs = performance.now();

	constructor(private readonly tokensPerSecond: number) {
		this.capacity = Math.max(tokensPerSecond, 1);
		this.tokens = this.capacity;
	}

	/** Takes a token if one is available. @returns false if there is none */
	tryTake(): boolean {
		const nowMs = performance.now();
		this.tokens = Math.min(this.capacity, this.tokens + ((nowMs - this.lastRefillMs) * this.tokensPerSecond / 1000));
		this.lastRefillMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}
