/**
 * Table of the load experiments. Rates are multiples of what one backend server takes (slots / service time).
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Cluster, type ProcessEndpoint, type DeploymentTopology} from '@crocusloom/standins';
import {findPrimary, setFaults} from './databases.js';
import {type RankLoad, type RateSegment, type Variant} from './types.js';

/** What the events of an experiment work on. */
export type EventContext = {
	readonly cluster: Cluster;
	readonly deployment: DeploymentTopology;
	readonly databases: readonly ProcessEndpoint[];
	readonly variant: Variant;
	readonly durationMs: number;
	/** Notes a fault, whose gap is looked for until the given time from now. */
	readonly noteFault: (fault: string, observedMs: number) => void;
	/** Aborts when the run is over. */
	readonly signal: AbortSignal;
};

export type Experiment = {
	readonly name: string;
	readonly title: string;
	/** Length of the load by default, in milliseconds. */
	readonly durationMs: number;
	readonly serviceMs: number;
	/** Index of the flooding rank; -1 counts from the end. */
	readonly flood?: number;
	/** Causes the failures; called when the load starts. */
	readonly events?: (context: EventContext) => Promise<void>;
	/** Causes failures before the load starts. */
	readonly before?: (context: EventContext) => Promise<void>;
	/** Length of the load for the baseline when nothing happens to it; absent: as for crocusloom. */
	readonly baselineDurationMs?: number;
	/** Connections of the flooding rank in one load process, at most. */
	readonly floodConnections?: number;
	/** What the baseline goes through, if it differs. */
	readonly baselineNote?: string;
};

/** Share of a run before a flood starts. */
const calmShare = 1 / 3;
/** A flood is this many times what all databases of a group can take. */
const floodFactor = 5;
/** Service time of floods; longer than the default of the stand-in, so that the load tool is far from its own limits. */
const floodServiceMs = 20;
const serviceMs = 10;
/** Arrivals of each rank as a multiple of what one database takes; together with the checks below 1, so that the baseline's primary can take them too. */
const steadyFactors = [0.25, 0.3, 0.15] as const;
const writeShares = [0.5, 0, 0.2] as const;
const baseConnections = 24;
/** Connections of a flooding rank in one worker, at most, so that opening them does not take longer than the run. */
export const defaultFloodConnections = 500;

/** Time when a flood starts, from the start of the load. */
export function floodStartMs(durationMs: number): number {
	return Math.round(durationMs * calmShare);
}

/** Statements a second that one database takes. */
export function databaseRate(deployment: DeploymentTopology, experiment: Pick<Experiment, 'serviceMs'>): number {
	return deployment.slotsPerDatabase * 1000 / experiment.serviceMs;
}

/** Load of each rank in one of `workers` processes. */
export function rankLoads(deployment: DeploymentTopology, experiment: Experiment, durationMs: number, workers: number): readonly RankLoad[] {
	const rate = databaseRate(deployment, experiment);
	const fleetRate = rate * deployment.groups[0]!.databases.length;
	const flooding = experiment.flood === undefined ? undefined : (experiment.flood + deployment.workloads.length) % deployment.workloads.length;
	return deployment.workloads.map(({application, targetMs}, index) => {
		const steady: RateSegment = {fromMs: 0, ratePerSecond: steadyFactors[index]! * rate / workers};
		const isFlooding = index === flooding;
		const flood: RateSegment = {fromMs: floodStartMs(durationMs), ratePerSecond: floodFactor * fleetRate / workers};
		// A queue takes what is served within the target; twice that leaves arrivals for it to refuse.
		const floodConnections = Math.min(experiment.floodConnections ?? defaultFloodConnections, Math.ceil(2 * fleetRate * targetMs / 1000 / workers));
		return {
			rank: application,
			targetMs,
			writeShare: writeShares[index]!,
			segments: isFlooding ? [steady, flood] : [steady],
			connections: isFlooding ? Math.max(baseConnections, floodConnections) : baseConnections,
		};
	});
}

const faultMs = 3000;
const recoveryMs = 1500;

/** Freezes, cuts off and kills the primary, one after the other. */
async function losePrimaries({cluster, databases, noteFault, signal}: EventContext): Promise<void> {
	await sleep(1000, undefined, {signal});
	const faults: ReadonlyArray<readonly [string, (primary: ProcessEndpoint) => Promise<void>, (primary: ProcessEndpoint) => Promise<void>]> = [
		['freeze', async primary => setFaults(primary, {frozen: true}), async primary => setFaults(primary, {frozen: false})],
		['cut', async primary => setFaults(primary, {cut: ['127.0.0.1']}), async primary => setFaults(primary, {cut: []})],
		['kill', async primary => cluster.kill(primary.name), async () => undefined],
	];
	for (const [name, cause, heal] of faults) {
		const primary = await findPrimary(databases);
		if (!primary) {
			noteFault(`${name} (no primary to fail)`, faultMs);
			continue;
		}

		noteFault(name, faultMs);
		await cause(primary);
		await sleep(faultMs);
		await heal(primary);
		await sleep(recoveryMs, undefined, {signal});
	}
}

async function loseHost({cluster, deployment, durationMs, noteFault, signal, variant}: EventContext): Promise<void> {
	if (variant === 'baseline') {
		return;
	}

	await sleep(durationMs / 3, undefined, {signal});
	noteFault('entry host killed', durationMs / 2);
	await cluster.kill(deployment.proxies[0]!.name);
}

async function stopPlatform({cluster, deployment}: EventContext): Promise<void> {
	const platform = cluster.endpoints().processes.find(({kind, deployment: of}) => kind === 'platform' && of === deployment.name)!;
	await setFaults(platform, {down: 'refuse'});
}

/** Time between the restarts of two proxies. */
const restartStepMs = 500;

async function restartProxies({cluster, deployment, durationMs, noteFault, signal, variant}: EventContext): Promise<void> {
	if (variant === 'baseline') {
		return;
	}

	await sleep(durationMs / 5, undefined, {signal});
	noteFault('all proxies restarted', durationMs * 3 / 5);
	await Promise.all(deployment.proxies.map(async ({name}, index) => {
		await sleep(index * restartStepMs);
		await cluster.process(name).stop();
		await cluster.restart(name);
	}));
}

export const experiments: readonly Experiment[] = [
	{
		name: 'steady', title: 'Steady load', durationMs: 4000, serviceMs,
	},
	{
		name: 'flood-least', title: 'Flood of the least urgent rank', durationMs: 5000, serviceMs: floodServiceMs, flood: -1,
	},
	{
		name: 'flood-most', title: 'Flood of the most urgent rank', durationMs: 5000, serviceMs: floodServiceMs, flood: 0,
	},
	{
		name: 'primary-lost', title: 'Primary frozen, cut off and killed', durationMs: 13_500, serviceMs, events: losePrimaries,
		baselineNote: 'The baseline has nobody who promotes: it waits for the same primary.',
	},
	{
		name: 'host-lost', title: 'Entry host killed', durationMs: 5000, baselineDurationMs: 2000, serviceMs, events: loseHost,
		baselineNote: 'The baseline has no entry hosts and runs undisturbed.',
	},
	{
		name: 'platform-down', title: 'Platform down for the whole run', durationMs: 4000, baselineDurationMs: 2000, serviceMs, before: stopPlatform,
	},
	{
		name: 'mass-restart', title: 'All proxies restarted', durationMs: 8000, baselineDurationMs: 2000, serviceMs, events: restartProxies,
		baselineNote: 'The baseline has no proxies and runs undisturbed.',
	},
];
