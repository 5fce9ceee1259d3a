/** Time constant of the decay of slot-time use. */
export const slotUseWindowMs = 1000;

/** Slot time of one rank, decayed with a time constant of one second. */
export class SlotUse {
	private usedMs = 0;
	private running = 0;
	private updatedMs: number;

	constructor(nowMs: number) {
		this.updatedMs = nowMs;
	}

	get runningCount(): number {
		return this.running;
	}

	start(nowMs: number): void {
		this.update(nowMs);
		this.running++;
	}

	stop(nowMs: number): void {
		this.update(nowMs);
		this.running--;
	}

	/**
	 * Share of the slot time that the rank used lately.
	 * @param slotLimit - slots of the database
	 */
	share(nowMs: number, slotLimit: number): number {
		this.update(nowMs);
		return this.usedMs / (slotUseWindowMs * slotLimit);
	}

	private update(nowMs: number): void {
		const elapsedMs = nowMs - this.updatedMs;
		if (elapsedMs > 0) {
			const kept = Math.exp(-elapsedMs / slotUseWindowMs);
			this.usedMs = (this.usedMs * kept) + (this.running * slotUseWindowMs * (1 - kept));
			this.updatedMs = nowMs;
		}
	}
}
