import {childSignal, type ChildSignal} from './childSignal.js';
import {deferred} from './deferred.js';
import {type Clock} from './ports.js';

/** Longest time of a timer, with room for a margin that is added to it. Node.js ends timers of more than 2,147,483,647 ms at once. */
export const maximumTimerMs = 2_000_000_000;

/** Abort reason of a call's signal after the timeout of the call. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeLimitError';

	constructor(readonly limitMs: number) {
		super(`no answer within ${limitMs} ms`);
	}
}

/** Lets a call end `timeoutMs` milliseconds from now in place of its earlier timeout. */
export type RestartTimeout = (timeoutMs: number) => void;

/**
 * Runs a call with a timeout. The signal of the call aborts after the timeout or when the parent signal aborts.
 * @param clock - source of time
 * @param timeoutMs - timeout in milliseconds
 * @param signal - parent signal
 * @param run - the call; must end when its signal aborts, and may restart the timeout while it makes progress
 * @returns the result of the call
 * @throws the error of the call; TimeLimitError after the timeout; the abort reason of the parent signal if that aborts
 */
export async function withTimeout<T>(clock: Clock, timeoutMs: number, signal: AbortSignal, run: (signal: AbortSignal, restart: RestartTimeout) => Promise<T>): Promise<T> {
	signal.throwIfAborted();
	const callController = childSignal(signal);
	const timerController = childSignal(signal);
	const aborted = deferred<never>();
	const onAbort = () => {
		aborted.reject(callController.signal.reason);
	};

	callController.signal.addEventListener('abort', onAbort, {once: true});
	const timeout = {timeoutMs, deadlineMs: clock.nowMs() + timeoutMs};
	const restart: RestartTimeout = restartedMs => {
		timeout.timeoutMs = restartedMs;
		timeout.deadlineMs = clock.nowMs() + restartedMs;
	};

	void abortAfter(clock, timeout, callController, timerController.signal);
	try {
		return await Promise.race([run(callController.signal, restart), aborted.promise]);
	} finally {
		callController.signal.removeEventListener('abort', onAbort);
		callController.release();
		timerController.abort();
		timerController.release();
	}
}

type Timeout = {readonly timeoutMs: number; readonly deadlineMs: number};

async function abortAfter(clock: Clock, timeout: Timeout, callController: ChildSignal, timerSignal: AbortSignal): Promise<void> {
	try {
		do {
			await clock.sleep(timeout.deadlineMs - clock.nowMs(), timerSignal);
		} while (clock.nowMs() < timeout.deadlineMs);

		callController.abort(new TimeLimitError(timeout.timeoutMs));
	} catch {
		// The call ended before its timeout.
	}
}
