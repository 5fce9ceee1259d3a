import {setImmediate as yieldOnce} from 'node:timers/promises';
import {type Clock, type RandomSource} from '@crocusloom/model';

type Sleeper = {readonly dueMs: number; readonly wake: () => void};

/** A clock that goes from one due time to the next, so that a minute of many hosts takes seconds. */
export class VirtualClock implements Clock {
	private currentMs = 0;
	private sleepers: Sleeper[] = [];

	nowMs(): number {
		return this.currentMs;
	}

	wallMs(): number {
		return this.currentMs;
	}

	/** Rejects at the due time if the signal was aborted; a clock that no longer advances lets its sleepers go. */
	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			this.sleepers.push({dueMs: this.currentMs + durationMs, wake: resolve});
		});
		signal?.throwIfAborted();
	}

	/** Lets time pass; what became due has run when the promise resolves. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.currentMs + durationMs;
		for (let nextMs = this.nextDueMs(); nextMs <= endMs; nextMs = this.nextDueMs()) {
			this.currentMs = nextMs;
			const due = this.sleepers.filter(({dueMs}) => dueMs <= nextMs);
			this.sleepers = this.sleepers.filter(({dueMs}) => dueMs > nextMs);
			for (const {wake} of due) {
				wake();
			}

			await yieldOnce();
		}

		this.currentMs = endMs;
	}

	private nextDueMs(): number {
		return Math.min(...this.sleepers.map(({dueMs}) => dueMs));
	}
}

/** Pseudo-random numbers that are the same in each run (linear congruential generator of Numerical Recipes). */
export function seededRandom(seed: number): RandomSource {
	let state = seed;
	return {
		next() {
			state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
			return state / 4_294_967_296;
		},
	};
}
