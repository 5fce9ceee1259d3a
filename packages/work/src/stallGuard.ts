import {type Clock} from '@crocusloom/model';

/** Longest time for which a caller may stop reading while its statement holds a slot. */
export const sinkStallLimitMs = 5000;
/** Longest sum of such times in one exchange, so that a caller that reads a little at a time holds no slot for ever. */
export const sinkStallTotalMs = 60_000;

/** Turns of the microtask queue that an async sink may take before a timer is worth its cost. */
const turnsWithoutTimer = 8;

/** Bounds the time for which an exchange waits for its caller to read. */
export class StallGuard {
	private stalledMs = 0;

	constructor(private readonly clock: Clock) {}

	/**
	 * Waits for the caller.
	 * @param ready - resolves when the caller may be sent more
	 * @returns false when the time limit passed
	 */
	async wait(ready: Promise<void>): Promise<boolean> {
		const progress = {isSettled: false};
		const settle = () => {
			progress.isSettled = true;
		};

		ready.then(settle, settle);
		for (let turn = 0; turn < turnsWithoutTimer && !progress.isSettled; turn++) {
			await Promise.resolve();
		}

		if (progress.isSettled) {
			await ready;
			return true;
		}

		return this.waitWithLimit(ready);
	}

	private async waitWithLimit(ready: Promise<void>): Promise<boolean> {
		const startedMs = this.clock.nowMs();
		const limitMs = Math.min(sinkStallLimitMs, sinkStallTotalMs - this.stalledMs);
		const finished = new AbortController();
		const isReady = await Promise.race([
			ready.then(() => true),
			this.clock.sleep(limitMs, finished.signal).then(() => false, () => false),
		]);
		finished.abort();
		this.stalledMs += this.clock.nowMs() - startedMs;
		return isReady;
	}
}
