import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Clock} from '@crocusloom/model';

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

/** Blocks work while it is closed. Models a process that is paused or frozen. */
export class Gate {
	private readonly waiters: Array<() => void> = [];
	private isShut = false;

	get isClosed(): boolean {
		return this.isShut;
	}

	close(): void {
		this.isShut = true;
	}

	open(): void {
		this.isShut = false;
		void this.resumeWaiters();
	}

	async waitUntilOpen(): Promise<void> {
		while (this.isShut) {
			await new Promise<void>(resolve => {
				this.waiters.push(resolve);
			});
		}
	}

	/** Resumes the waiting work in the order of arrival and one per event loop turn, as a resumed process handles its events. */
	private async resumeWaiters(): Promise<void> {
		for (const resume of this.waiters.splice(0)) {
			resume();
			await nextTurn();
		}
	}
}

/** Creates the clock of one proxy. Timers that expire while the proxy is paused fire when it resumes. */
export function pausableClock(clock: Clock, gate: Gate): Clock {
	return {
		nowMs: () => clock.nowMs(),
		wallMs: () => clock.wallMs(),
		async sleep(durationMs, signal) {
			await clock.sleep(durationMs, signal);
			await gate.waitUntilOpen();
		},
	};
}

/** Creates a seeded random number generator (mulberry32). */
export function seededRandom(seed: number): {next: () => number} {
	let state = seed;
	return {
		next() {
			/* eslint-disable no-bitwise */
			state = Math.trunc(state + 0x6D_2B_79_F5) % (2 ** 31);
			let value = Math.imul(state ^ (state >>> 15), 1 | state);
			value ^= value + Math.imul(value ^ (value >>> 7), 61 | value);
			return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
			/* eslint-enable no-bitwise */
		},
	};
}
