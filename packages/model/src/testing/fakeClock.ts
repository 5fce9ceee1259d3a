import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Clock} from '../ports.js';

type Timer = {readonly atMs: number; fire: (() => void) | undefined};

/** A clock that advances to the next timer only after all pending work has run. */
export class FakeClock implements Clock {
	private currentMs = 0;
	private readonly timers: Timer[] = [];

	nowMs(): number {
		return this.currentMs;
	}

	wallMs(): number {
		return this.currentMs;
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		signal?.throwIfAborted();
		return new Promise((resolve, reject) => {
			const timer: Timer = {atMs: this.currentMs + Math.max(0, durationMs), fire: resolve};
			const onAbort = () => {
				timer.fire = undefined;
				reject(signal!.reason as Error);
			};

			timer.fire = () => {
				signal?.removeEventListener('abort', onAbort);
				resolve();
			};

			signal?.addEventListener('abort', onAbort, {once: true});
			this.insert(timer);
		});
	}

	/** Advances the time up to `atMs`, or until a condition holds. */
	async runUntil(atMs: number, isDone: () => boolean = () => false): Promise<void> {
		await nextTurn();
		while (!isDone()) {
			const timer = this.takeDueTimer(atMs);
			if (!timer) {
				this.currentMs = Math.max(this.currentMs, atMs);
				return;
			}

			this.currentMs = Math.max(this.currentMs, timer.atMs);
			timer.fire!();
			await nextTurn();
		}
	}

	/** Advances the time by a duration, and lets the work run that the last timers have resumed. */
	async advance(durationMs: number): Promise<void> {
		await this.runUntil(this.currentMs + durationMs);
		await nextTurn();
	}

	/**
	 * Advances the time until a promise is settled.
	 * @throws Error if it is not settled within the limit
	 */
	async until<T>(promise: Promise<T>, limitMs = 120_000): Promise<T> {
		const state = {isSettled: false};
		const markSettled = () => {
			state.isSettled = true;
		};

		promise.then(markSettled, markSettled);
		await this.runUntil(this.currentMs + limitMs, () => state.isSettled);
		if (!state.isSettled) {
			throw new Error(`not settled after ${limitMs} ms of the fake clock`);
		}

		return promise;
	}

	private takeDueTimer(atMs: number): Timer | undefined {
		let timer = this.timers.pop();
		while (timer && !timer.fire) {
			timer = this.timers.pop();
		}

		if (timer && timer.atMs > atMs) {
			this.timers.push(timer);
			return undefined;
		}

		return timer;
	}

	/** Inserts a timer so that the timers stay sorted by descending time. Timers with equal times fire in the order of insertion. */
	private insert(timer: Timer): void {
		let low = 0;
		let high = this.timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.timers[middle]!.atMs > timer.atMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.timers.splice(low, 0, timer);
	}
}
