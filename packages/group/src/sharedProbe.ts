import {type Clock, deferred} from '@crocusloom/model';
import {probeWindowMs} from './timing.js';

/**
 * Shares runs of a question among callers. A caller joins only a run that has not started, so that each answer is newer
 * than the call that it serves.
 */
export class SharedProbe<T> {
	private next?: Promise<T>;
	private running = 0;

	constructor(private readonly clock: Clock, private readonly run: () => Promise<T>) {}

	/**
	 * Joins the next run.
	 * @param signal - ends this caller's wait; the run goes on for the others
	 */
	async ask(signal: AbortSignal): Promise<T> {
		signal.throwIfAborted();
		this.next ??= this.start();
		return endWith(this.next, signal);
	}

	private async start(): Promise<T> {
		await (this.running === 0 ? Promise.resolve() : this.clock.sleep(probeWindowMs));
		this.next = undefined;
		this.running++;
		try {
			return await this.run();
		} finally {
			this.running--;
		}
	}
}

/** Waits for a promise until a signal aborts. */
export async function endWith<T>(promise: Promise<T>, signal: AbortSignal): Promise<T> {
	const aborted = deferred<never>();
	const onAbort = () => {
		aborted.reject(signal.reason as Error);
	};

	signal.addEventListener('abort', onAbort, {once: true});
	try {
		return await Promise.race([promise, aborted.promise]);
	} finally {
		signal.removeEventListener('abort', onAbort);
	}
}
