import {
	type Clock, childSignal, type ChildSignal, deferred,
} from '@crocusloom/model';

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
 * @throws what the call throws; TimeLimitError if it does not end before the limit; the owner's reason if that aborts
 */
export async function withTimeLimit<T>(clock: Clock, limitMs: number, signal: AbortSignal, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
	signal.throwIfAborted();
	const call = childSignal(signal);
	const timer = childSignal(signal);
	const aborted = deferred<never>();
	const onAbort = () => {
		aborted.reject(call.signal.reason);
	};

	call.signal.addEventListener('abort', onAbort, {once: true});
	void abortAfter(clock, limitMs, call, timer.signal);
	try {
		return await Promise.race([run(call.signal), aborted.promise]);
	} finally {
		call.signal.removeEventListener('abort', onAbort);
		call.release();
		timer.abort();
		timer.release();
	}
}

async function abortAfter(clock: Clock, limitMs: number, call: ChildSignal, ended: AbortSignal): Promise<void> {
	try {
		await clock.sleep(limitMs, ended);
		call.abort(new TimeLimitError(limitMs));
	} catch {
		// The call ended before its limit.
	}
}
