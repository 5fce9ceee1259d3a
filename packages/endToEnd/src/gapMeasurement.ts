/**
 * Failover gap: the time during which no write is acknowledged when a primary fails under a steady load.
 */
import {FaultCluster} from './faultCluster.js';
import {primaryFaults, type PrimaryFault} from './faults.js';
import {type Load} from './load.js';

export type GapOptions = {readonly kind: PrimaryFault; readonly count: number; readonly seed: number};

/** One failure: the longest time without an acknowledged write, undefined if none followed within the bound of 13 s. */
export type GapSample = {readonly gapMs: number | undefined; readonly violations: readonly string[]};

export type GapReport = {
	readonly kind: PrimaryFault;
	readonly seed: number;
	readonly count: number;
	readonly medianMs: number | undefined;
	readonly worstMs: number | undefined;
	/** Failures after which no write was acknowledged within 13 s. */
	readonly unservedCount: number;
	readonly violations: readonly string[];
};

/** Causes the failures one after the other in one cluster, each with a load and a history of its own. */
export async function measureGaps({kind, count, seed}: GapOptions): Promise<readonly GapSample[]> {
	const faults = new FaultCluster();
	const samples: GapSample[] = [];
	try {
		await faults.start();
		for (let index = 0; index < count; index++) {
			samples.push(await measureOne(faults, kind, (seed * count) + index));
		}
	} finally {
		await faults.stop();
	}

	return samples;
}

async function measureOne(faults: FaultCluster, kind: PrimaryFault, seed: number): Promise<GapSample> {
	const load = await faults.startLoad(seed);
	await load.untilServed();
	const primary = await faults.primary();
	const failedAtMs = performance.now();
	await primaryFaults[kind](faults, primary);
	const isServed = await load.untilServed(1).then(() => true, () => false);
	const gapMs = isServed ? longestGapMs(load, failedAtMs) : undefined;
	await faults.heal();
	await faults.untilHealthy();
	return {gapMs, violations: await load.finish()};
}

/** Longest time between two acknowledgements from the last one before the failure on. */
function longestGapMs(load: Load, failedAtMs: number): number {
	const first = load.acknowledgements.findLastIndex(atMs => atMs <= failedAtMs);
	const times = load.acknowledgements.slice(Math.max(first, 0));
	return Math.max(0, ...times.slice(1).map((atMs, index) => atMs - times[index]!));
}

/** Summarizes the samples of one kind. */
export function reportOf(kind: PrimaryFault, seed: number, samples: readonly GapSample[]): GapReport {
	const gaps = samples.map(({gapMs}) => gapMs).filter(gapMs => gapMs !== undefined).toSorted((a, b) => a - b);
	return {
		kind,
		seed,
		count: samples.length,
		medianMs: gaps[Math.floor((gaps.length - 1) / 2)],
		worstMs: gaps.at(-1),
		unservedCount: samples.length - gaps.length,
		violations: samples.flatMap(({violations}) => violations),
	};
}

/** Markdown table of the reports. */
export function tableOf(reports: readonly GapReport[]): string {
	const rows = reports.map(({kind, seed, count, medianMs, worstMs, unservedCount, violations}) =>
		`| ${[kind, count, seed, formatMs(medianMs), formatMs(worstMs), unservedCount, violations.length].join(' | ')} |`);
	return [
		'| failure | count | seed | gap median | gap worst | not served within 13 s | violations |',
		'|---|---|---|---|---|---|---|',
		...rows,
	].join('\n');
}

function formatMs(ms: number | undefined): string {
	return ms === undefined ? 'none' : `${Math.round(ms)} ms`;
}
