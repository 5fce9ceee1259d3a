/**
 * Metrics of the design, derived from what a run measured.
 */
import {decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {type DeploymentTopology} from '@crocusloom/standins';
import {databaseRate, floodStartMs, type Experiment} from './experiments.js';
import {type FailoverGap} from './gaps.js';
import {type InsertCheck} from './insertCheck.js';
import {type PhaseResult} from './phase.js';
import {type ProxyUse} from './proxies.js';
import {timeHistogram} from './recorder.js';
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
	readonly flood?: FloodRetention;
};

/** Service of a rank before and during a flood; rates in completed requests a second. */
export type FloodRetention = {
	readonly beforeRate: number;
	readonly duringRate: number;
	/** What its floor entitles it to, at most what arrives. */
	readonly floorRate: number;
	readonly ofBeforePercent: number;
	readonly ofFloorPercent: number;
	/** Requests that arrived during the flood and completed within the target. */
	readonly withinTargetPercent: number;
};

export type PhaseSummary = {
	readonly deployment: string;
	readonly variant: Variant;
	readonly setting: string;
	readonly ranks: readonly RankSummary[];
	readonly reads: number;
	readonly replicaSharePercent: number;
	/** Share of samples in which a replica was fresh, in percent: the best that the lag allowed. */
	readonly bestSharePercent: number;
	readonly gaps: readonly FailoverGap[];
	readonly connections: PhaseResult['connections'];
	readonly inserts: InsertCheck;
	readonly readYourWritesChecked: number;
	readonly ownLagP99Ms: number;
	readonly ownLagMaxMs: number;
	readonly workerCpuShares: readonly number[];
	readonly peakOutstanding: number;
	readonly proxies: ProxyUse;
	readonly violations: readonly string[];
	readonly problems: readonly string[];
};

const percentDigits = 10;
/** Time at the start of a flood that is left out, so that its onset is not counted as its service. */
const onsetMs = 500;

/** Share in percent with one decimal; of nothing it is 100. */
export function percent(part: number, whole: number): number {
	return whole === 0 ? 100 : Math.round(part / whole * 100 * percentDigits) / percentDigits;
}

/** Sum of a series between two times of the run. */
export function sumBetween(series: readonly number[], fromMs: number, toMs: number): number {
	return series.slice(Math.ceil(fromMs / bucketMs), Math.floor(toMs / bucketMs)).reduce((total, value) => total + value, 0);
}

/** Adds the results of all workers for one rank. */
export function mergeRanks(parts: readonly RankResult[]): Omit<RankResult, 'histogram'> & {readonly latencies: Histogram} {
	const latencies = timeHistogram();
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

/** Adds series of different lengths. */
export function addSeries(parts: ReadonlyArray<readonly number[]>): readonly number[] {
	const length = Math.max(0, ...parts.map(part => part.length));
	return Array.from({length}, (_, index) => parts.reduce((total, part) => total + (part[index] ?? 0), 0));
}

/** Summarizes a run. */
export function summarize(result: PhaseResult, experiment: Experiment, deployment: DeploymentTopology): PhaseSummary {
	const {replicaShare, connections, workers, insertCheck} = result;
	const lag = timeHistogram();
	for (const {ownLag} of workers) {
		lag.add(decodeFromCompressedBase64(ownLag));
	}

	return {
		deployment: result.deployment,
		variant: result.variant,
		setting: result.setting,
		ranks: deployment.workloads.map((_, index) => rankSummary(result, experiment, deployment, index)),
		reads: replicaShare.reads,
		replicaSharePercent: percent(replicaShare.readsAtReplicas, replicaShare.reads),
		bestSharePercent: percent(replicaShare.freshSamples, replicaShare.samples),
		gaps: result.gaps,
		connections,
		inserts: insertCheck,
		readYourWritesChecked: workers.reduce((total, {readYourWrites}) => total + readYourWrites.readsChecked, 0),
		ownLagP99Ms: lag.getValueAtPercentile(99) / 1000,
		ownLagMaxMs: lag.maxValue / 1000,
		workerCpuShares: workers.map(({cpuShare}) => Math.round(cpuShare * 100) / 100),
		peakOutstanding: Math.max(...workers.map(({peakOutstanding}) => peakOutstanding)),
		proxies: result.proxies,
		violations: violationsOf(result),
		problems: result.problems,
	};
}

function rankSummary(result: PhaseResult, experiment: Experiment, deployment: DeploymentTopology, index: number): RankSummary {
	const merged = mergeRanks(result.workers.map(({ranks}) => ranks[index]!));
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
		...(experiment.flood === undefined ? {} : {flood: floodRetention(merged, experiment, deployment, {index, durationMs: result.durationMs})}),
	};
}

function floodRetention(
	{completedSeries, scheduledSeries, withinTargetSeries}: Pick<RankResult, 'completedSeries' | 'scheduledSeries' | 'withinTargetSeries'>,
	experiment: Experiment,
	deployment: DeploymentTopology,
	{index, durationMs}: {readonly index: number; readonly durationMs: number},
): FloodRetention {
	const startMs = floodStartMs(durationMs);
	const rate = (series: readonly number[], fromMs: number, toMs: number) => sumBetween(series, fromMs, toMs) * 1000 / (toMs - fromMs);
	const fromMs = startMs + onsetMs;
	const beforeRate = rate(completedSeries, 0, startMs);
	const duringRate = rate(completedSeries, fromMs, durationMs);
	const arrivingRate = rate(scheduledSeries, fromMs, durationMs);
	const fleetRate = databaseRate(deployment, experiment) * deployment.groups[0]!.databases.length;
	const floorRate = Math.min(arrivingRate, deployment.workloads[index]!.floorShare * fleetRate);
	return {
		beforeRate,
		duringRate,
		floorRate,
		ofBeforePercent: percent(duringRate, beforeRate),
		ofFloorPercent: percent(duringRate, floorRate),
		withinTargetPercent: percent(sumBetween(withinTargetSeries, fromMs, durationMs), sumBetween(scheduledSeries, fromMs, durationMs)),
	};
}

/** What the checks of a run found to be wrong. */
export function violationsOf({workers, insertCheck, connections}: Pick<PhaseResult, 'workers' | 'insertCheck' | 'connections'>): readonly string[] {
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
