import {setTimeout as sleep} from 'node:timers/promises';
import {withDeployment, type RunningDeployment} from '../deployment.js';
import {runLoad} from '../load.js';
import {ratesBetween, sampleProxy} from '../proxyMetrics.js';
import {openCallers, type RawCaller} from '../rawCaller.js';
import {type Point, type Series} from '../types.js';

const rates = [100, 200, 400] as const;
const durationMs = 2500;
const warmUpMs = 1000;
const callerCount = 16;
const settleMs = 4000;

/** All databases stand in the first proxy's failure domain, so that it holds them all. */
const size = {proxyDomains: ['domain-1', 'domain-2'], groups: 1, databaseDomains: ['domain-1', 'domain-1', 'domain-1']} as const;

type StatementKind = {readonly id: string; readonly title: string; readonly text: (index: number) => string};

const kinds: readonly StatementKind[] = [
	{id: 'read', title: 'reads with a session token', text: () => 'select content from boards where id = 1'},
	{id: 'write', title: 'writes', text: index => `update boards set content = 'board ${index % 100}' where id = ${index % callerCount}`},
];

/** Callers connected to the proxy that holds the databases, and to the one that holds none. */
type Sessions = {readonly atHolder: readonly RawCaller[]; readonly atEntry: readonly RawCaller[]};

/** Completed statements a second and cores. */
type LoadRates = {readonly perSecond: number; readonly holderCores: number; readonly entryCores: number};

/** Point of each role at one rate: completed statements/s, and cores. */
type RatePoints = {readonly entry: Point; readonly holder: Point; readonly both: Point};

async function openSessions({callerTargets}: RunningDeployment, proxy: number): Promise<readonly RawCaller[]> {
	const callers = await openCallers(callerTargets[proxy]!, callerCount);
	const [first] = callers;
	await first!.query('update boards set content = \'x\' where id = 0');
	const [row] = await first!.query('show crocusloom.session');
	for (const caller of callers) {
		await caller.query(`set crocusloom.session = '${row![0]}'`);
	}

	return callers;
}

async function loadThrough(deployment: RunningDeployment, callers: readonly RawCaller[], kind: StatementKind, perSecond: number): Promise<LoadRates> {
	const before = await Promise.all(deployment.operatorUrls.map(async url => sampleProxy(url)));
	const {completed, failed} = await runLoad({
		callers, statement: kind.text, perSecond, durationMs,
	});
	const after = await Promise.all(deployment.operatorUrls.map(async url => sampleProxy(url)));
	if (failed > 0) {
		throw new Error(`${failed} of ${completed + failed} statements failed (${kind.id}, ${perSecond}/s)`);
	}

	const seconds = (after[0]!.atMs - before[0]!.atMs) / 1000;
	const [holder, entry] = before.map((sample, index) => ratesBetween(sample, after[index]!));
	return {perSecond: completed / seconds, holderCores: holder!.cpuCores, entryCores: entry!.cpuCores};
}

async function measureRate(deployment: RunningDeployment, sessions: Sessions, kind: StatementKind, perSecond: number): Promise<RatePoints> {
	const local = await loadThrough(deployment, sessions.atHolder, kind, perSecond);
	const remote = await loadThrough(deployment, sessions.atEntry, kind, perSecond);
	return {
		both: {x: local.perSecond, y: local.holderCores},
		holder: {x: remote.perSecond, y: remote.holderCores},
		entry: {x: remote.perSecond, y: remote.entryCores},
	};
}

async function measureKind(deployment: RunningDeployment, sessions: Sessions, kind: StatementKind): Promise<readonly Series[]> {
	// The first statements of a kind run code that is not compiled yet and open connections.
	for (const callers of [sessions.atHolder, sessions.atEntry]) {
		await runLoad({
			callers, statement: kind.text, perSecond: rates.at(-1)!, durationMs: warmUpMs,
		});
	}

	const points: RatePoints[] = [];
	for (const perSecond of rates) {
		points.push(await measureRate(deployment, sessions, kind, perSecond));
	}

	return (['entry', 'holder', 'both'] as const).map(role => ({
		id: `cpu-${kind.id}-${role}`,
		title: `processor time of a proxy as ${role === 'both' ? 'entry and holder' : role}, ${kind.title}`,
		xName: 'statements/s',
		yUnit: 'cores',
		points: points.map(point => point[role]),
	}));
}

/** Processor time of proxies by statements a second, by role and kind of statement. */
export async function measureStatements(): Promise<readonly Series[]> {
	return withDeployment(size, async deployment => {
		// Databases may have been assigned to the second proxy before the first one was known as live.
		await sleep(settleMs);
		const sessions = {atHolder: await openSessions(deployment, 0), atEntry: await openSessions(deployment, 1)};
		await Promise.all(sessions.atHolder.map(async (caller, index) => caller.query(`insert into boards (id, content) values (${index}, 'board')`)));
		const series: Series[] = [];
		for (const kind of kinds) {
			series.push(...await measureKind(deployment, sessions, kind));
		}

		return series;
	});
}
