import {type Clock, deferred} from '@crocusloom/model';
import {probeBatchWindowMs} from './timing.js';

/**
 * Shares runs of a probe among concurrent callers. A caller joins only a run that has not started, so that each result is
 * newer than the call that it serves.
 */
export class SharedProbe<T> {
	private nextRun?: Promise<T>;
	private runningCount = 0;

	constructor(private readonly clock: Clock, private readonly run: () => Promise<T>) {}

	/**
	 * Joins the next run and waits for its result.
	 * @param signal - ends the wait of this caller; the run continues for the others
	 */
	async joinNextRun(signal: AbortSignal): Promise<T> {
		signal.throwIfAborted();
		this.nextRun ??= this.startRun();
		return raceWithAbort(this.nextRun, signal);
	}

	private async startRun(): Promise<T> {
		await (this.runningCount === 0 ? Promise.resolve() : this.clock.sleep(probeBatchWindowMs));
		this.nextRun = undefined;
		this.runningCount++;
		try {
			return await this.run();
		} finally {
			this.runningCount--;
		}
	}
}

/**
 * Waits for a promise, or until a signal aborts.
 * @throws the reason of the signal when it aborts
 */
export async function raceWithAbort<T>(promise: Promise<T>, signal: AbortSignal): Promise<T> {
	const abortRejection = deferred<never>();
	const onAbort = () => {
		abortRejection.reject(signal.reason as Error);
	};

	signal.addEventListener('abort', onAbort, {once: true});
	try {
		return await Promise.race([promise, abortRejection.promise]);
	} finally {
		signal.removeEventListener('abort', onAbort);
	}
}
