import {maximumWatcherRetryMs, watchSessionDurationMs} from '@crocusloom/control';
import {meanReaderSilenceMs, readIntervalMs} from '@crocusloom/membership';
import {type MeasurementResult, type FittedSeries} from './types.js';

/** The size expected in about two years, from section 1 of the design page. */
export const targetSize = {
	nodes: 820,
	databases: 1300,
	connections: 5_900_000,
	statementsPerSecond: 2_700_000,
	failureDomains: 8,
	databasesPerGroup: 3,
	/** The larger of today's two deployment sizes. */
	hostsPerDeployment: 5,
	/** Number of failure domains of a deployment of that size. One host in each of them reads the host list. */
	domainsPerDeployment: 4,
} as const;

/** A figure that is computed for the target size. */
export type TargetFigure = {
	readonly figure: string;
	readonly unit: string;
	/** Explains the formula, with the ids of its series. */
	readonly derivation: string;
	readonly limit?: number;
	/** Undefined if a series of the formula was not measured. */
	readonly value: number | undefined;
};

/** Looks up measured series by id. All functions return NaN for a series that was not measured. */
export type SeriesLookup = {
	readonly slope: (id: string) => number;
	/** Value of the fitted line at size 0. */
	readonly intercept: (id: string) => number;
	/** Measured value at the size that is closest to `x`. */
	readonly nearestValue: (id: string, x: number) => number;
};

/** Creates a lookup over the series of all results. */
export function createSeriesLookup(results: readonly MeasurementResult[]): SeriesLookup {
	const allSeries: readonly FittedSeries[] = results.flatMap(result => result.kind === 'measured' ? result.results : []);
	const byId = new Map(allSeries.map(series => [series.id, series]));
	return {
		slope: id => byId.get(id)?.line?.slope ?? Number.NaN,
		intercept: id => byId.get(id)?.line?.intercept ?? Number.NaN,
		nearestValue: (id, x) => byId.get(id)?.points.toSorted((a, b) => Math.abs(a.x - x) - Math.abs(b.x - x))[0]?.y ?? Number.NaN,
	};
}

const {nodes, databases, hostsPerDeployment, domainsPerDeployment, databasesPerGroup} = targetSize;
const groupCount = databases / databasesPerGroup;
/** The databases of a group have different holders, and each holder monitors the whole group. */
const monitoredGroupsPerNode = databases / nodes;
const connectionsPerNode = targetSize.connections / nodes;
const statementsPerNode = targetSize.statementsPerSecond / nodes;
const deploymentCount = nodes / hostsPerDeployment;
const stateMessagesPerSecond = 2;
const msPerSecond = 1000;
const localStatementShare = 1 / hostsPerDeployment;
const watchesPerSecond = nodes * msPerSecond / watchSessionDurationMs;
/** Delays after refused calls are random, with the maximum as their upper limit. */
const refusedWatchesPerSecond = nodes * msPerSecond / (maximumWatcherRetryMs / 2);
const hostListReadsPerSecond = deploymentCount * domainsPerDeployment * msPerSecond / readIntervalMs;
/** While reads fail, no host hears a reader, and the other hosts read as well. */
const failedHostListReadsPerSecond = hostListReadsPerSecond + (deploymentCount * (hostsPerDeployment - domainsPerDeployment) * msPerSecond / meanReaderSilenceMs);

type Formula = Omit<TargetFigure, 'value'> & {readonly valueOf: (series: SeriesLookup) => number};

function computeStatementCores({slope}: SeriesLookup, kind: string): number {
	const remote = slope(`cpu-${kind}-entry`) + slope(`cpu-${kind}-holder`);
	return statementsPerNode * (((1 - localStatementShare) * remote) + (localStatementShare * slope(`cpu-${kind}-both`)));
}

function computeControlCores({slope, intercept}: SeriesLookup): number {
	return intercept('cpu-monitored-groups') + (monitoredGroupsPerNode * slope('cpu-monitored-groups')) + ((hostsPerDeployment - 1) * slope('proxy-cpu-idle'));
}

/** Includes the intercepts of the lines, because they matter in small deployments. */
function computeControlHeapBytes({slope, intercept, nearestValue}: SeriesLookup): number {
	const configuration = intercept('group-configuration-memory') + (groupCount / deploymentCount * slope('group-configuration-memory'));
	const monitors = intercept('group-monitor-memory') + (monitoredGroupsPerNode * slope('group-monitor-memory'));
	return configuration + monitors + nearestValue('member-memory', hostsPerDeployment);
}

function computePeerBytesPerSecond({slope, nearestValue}: SeriesLookup, hostCount: number): number {
	return nearestValue('member-bytes', hostCount) + (monitoredGroupsPerNode * stateMessagesPerSecond * (hostCount - 1) * slope('group-state-message'));
}

