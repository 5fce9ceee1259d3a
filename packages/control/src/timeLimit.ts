import {type Clock} from '@crocusloom/model';
import {deferred} from './deferred.js';

/** Reason with which a call's signal is aborted when its time limit is reached. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly limitMs: number) {
		super(`no answer within ${limitMs} ms`);
	}
}

/**
 * Runs a call whose signal is aborted after a time limit or together with the owner's signal.
 * @param clock - time
 * @param limitMs - limit in milliseconds
 * @param signal - owner's signal
 * @param run - the call; must end when its signal is aborted
 * @returns what the call returns
 * @throws what the call throws; TimeLimitError if it does not end by itself after the limit
 */
export async function withTimeLimit<T>(clock: Clock, limitMs: number, signal: AbortSignal, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
	signal.throwIfAborted();
	const limit = new AbortController();
	const done = new AbortController();
	const aborted = deferred<never>();
	const callSignal = AbortSignal.any([signal, limit.signal]);
	const onAbort = () => {
		aborted.reject(callSignal.reason as Error);
	};

	callSignal.addEventListener('abort', onAbort, {once: true});
	void abortAfter(clock, limitMs, limit, done.signal);
	try {
		return await Promise.race([run(callSignal), aborted.promise]);
	} finally {
		callSignal.removeEventListener('abort', onAbort);
		done.abort();
	}
}

async function abortAfter(clock: Clock, limitMs: number, limit: AbortController, done: AbortSignal): Promise<void> {
	try {
		await clock.sleep(limitMs, done);
		limit.abort(new TimeLimitError(limitMs));
	} catch {
		// The call ended before its limit.
	}
}
