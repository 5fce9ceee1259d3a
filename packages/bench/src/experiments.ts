/**
 * Definitions of the load experiments. Rates are multiples of the capacity of one backend server (slots / service time).
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Cluster, type DeploymentTopology, type ProcessEndpoint} from '@crocusloom/standins';
import {findPrimary, setFaults} from './databases.js';
import {type RankLoad, type RateSegment, type Variant} from './types.js';

/** Context of the fault injection of an experiment. */
export type FaultContext = {
	readonly cluster: Cluster;
	readonly deployment: DeploymentTopology;
	readonly databases: readonly ProcessEndpoint[];
	readonly variant: Variant;
	readonly durationMs: number;
	/** Records a fault that happens now; its failover gap is searched for during the next `observationMs`. */
	readonly recordFault: (fault: string, observationMs: number) => void;
	/** Aborts at the end of the load. */
	readonly signal: AbortSignal;
};

export type Experiment = {
	readonly name: string;
	readonly title: string;
	/** Default duration of the load. */
	readonly durationMs: number;
	/** Service time of a statement in the stand-in database. */
	readonly serviceMs: number;
	/** Index of the rank that floods; negative values count from the end. */
	readonly floodRankIndex?: number;
	/** Injects faults; called at the start of the measured load. */
	readonly injectFaults?: (context: FaultContext) => Promise<void>;
	/** Injects faults before the load starts. */
	readonly injectFaultsBeforeLoad?: (context: FaultContext) => Promise<void>;
	/** Duration of the baseline's load if it is shorter because no fault affects the baseline; defaults to `durationMs`. */
	readonly baselineDurationMs?: number;
	/** Maximum connections of the flooding rank in one worker process. */
	readonly floodConnections?: number;
	/** How the baseline's run differs, for the output. */
	readonly baselineNote?: string;
};

/** Fraction of the load before a flood starts. */
const preFloodShare = 1 / 3;
/** Arrival rate of a flood as a multiple of the capacity of all databases of the group. */
const floodFactor = 5;
/** Service time in the flood experiments; longer than the stand-in's default, to keep the load tool well below its own limits. */
const floodServiceMs = 20;
const standardServiceMs = 10;
/** Arrival rate of each rank as a multiple of one database's capacity. The sum, including the checks, is below 1 so that the baseline's single primary can serve it. */
const steadyLoadFactors = [0.25, 0.3, 0.15] as const;
/** Fraction of writes of each rank. */
const writeShares = [0.5, 0, 0.2] as const;
const connectionsPerRank = 24;
/** Default maximum of connections of a flooding rank in one worker; more would take longer to open than the load lasts. */
export const defaultFloodConnections = 500;

/** Start of a flood, in milliseconds since the start of the load. */
export function floodStartMs(durationMs: number): number {
	return Math.round(durationMs * preFloodShare);
}

/** Capacity of one database, in statements per second. */
export function databaseCapacity(deployment: DeploymentTopology, experiment: Pick<Experiment, 'serviceMs'>): number {
	return deployment.slotsPerDatabase * 1000 / experiment.serviceMs;
}

/** Computes the load of each rank in one of `workers` processes. */
export function rankLoads(deployment: DeploymentTopology, experiment: Experiment, durationMs: number, workers: number): readonly RankLoad[] {
	const capacity = databaseCapacity(deployment, experiment);
	const groupCapacity = capacity * deployment.groups[0]!.databases.length;
	const floodingIndex = experiment.floodRankIndex === undefined ? undefined : (experiment.floodRankIndex + deployment.workloads.length) % deployment.workloads.length;
	return deployment.workloads.map(({application, targetMs}, index) => {
		const steady: RateSegment = {fromMs: 0, ratePerSecond: steadyLoadFactors[index]! * capacity / workers};
		const isFlooding = index === floodingIndex;
		const flood: RateSegment = {fromMs: floodStartMs(durationMs), ratePerSecond: floodFactor * groupCapacity / workers};
		// An admission queue accepts what it can serve within the target. Twice as many connections produce arrivals that it has to reject.
		const floodConnections = Math.min(experiment.floodConnections ?? defaultFloodConnections, Math.ceil(2 * groupCapacity * targetMs / 1000 / workers));
		return {
			rank: application,
			targetMs,
			writeShare: writeShares[index]!,
			segments: isFlooding ? [steady, flood] : [steady],
			connections: isFlooding ? Math.max(connectionsPerRank, floodConnections) : connectionsPerRank,
		};
	});
}

