import {setTimeout as sleep} from 'node:timers/promises';
import {type RawCaller} from './rawCaller.js';

export type LoadOptions = {
	readonly callers: readonly RawCaller[];
	/** Returns the SQL text of the statement with the given sequence number. */
	readonly statementText: (index: number) => string;
	readonly statementsPerSecond: number;
	readonly durationMs: number;
};

/** Numbers of statements that completed and failed, and the duration until the last one ended. */
export type LoadResult = {readonly completed: number; readonly failed: number; readonly elapsedMs: number};

const tickIntervalMs = 5;

/**
 * Starts statements at a fixed rate for a limited time. A statement that is due while all callers are busy is skipped, so
 * that a slow proxy lowers the rate of completed statements and does not prolong the load.
 * @returns counts that include the statements that were still running when the time was over
 */
export async function runLoad({callers, statementText, statementsPerSecond, durationMs}: LoadOptions): Promise<LoadResult> {
	const startedAtMs = performance.now();
	const running = new Set<Promise<void>>();
	let dueCount = 0;
	let nextIndex = 0;
	let completed = 0;
	let failed = 0;
	const startStatement = (caller: RawCaller, index: number) => {
		const run = caller.query(statementText(index)).then(() => {
			completed++;
		}, () => {
			failed++;
		}).finally(() => {
			running.delete(run);
		});
		running.add(run);
	};

	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAtMs) {
		for (; dueCount < elapsedMs * statementsPerSecond / 1000; dueCount++) {
			const caller = findIdleCaller(callers, nextIndex);
			if (caller) {
				startStatement(caller, nextIndex);
			}

			nextIndex++;
		}

		await sleep(tickIntervalMs);
	}

	await Promise.all(running);
	return {completed, failed, elapsedMs: performance.now() - startedAtMs};
}

function findIdleCaller(callers: readonly RawCaller[], startIndex: number): RawCaller | undefined {
	for (let offset = 0; offset < callers.length; offset++) {
		const caller = callers[(startIndex + offset) % callers.length]!;
		if (!caller.isBusy) {
			return caller;
		}
	}

	return undefined;
}
