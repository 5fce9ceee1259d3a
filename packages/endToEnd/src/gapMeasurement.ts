/**
 * Measures the failover gap: the time without acknowledged writes after a primary fails under a steady load.
 */
import {FaultCluster} from './faultCluster.js';
import {primaryFaults, type PrimaryFaultName} from './faults.js';
import {type LoadGenerator} from './loadGenerator.js';

export type GapOptions = {readonly kind: PrimaryFaultName; readonly count: number; readonly seed: number};

/** Result of one failure. `gapMs` is the longest time without an acknowledged write, or undefined if none followed within 13 s. */
export type GapSample = {readonly gapMs: number | undefined; readonly violations: readonly string[]};

export type GapReport = {
	readonly kind: PrimaryFaultName;
	readonly seed: number;
	readonly count: number;
	readonly medianMs: number | undefined;
	readonly worstMs: number | undefined;
	/** Failures after which no write was acknowledged within 13 s. */
	readonly unservedCount: number;
	readonly violations: readonly string[];
};

/** Injects the failures one after the other into one cluster, each with a separate load and history. */
export async function measureGaps({kind, count, seed}: GapOptions): Promise<readonly GapSample[]> {
	const faultCluster = new FaultCluster();
	const samples: GapSample[] = [];
	try {
		await faultCluster.start();
		for (let index = 0; index < count; index++) {
			samples.push(await measureGap(faultCluster, kind, (seed * count) + index));
		}
	} finally {
		await faultCluster.stop();
	}

	return samples;
}

async function measureGap(faultCluster: FaultCluster, kind: PrimaryFaultName, seed: number): Promise<GapSample> {
	const loadGenerator = await faultCluster.startLoad(seed);
	await loadGenerator.waitForAcknowledgedWrites();
	const primary = await faultCluster.findPrimary();
	const failedAtMs = performance.now();
	await primaryFaults[kind](faultCluster, primary);
	const hasRecovered = await loadGenerator.waitForAcknowledgedWrites(1).then(() => true, () => false);
	const gapMs = hasRecovered ? longestGapMs(loadGenerator, failedAtMs) : undefined;
	await faultCluster.clearFaults();
	await faultCluster.waitUntilHealthy();
	return {gapMs, violations: await loadGenerator.finish()};
}

/** Returns the longest time between two acknowledgements, beginning with the last one before the failure. */
function longestGapMs(loadGenerator: LoadGenerator, failedAtMs: number): number {
	const lastBeforeFailure = loadGenerator.acknowledgementTimesMs.findLastIndex(atMs => atMs <= failedAtMs);
	const times = loadGenerator.acknowledgementTimesMs.slice(Math.max(lastBeforeFailure, 0));
	return Math.max(0, ...times.slice(1).map((atMs, index) => atMs - times[index]!));
}

/** Summarizes the samples of one kind of failure. */
export function summarizeGaps(kind: PrimaryFaultName, seed: number, samples: readonly GapSample[]): GapReport {
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

/** Formats the reports as a Markdown table. */
export function formatGapTable(reports: readonly GapReport[]): string {
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
