import {setTimeout as sleep} from 'node:timers/promises';
import {type PlatformCounters} from '@crocusloom/standins';

/** Numbers of calls to the platform, by the kinds that its rate limits distinguish. */
export type PlatformCalls = {
	/** Range reads of the key-value store and reads of the host list. */
	readonly reads: number;
	readonly writes: number;
	/** Watches that were created. */
	readonly watches: number;
	/** Calls that were refused because of a rate limit. */
	readonly refused: number;
};

/** Calls during an observation, in total and in its busiest interval. */
export type CallBurst = {readonly total: PlatformCalls; readonly maxCallsPerInterval: number};

const watchPath = '/v3/watch';
const readPaths: ReadonlySet<string> = new Set(['/v3/kv/range', '/hosts']);
const writePaths: ReadonlySet<string> = new Set(['/v3/kv/txn', '/v3/kv/put']);

/** Adds up the stand-in's counters per path to one number per kind of call. */
export function groupCallsByKind(counters: PlatformCounters): PlatformCalls {
	const sumOf = (paths: ReadonlySet<string>) => Object.entries(counters).filter(([path]) => paths.has(path)).reduce((total, [, count]) => total + count, 0);
	return {
		reads: sumOf(readPaths), writes: sumOf(writePaths), watches: counters[watchPath] ?? 0, refused: counters.refused ?? 0,
	};
}

/** Returns the calls between two readings of the counters. */
export function callsBetween(before: PlatformCalls, after: PlatformCalls): PlatformCalls {
	return {
		reads: after.reads - before.reads,
		writes: after.writes - before.writes,
		watches: after.watches - before.watches,
		refused: after.refused - before.refused,
	};
}

/** Reads the call counters of a platform. */
export async function readCallCounters(controlUrl: string): Promise<PlatformCalls> {
	const response = await fetch(`${controlUrl}/counters`);
	return groupCallsByKind(await response.json() as PlatformCounters);
}

/** Counts the calls while an action runs. */
export async function countCallsDuring(controlUrl: string, run: () => Promise<unknown>): Promise<PlatformCalls> {
	const before = await readCallCounters(controlUrl);
	await run();
	return callsBetween(before, await readCallCounters(controlUrl));
}

const burstIntervalMs = 1000;

/** Limits an observation whose `waitFor` promise never settles. */
const maxIntervals = 20;

/**
 * Counts calls in intervals of one second.
 * @param intervals - number of intervals to observe after `waitFor` has settled
 * @param waitFor - promise to wait for first, for example until all proxies are ready; calls during this wait count as well
 */
export async function measureCallBurst(controlUrl: string, intervals: number, waitFor: Promise<unknown> = Promise.resolve()): Promise<CallBurst> {
	const readings = [await readCallCounters(controlUrl)];
	let remainingIntervals = Number.POSITIVE_INFINITY;
	void waitFor.finally(() => {
		remainingIntervals = intervals;
	}).catch(() => undefined);
	for (; remainingIntervals > 0 && readings.length <= maxIntervals; remainingIntervals--) {
		await sleep(burstIntervalMs);
		readings.push(await readCallCounters(controlUrl));
	}

	const intervalCalls = readings.slice(1).map((reading, index) => callsBetween(readings[index]!, reading));
	return {
		total: callsBetween(readings[0]!, readings.at(-1)!),
		maxCallsPerInterval: Math.max(...intervalCalls.map(({reads, writes, watches}) => reads + writes + watches)),
	};
}

/** Starts or ends an outage, in which the platform refuses connections. */
export async function setOutage(controlUrl: string, isDown: boolean): Promise<void> {
	const response = await fetch(`${controlUrl}/faults`, {method: 'PUT', body: JSON.stringify({down: isDown ? 'refuse' : 'no'})});
	if (!response.ok) {
		throw new Error(`PUT ${controlUrl}/faults answered ${response.status}`);
	}
}
