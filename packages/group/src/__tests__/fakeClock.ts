import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Clock} from '@crocusloom/model';

type Timer = {readonly atMs: number; fire: (() => void) | undefined};

/** A clock that stands still until all pending work has run, then goes to the next timer. */
export class FakeClock implements Clock {
	private timeMs = 0;
	private readonly timers: Timer[] = [];

	nowMs(): number {
		return this.timeMs;
	}

	wallMs(): number {
		return this.timeMs;
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		signal?.throwIfAborted();
		return new Promise((resolve, reject) => {
			const timer: Timer = {atMs: this.timeMs + Math.max(0, durationMs), fire: resolve};
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

	/** Runs until a time, or until a condition holds. */
	async runUntil(atMs: number, isDone: () => boolean = () => false): Promise<void> {
		await nextTurn();
		while (!isDone()) {
			const next = this.takeNext(atMs);
			if (!next) {
				this.timeMs = Math.max(this.timeMs, atMs);
				return;
			}

			this.timeMs = Math.max(this.timeMs, next.atMs);
			next.fire!();
			await nextTurn();
		}
	}

	private takeNext(atMs: number): Timer | undefined {
		let next = this.timers.pop();
		while (next && !next.fire) {
			next = this.timers.pop();
		}

		if (next && next.atMs > atMs) {
			this.timers.push(next);
			return undefined;
		}

		return next;
	}

	/** Keeps the timers in falling order of time; of equal times, the first inserted fires first. */
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

/** A gate at which work waits while it is closed. */
export class Gate {
	private readonly waiting: Array<() => void> = [];
	private isClosed = false;

	get closed(): boolean {
		return this.isClosed;
	}

	shut(): void {
		this.isClosed = true;
	}

	open(): void {
		this.isClosed = false;
		void this.release();
	}

	async pass(): Promise<void> {
		while (this.isClosed) {
			await new Promise<void>(resolve => {
				this.waiting.push(resolve);
			});
		}
	}

	/** Work resumes in the order of its arrival, each piece before the next, as events of a process that was paused. */
	private async release(): Promise<void> {
		for (const resume of this.waiting.splice(0)) {
			resume();
			await nextTurn();
		}
	}
}

/** The clock of one proxy, whose timers are late while the proxy is paused. */
export function pausableClock(clock: Clock, gate: Gate): Clock {
	return {
		nowMs: () => clock.nowMs(),
		wallMs: () => clock.wallMs(),
		async sleep(durationMs, signal) {
			await clock.sleep(durationMs, signal);
			await gate.pass();
		},
	};
}

/** Seeded random numbers (mulberry32). */
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
