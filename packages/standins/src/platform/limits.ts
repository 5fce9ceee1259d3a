/** A token bucket: `perSecond` calls on average, with one second's worth of burst. */
export class TokenBucket {
	private tokens: number;
	private filledAtMs = performance.now();

	constructor(private readonly perSecond: number) {
		this.tokens = perSecond;
	}

	/** Takes a token. @returns false if there is none */
	take(): boolean {
		const nowMs = performance.now();
		this.tokens = Math.min(this.perSecond, this.tokens + ((nowMs - this.filledAtMs) * this.perSecond / 1000));
		this.filledAtMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}
