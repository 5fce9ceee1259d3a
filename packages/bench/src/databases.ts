/**
 * Client of the control ports of the stand-ins (counters, faults, status), and sampling of the share of reads that replicas serve.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	type CounterValues, type FaultSettings, type PlatformFaults, type ProcessEndpoint,
} from '@crocusloom/standins';

/** Status of a database as reported by its control port. */
export type DatabaseStatus = {
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly position: {readonly term: number; readonly offsetBytes: number};
	readonly isWritable: boolean;
};

/** Connections of one database against its limit; `maximum` is the highest number open at once. */
export type ConnectionCount = {readonly database: string; readonly limit: number; readonly maximum: number; readonly opened: number; readonly refused: number};

const requestTimeoutMs = 1000;
const sampleIntervalMs = 200;

async function requestJson<T>(url: string, method = 'GET', body?: unknown): Promise<T> {
	const response = await fetch(url, {
		method,
		signal: AbortSignal.timeout(requestTimeoutMs),
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	if (!response.ok) {
		throw new Error(`${method} ${url} returned status ${response.status}`);
	}

	return await response.json() as T;
}

/** Sets the fault injection switches of a stand-in. */
export async function setFaults(endpoint: ProcessEndpoint, faults: Partial<FaultSettings> | Partial<PlatformFaults>): Promise<void> {
	await requestJson(`${endpoint.controlUrl}/faults`, 'PUT', faults);
}

/** Fetches the counters of a database. @returns undefined if it does not respond */
export async function fetchCounters(database: ProcessEndpoint): Promise<CounterValues | undefined> {
	return requestJson<CounterValues>(`${database.controlUrl}/counters`).catch(() => undefined);
}

/** Fetches the status of a database. @returns undefined if it does not respond */
export async function fetchStatus(database: ProcessEndpoint): Promise<DatabaseStatus | undefined> {
	return requestJson<DatabaseStatus>(`${database.controlUrl}/status`).catch(() => undefined);
}

/** Finds the database in the primary role with the highest fenced term, if there is one. */
export async function findPrimary(databases: readonly ProcessEndpoint[]): Promise<ProcessEndpoint | undefined> {
	const candidates = await Promise.all(databases.map(async database => ({database, status: await fetchStatus(database)})));
	return candidates
		.filter(({status}) => status?.role === 'primary')
		.toSorted((a, b) => b.status!.fencedTerm - a.status!.fencedTerm)[0]?.database;
}

/** Fetches the connection counts of the databases that respond. */
export async function fetchConnectionCounts(databases: readonly ProcessEndpoint[], limit: number): Promise<readonly ConnectionCount[]> {
	const counts = await Promise.all(databases.map(async database => {
		const counters = await fetchCounters(database);
		return counters
			? [{
				database: database.name, limit, maximum: counters.maxConnections, opened: counters.connectionsOpened, refused: counters.connectionsRefused,
			}]
			: [];
	}));
	return counts.flat();
}

/** Reads served by replicas, and how often a replica was fresh enough to serve them. */
export type ReplicaShare = {
	readonly reads: number;
	readonly readsAtReplicas: number;
	/** Samples in which at least one replica had reached the primary's position of the previous sample; an upper bound on the share that the replication lag allows. */
	readonly freshSamples: number;
	/** Samples in which a writable primary responded. */
	readonly samples: number;
};

type DatabaseSample = {readonly selectCount: number; readonly status: DatabaseStatus | undefined};

/**
 * Samples the databases until the signal aborts. The reads between two samples are attributed to the database's role in the
 * second sample. The counters of a restarted process start again at zero.
 */
export async function sampleReplicaShare(databases: readonly ProcessEndpoint[], signal: AbortSignal): Promise<ReplicaShare> {
	let share: ReplicaShare = {
		reads: 0, readsAtReplicas: 0, freshSamples: 0, samples: 0,
	};
	let before = await fetchSamples(databases);
	while (!signal.aborted) {
		await sleep(sampleIntervalMs);
		const after = await fetchSamples(databases);
		share = addReadsBetween(share, before, after);
		before = keepLastCounts(before, after);
	}

	return share;
}

/** Carries the last count over for databases that do not respond. */
function keepLastCounts(before: readonly DatabaseSample[], after: readonly DatabaseSample[]): readonly DatabaseSample[] {
	return after.map((sample, index) => sample.status ? sample : {...sample, selectCount: before[index]!.selectCount});
}

async function fetchSamples(databases: readonly ProcessEndpoint[]): Promise<readonly DatabaseSample[]> {
	const statuses = await Promise.all(databases.map(async database => fetchStatus(database)));
	const counters = await Promise.all(databases.map(async database => fetchCounters(database)));
	return databases.map((_, index) => ({
		selectCount: counters[index]?.statementsByKind.select ?? 0,
		status: counters[index] && statuses[index],
	}));
}

/** Adds the reads and the replica freshness between two samples. */
export function addReadsBetween(share: ReplicaShare, before: readonly DatabaseSample[], after: readonly DatabaseSample[]): ReplicaShare {
	const responding = after.flatMap((sample, index) => sample.status
		? [{
			status: sample.status, reads: sample.selectCount >= before[index]!.selectCount ? sample.selectCount - before[index]!.selectCount : sample.selectCount,
		}]
		: []);
	const sumReads = (entries: ReadonlyArray<{readonly reads: number}>) => entries.reduce((total, {reads}) => total + reads, 0);
	const replicas = responding.filter(({status}) => status.role === 'replica');
	const primary = responding.find(({status}) => status.isWritable);
	const primaryBefore = before[after.findIndex(({status}) => status?.isWritable)]?.status?.position;
	const isFresh = primary !== undefined && primaryBefore !== undefined && replicas.some(({status: {position}}) => position.term > primaryBefore.term
		|| (position.term === primaryBefore.term && position.offsetBytes >= primaryBefore.offsetBytes));
	return {
		reads: share.reads + sumReads(responding),
		readsAtReplicas: share.readsAtReplicas + sumReads(replicas),
		freshSamples: share.freshSamples + (isFresh ? 1 : 0),
		samples: share.samples + (primary ? 1 : 0),
	};
}
