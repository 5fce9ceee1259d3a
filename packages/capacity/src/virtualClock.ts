import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import {type Clock, type RandomSource} from '@crocusloom/model';

type PendingSleep = {readonly dueMs: number; readonly resolve: () => void};

/** A clock that jumps from one due time to the next, so that a simulated minute of many hosts takes seconds. */
export class VirtualClock implements Clock {
	private currentMs = 0;
	private pendingSleeps: PendingSleep[] = [];

	nowMs(): number {
		return this.currentMs;
	}

	wallMs(): number {
		return this.currentMs;
	}

	/** An aborted signal rejects the promise only at the due time. If the clock no longer advances, the promise never settles. */
	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			this.pendingSleeps.push({dueMs: this.currentMs + durationMs, resolve});
		});
		signal?.throwIfAborted();
	}

	/** Advances the time. All sleeps that become due have ended when the promise resolves. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.currentMs + durationMs;
		for (let nextMs = this.nextDueMs(); nextMs <= endMs; nextMs = this.nextDueMs()) {
			this.currentMs = nextMs;
			const due = this.pendingSleeps.filter(({dueMs}) => dueMs <= nextMs);
			this.pendingSleeps = this.pendingSleeps.filter(({dueMs}) => dueMs > nextMs);
			for (const {resolve} of due) {
				resolve();
			}

			await yieldToEventLoop();
		}

		this.currentMs = endMs;
	}

	private nextDueMs(): number {
		return Math.min(...this.pendingSleeps.map(({dueMs}) => dueMs));
	}
}

/** Creates a reproducible pseudo-random source (linear congruential generator of Numerical Recipes). */
export function createSeededRandom(seed: number): RandomSource {
	let state = seed;
	return {
		next() {
			state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
			return state / 4_294_967_296;
		},
	};
}
