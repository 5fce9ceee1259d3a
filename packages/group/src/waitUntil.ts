import {childSignal, type Clock, deferred} from '@crocusloom/model';

export type WaitOptions<T> = {
	readonly clock: Clock;
	readonly limitMs: number;
	/** Ends the wait with its reason. */
	readonly signal: AbortSignal;
	/** Set to which the check is added while it waits. */
	readonly listeners: Set<() => void>;
	/** Gives the value, or undefined as long as there is none. */
	readonly settle: () => T | undefined;
};

/**
 * Waits until a condition gives a value, checked at the start and at each call of a listener.
 * @returns the value; undefined at the limit
 */
export async function waitUntil<T>(options: WaitOptions<T>): Promise<T | undefined> {
	const {clock, limitMs, signal, listeners, settle} = options;
	const settled = deferred<T>();
	const check = () => {
		const value = settle();
		if (value !== undefined) {
			settled.resolve(value);
		}
	};

	const timer = childSignal(signal);
	listeners.add(check);
	check();
	try {
		return await Promise.race([settled.promise, endAfter(clock, limitMs, timer.signal)]);
	} finally {
		listeners.delete(check);
		timer.abort();
		timer.release();
	}
}

async function endAfter(clock: Clock, limitMs: number, signal: AbortSignal): Promise<undefined> {
	await clock.sleep(limitMs, signal);
	return undefined;
}
