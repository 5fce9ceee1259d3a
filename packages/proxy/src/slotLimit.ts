/** Least time between two reductions, so that one full queue counts once. */
const reductionSpacingMs = 100;
/** Time without a refusal after which one more statement may be in flight. */
const growthIntervalMs = 400;

/**
 * How many statements one proxy keeps in flight at a backend server. All proxies share the server's slots and no queue is
 * common to them, so each reduces its share when the server refuses work and grows it again slowly.
 */
export class SlotLimit {
	private limit: number;
	private changedMs = 0;

	constructor(private ceiling: number) {
		this.limit = ceiling;
	}

	get current(): number {
		return this.limit;
	}

	setCeiling(ceiling: number): void {
		if (ceiling !== this.ceiling) {
			this.ceiling = ceiling;
			this.limit = Math.min(this.limit, ceiling);
		}
	}

	/** Notes that the server refused a statement because its queue was full. */
	noteOverloaded(nowMs: number): void {
		if (nowMs - this.changedMs >= reductionSpacingMs) {
			this.changedMs = nowMs;
			this.limit = Math.max(1, Math.floor(this.limit / 2));
		}
	}

	/**
	 * Notes a statement that was run.
	 * @returns true if the limit rose
	 */
	noteServed(nowMs: number): boolean {
		if (this.limit >= this.ceiling || nowMs - this.changedMs < growthIntervalMs) {
			return false;
		}

		this.changedMs = nowMs;
		this.limit++;
		return true;
	}
}
