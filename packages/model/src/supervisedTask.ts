import {errorStackOf} from './failure.js';
import {type Clock, type Logger} from './ports.js';

/** Delay before a task that ended with an error is started again. */
export const taskRestartDelayMs = 500;

export type SupervisorPorts = {readonly clock: Clock; readonly log: Logger};

/**
 * Runs a task until the signal aborts. A task that ends with an error before is logged and started again, because the process would
 * otherwise go on without it.
 * @param task - name of the task in the log
 * @param run - starts the task; resolves or rejects when it ends
 * @param signal - ends the task
 */
export async function runSupervised(task: string, run: () => Promise<void>, {clock, log}: SupervisorPorts, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			await run();
			return;
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			log.error({task, restartInMs: taskRestartDelayMs, reason: errorStackOf(error)}, 'a task ended unexpectedly');
			// The sleep ends early only if the signal aborts, which also ends the loop.
			await clock.sleep(taskRestartDelayMs, signal).catch(() => undefined);
		}
	}
}
