import {childSignal, type ChildSignal} from './childSignal.js';
import {deferred} from './deferred.js';
import {type Clock} from './ports.js';

/** Abort reason of a call's signal after the timeout of the call. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly limitMs: number) {
		super(`no answer within ${limitMs} ms`);
	}
}

/**
 * Runs a call with a timeout. The signal of the call aborts after the timeout or when the parent signal aborts.
 * @param clock - source of time
 * @param timeoutMs - timeout in milliseconds
 * @param signal - parent signal
 * @param run - the call; must end when its signal aborts
 * @returns the result of the call
 * @throws the error of the call; TimeLimitError after the timeout; the abort reason of the parent signal if that aborts
 */
export async function withTimeout<T>(clock: Clock, timeoutMs: number, signal: AbortSignal, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
	signal.throwIfAborted();
	const callController = childSignal(signal);
	const timerController = childSignal(signal);
	const aborted = deferred<never>();
	const onAbort = () => {
		aborted.reject(callController.signal.reason);
	};

	callController.signal.addEventListener('abort', onAbort, {once: true});
	void abortAfter(clock, timeoutMs, callController, timerController.signal);
	try {
		return await Promise.race([run(callController.signal), aborted.promise]);
	} finally {
		callController.signal.removeEventListener('abort', onAbort);
		callController.release();
		timerController.abort();
		timerController.release();
	}
}

async function abortAfter(clock: Clock, timeoutMs: number, callController: ChildSignal, timerSignal: AbortSignal): Promise<void> {
	try {
		await clock.sleep(timeoutMs, timerSignal);
		callController.abort(new TimeLimitError(timeoutMs));
	} catch {
		// The call ended before its timeout.
	}
}
