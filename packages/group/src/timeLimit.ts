import {
	childSignal, type Clock, type Failure, FailureError,
} from '@crocusloom/model';

export type TimeLimit = {
	readonly clock: Clock;
	readonly limitMs: number;
	readonly signal: AbortSignal;
	/** Thrown when the limit is reached. */
	readonly failure: Failure;
};

/**
 * Runs a function with a time limit, also when the function ignores its signal.
 * @param limit - limit, owner's signal and the failure that reports the limit
 * @param run - is given a signal that aborts at the limit, when the owner aborts, and after completion
 * @returns what the function returned
 * @throws FailureError with `limit.failure` at the limit; the owner's reason when the owner aborts
 */
export async function withTimeLimit<T>(limit: TimeLimit, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
	limit.signal.throwIfAborted();
	const {signal, abort, release} = childSignal(limit.signal);
	try {
		return await Promise.race([run(signal), failAfter(limit, signal)]);
	} finally {
		abort();
		release();
	}
}

async function failAfter(limit: TimeLimit, signal: AbortSignal): Promise<never> {
	await limit.clock.sleep(limit.limitMs, signal);
	throw new FailureError(limit.failure);
}

/** Failure of a control call to a database that did not answer. */
export function databaseFailure(step: Failure['step'], database: string, message: string): Failure {
	return {
		kind: 'peer', step, peer: database, message,
	};
}
