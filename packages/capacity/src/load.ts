import {setTimeout as sleep} from 'node:timers/promises';
import {type RawCaller} from './rawCaller.js';

export type LoadOptions = {
	readonly callers: readonly RawCaller[];
	/** Text of the statement with a running number. */
	readonly statement: (index: number) => string;
	readonly perSecond: number;
	readonly durationMs: number;
};

export type LoadResult = {readonly completed: number; readonly failed: number; readonly elapsedMs: number};

const tickMs = 5;

/**
 * Starts statements at a fixed rate for a limited time. A statement that is due while all callers are busy is left out,
 * so that a slow proxy lowers the completed rate and does not prolong the load.
 * @returns what was completed, including the statements that were still running at the end
 */
export async function runLoad({callers, statement, perSecond, durationMs}: LoadOptions): Promise<LoadResult> {
	const startedAtMs = performance.now();
	const running = new Set<Promise<void>>();
	let due = 0;
	let next = 0;
	let completed = 0;
	let failed = 0;
	const startOne = (caller: RawCaller, index: number) => {
		const run = caller.query(statement(index)).then(() => {
			completed++;
		}, () => {
			failed++;
		}).finally(() => {
			running.delete(run);
		});
		running.add(run);
	};

	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAtMs) {
		for (; due < elapsedMs * perSecond / 1000; due++) {
			const caller = nextIdle(callers, next);
			if (caller) {
				startOne(caller, next);
			}

			next++;
		}

		await sleep(tickMs);
	}

	await Promise.all(running);
	return {completed, failed, elapsedMs: performance.now() - startedAtMs};
}

function nextIdle(callers: readonly RawCaller[], from: number): RawCaller | undefined {
	for (let offset = 0; offset < callers.length; offset++) {
		const caller = callers[(from + offset) % callers.length]!;
		if (!caller.busy) {
			return caller;
		}
	}

	return undefined;
}
