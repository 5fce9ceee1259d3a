import {setTimeout as sleep} from 'node:timers/promises';
import {ConfigurationStore} from '@crocusloom/control';
import {GroupStateDirectory, GroupMonitors, SqlDatabaseControl} from '@crocusloom/group';
import {rendezvousOrder} from '@crocusloom/membership';
import {noopLogger, systemClock, systemRandom} from '@crocusloom/model';
import {retainedHeapBytes} from '../heap.js';
import {
	createImmutableStore, createGroupEntries, peerRpcWithoutPeers, singleHostMembership, FakeDatabaseDialer,
} from '../inProcessAdapters.js';
import {buildSeries, type SeriesDescription} from '../seriesBuilder.js';
import {type Series} from '../types.js';

const memoryGroupCounts = [1, 100, 200, 400] as const;
/** Above about 100 groups, polling takes a whole core of this process and the rate no longer rises. */
const rateGroupCounts = [1, 20, 40, 80] as const;
const deployment = 'capacity';
const prefix = `crocusloom/${deployment}/`;
const settleMs = 1000;
const observationMs = 2000;
/** Time that closed monitors need to end their running calls. */
const closeDelayMs = 400;

type ConfigurationRecord = {readonly groupCount: number; readonly snapshotBytes: number; readonly heapBytes: number};
type MemoryRecord = {readonly groupCount: number; readonly heapBytes: number; readonly stateMessageBytes: number};
type RateRecord = {
	readonly groupCount: number;
	readonly cpuCores: number;
	readonly statusQueriesPerSecond: number;
	readonly trafficBytesPerSecond: number;
};

async function loadConfiguration(groupCount: number, signal: AbortSignal): Promise<ConfigurationStore> {
	const store = new ConfigurationStore({
		deployment,
		keyValueStore: createImmutableStore(createGroupEntries(prefix, groupCount)),
		peers: peerRpcWithoutPeers,
		membership: singleHostMembership,
		clock: systemClock,
		random: systemRandom,
		log: noopLogger,
		rendezvousOrder,
	});
	await store.start(signal);
	return store;
}

function startMonitors(configuration: ConfigurationStore, dialer: FakeDatabaseDialer): {readonly monitors: GroupMonitors; readonly directory: GroupStateDirectory} {
	const dependencies = {clock: systemClock, random: systemRandom, membership: singleHostMembership};
	const monitors = new GroupMonitors({
		...dependencies,
		configuration,
		deployment,
		createControl: ({name, address, port}) => new SqlDatabaseControl({
			database: name, address, port, dialer, clock: systemClock, random: systemRandom,
		}),
	});
	const directory = new GroupStateDirectory({...dependencies, peers: peerRpcWithoutPeers, localMonitors: monitors});
	directory.start();
	monitors.start(directory);
	return {monitors, directory};
}

