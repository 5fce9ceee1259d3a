/**
 * Costs that depend on the number of proxies of a deployment. One deployment of each size serves all of them.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {timeChange} from '../configurationChange.js';
import {withDeployment, type RunningDeployment} from '../deployment.js';
import {runLoad} from '../load.js';
import {
	callsBetween, callsDuring, observeBurst, readCalls, setOutage, type CallBurst, type PlatformCalls,
} from '../platformCalls.js';
import {meanResidentBytes, ratesDuring, type ProxyRates} from '../proxyMetrics.js';
import {openCallers} from '../rawCaller.js';
import {buildSeries, type SeriesHead} from '../seriesBuilder.js';
import {type Series} from '../types.js';

export const proxyCounts = [2, 4, 6, 8, 12] as const;

const settleMs = 2000;
const idleMs = 4000;
const busyMs = 2500;
const busyStatementsPerSecond = 300;
const callersPerProxy = 4;
const changeWindowMs = 500;
const outageMs = 2000;
/** Longer than the longest pause between two attempts, which is 5 s. */
const outageIntervals = 6;
/** Intervals after the last proxy is ready. */
const restartIntervals = 2;
const changes = [201, 202, 203] as const;

type ProxyCountRecord = {
	readonly proxies: number;
	readonly residentBytes: number;
	readonly idle: ProxyRates;
	readonly idleCalls: PlatformCalls;
	readonly busy: ProxyRates;
	/** One configuration change, without the calls that would have been made anyway. */
	readonly change: {readonly inForceMs: number; readonly calls: PlatformCalls};
	readonly outage: CallBurst;
	readonly restart: CallBurst;
};

async function measureIdle({operatorUrls, platformControlUrl}: RunningDeployment): Promise<{readonly idle: ProxyRates; readonly idleCalls: PlatformCalls}> {
	let idle: ProxyRates | undefined;
	const idleCalls = await callsDuring(platformControlUrl, async () => {
		idle = await ratesDuring(operatorUrls, async () => sleep(idleMs));
	});
	return {idle: idle!, idleCalls};
}

async function measureBusy({operatorUrls, callerTargets}: RunningDeployment): Promise<ProxyRates> {
	const opened = await Promise.all(callerTargets.map(async target => openCallers(target, callersPerProxy)));
	const callers = Array.from({length: callersPerProxy}, (_, index) => opened.map(ofProxy => ofProxy[index]!)).flat();
	const rates = await ratesDuring(operatorUrls, async () => runLoad({
		callers, perSecond: busyStatementsPerSecond, durationMs: busyMs, statement: () => 'select id from boards where id = 1',
	}));
	for (const caller of callers) {
		caller.close();
	}

	return rates;
}

async function measureChange({operatorUrls, platformControlUrl}: RunningDeployment, idleCalls: PlatformCalls): Promise<ProxyCountRecord['change']> {
	const before = await readCalls(platformControlUrl);
	const startedAtMs = performance.now();
	const times: number[] = [];
	for (const targetMs of changes) {
		times.push(await timeChange(operatorUrls, targetMs));
		await sleep(changeWindowMs);
	}

	const all = callsBetween(before, await readCalls(platformControlUrl));
	const idleShare = (performance.now() - startedAtMs) / idleMs;
	const perChange = (call: keyof PlatformCalls) => (all[call] - (idleCalls[call] * idleShare)) / changes.length;
	return {
		inForceMs: Math.max(...times),
		calls: {
			reads: perChange('reads'), writes: perChange('writes'), watches: perChange('watches'), refused: perChange('refused'),
		},
	};
}

async function measureOutage({platformControlUrl}: RunningDeployment): Promise<CallBurst> {
	await setOutage(platformControlUrl, true);
	await sleep(outageMs);
	await setOutage(platformControlUrl, false);
	return observeBurst(platformControlUrl, outageIntervals);
}

