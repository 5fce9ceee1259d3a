import {type Clock} from '@crocusloom/model';
import {waitUntil} from './waitUntil.js';

export type GatherOptions = {
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Longest wait for answers. */
	readonly limitMs: number;
	/** Number of answers that is enough. */
	readonly enough: number;
	/** Further wait for the other answers once there are enough. */
	readonly graceMs: number;
};

/**
 * Runs calls at the same time and collects answers until all have ended, or enough came and the grace time is over.
 * @param calls - calls with time limits of their own; one that fails gives no answer
 * @returns the answers in the order of their arrival
 */
export async function gather<T>(calls: ReadonlyArray<Promise<T>>, options: GatherOptions): Promise<readonly T[]> {
	const answers: T[] = [];
	const listeners = new Set<() => void>();
	let ended = 0;
	const allEnded = () => ended === calls.length ? true : undefined;
	const follow = async (call: Promise<T>) => {
		try {
			answers.push(await call);
		} catch {
			// A call without an answer does not count.
		}

		ended++;
		for (const listener of listeners) {
			listener();
		}
	};

	for (const call of calls) {
		void follow(call);
	}

	const {clock, signal, limitMs, enough, graceMs} = options;
	await waitUntil({
		clock, signal, limitMs, listeners, settle: () => answers.length >= enough ? true : allEnded(),
	});
	await waitUntil({
		clock, signal, limitMs: graceMs, listeners, settle: allEnded,
	});
	return [...answers];
}
