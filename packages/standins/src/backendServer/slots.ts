/**
 * The statement slots of a backend server.
 */
import {withResolvers} from './locks.js';

type Waiter = {readonly grant: () => void};

/** A slot held by a running statement. */
export type Slot = {
	/** Releases the slot during a wait, for example for a lock, and waits for a slot again afterwards. */
	yieldWhile<T>(wait: () => Promise<T>): Promise<T>;
	/** Releases the slot if it is held. */
	release(): void;
};

/** Admits at most `limit` concurrent statements. Others wait in order of arrival. */
export class SlotQueue {
	/** Highest number of slots that were busy at the same time since the last reset. */
	maximumBusyCount = 0;
	private busyCount = 0;
	private readonly waiters: Waiter[] = [];

	constructor(private readonly limit: number) {}

	/**
	 * Waits for a slot.
	 * @throws the reason of the signal when it aborts first
	 */
	async acquire(signal: AbortSignal): Promise<Slot> {
		await this.waitForSlot(signal);
		let isHeld = true;
		return {
			yieldWhile: async wait => {
				this.releaseSlot();
				isHeld = false;
				try {
					return await wait();
				} finally {
					// A statement that was canceled during the wait needs no slot to report its error.
					if (!signal.aborted) {
						await this.waitForSlot(signal);
						isHeld = true;
					}
				}
			},
			release: () => {
				if (isHeld) {
					isHeld = false;
					this.releaseSlot();
				}
			},
		};
	}

	private async waitForSlot(signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		if (this.busyCount < this.limit) {
			this.occupySlot();
			return;
		}

		const {promise, resolve, reject} = withResolvers();
		const waiter = {grant: resolve};
		this.waiters.push(waiter);
		const abort = () => {
			const index = this.waiters.indexOf(waiter);
			// A slot that was granted just before the abort is kept, and released by its holder.
			if (index !== -1) {
				this.waiters.splice(index, 1);
				reject(signal.reason as Error);
			}
		};

		signal.addEventListener('abort', abort, {once: true});
		try {
			await promise;
		} finally {
			signal.removeEventListener('abort', abort);
		}
	}

	private occupySlot(): void {
		this.busyCount++;
		this.maximumBusyCount = Math.max(this.maximumBusyCount, this.busyCount);
	}

	private releaseSlot(): void {
		const nextWaiter = this.waiters.shift();
		if (nextWaiter) {
			nextWaiter.grant();
			return;
		}

		this.busyCount--;
	}
}
