import {type MeasurementResult, type SlopeResult} from './types.js';

/** The size that is expected in about two years (design page, section 1). */
export const target = {
	nodes: 820,
	databases: 1300,
	connections: 5_900_000,
	statementsPerSecond: 2_700_000,
	failureDomains: 8,
	databasesPerGroup: 3,
	/** Larger of the two sizes of a deployment of today. */
	hostsPerDeployment: 5,
	/** Failure domains of a deployment of that size; each has one reader of the host list. */
	domainsPerDeployment: 4,
} as const;

/** A figure for the target size. */
export type WorkedOut = {
	readonly figure: string;
	readonly unit: string;
	/** How it was worked out, with the ids of the series. */
	readonly from: string;
	readonly limit?: number;
	/** Undefined if a series is missing. */
	readonly value: number | undefined;
};

/** Access to the lines by series id. All give NaN for a series that was not measured. */
export type Slopes = {
	readonly slope: (id: string) => number;
	readonly atZero: (id: string) => number;
	/** Measured value at the size closest to `x`. */
	readonly near: (id: string, x: number) => number;
};

/** Collects the series of all results. */
export function slopesOf(results: readonly MeasurementResult[]): Slopes {
	const all: readonly SlopeResult[] = results.flatMap(result => result.kind === 'measured' ? result.results : []);
	const byId = new Map(all.map(series => [series.id, series]));
	return {
		slope: id => byId.get(id)?.line?.slope ?? Number.NaN,
		atZero: id => byId.get(id)?.line?.intercept ?? Number.NaN,
		near: (id, x) => byId.get(id)?.points.toSorted((a, b) => Math.abs(a.x - x) - Math.abs(b.x - x))[0]?.y ?? Number.NaN,
	};
}

const {nodes, databases, hostsPerDeployment, domainsPerDeployment, databasesPerGroup} = target;
const groups = databases / databasesPerGroup;
/** Each of a group's databases has another holder, and each holder monitors the group. */
const monitoredPerNode = databases / nodes;
const connectionsPerNode = target.connections / nodes;
const statementsPerNode = target.statementsPerSecond / nodes;
const deployments = nodes / hostsPerDeployment;
const statesPerSecond = 2;
const watchSessionSeconds = 4;
const longestPauseSeconds = 5;
const fallbackSeconds = 15;
const localShare = 1 / hostsPerDeployment;
const watches = nodes / watchSessionSeconds;
const hostListReads = deployments * (domainsPerDeployment + ((hostsPerDeployment - domainsPerDeployment) / fallbackSeconds));

type Formula = Omit<WorkedOut, 'value'> & {readonly valueOf: (slopes: Slopes) => number};

function statementCores({slope}: Slopes, kind: string): number {
	const remote = slope(`cpu-${kind}-entry`) + slope(`cpu-${kind}-holder`);
	return statementsPerNode * (((1 - localShare) * remote) + (localShare * slope(`cpu-${kind}-both`)));
}

function controlCores({slope, atZero}: Slopes): number {
	return atZero('cpu-monitored-groups') + (monitoredPerNode * slope('cpu-monitored-groups')) + ((hostsPerDeployment - 1) * slope('proxy-cpu-idle'));
}

/** The constant parts of the lines count as well, because deployments are small. */
function controlHeapBytes({slope, atZero, near}: Slopes): number {
	const configuration = atZero('group-configuration-memory') + (groups / deployments * slope('group-configuration-memory'));
	const monitors = atZero('group-monitor-memory') + (monitoredPerNode * slope('group-monitor-memory'));
	return configuration + monitors + near('member-memory', hostsPerDeployment);
}

function peerBytes({slope, near}: Slopes, hosts: number): number {
	return near('member-bytes', hosts) + (monitoredPerNode * statesPerSecond * (hosts - 1) * slope('group-state-message'));
}

