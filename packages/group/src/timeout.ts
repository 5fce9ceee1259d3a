import {
	childSignal, type Clock, type Failure, FailureError,
} from '@crocusloom/model';

export type TimeoutOptions = {
	readonly clock: Clock;
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	/** Failure to throw after the timeout. */
	readonly failure: Failure;
};

/**
 * Runs a function with a timeout, which takes effect even if the function ignores its signal.
 * @param options - timeout, signal of the caller and the failure that reports the timeout
 * @param run - receives a signal that aborts after the timeout, when the caller's signal aborts, and after completion
 * @returns the result of `run`
 * @throws FailureError with `options.failure` after the timeout, or the reason of the caller's signal when it aborts
 */
export async function withTimeout<T>(options: TimeoutOptions, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
	options.signal.throwIfAborted();
	const {signal, abort, release} = childSignal(options.signal);
	try {
		return await Promise.race([run(signal), failAfterTimeout(options, signal)]);
	} finally {
		abort();
		release();
	}
}

async function failAfterTimeout(options: TimeoutOptions, signal: AbortSignal): Promise<never> {
	await options.clock.sleep(options.timeoutMs, signal);
	throw new FailureError(options.failure);
}

/** Creates the failure of a call to a database, a proxy or the platform. */
export function peerFailure(step: Failure['step'], peer: string, message: string): Failure {
	return {
		kind: 'peer', step, peer, message,
	};
}
