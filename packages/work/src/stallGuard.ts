import {type Clock} from '@crocusloom/model';

/** Maximum time for which a caller may stop reading while its statement holds a slot. */
export const sinkStallLimitMs = 5000;
/** Maximum total stall time in one exchange, so that a caller that reads a little at a time cannot hold a slot forever. */
export const sinkStallTotalLimitMs = 60_000;

/** Microtask turns to wait for an async sink before the cost of a timer is justified. */
const microtaskTurnsBeforeTimer = 8;

/** Bounds the time for which an exchange waits for its caller to read the response. */
export class StallGuard {
	private stalledMs = 0;

	constructor(private readonly clock: Clock) {}

	/**
	 * Waits until the caller accepts more of the response.
	 * @param ready - resolves when the sink accepts more
	 * @returns false if the time limit was reached first
	 */
	async wait(ready: Promise<void>): Promise<boolean> {
		const progress = {isSettled: false};
		const markSettled = () => {
			progress.isSettled = true;
		};

		ready.then(markSettled, markSettled);
		for (let turn = 0; turn < microtaskTurnsBeforeTimer && !progress.isSettled; turn++) {
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
		const limitMs = Math.min(sinkStallLimitMs, sinkStallTotalLimitMs - this.stalledMs);
		const timerController = new AbortController();
		const isReady = await Promise.race([
			ready.then(() => true),
			this.clock.sleep(limitMs, timerController.signal).then(() => false, () => false),
		]);
		timerController.abort();
		this.stalledMs += this.clock.nowMs() - startedMs;
		return isReady;
	}
}
