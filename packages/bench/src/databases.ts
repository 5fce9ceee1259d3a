/**
 * Control ports of the stand-ins: counters, faults and status, and the shares of reads that replicas serve.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	type CounterValues, type FaultSettings, type PlatformFaults, type ProcessEndpoint,
} from '@crocusloom/standins';

/** Status of a database as its control port tells it. */
export type DatabaseStatus = {
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly position: {readonly term: number; readonly offsetBytes: number};
	readonly isWritable: boolean;
};

export type ConnectionCount = {readonly database: string; readonly limit: number; readonly maximum: number; readonly opened: number; readonly refused: number};

const callLimitMs = 1000;
const sampleMs = 200;

async function call<T>(url: string, method = 'GET', body?: unknown): Promise<T> {
	const response = await fetch(url, {
		method,
		signal: AbortSignal.timeout(callLimitMs),
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	if (!response.ok) {
		throw new Error(`${method} ${url} answered ${response.status}`);
	}

	return await response.json() as T;
}

/** Changes fault switches of a stand-in. */
export async function setFaults(process: ProcessEndpoint, faults: Partial<FaultSettings> | Partial<PlatformFaults>): Promise<void> {
	await call(`${process.controlUrl}/faults`, 'PUT', faults);
}

/** Counters of a database; undefined if it does not answer. */
export async function countersOf(database: ProcessEndpoint): Promise<CounterValues | undefined> {
	return call<CounterValues>(`${database.controlUrl}/counters`).catch(() => undefined);
}

/** Status of a database; undefined if it does not answer. */
export async function statusOf(database: ProcessEndpoint): Promise<DatabaseStatus | undefined> {
	return call<DatabaseStatus>(`${database.controlUrl}/status`).catch(() => undefined);
}

/** The writable primary of the highest term, if there is one. */
export async function findPrimary(databases: readonly ProcessEndpoint[]): Promise<ProcessEndpoint | undefined> {
	const found = await Promise.all(databases.map(async database => ({database, status: await statusOf(database)})));
	return found
		.filter(({status}) => status?.role === 'primary')
		.toSorted((a, b) => b.status!.fencedTerm - a.status!.fencedTerm)[0]?.database;
}

/** Counts the connections of databases against their limit. */
export async function connectionCounts(databases: readonly ProcessEndpoint[], limit: number): Promise<readonly ConnectionCount[]> {
	const counts = await Promise.all(databases.map(async database => {
		const counters = await countersOf(database);
		return counters
			? [{
				database: database.name, limit, maximum: counters.maxConnections, opened: counters.connectionsOpened, refused: counters.connectionsRefused,
			}]
			: [];
	}));
	return counts.flat();
}

export type ReplicaShare = {
	readonly reads: number;
	readonly readsAtReplicas: number;
	/** Samples in which at least one replica held the position that the primary had just before; the best share that the lag allowed. */
	readonly freshSamples: number;
	readonly samples: number;
};

type Sample = {readonly selects: number; readonly status: DatabaseStatus | undefined};

/**
 * Samples databases until the signal aborts and attributes the reads between two samples to the role at the second.
 * A process that was restarted counts from zero again.
 */
export async function sampleReplicaShare(databases: readonly ProcessEndpoint[], signal: AbortSignal): Promise<ReplicaShare> {
	let share: ReplicaShare = {
		reads: 0, readsAtReplicas: 0, freshSamples: 0, samples: 0,
	};
	let before = await readSamples(databases);
	while (!signal.aborted) {
		await sleep(sampleMs);
		const after = await readSamples(databases);
		share = addSample(share, before, after);
		before = carried(before, after);
	}

	return share;
}

/** A database that does not answer keeps its last count. */
function carried(before: readonly Sample[], after: readonly Sample[]): readonly Sample[] {
	return after.map((sample, index) => sample.status ? sample : {...sample, selects: before[index]!.selects});
}

async function readSamples(databases: readonly ProcessEndpoint[]): Promise<readonly Sample[]> {
	const statuses = await Promise.all(databases.map(async database => statusOf(database)));
	const counters = await Promise.all(databases.map(async database => countersOf(database)));
	return databases.map((_, index) => ({
		selects: counters[index]?.statementsByKind.select ?? 0,
		status: counters[index] && statuses[index],
	}));
}

/** Adds what happened between two samples. */
export function addSample(share: ReplicaShare, before: readonly Sample[], after: readonly Sample[]): ReplicaShare {
	const live = after.flatMap((sample, index) => sample.status
		? [{
			status: sample.status, reads: sample.selects >= before[index]!.selects ? sample.selects - before[index]!.selects : sample.selects,
		}]
		: []);
	const sum = (parts: ReadonlyArray<{readonly reads: number}>) => parts.reduce((total, {reads}) => total + reads, 0);
	const replicas = live.filter(({status}) => status.role === 'replica');
	const primary = live.find(({status}) => status.isWritable);
	const primaryBefore = before[after.findIndex(({status}) => status?.isWritable)]?.status?.position;
	const isFresh = primary !== undefined && primaryBefore !== undefined && replicas.some(({status: {position}}) => position.term > primaryBefore.term
		|| (position.term === primaryBefore.term && position.offsetBytes >= primaryBefore.offsetBytes));
	return {
		reads: share.reads + sum(live),
		readsAtReplicas: share.readsAtReplicas + sum(replicas),
		freshSamples: share.freshSamples + (isFresh ? 1 : 0),
		samples: share.samples + (primary ? 1 : 0),
	};
}
