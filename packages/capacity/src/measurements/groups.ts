import {setTimeout as sleep} from 'node:timers/promises';
import {ConfigurationStore} from '@crocusloom/control';
import {GroupStateDirectory, GroupMonitors, SqlDatabaseControl} from '@crocusloom/group';
import {rendezvousOrder} from '@crocusloom/membership';
import {noopLogger, systemClock, systemRandom} from '@crocusloom/model';
import {keptBytes} from '../heap.js';
import {
	fixedStore, groupEntries, noPeers, singleMember, StatusDialer,
} from '../inProcess.js';
import {buildSeries, type SeriesHead} from '../seriesBuilder.js';
import {type Series} from '../types.js';

const memoryGroupCounts = [1, 100, 200, 400] as const;
/** Above about 100 groups, the polls of this one process take a whole core, and their rate no longer rises. */
const rateGroupCounts = [1, 20, 40, 80] as const;
const deployment = 'capacity';
const prefix = `crocusloom/${deployment}/`;
const settleMs = 1000;
const observeMs = 2000;
/** Time in which closed monitors end their calls. */
const closeMs = 400;

type ConfigurationRecord = {readonly groups: number; readonly snapshotBytes: number; readonly configurationBytes: number};
type MemoryRecord = {readonly groups: number; readonly monitorBytes: number; readonly stateMessageBytes: number};
type RateRecord = {
	readonly groups: number;
	readonly cpuCores: number;
	readonly questionsPerSecond: number;
	readonly trafficBytesPerSecond: number;
};

async function loadConfiguration(groups: number, signal: AbortSignal): Promise<ConfigurationStore> {
	const store = new ConfigurationStore({
		deployment,
		keyValueStore: fixedStore(groupEntries(prefix, groups)),
		peers: noPeers,
		membership: singleMember,
		clock: systemClock,
		random: systemRandom,
		log: noopLogger,
		rendezvousOrder,
	});
	await store.start(signal);
	return store;
}

function startMonitors(configuration: ConfigurationStore, dialer: StatusDialer): {readonly monitors: GroupMonitors; readonly directory: GroupStateDirectory} {
	const parts = {clock: systemClock, random: systemRandom, membership: singleMember};
	const monitors = new GroupMonitors({
		...parts,
		configuration,
		deployment,
		createControl: ({name, address, port}) => new SqlDatabaseControl({
			database: name, address, port, dialer, clock: systemClock, random: systemRandom,
		}),
	});
	const directory = new GroupStateDirectory({...parts, peers: noPeers, localMonitors: monitors});
	directory.start();
	monitors.start(directory);
	return {monitors, directory};
}

/** Processor time of this process and traffic on monitor connections while monitors run idle. */
async function observe({traffic}: StatusDialer): Promise<Omit<RateRecord, 'groups'>> {
	const before = {...traffic};
	const startedAtMs = performance.now();
	const cpuBefore = process.cpuUsage();
	await sleep(observeMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	const seconds = (performance.now() - startedAtMs) / 1000;
	const bytes = traffic.sentBytes + traffic.receivedBytes - before.sentBytes - before.receivedBytes;
	return {
		cpuCores: (user + system) / 1_000_000 / seconds,
		questionsPerSecond: (traffic.questions - before.questions) / seconds,
		trafficBytesPerSecond: bytes / seconds,
	};
}

/** Loads configurations of all sizes and keeps them, so that nothing that is freed meanwhile counts against them. */
async function measureConfigurations(): Promise<readonly ConfigurationRecord[]> {
	const lifetime = new AbortController();
	const records: ConfigurationRecord[] = [];
	const kept: ConfigurationStore[] = [];
	for (const groups of memoryGroupCounts) {
		const before = await keptBytes();
		kept.push(await loadConfiguration(groups, lifetime.signal));
		const configurationBytes = await keptBytes() - before;
		const snapshotBytes = groupEntries(prefix, groups).reduce((total, {key, value}) => total + key.length + value.length, 0);
		records.push({groups, snapshotBytes, configurationBytes});
	}

	lifetime.abort();
	return records;
}

type RunningMonitors = ReturnType<typeof startMonitors> & {readonly dialer: StatusDialer; readonly addedBytes: () => Promise<number>};

async function withMonitors<T>(groups: number, run: (running: RunningMonitors) => Promise<T>): Promise<T> {
	const lifetime = new AbortController();
	const configuration = await loadConfiguration(groups, lifetime.signal);
	const before = await keptBytes();
	const dialer = new StatusDialer();
	const running = startMonitors(configuration, dialer);
	try {
		await sleep(settleMs);
		return await run({...running, dialer, addedBytes: async () => await keptBytes() - before});
	} finally {
		running.monitors.close();
		running.directory.close();
		lifetime.abort();
		await sleep(closeMs);
	}
}

async function measureMemory(groups: number): Promise<MemoryRecord> {
	return withMonitors(groups, async ({addedBytes, directory}) => {
		const stateMessageBytes = JSON.stringify({states: directory.states()}).length;
		return {groups, stateMessageBytes, monitorBytes: await addedBytes()};
	});
}

async function measureRates(groups: number): Promise<RateRecord> {
	return withMonitors(groups, async ({dialer}) => ({groups, ...await observe(dialer)}));
}

function head(id: string, title: string, yUnit: string): SeriesHead {
	return {
		id, title, xName: 'groups', yUnit,
	};
}

async function recordEach<R>(sizes: readonly number[], measure: (groups: number) => Promise<R>): Promise<readonly R[]> {
	const records: R[] = [];
	for (const groups of sizes) {
		records.push(await measure(groups));
	}

	return records;
}

/** Costs of database groups, measured in this process with databases that answer at once. */
export async function measureGroups(): Promise<readonly Series[]> {
	const configurations = await measureConfigurations();
	const memory = await recordEach(memoryGroupCounts, measureMemory);
	const rates = await recordEach(rateGroupCounts, measureRates);
	const sizeOf = ({groups}: {readonly groups: number}) => groups;
	return [
		...buildSeries(configurations, sizeOf, [
			{...head('group-snapshot', 'keys and values of the groups in the store', 'bytes'), valueOf: record => record.snapshotBytes},
			{...head('group-configuration-memory', 'heap of a configuration store', 'bytes'), valueOf: record => record.configurationBytes},
		]),
		...buildSeries(memory, sizeOf, [
			{...head('group-monitor-memory', 'heap of monitors and promoters', 'bytes'), valueOf: record => record.monitorBytes},
			{...head('group-state-message', 'size of a message with the states of all groups', 'bytes'), valueOf: record => record.stateMessageBytes},
		]),
		...buildSeries(rates, sizeOf, [
			{...head('group-monitor-cpu', 'processor time of monitors, sockets not included', 'cores'), valueOf: record => record.cpuCores},
			{...head('group-monitor-questions', 'questions on monitor connections', 'calls/s'), valueOf: record => record.questionsPerSecond},
			{...head('group-monitor-traffic', 'bytes on monitor connections, both directions', 'bytes/s'), valueOf: record => record.trafficBytesPerSecond},
		]),
	];
}
