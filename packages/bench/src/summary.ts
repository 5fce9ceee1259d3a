/**
 * Computes the summary metrics and violations of a trial.
 */
import {decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {type DeploymentTopology} from '@crocusloom/standins';
import {databaseCapacity, floodStartMs, type Experiment} from './experiments.js';
import {type FailoverGap} from './gaps.js';
import {type InsertCheck} from './insertCheck.js';
import {type ProxyUsage} from './proxies.js';
import {createTimeHistogram} from './recorder.js';
import {type TrialResult} from './trial.js';
import {
	bucketMs, outcomes, type Outcome, type RankResult, type Variant,
} from './types.js';

export type RankSummary = {
	readonly rank: string;
	readonly targetMs: number;
	readonly scheduled: number;
	/** Requests completed within the target, in percent of all arrivals. */
	readonly withinTargetPercent: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly counts: Readonly<Record<Outcome, number>>;
	readonly errors: Readonly<Record<string, number>>;
	readonly flood?: FloodSummary;
};

/** Service of a rank before and during a flood. Rates are in completed requests per second. */
export type FloodSummary = {
	readonly beforeRate: number;
	readonly duringRate: number;
	/** Rate guaranteed by the rank's floor, capped at its arrival rate. */
	readonly floorRate: number;
	readonly ofBeforePercent: number;
	readonly ofFloorPercent: number;
	/** Requests that arrived during the flood and completed within the target, in percent of the arrivals during the flood. */
	readonly withinTargetPercent: number;
};

export type TrialSummary = {
	readonly deployment: string;
	readonly variant: Variant;
	readonly setting: string;
	readonly ranks: readonly RankSummary[];
	readonly reads: number;
	readonly replicaSharePercent: number;
	/** Samples in which a replica was fresh, in percent; an upper bound on the share that the replication lag allows. */
	readonly bestSharePercent: number;
	readonly gaps: readonly FailoverGap[];
	readonly connections: TrialResult['connections'];
	readonly inserts: InsertCheck;
	readonly readYourWritesChecked: number;
	readonly ownLagP99Ms: number;
	readonly ownLagMaxMs: number;
	readonly workerCpuShares: readonly number[];
	readonly peakOutstanding: number;
	readonly proxies: ProxyUsage;
	readonly violations: readonly string[];
	readonly problems: readonly string[];
};

const percentScale = 10;
/** Time at the start of a flood that is excluded, so that the transition does not count as service during the flood. */
const floodOnsetMs = 500;

/** Percentage with one decimal; 100 if `whole` is 0. */
export function percent(part: number, whole: number): number {
	return whole === 0 ? 100 : Math.round(part / whole * 100 * percentScale) / percentScale;
}

/** Sums the buckets of a series that lie entirely between two times, in milliseconds since the start of the load. */
export function sumBetween(series: readonly number[], fromMs: number, toMs: number): number {
	return series.slice(Math.ceil(fromMs / bucketMs), Math.floor(toMs / bucketMs)).reduce((total, value) => total + value, 0);
}

/** Merges the results of all workers for one rank. */
export function mergeRankResults(parts: readonly RankResult[]): Omit<RankResult, 'histogram'> & {readonly latencies: Histogram} {
	const latencies = createTimeHistogram();
	const errors: Record<string, number> = {};
	for (const part of parts) {
		latencies.add(decodeFromCompressedBase64(part.histogram));
		for (const [reason, count] of Object.entries(part.errors)) {
			errors[reason] = (errors[reason] ?? 0) + count;
		}
	}

	return {
		rank: parts[0]!.rank,
		targetMs: parts[0]!.targetMs,
		scheduled: parts.reduce((total, {scheduled}) => total + scheduled, 0),
		counts: Object.fromEntries(outcomes.map(outcome => [outcome, parts.reduce((total, {counts}) => total + counts[outcome], 0)])) as Record<Outcome, number>,
		scheduledSeries: addSeries(parts.map(part => part.scheduledSeries)),
		withinTargetSeries: addSeries(parts.map(part => part.withinTargetSeries)),
		completedSeries: addSeries(parts.map(part => part.completedSeries)),
		errors,
		latencies,
	};
}

/** Adds series element by element; missing elements of shorter series count as 0. */
export function addSeries(parts: ReadonlyArray<readonly number[]>): readonly number[] {
	const length = Math.max(0, ...parts.map(part => part.length));
	return Array.from({length}, (_, index) => parts.reduce((total, part) => total + (part[index] ?? 0), 0));
}

/** Summarizes a trial. */
export function summarizeTrial(result: TrialResult, experiment: Experiment, deployment: DeploymentTopology): TrialSummary {
	const {replicaShare, connections, workers, insertCheck} = result;
	const schedulingLag = createTimeHistogram();
	for (const {ownLag} of workers) {
		schedulingLag.add(decodeFromCompressedBase64(ownLag));
	}

	return {
		deployment: result.deployment,
		variant: result.variant,
		setting: result.setting,
		ranks: deployment.workloads.map((_, index) => summarizeRank(result, experiment, deployment, index)),
		reads: replicaShare.reads,
		replicaSharePercent: percent(replicaShare.readsAtReplicas, replicaShare.reads),
		bestSharePercent: percent(replicaShare.freshSamples, replicaShare.samples),
		gaps: result.gaps,
		connections,
		inserts: insertCheck,
		readYourWritesChecked: workers.reduce((total, {readYourWrites}) => total + readYourWrites.readsChecked, 0),
		ownLagP99Ms: schedulingLag.getValueAtPercentile(99) / 1000,
		ownLagMaxMs: schedulingLag.maxValue / 1000,
		workerCpuShares: workers.map(({cpuShare}) => Math.round(cpuShare * 100) / 100),
		peakOutstanding: Math.max(...workers.map(({peakOutstanding}) => peakOutstanding)),
		proxies: result.proxies,
		violations: findViolations(result),
		problems: result.problems,
	};
}

function summarizeRank(result: TrialResult, experiment: Experiment, deployment: DeploymentTopology, index: number): RankSummary {
	const merged = mergeRankResults(result.workers.map(({ranks}) => ranks[index]!));
	const {rank, targetMs, scheduled, counts, errors, latencies, withinTargetSeries} = merged;
	return {
		rank,
		targetMs,
		scheduled,
		withinTargetPercent: percent(sumBetween(withinTargetSeries, 0, Infinity), scheduled),
		p50Ms: latencies.getValueAtPercentile(50) / 1000,
		p99Ms: latencies.getValueAtPercentile(99) / 1000,
		counts,
		errors,
		...(experiment.floodRankIndex === undefined ? {} : {flood: summarizeFlood(merged, experiment, deployment, {index, durationMs: result.durationMs})}),
	};
}

function summarizeFlood(
	{completedSeries, scheduledSeries, withinTargetSeries}: Pick<RankResult, 'completedSeries' | 'scheduledSeries' | 'withinTargetSeries'>,
	experiment: Experiment,
	deployment: DeploymentTopology,
	{index, durationMs}: {readonly index: number; readonly durationMs: number},
): FloodSummary {
	const startMs = floodStartMs(durationMs);
	const rate = (series: readonly number[], fromMs: number, toMs: number) => sumBetween(series, fromMs, toMs) * 1000 / (toMs - fromMs);
	const fromMs = startMs + floodOnsetMs;
	const beforeRate = rate(completedSeries, 0, startMs);
	const duringRate = rate(completedSeries, fromMs, durationMs);
	const arrivingRate = rate(scheduledSeries, fromMs, durationMs);
	const groupCapacity = databaseCapacity(deployment, experiment) * deployment.groups[0]!.databases.length;
	const floorRate = Math.min(arrivingRate, deployment.workloads[index]!.floorShare * groupCapacity);
	return {
		beforeRate,
		duringRate,
		floorRate,
		ofBeforePercent: percent(duringRate, beforeRate),
		ofFloorPercent: percent(duringRate, floorRate),
		withinTargetPercent: percent(sumBetween(withinTargetSeries, fromMs, durationMs), sumBetween(scheduledSeries, fromMs, durationMs)),
	};
}

/** Lists the violations of read-your-writes, of insert results and of connection limits in a trial. */
export function findViolations({workers, insertCheck, connections}: Pick<TrialResult, 'workers' | 'insertCheck' | 'connections'>): readonly string[] {
	const {lost, doubled, ranAlthoughNotRun, examples} = insertCheck;
	const counts: ReadonlyArray<readonly [number, string]> = [
		[lost, 'acknowledged inserts are lost'],
		[doubled, 'inserts have more than one row'],
		[ranAlthoughNotRun, 'inserts reported as not run have a row'],
	];
	return [
		...workers.flatMap(({readYourWrites}) => readYourWrites.violations).map(text => `read-your-writes: ${text}`),
		...counts.filter(([count]) => count > 0).map(([count, text]) => `${count} ${text}, for example ${examples.join(', ')}`),
		...connections.filter(({refused, maximum, limit}) => refused > 0 || maximum > limit)
			.map(({database, maximum, limit, refused}) => `${database}: ${maximum} connections of ${limit}, ${refused} refused`),
	];
}
