/**
 * Cost of a hop: a point read through a proxy against the direct connection, paired in one run.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Cluster, demoUsers, type DeploymentTopology} from '@crocusloom/standins';
import {CallerSession} from './callerSession.js';
import {seededNumbers, type RandomNumbers} from './arrivals.js';

export type HopKind = 'direct' | 'session token' | 'no token';
export type HopRow = {
	readonly kind: HopKind;
	/** Median of the rounds' medians, and the least and greatest of them, in milliseconds. */
	readonly medianMs: number;
	readonly leastMs: number;
	readonly greatestMs: number;
	/** Median and spread of the differences to the direct read of the same round, in milliseconds. */
	readonly addedMs: number;
	readonly addedLeastMs: number;
	readonly addedGreatestMs: number;
};
export type HopResult = {readonly deployment: string; readonly setting: string; readonly rows: readonly HopRow[]; readonly violations: readonly string[]};
export type HopOptions = {
	readonly deployment: DeploymentTopology; readonly seed: number; readonly rounds: number; readonly readsPerRound: number; readonly databaseArgs: readonly string[];
};

const kinds: readonly HopKind[] = ['direct', 'session token', 'no token'];
const rows = 100;
/** Reads of each kind before the first round; the first thousands run in code that is not compiled yet. */
const warmUpReads = 2000;
const readText = 'select id, content from bench_boards where id = $1';

/** Middle value; of an even number of values the upper of the two. */
export function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;
}

/**
 * Summarizes rounds of paired medians.
 * @param rounds - median of each kind in each round, in milliseconds
 */
export function hopRows(rounds: ReadonlyArray<Readonly<Record<HopKind, number>>>): readonly HopRow[] {
	return kinds.map(kind => {
		const medians = rounds.map(round => round[kind]);
		const added = rounds.map(round => round[kind] - round.direct);
		return {
			kind,
			medianMs: median(medians),
			leastMs: Math.min(...medians),
			greatestMs: Math.max(...medians),
			addedMs: median(added),
			addedLeastMs: Math.min(...added),
			addedGreatestMs: Math.max(...added),
		};
	});
}

/** Runs the experiment for one deployment, with one group and without other load. */
export async function runHop(options: HopOptions): Promise<HopResult> {
	const deployment = {...options.deployment, groups: options.deployment.groups.slice(0, 1)};
	const cluster = new Cluster([deployment], {databaseArgs: options.databaseArgs, logLevel: 'warn'});
	await cluster.start();
	const sessions = openSessions(cluster, deployment);
	try {
		await Promise.all(Object.values(sessions).map(async session => session.open()));
		await prepare(sessions);
		return await measure(sessions, options, deployment);
	} finally {
		for (const session of Object.values(sessions)) {
			session.close();
		}

		await cluster.stop();
	}
}

type Sessions = Readonly<Record<HopKind, CallerSession>>;

function openSessions(cluster: Cluster, deployment: DeploymentTopology): Sessions {
	const {callers, processes} = cluster.endpoints();
	const [group] = deployment.groups;
	const [user, password] = Object.entries(demoUsers)[0]!;
	const direct = processes.filter(({name}) => name === group!.databases[0]!.name);
	// The first application reads with the freshness class `session`.
	const common = {
		first: 0, database: group!.name, application: deployment.workloads[0]!.application, user, password,
	};
	return {
		direct: new CallerSession({...common, endpoints: direct}),
		'session token': new CallerSession({...common, endpoints: callers}),
		'no token': new CallerSession({...common, endpoints: callers}),
	};
}

const attempts = 100;
const pauseMs = 100;

/** Fills the table through a proxy, and gives one session its token. */
async function prepare(sessions: Sessions): Promise<void> {
	const writer = sessions['session token'];
	const values = Array.from({length: rows}, (_, index) => `(${index}, 'board ${index}')`).join(', ');
	for (const text of ['create table bench_boards (id int primary key, content text)', `insert into bench_boards (id, content) values ${values}`]) {
		await retried(async () => writer.query(text));
	}

	await writer.query(`set crocusloom.session = '${writer.token ?? ''}'`);
}

async function retried(attempt: () => Promise<unknown>): Promise<void> {
	for (let remaining = attempts; ; remaining--) {
		try {
			await attempt();
			return;
		} catch (error) {
			if (remaining <= 1) {
				throw error;
			}

			await sleep(pauseMs);
		}
	}
}

async function measure(sessions: Sessions, {seed, rounds, readsPerRound, databaseArgs}: HopOptions, deployment: DeploymentTopology): Promise<HopResult> {
	const next = seededNumbers(seed, 0);
	const violations: string[] = [];
	const medians: Array<Record<HopKind, number>> = [];
	await runRound(sessions, warmUpReads, next, violations);
	for (let round = 0; round < rounds; round++) {
		const times = await runRound(sessions, readsPerRound, next, violations);
		medians.push(Object.fromEntries(kinds.map(kind => [kind, median(times[kind])])) as Record<HopKind, number>);
	}

	const extra = databaseArgs.length > 0 ? `(${databaseArgs.join(' ')})` : 'with slots of 2 ms';
	return {
		deployment: deployment.name,
		setting: `1 group of 3 databases ${extra}, ${deployment.proxies.length} proxies, ${rounds} rounds of ${readsPerRound} reads of each kind, one at a time, interleaved`,
		rows: hopRows(medians),
		violations,
	};
}

/** One round; the kinds take turns read by read in an order that changes, so that drift of the machine meets all alike. */
async function runRound(sessions: Sessions, reads: number, next: RandomNumbers, violations: string[]): Promise<Record<HopKind, number[]>> {
	const times: Record<HopKind, number[]> = {direct: [], 'session token': [], 'no token': []};
	for (let read = 0; read < reads; read++) {
		const offset = Math.floor(next() * kinds.length);
		for (let step = 0; step < kinds.length; step++) {
			const kind = kinds[(offset + step) % kinds.length]!;
			const id = Math.floor(next() * rows);
			const beganMs = performance.now();
			const [row] = await sessions[kind].query(readText, [id]);
			times[kind].push(performance.now() - beganMs);
			if (row?.content !== `board ${id}`) {
				violations.push(`${kind}: row ${id} read as ${JSON.stringify(row)}`);
			}
		}
	}

	return times;
}
