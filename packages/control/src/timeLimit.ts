import {
	type Clock, childSignal, type ChildSignal, deferred,
} from '@crocusloom/model';

/** Abort reason of a call's signal when the call reaches its time limit. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly limitMs: number) {
		super(`no answer within ${limitMs} ms`);
	}
}

/**
 * Runs a call whose signal aborts when the time limit is reached or the parent signal aborts.
 * @param clock - source of time
 * @param limitMs - time limit in milliseconds
 * @param signal - parent signal
 * @param run - the call; must end when its signal aborts
 * @returns the result of the call
 * @throws the error of the call; TimeLimitError if the call reaches its limit; the abort reason of the parent signal if that aborts
 */
export async function withTimeLimit<T>(clock: Clock, limitMs: number, signal: AbortSignal, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
	signal.throwIfAborted();
	const callController = childSignal(signal);
	const timerController = childSignal(signal);
	const aborted = deferred<never>();
	const onAbort = () => {
		aborted.reject(callController.signal.reason);
	};

	callController.signal.addEventListener('abort', onAbort, {once: true});
	void abortAfter(clock, limitMs, callController, timerController.signal);
	try {
		return await Promise.race([run(callController.signal), aborted.promise]);
	} finally {
		callController.signal.removeEventListener('abort', onAbort);
		callController.release();
		timerController.abort();
		timerController.release();
	}
}

async function abortAfter(clock: Clock, limitMs: number, callController: ChildSignal, timerSignal: AbortSignal): Promise<void> {
	try {
		await clock.sleep(limitMs, timerSignal);
		callController.abort(new TimeLimitError(limitMs));
	} catch {
		// The call ended before its limit.
	}
}
