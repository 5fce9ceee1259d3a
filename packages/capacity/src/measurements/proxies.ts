/**
 * Measures the costs that depend on the number of proxies of a deployment, all of them on one deployment per size.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {measureChangePropagation} from '../configurationChange.js';
import {withDeployment, type RunningDeployment} from '../deployment.js';
import {runLoad} from '../load.js';
import {
	callsBetween, countCallsDuring, measureCallBurst, readCallCounters, setOutage, type CallBurst, type PlatformCalls,
} from '../platformCalls.js';
import {readMeanResidentBytes, measureRatesDuring, type ProxyRates} from '../proxyMetrics.js';
import {openCallers} from '../rawCaller.js';
import {buildSeries, type SeriesDescription} from '../seriesBuilder.js';
import {type Series} from '../types.js';

export const proxyCounts = [2, 4, 6, 8, 12] as const;

const settleMs = 2000;
const idleMs = 4000;
const busyMs = 2500;
const busyStatementsPerSecond = 300;
const callersPerProxy = 4;
const changeIntervalMs = 500;
const outageMs = 2000;
/** Number of intervals of one second, together longer than the maximum retry delay of 5 s. */
const outageObservationIntervals = 6;
/** Number of intervals of one second after the last proxy is ready. */
const restartObservationIntervals = 2;
const changedTargetsMs = [201, 202, 203] as const;

type ProxyCountRecord = {
	readonly proxyCount: number;
	readonly residentBytes: number;
	readonly idle: ProxyRates;
	readonly idleCalls: PlatformCalls;
	readonly busy: ProxyRates;
	/** Cost of one configuration change, less the calls that an idle deployment makes in the same time. */
	readonly change: {readonly propagationMs: number; readonly calls: PlatformCalls};
	readonly outage: CallBurst;
	readonly restart: CallBurst;
};

async function measureIdle({operatorUrls, platformControlUrl}: RunningDeployment): Promise<{readonly idle: ProxyRates; readonly idleCalls: PlatformCalls}> {
	let idle: ProxyRates | undefined;
	const idleCalls = await countCallsDuring(platformControlUrl, async () => {
		idle = await measureRatesDuring(operatorUrls, async () => sleep(idleMs));
	});
	return {idle: idle!, idleCalls};
}

async function measureBusy({operatorUrls, callerTargets}: RunningDeployment): Promise<ProxyRates> {
	const callersByProxy = await Promise.all(callerTargets.map(async target => openCallers(target, callersPerProxy)));
	const callers = Array.from({length: callersPerProxy}, (_, index) => callersByProxy.map(proxyCallers => proxyCallers[index]!)).flat();
	const rates = await measureRatesDuring(operatorUrls, async () => runLoad({
		callers, statementsPerSecond: busyStatementsPerSecond, durationMs: busyMs, statementText: () => 'select id from boards where id = 1',
	}));
	for (const caller of callers) {
		caller.close();
	}

	return rates;
}

async function measureChange({operatorUrls, platformControlUrl}: RunningDeployment, idleCalls: PlatformCalls): Promise<ProxyCountRecord['change']> {
	const before = await readCallCounters(platformControlUrl);
	const startedAtMs = performance.now();
	const propagationTimesMs: number[] = [];
	for (const targetMs of changedTargetsMs) {
		propagationTimesMs.push(await measureChangePropagation(operatorUrls, targetMs));
		await sleep(changeIntervalMs);
	}

	const allCalls = callsBetween(before, await readCallCounters(platformControlUrl));
	const idleIntervals = (performance.now() - startedAtMs) / idleMs;
	const perChange = (call: keyof PlatformCalls) => (allCalls[call] - (idleCalls[call] * idleIntervals)) / changedTargetsMs.length;
	return {
		propagationMs: Math.max(...propagationTimesMs),
		calls: {
			reads: perChange('reads'), writes: perChange('writes'), watches: perChange('watches'), refused: perChange('refused'),
		},
	};
}

async function measureOutage({platformControlUrl}: RunningDeployment): Promise<CallBurst> {
	await setOutage(platformControlUrl, true);
	await sleep(outageMs);
	await setOutage(platformControlUrl, false);
	return measureCallBurst(platformControlUrl, outageObservationIntervals);
}

