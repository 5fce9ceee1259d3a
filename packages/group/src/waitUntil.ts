import {childSignal, type Clock, deferred} from '@crocusloom/model';

export type WaitOptions<T> = {
	readonly clock: Clock;
	readonly timeoutMs: number;
	/** When it aborts, the wait is rejected with its reason. */
	readonly signal: AbortSignal;
	/** Set that contains the check during the wait. Its owner calls all listeners after each change. */
	readonly listeners: Set<() => void>;
	/** Returns the value to resolve with, or undefined to continue the wait. */
	readonly evaluate: () => T | undefined;
};

/**
 * Waits until `evaluate` returns a value. The function is called at the start and with each call of the listeners.
 * @returns the value, or undefined after the timeout
 */
export async function waitUntil<T>(options: WaitOptions<T>): Promise<T | undefined> {
	const {clock, timeoutMs, signal, listeners, evaluate} = options;
	const result = deferred<T>();
	const check = () => {
		const value = evaluate();
		if (value !== undefined) {
			result.resolve(value);
		}
	};

	const timerController = childSignal(signal);
	listeners.add(check);
	check();
	try {
		return await Promise.race([result.promise, resolveAfterTimeout(clock, timeoutMs, timerController.signal)]);
	} finally {
		listeners.delete(check);
		timerController.abort();
		timerController.release();
	}
}

async function resolveAfterTimeout(clock: Clock, timeoutMs: number, signal: AbortSignal): Promise<undefined> {
	await clock.sleep(timeoutMs, signal);
	return undefined;
}