const faultDurationMs = 3000;
const recoveryPauseMs = 1500;

/** Freezes, partitions and kills the current primary, one fault after the other. */
async function failPrimaries({cluster, databases, recordFault, signal}: FaultContext): Promise<void> {
	await sleep(1000, undefined, {signal});
	const faults: ReadonlyArray<readonly [string, (primary: ProcessEndpoint) => Promise<void>, (primary: ProcessEndpoint) => Promise<void>]> = [
		['freeze', async primary => setFaults(primary, {frozen: true}), async primary => setFaults(primary, {frozen: false})],
		['cut', async primary => setFaults(primary, {cut: ['127.0.0.1']}), async primary => setFaults(primary, {cut: []})],
		['kill', async primary => cluster.kill(primary.name), async () => undefined],
	];
	for (const [name, injectFault, clearFault] of faults) {
		const primary = await findPrimary(databases);
		if (!primary) {
			recordFault(`${name} (no primary to fail)`, faultDurationMs);
			continue;
		}

		recordFault(name, faultDurationMs);
		await injectFault(primary);
		await sleep(faultDurationMs);
		await clearFault(primary);
		await sleep(recoveryPauseMs, undefined, {signal});
	}
}

async function killEntryHost({cluster, deployment, durationMs, recordFault, signal, variant}: FaultContext): Promise<void> {
	if (variant === 'baseline') {
		return;
	}

	await sleep(durationMs / 3, undefined, {signal});
	recordFault('entry host killed', durationMs / 2);
	await cluster.kill(deployment.proxies[0]!.name);
}

async function stopPlatform({cluster, deployment}: FaultContext): Promise<void> {
	const platform = cluster.endpoints().processes.find(({kind, deployment: deploymentName}) => kind === 'platform' && deploymentName === deployment.name)!;
	await setFaults(platform, {down: 'refuse'});
}

/** Interval between the restarts of two proxies. */
const restartIntervalMs = 500;

async function restartProxies({cluster, deployment, durationMs, recordFault, signal, variant}: FaultContext): Promise<void> {
	if (variant === 'baseline') {
		return;
	}

	await sleep(durationMs / 5, undefined, {signal});
	recordFault('all proxies restarted', durationMs * 3 / 5);
	await Promise.all(deployment.proxies.map(async ({name}, index) => {
		await sleep(index * restartIntervalMs);
		await cluster.process(name).stop();
		await cluster.restart(name);
	}));
}

export const experiments: readonly Experiment[] = [
	{
		name: 'steady', title: 'Steady load', durationMs: 4000, serviceMs: standardServiceMs,
	},
	{
		name: 'flood-least', title: 'Flood of the least urgent rank', durationMs: 5000, serviceMs: floodServiceMs, floodRankIndex: -1,
	},
	{
		name: 'flood-most', title: 'Flood of the most urgent rank', durationMs: 5000, serviceMs: floodServiceMs, floodRankIndex: 0,
	},
	{
		name: 'primary-lost', title: 'Primary frozen, cut off and killed', durationMs: 13_500, serviceMs: standardServiceMs, injectFaults: failPrimaries,
		baselineNote: 'The baseline has nobody who promotes: it waits for the same primary.',
	},
	{
		name: 'host-lost', title: 'Entry host killed', durationMs: 5000, baselineDurationMs: 2000, serviceMs: standardServiceMs, injectFaults: killEntryHost,
		baselineNote: 'The baseline has no entry hosts and runs undisturbed.',
	},
	{
		name: 'platform-down', title: 'Platform down for the whole run', durationMs: 4000, baselineDurationMs: 2000, serviceMs: standardServiceMs, injectFaultsBeforeLoad: stopPlatform,
	},
	{
		name: 'mass-restart', title: 'All proxies restarted', durationMs: 8000, baselineDurationMs: 2000, serviceMs: standardServiceMs, injectFaults: restartProxies,
		baselineNote: 'The baseline has no proxies and runs undisturbed.',
	},
];