async function measureRestart({cluster, proxyNames, platformControlUrl}: RunningDeployment): Promise<CallBurst> {
	await Promise.all(proxyNames.map(async name => cluster.kill(name)));
	const ready = Promise.all(proxyNames.map(async name => cluster.restart(name)));
	const [burst] = await Promise.all([measureCallBurst(platformControlUrl, restartObservationIntervals, ready), ready]);
	return burst;
}

async function measureProxyCount(count: number): Promise<ProxyCountRecord> {
	const proxyDomains = Array.from({length: count}, (_, index) => index % 2 === 0 ? 'domain-1' : 'domain-2');
	return withDeployment({proxyDomains, groupCount: 1, databaseDomains: ['domain-1', 'domain-2', 'domain-1']}, async deployment => {
		await sleep(settleMs);
		const idle = await measureIdle(deployment);
		const residentBytes = await readMeanResidentBytes(deployment.operatorUrls);
		const busy = await measureBusy(deployment);
		const change = await measureChange(deployment, idle.idleCalls);
		const outage = await measureOutage(deployment);
		const restart = await measureRestart(deployment);
		return {
			proxyCount: count, residentBytes, ...idle, busy, change, outage, restart,
		};
	});
}

type Column = SeriesDescription & {readonly valueOf: (record: ProxyCountRecord) => number};

function createColumn(id: string, title: string, yUnit: string, valueOf: Column['valueOf']): Column {
	return {
		id, title, xName: 'proxies', yUnit, valueOf,
	};
}

function totalCalls({reads, writes, watches}: PlatformCalls): number {
	return reads + writes + watches;
}

const idleSeconds = idleMs / 1000;

const columns: readonly Column[] = [
	createColumn('proxy-memory', 'resident memory of a proxy, idle', 'bytes', record => record.residentBytes),
	createColumn('proxy-cpu-idle', 'processor time of a proxy, idle', 'cores', record => record.idle.cpuCores),
	createColumn('peer-bytes-idle', 'sent by a proxy to peers, idle', 'bytes/s', record => record.idle.sentBytesPerSecond),
	createColumn('peer-messages-idle', 'notifications of a proxy to peers, idle', 'messages/s', record => record.idle.notificationsPerSecond),
	createColumn('peer-bytes-busy', `sent by a proxy to peers, ${busyStatementsPerSecond} statements/s in all`, 'bytes/s', record => record.busy.sentBytesPerSecond),
	createColumn('peer-messages-busy', `notifications of a proxy to peers, ${busyStatementsPerSecond} statements/s in all`, 'messages/s', record => record.busy.notificationsPerSecond),
	createColumn('platform-reads-idle', 'reads at the platform by the deployment, idle', 'calls/s', record => record.idleCalls.reads / idleSeconds),
	createColumn('platform-watches-idle', 'watches begun at the platform by the deployment, idle', 'calls/s', record => record.idleCalls.watches / idleSeconds),
	createColumn('platform-writes-idle', 'writes at the platform by the deployment, idle', 'calls/s', record => record.idleCalls.writes / idleSeconds),
	createColumn('change-in-force', 'time until a change is in force at all proxies, longest of three', 'ms', record => record.change.propagationMs),
	createColumn('change-reads', 'reads at the platform for one change', 'calls', record => record.change.calls.reads),
	createColumn('change-writes', 'writes at the platform for one change', 'calls', record => record.change.calls.writes),
	createColumn('outage-calls', `calls at the platform in ${outageObservationIntervals} s after an outage`, 'calls', record => totalCalls(record.outage.total)),
	createColumn('outage-peak', 'most calls in one second after an outage', 'calls/s', record => record.outage.maxCallsPerInterval),
	createColumn(
		'restart-calls',
		`calls at the platform while all proxies restart at once, until ${restartObservationIntervals} s after the last is ready`,
		'calls',
		record => totalCalls(record.restart.total),
	),
	createColumn('restart-peak', 'most calls in one second while all proxies restart at once', 'calls/s', record => record.restart.maxCallsPerInterval),
	createColumn('refused-calls', 'calls refused for their rate, outage and restart', 'calls', record => record.outage.total.refused + record.restart.total.refused),
];

/** Measures one deployment per size, one after the other. */
export async function measureProxies(): Promise<readonly Series[]> {
	const records: ProxyCountRecord[] = [];
	for (const count of proxyCounts) {
		records.push(await measureProxyCount(count));
	}

	return buildSeries(records, ({proxyCount}) => proxyCount, columns);
}
