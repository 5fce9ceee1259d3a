import {setTimeout as sleep} from 'node:timers/promises';
import {withDeployment, type RunningDeployment} from '../deployment.js';
import {runLoad} from '../load.js';
import {ratesBetween, sampleProxy} from '../proxyMetrics.js';
import {openCallers, type RawCaller} from '../rawCaller.js';
import {type Point, type Series} from '../types.js';

const statementRates = [100, 200, 400] as const;
const durationMs = 2500;
const warmUpMs = 1000;
const callerCount = 16;
const settleMs = 4000;

/** All databases are in the failure domain of the first proxy, so that this proxy is the holder of all of them. */
const deploymentSize = {proxyDomains: ['domain-1', 'domain-2'], groupCount: 1, databaseDomains: ['domain-1', 'domain-1', 'domain-1']} as const;

type StatementKind = {readonly id: string; readonly title: string; readonly text: (index: number) => string};

const statementKinds: readonly StatementKind[] = [
	{id: 'read', title: 'reads with a session token', text: () => 'select content from boards where id = 1'},
	{id: 'write', title: 'writes', text: index => `update boards set content = 'board ${index % 100}' where id = ${index % callerCount}`},
];

/** Callers connected to the proxy that is the holder of all databases, and callers connected to the other one. */
type ConnectedCallers = {readonly atHolder: readonly RawCaller[]; readonly atEntry: readonly RawCaller[]};

/** Completed statements per second and the processor time of each proxy. */
type LoadRates = {readonly completedPerSecond: number; readonly holderCores: number; readonly entryCores: number};

/** Measured point of each role at one rate: cores over completed statements per second. */
type RatePoints = {readonly entry: Point; readonly holder: Point; readonly both: Point};

async function openSessionCallers({callerTargets}: RunningDeployment, proxy: number): Promise<readonly RawCaller[]> {
	const callers = await openCallers(callerTargets[proxy]!, callerCount);
	const [firstCaller] = callers;
	await firstCaller!.query('update boards set content = \'x\' where id = 0');
	const [row] = await firstCaller!.query('show crocusloom.session');
	for (const caller of callers) {
		await caller.query(`set crocusloom.session = '${row![0]}'`);
	}

	return callers;
}

async function measureLoad(deployment: RunningDeployment, callers: readonly RawCaller[], kind: StatementKind, perSecond: number): Promise<LoadRates> {
	const before = await Promise.all(deployment.operatorUrls.map(async url => sampleProxy(url)));
	const {completed, failed} = await runLoad({
		callers, statementText: kind.text, statementsPerSecond: perSecond, durationMs,
	});
	const after = await Promise.all(deployment.operatorUrls.map(async url => sampleProxy(url)));
	if (failed > 0) {
		throw new Error(`${failed} of ${completed + failed} statements failed (${kind.id}, ${perSecond}/s)`);
	}

	const seconds = (after[0]!.atMs - before[0]!.atMs) / 1000;
	const [holder, entry] = before.map((sample, index) => ratesBetween(sample, after[index]!));
	return {completedPerSecond: completed / seconds, holderCores: holder!.cpuCores, entryCores: entry!.cpuCores};
}

async function measureRate(deployment: RunningDeployment, callers: ConnectedCallers, kind: StatementKind, perSecond: number): Promise<RatePoints> {
	const localRates = await measureLoad(deployment, callers.atHolder, kind, perSecond);
	const remoteRates = await measureLoad(deployment, callers.atEntry, kind, perSecond);
	return {
		both: {x: localRates.completedPerSecond, y: localRates.holderCores},
		holder: {x: remoteRates.completedPerSecond, y: remoteRates.holderCores},
		entry: {x: remoteRates.completedPerSecond, y: remoteRates.entryCores},
	};
}

async function measureKind(deployment: RunningDeployment, connectedCallers: ConnectedCallers, kind: StatementKind): Promise<readonly Series[]> {
	// Warm-up: the first statements of a kind run code that is not compiled yet and open backend connections.
	for (const callers of [connectedCallers.atHolder, connectedCallers.atEntry]) {
		await runLoad({
			callers, statementText: kind.text, statementsPerSecond: statementRates.at(-1)!, durationMs: warmUpMs,
		});
	}

	const points: RatePoints[] = [];
	for (const perSecond of statementRates) {
		points.push(await measureRate(deployment, connectedCallers, kind, perSecond));
	}

	return (['entry', 'holder', 'both'] as const).map(role => ({
		id: `cpu-${kind.id}-${role}`,
		title: `processor time of a proxy as ${role === 'both' ? 'entry and holder' : role}, ${kind.title}`,
		xName: 'statements/s',
		yUnit: 'cores',
		points: points.map(point => point[role]),
	}));
}

/** Measures the processor time of proxies against statements per second, for each role and kind of statement. */
export async function measureStatements(): Promise<readonly Series[]> {
	return withDeployment(deploymentSize, async deployment => {
		// The second proxy may briefly be the holder of databases, until the first one is known to be alive.
		await sleep(settleMs);
		const callers = {atHolder: await openSessionCallers(deployment, 0), atEntry: await openSessionCallers(deployment, 1)};
		await Promise.all(callers.atHolder.map(async (caller, index) => caller.query(`insert into boards (id, content) values (${index}, 'board')`)));
		const series: Series[] = [];
		for (const kind of statementKinds) {
			series.push(...await measureKind(deployment, callers, kind));
		}

		return series;
	});
}