const formulas: readonly Formula[] = [
	{
		figure: 'statements as entry and as holder, all reads',
		unit: 'cores',
		derivation: 'cpu-read-*, 3,293/s, a fifth local',
		valueOf: series => computeStatementCores(series, 'read'),
	},
	{
		figure: 'statements as entry and as holder, all writes',
		unit: 'cores',
		derivation: 'cpu-write-*, 3,293/s, a fifth local',
		valueOf: series => computeStatementCores(series, 'write'),
	},
	{
		figure: 'callers',
		unit: 'MB',
		derivation: 'memory-idle-callers × 7,195',
		valueOf: ({slope}) => connectionsPerNode * slope('memory-idle-callers') / 1e6,
	},
	{
		figure: '10 prepared statements a caller, texts differ',
		unit: 'MB',
		derivation: 'memory-prepared-statements × 71,951',
		valueOf: ({slope}) => connectionsPerNode * 10 * slope('memory-prepared-statements') / 1e6,
	},
	{
		figure: 'control: group monitors',
		unit: 'cores',
		derivation: 'cpu-monitored-groups × 1.59',
		limit: 0.029,
		valueOf: ({slope}) => monitoredGroupsPerNode * slope('cpu-monitored-groups'),
	},
	{
		figure: 'control: peers',
		unit: 'cores',
		derivation: 'proxy-cpu-idle × 4',
		limit: 0.029,
		valueOf: ({slope}) => (hostsPerDeployment - 1) * slope('proxy-cpu-idle'),
	},
	{
		figure: 'control: the idle process without monitors and peers',
		unit: 'cores',
		derivation: 'cpu-monitored-groups at size 0',
		limit: 0.029,
		valueOf: ({intercept}) => intercept('cpu-monitored-groups'),
	},
	{
		figure: 'control: processor time in all',
		unit: 'cores',
		derivation: 'the three rows above',
		limit: 0.029,
		valueOf: series => computeControlCores(series),
	},
	{
		figure: 'control: sent to peers',
		unit: 'bytes/s',
		derivation: 'member-bytes near 5 + group-state-message × 1.59 × 2/s × 4',
		limit: 3000,
		valueOf: series => computePeerBytesPerSecond(series, hostsPerDeployment),
	},
	{
		figure: 'control: monitor connections',
		unit: 'bytes/s',
		derivation: 'group-monitor-traffic × 1.59',
		limit: 3000,
		valueOf: ({slope}) => monitoredGroupsPerNode * slope('group-monitor-traffic'),
	},
	{
		figure: 'control: heap of configuration, monitors and members',
		unit: 'MB',
		derivation: 'group-configuration-memory at 2.64 + group-monitor-memory at 1.59 + member-memory near 5',
		limit: 64,
		valueOf: series => computeControlHeapBytes(series) / 1e6,
	},
	{
		figure: 'platform shared: waiting watches',
		unit: 'watches',
		derivation: '2 a failure domain, so every host of 5 in 4 domains',
		valueOf: () => nodes,
	},
	{
		figure: 'platform shared: reads and new watches, idle',
		unit: 'calls/s',
		derivation: '820 / 2 s + 164 × 4 / s',
		limit: 2000,
		valueOf: () => watchesPerSecond + hostListReadsPerSecond,
	},
	{
		figure: 'platform shared: calls refused, pauses of 0.7 s on average',
		unit: 'calls/s',
		derivation: '820 / 0.7 s + 164 × (4 / s + 1 / 1.62 s)',
		limit: 2000,
		valueOf: () => refusedWatchesPerSecond + failedHostListReadsPerSecond,
	},
	{
		figure: 'platform shared: after an outage, all in one second',
		unit: 'calls/s',
		derivation: '820 × 2 + host list',
		limit: 2000,
		valueOf: () => (nodes * 2) + hostListReadsPerSecond,
	},
	{
		figure: 'platform shared: all restart in one second',
		unit: 'calls/s',
		derivation: '820 × (snapshot, host list, watch with its snapshot)',
		limit: 2000,
		valueOf: () => nodes * 4,
	},
	{
		figure: 'one per customer: reads and new watches, idle',
		unit: 'calls/s',
		derivation: 'the shared rate / 164',
		valueOf: () => (watchesPerSecond + hostListReadsPerSecond) / deploymentCount,
	},
	{
		figure: 'one deployment: sent to peers by a node',
		unit: 'bytes/s',
		derivation: 'member-bytes near 820 + group-state-message × 1.59 × 2/s × 819',
		limit: 3000,
		valueOf: series => computePeerBytesPerSecond(series, nodes),
	},
	{
		figure: 'one deployment: peers',
		unit: 'cores',
		derivation: 'proxy-cpu-idle × 819',
		limit: 0.029,
		valueOf: ({slope}) => (nodes - 1) * slope('proxy-cpu-idle'),
	},
	{
		figure: 'one deployment: group entries of a snapshot',
		unit: 'bytes',
		derivation: 'group-snapshot × 433',
		valueOf: ({slope}) => groupCount * slope('group-snapshot'),
	},
	{
		figure: 'one deployment: heap of the configuration',
		unit: 'MB',
		derivation: 'group-configuration-memory × 433',
		valueOf: ({slope}) => groupCount * slope('group-configuration-memory') / 1e6,
	},
];

/** Computes the figures for the target size. */
export function computeTargetFigures(results: readonly MeasurementResult[]): readonly TargetFigure[] {
	const series = createSeriesLookup(results);
	return formulas.map(({valueOf, ...formula}) => {
		const value = valueOf(series);
		return {...formula, value: Number.isFinite(value) ? value : undefined};
	});
}