async function measureRestart({cluster, proxies, platformControlUrl}: RunningDeployment): Promise<CallBurst> {
	await Promise.all(proxies.map(async name => cluster.kill(name)));
	const ready = Promise.all(proxies.map(async name => cluster.restart(name)));
	const [burst] = await Promise.all([observeBurst(platformControlUrl, restartIntervals, ready), ready]);
	return burst;
}

async function measureSize(count: number): Promise<ProxyCountRecord> {
	const proxyDomains = Array.from({length: count}, (_, index) => index % 2 === 0 ? 'domain-1' : 'domain-2');
	return withDeployment({proxyDomains, groups: 1, databaseDomains: ['domain-1', 'domain-2', 'domain-1']}, async deployment => {
		await sleep(settleMs);
		const idle = await measureIdle(deployment);
		const residentBytes = await meanResidentBytes(deployment.operatorUrls);
		const busy = await measureBusy(deployment);
		const change = await measureChange(deployment, idle.idleCalls);
		const outage = await measureOutage(deployment);
		const restart = await measureRestart(deployment);
		return {
			proxies: count, residentBytes, ...idle, busy, change, outage, restart,
		};
	});
}

type Column = SeriesHead & {readonly valueOf: (record: ProxyCountRecord) => number};

function column(id: string, title: string, yUnit: string, valueOf: Column['valueOf']): Column {
	return {
		id, title, xName: 'proxies', yUnit, valueOf,
	};
}

function callsOf({reads, writes, watches}: PlatformCalls): number {
	return reads + writes + watches;
}

const idleSeconds = idleMs / 1000;

const columns: readonly Column[] = [
	column('proxy-memory', 'resident memory of a proxy, idle', 'bytes', record => record.residentBytes),
	column('proxy-cpu-idle', 'processor time of a proxy, idle', 'cores', record => record.idle.cpuCores),
	column('peer-bytes-idle', 'sent by a proxy to peers, idle', 'bytes/s', record => record.idle.sentBytesPerSecond),
	column('peer-messages-idle', 'notifications of a proxy to peers, idle', 'messages/s', record => record.idle.notificationsPerSecond),
	column('peer-bytes-busy', `sent by a proxy to peers, ${busyStatementsPerSecond} statements/s in all`, 'bytes/s', record => record.busy.sentBytesPerSecond),
	column('peer-messages-busy', `notifications of a proxy to peers, ${busyStatementsPerSecond} statements/s in all`, 'messages/s', record => record.busy.notificationsPerSecond),
	column('platform-reads-idle', 'reads at the platform by the deployment, idle', 'calls/s', record => record.idleCalls.reads / idleSeconds),
	column('platform-watches-idle', 'watches begun at the platform by the deployment, idle', 'calls/s', record => record.idleCalls.watches / idleSeconds),
	column('platform-writes-idle', 'writes at the platform by the deployment, idle', 'calls/s', record => record.idleCalls.writes / idleSeconds),
	column('change-in-force', 'time until a change is in force at all proxies, longest of three', 'ms', record => record.change.inForceMs),
	column('change-reads', 'reads at the platform for one change', 'calls', record => record.change.calls.reads),
	column('change-writes', 'writes at the platform for one change', 'calls', record => record.change.calls.writes),
	column('outage-calls', `calls at the platform in ${outageIntervals} s after an outage`, 'calls', record => callsOf(record.outage.total)),
	column('outage-peak', 'most calls in one second after an outage', 'calls/s', record => record.outage.mostPerInterval),
	column('restart-calls', `calls at the platform while all proxies restart at once, until ${restartIntervals} s after the last is ready`, 'calls', record => callsOf(record.restart.total)),
	column('restart-peak', 'most calls in one second while all proxies restart at once', 'calls/s', record => record.restart.mostPerInterval),
	column('refused-calls', 'calls refused for their rate, outage and restart', 'calls', record => record.outage.total.refused + record.restart.total.refused),
];

/** Measures a deployment of each size, one after the other. */
export async function measureProxies(): Promise<readonly Series[]> {
	const records: ProxyCountRecord[] = [];
	for (const count of proxyCounts) {
		records.push(await measureSize(count));
	}

	return buildSeries(records, ({proxies}) => proxies, columns);
}
