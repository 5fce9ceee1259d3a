/**
 * The statement slots of a backend server.
 */
import {withResolvers} from './locks.js';

type Waiter = {readonly grant: () => void};

/** A slot that a statement occupies while it runs. */
export type Slot = {
	/** Gives the slot up while waiting, for example for a lock, and queues for one again afterwards. */
	yieldWhile<T>(wait: () => Promise<T>): Promise<T>;
	release(): void;
};

/** At most `limit` statements run at once; others queue in order of arrival. */
export class SlotQueue {
	maximumBusy = 0;
	private busy = 0;
	private readonly waiters: Waiter[] = [];

	constructor(private readonly limit: number) {}

	/**
	 * Waits for a slot.
	 * @throws the signal's reason when it aborts first
	 */
	async acquire(signal: AbortSignal): Promise<Slot> {
		await this.take(signal);
		let isHeld = true;
		return {
			yieldWhile: async wait => {
				this.give();
				isHeld = false;
				try {
					return await wait();
				} finally {
					// A statement that was canceled while it waited does not need a slot to fail.
					if (!signal.aborted) {
						await this.take(signal);
						isHeld = true;
					}
				}
			},
			release: () => {
				if (isHeld) {
					isHeld = false;
					this.give();
				}
			},
		};
	}

	private async take(signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		if (this.busy < this.limit) {
			this.occupy();
			return;
		}

		const {promise, resolve, reject} = withResolvers();
		const waiter = {grant: resolve};
		this.waiters.push(waiter);
		const abort = () => {
			const index = this.waiters.indexOf(waiter);
			// A slot that was granted just before the abort is used up and released as usual.
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

	private occupy(): void {
		this.busy++;
		this.maximumBusy = Math.max(this.maximumBusy, this.busy);
	}

	private give(): void {
		const next = this.waiters.shift();
		if (next) {
			next.grant();
			return;
		}

		this.busy--;
	}
}
