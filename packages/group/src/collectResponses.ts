import {type Clock} from '@crocusloom/model';
import {waitUntil} from './waitUntil.js';

export type CollectOptions<T> = {
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Maximum wait for sufficient responses. */
	readonly timeoutMs: number;
	/** Checks whether the responses suffice, after which only the grace period is waited for. */
	readonly isSufficient: (responses: readonly T[]) => boolean;
	/** Additional wait for the remaining responses once the others suffice. */
	readonly gracePeriodMs: number;
};

/**
 * Collects the responses of concurrent calls until all calls have ended, or until the responses suffice and the
 * grace period is over.
 * @param calls - calls that have their own timeouts; failed calls are ignored
 * @returns the responses in the order of arrival
 */
export async function collectResponses<T>(calls: ReadonlyArray<Promise<T>>, options: CollectOptions<T>): Promise<readonly T[]> {
	const responses: T[] = [];
	const listeners = new Set<() => void>();
	let endedCount = 0;
	const allEnded = () => endedCount === calls.length ? true : undefined;
	const trackCall = async (call: Promise<T>) => {
		try {
			responses.push(await call);
		} catch {
			// A failed call contributes no response.
		}

		endedCount++;
		for (const listener of listeners) {
			listener();
		}
	};

	for (const call of calls) {
		void trackCall(call);
	}

	const {clock, signal, timeoutMs, isSufficient, gracePeriodMs} = options;
	await waitUntil({
		clock, signal, timeoutMs, listeners, evaluate: () => isSufficient(responses) ? true : allEnded(),
	});
	await waitUntil({
		clock, signal, timeoutMs: gracePeriodMs, listeners, evaluate: allEnded,
	});
	return [...responses];
}