/** Measures the processor time of this process and the traffic on monitor connections while the groups are idle. */
async function measureIdleRates({traffic}: FakeDatabaseDialer): Promise<Omit<RateRecord, 'groupCount'>> {
	const before = {...traffic};
	const startedAtMs = performance.now();
	const cpuBefore = process.cpuUsage();
	await sleep(observationMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	const seconds = (performance.now() - startedAtMs) / 1000;
	const bytes = traffic.sentBytes + traffic.receivedBytes - before.sentBytes - before.receivedBytes;
	return {
		cpuCores: (user + system) / 1_000_000 / seconds,
		statusQueriesPerSecond: (traffic.statusQueries - before.statusQueries) / seconds,
		trafficBytesPerSecond: bytes / seconds,
	};
}

/** Loads configurations of all sizes. All of them are kept until the end, because memory freed in between would distort the differences. */
async function measureConfigurations(): Promise<readonly ConfigurationRecord[]> {
	const lifetime = new AbortController();
	const records: ConfigurationRecord[] = [];
	const stores: ConfigurationStore[] = [];
	for (const groupCount of memoryGroupCounts) {
		const beforeBytes = await retainedHeapBytes();
		stores.push(await loadConfiguration(groupCount, lifetime.signal));
		const heapBytes = await retainedHeapBytes() - beforeBytes;
		const snapshotBytes = createGroupEntries(prefix, groupCount).reduce((total, {key, value}) => total + key.length + value.length, 0);
		records.push({groupCount, snapshotBytes, heapBytes});
	}

	lifetime.abort();
	return records;
}

type RunningMonitors = ReturnType<typeof startMonitors> & {readonly dialer: FakeDatabaseDialer; readonly readAddedHeapBytes: () => Promise<number>};

async function withMonitors<T>(groupCount: number, measure: (running: RunningMonitors) => Promise<T>): Promise<T> {
	const lifetime = new AbortController();
	const configuration = await loadConfiguration(groupCount, lifetime.signal);
	const beforeBytes = await retainedHeapBytes();
	const dialer = new FakeDatabaseDialer();
	const running = startMonitors(configuration, dialer);
	try {
		await sleep(settleMs);
		return await measure({...running, dialer, readAddedHeapBytes: async () => await retainedHeapBytes() - beforeBytes});
	} finally {
		running.monitors.close();
		running.directory.close();
		lifetime.abort();
		await sleep(closeDelayMs);
	}
}

async function measureMonitorMemory(groupCount: number): Promise<MemoryRecord> {
	return withMonitors(groupCount, async ({readAddedHeapBytes, directory}) => {
		const stateMessageBytes = JSON.stringify({states: directory.states()}).length;
		return {groupCount, stateMessageBytes, heapBytes: await readAddedHeapBytes()};
	});
}

async function measureMonitorRates(groupCount: number): Promise<RateRecord> {
	return withMonitors(groupCount, async ({dialer}) => ({groupCount, ...await measureIdleRates(dialer)}));
}

function describeSeries(id: string, title: string, yUnit: string): SeriesDescription {
	return {
		id, title, xName: 'groups', yUnit,
	};
}

async function measureEachSize<R>(sizes: readonly number[], measure: (groupCount: number) => Promise<R>): Promise<readonly R[]> {
	const records: R[] = [];
	for (const groupCount of sizes) {
		records.push(await measure(groupCount));
	}

	return records;
}

/** Measures the costs of database groups in this process, with fake databases that answer immediately. */
export async function measureGroups(): Promise<readonly Series[]> {
	const configurations = await measureConfigurations();
	const memory = await measureEachSize(memoryGroupCounts, measureMonitorMemory);
	const rates = await measureEachSize(rateGroupCounts, measureMonitorRates);
	const sizeOf = ({groupCount}: {readonly groupCount: number}) => groupCount;
	return [
		...buildSeries(configurations, sizeOf, [
			{...describeSeries('group-snapshot', 'keys and values of the groups in the store', 'bytes'), valueOf: record => record.snapshotBytes},
			{...describeSeries('group-configuration-memory', 'heap of a configuration store', 'bytes'), valueOf: record => record.heapBytes},
		]),
		...buildSeries(memory, sizeOf, [
			{...describeSeries('group-monitor-memory', 'heap of monitors and promoters', 'bytes'), valueOf: record => record.heapBytes},
			{...describeSeries('group-state-message', 'size of a message with the states of all groups', 'bytes'), valueOf: record => record.stateMessageBytes},
		]),
		...buildSeries(rates, sizeOf, [
			{...describeSeries('group-monitor-cpu', 'processor time of monitors, sockets not included', 'cores'), valueOf: record => record.cpuCores},
			{...describeSeries('group-monitor-questions', 'questions on monitor connections', 'calls/s'), valueOf: record => record.statusQueriesPerSecond},
			{...describeSeries('group-monitor-traffic', 'bytes on monitor connections, both directions', 'bytes/s'), valueOf: record => record.trafficBytesPerSecond},
		]),
	];
}
