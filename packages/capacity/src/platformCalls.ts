import {setTimeout as sleep} from 'node:timers/promises';
import {type PlatformCounters} from '@crocusloom/standins';

/** Calls at the platform's service, sorted as its rates are. */
export type PlatformCalls = {
	/** Lists and gets of the store, and reads of the host list. */
	readonly reads: number;
	readonly writes: number;
	/** Watches that were created; each waits until it is renewed. */
	readonly watches: number;
	/** Calls that were refused for their rate. */
	readonly refused: number;
};

/** Calls over a time and in its busiest interval. */
export type CallBurst = {readonly total: PlatformCalls; readonly mostPerInterval: number};

const watchPath = '/v3/watch';
const readPaths: ReadonlySet<string> = new Set(['/v3/kv/range', '/hosts']);
const writePaths: ReadonlySet<string> = new Set(['/v3/kv/txn', '/v3/kv/put']);

/** Sorts the stand-in's counters. */
export function sortCalls(counters: PlatformCounters): PlatformCalls {
	const sumOf = (paths: ReadonlySet<string>) => Object.entries(counters).filter(([path]) => paths.has(path)).reduce((total, [, count]) => total + count, 0);
	return {
		reads: sumOf(readPaths), writes: sumOf(writePaths), watches: counters[watchPath] ?? 0, refused: counters.refused ?? 0,
	};
}

/** Calls between two readings. */
export function callsBetween(before: PlatformCalls, after: PlatformCalls): PlatformCalls {
	return {
		reads: after.reads - before.reads,
		writes: after.writes - before.writes,
		watches: after.watches - before.watches,
		refused: after.refused - before.refused,
	};
}

/** Reads the counters of a platform. */
export async function readCalls(controlUrl: string): Promise<PlatformCalls> {
	const response = await fetch(`${controlUrl}/counters`);
	return sortCalls(await response.json() as PlatformCounters);
}

/** Counts the calls while something runs. */
export async function callsDuring(controlUrl: string, run: () => Promise<unknown>): Promise<PlatformCalls> {
	const before = await readCalls(controlUrl);
	await run();
	return callsBetween(before, await readCalls(controlUrl));
}

const burstIntervalMs = 1000;

/** Ends an observation whose condition does not come true. */
const maximumIntervals = 20;

/**
 * Counts calls in intervals of one second.
 * @param intervals - number of intervals after `until`
 * @param until - what to wait for first, for example that all proxies are ready; calls meanwhile count
 */
export async function observeBurst(controlUrl: string, intervals: number, until: Promise<unknown> = Promise.resolve()): Promise<CallBurst> {
	const readings = [await readCalls(controlUrl)];
	let left = Number.POSITIVE_INFINITY;
	void until.finally(() => {
		left = intervals;
	}).catch(() => undefined);
	for (; left > 0 && readings.length <= maximumIntervals; left--) {
		await sleep(burstIntervalMs);
		readings.push(await readCalls(controlUrl));
	}

	const parts = readings.slice(1).map((reading, index) => callsBetween(readings[index]!, reading));
	return {
		total: callsBetween(readings[0]!, readings.at(-1)!),
		mostPerInterval: Math.max(...parts.map(({reads, writes, watches}) => reads + writes + watches)),
	};
}

/** Makes the platform refuse connections, or end that. */
export async function setOutage(controlUrl: string, isDown: boolean): Promise<void> {
	const response = await fetch(`${controlUrl}/faults`, {method: 'PUT', body: JSON.stringify({down: isDown ? 'refuse' : 'no'})});
	if (!response.ok) {
		throw new Error(`PUT ${controlUrl}/faults answered ${response.status}`);
	}
}
