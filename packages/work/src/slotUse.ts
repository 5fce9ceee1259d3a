/** Time constant of the exponential decay of used slot time. */
export const slotUseTimeConstantMs = 1000;

/** Slot time that one rank used recently, with exponential decay. */
export class SlotUse {
	private usedMs = 0;
	private runningSlotCount = 0;
	private updatedMs: number;

	constructor(nowMs: number) {
		this.updatedMs = nowMs;
	}

	get runningCount(): number {
		return this.runningSlotCount;
	}

	start(nowMs: number): void {
		this.update(nowMs);
		this.runningSlotCount++;
	}

	stop(nowMs: number): void {
		this.update(nowMs);
		this.runningSlotCount--;
	}

	/**
	 * Returns the share of the slot time that the rank used recently.
	 * @param slotLimit - number of slots of the database
	 */
	share(nowMs: number, slotLimit: number): number {
		this.update(nowMs);
		return this.usedMs / (slotUseTimeConstantMs * slotLimit);
	}

	private update(nowMs: number): void {
		const elapsedMs = nowMs - this.updatedMs;
		if (elapsedMs > 0) {
			const decayFactor = Math.exp(-elapsedMs / slotUseTimeConstantMs);
			this.usedMs = (this.usedMs * decayFactor) + (this.runningSlotCount * slotUseTimeConstantMs * (1 - decayFactor));
			this.updatedMs = nowMs;
		}
	}
}