const formulas: readonly Formula[] = [
	{
		figure: 'statements as entry and as holder, all reads',
		unit: 'cores',
		from: 'cpu-read-*, 3,293/s, a fifth local',
		valueOf: slopes => statementCores(slopes, 'read'),
	},
	{
		figure: 'statements as entry and as holder, all writes',
		unit: 'cores',
		from: 'cpu-write-*, 3,293/s, a fifth local',
		valueOf: slopes => statementCores(slopes, 'write'),
	},
	{
		figure: 'callers',
		unit: 'MB',
		from: 'memory-idle-callers × 7,195',
		valueOf: ({slope}) => connectionsPerNode * slope('memory-idle-callers') / 1e6,
	},
	{
		figure: '10 prepared statements a caller, texts differ',
		unit: 'MB',
		from: 'memory-prepared-statements × 71,951',
		valueOf: ({slope}) => connectionsPerNode * 10 * slope('memory-prepared-statements') / 1e6,
	},
	{
		figure: 'control: group monitors',
		unit: 'cores',
		from: 'cpu-monitored-groups × 1.59',
		limit: 0.029,
		valueOf: ({slope}) => monitoredPerNode * slope('cpu-monitored-groups'),
	},
	{
		figure: 'control: peers',
		unit: 'cores',
		from: 'proxy-cpu-idle × 4',
		limit: 0.029,
		valueOf: ({slope}) => (hostsPerDeployment - 1) * slope('proxy-cpu-idle'),
	},
	{
		figure: 'control: the idle process without monitors and peers',
		unit: 'cores',
		from: 'cpu-monitored-groups at size 0',
		limit: 0.029,
		valueOf: ({atZero}) => atZero('cpu-monitored-groups'),
	},
	{
		figure: 'control: processor time in all',
		unit: 'cores',
		from: 'the three rows above',
		limit: 0.029,
		valueOf: slopes => controlCores(slopes),
	},
	{
		figure: 'control: sent to peers',
		unit: 'bytes/s',
		from: 'member-bytes near 5 + group-state-message × 1.59 × 2/s × 4',
		limit: 3000,
		valueOf: slopes => peerBytes(slopes, hostsPerDeployment),
	},
	{
		figure: 'control: monitor connections',
		unit: 'bytes/s',
		from: 'group-monitor-traffic × 1.59',
		limit: 3000,
		valueOf: ({slope}) => monitoredPerNode * slope('group-monitor-traffic'),
	},
	{
		figure: 'control: heap of configuration, monitors and members',
		unit: 'MB',
		from: 'group-configuration-memory at 2.64 + group-monitor-memory at 1.59 + member-memory near 5',
		limit: 64,
		valueOf: slopes => controlHeapBytes(slopes) / 1e6,
	},
	{
		figure: 'platform shared: waiting watches',
		unit: 'watches',
		from: '2 a failure domain, so every host of 5 in 4 domains',
		valueOf: () => nodes,
	},
	{
		figure: 'platform shared: reads and new watches, idle',
		unit: 'calls/s',
		from: '820 / 4 s + 164 × (4 + 1/15)',
		limit: 2000,
		valueOf: () => watches + hostListReads,
	},
	{
		figure: 'platform shared: after an outage, pauses spread over 5 s',
		unit: 'calls/s',
		from: '820 × 2 / 5 s + host list',
		limit: 2000,
		valueOf: () => (nodes * 2 / longestPauseSeconds) + hostListReads,
	},
	{
		figure: 'platform shared: after an outage, all in one second',
		unit: 'calls/s',
		from: '820 × 2 + host list',
		limit: 2000,
		valueOf: () => (nodes * 2) + hostListReads,
	},
	{
		figure: 'platform shared: all restart in one second',
		unit: 'calls/s',
		from: '820 × (snapshot, host list, watch with its snapshot)',
		limit: 2000,
		valueOf: () => nodes * 4,
	},
	{
		figure: 'one per customer: reads and new watches, idle',
		unit: 'calls/s',
		from: 'the shared rate / 164',
		valueOf: () => (watches + hostListReads) / deployments,
	},
	{
		figure: 'one deployment: sent to peers by a node',
		unit: 'bytes/s',
		from: 'member-bytes near 820 + group-state-message × 1.59 × 2/s × 819',
		limit: 3000,
		valueOf: slopes => peerBytes(slopes, nodes),
	},
	{
		figure: 'one deployment: peers',
		unit: 'cores',
		from: 'proxy-cpu-idle × 819',
		limit: 0.029,
		valueOf: ({slope}) => (nodes - 1) * slope('proxy-cpu-idle'),
	},
	{
		figure: 'one deployment: group entries of a snapshot',
		unit: 'bytes',
		from: 'group-snapshot × 433',
		valueOf: ({slope}) => groups * slope('group-snapshot'),
	},
	{
		figure: 'one deployment: heap of the configuration',
		unit: 'MB',
		from: 'group-configuration-memory × 433',
		valueOf: ({slope}) => groups * slope('group-configuration-memory') / 1e6,
	},
];

/** Works out the figures of the target size. */
export function workOut(results: readonly MeasurementResult[]): readonly WorkedOut[] {
	const slopes = slopesOf(results);
	return formulas.map(({valueOf, ...formula}) => {
		const value = valueOf(slopes);
		return {...formula, value: Number.isFinite(value) ? value : undefined};
	});
}
