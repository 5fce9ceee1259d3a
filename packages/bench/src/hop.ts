/**
 * Latency overhead of the proxy hop: compares point reads through a proxy with reads over a direct connection in the same run.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Cluster, demoUsers, type DeploymentTopology} from '@crocusloom/standins';
import {CallerSession} from './callerSession.js';
import {seededRandom, type RandomSource} from './arrivals.js';

/** Read path: direct to the database, or through a proxy with or without a session token. */
export type HopKind = 'direct' | 'session token' | 'no token';
export type HopRow = {
	readonly kind: HopKind;
	/** Median, minimum and maximum of the rounds' medians, in milliseconds. */
	readonly medianMs: number;
	readonly leastMs: number;
	readonly greatestMs: number;
	/** Median, minimum and maximum of the differences from the direct median of the same round, in milliseconds. */
	readonly addedMs: number;
	readonly addedLeastMs: number;
	readonly addedGreatestMs: number;
};
export type HopResult = {readonly deployment: string; readonly setting: string; readonly rows: readonly HopRow[]; readonly violations: readonly string[]};
export type HopOptions = {
	readonly deployment: DeploymentTopology; readonly seed: number; readonly rounds: number; readonly readsPerRound: number; readonly databaseArgs: readonly string[];
};

const hopKinds: readonly HopKind[] = ['direct', 'session token', 'no token'];
const boardCount = 100;
/** Reads of each kind before the first round. V8 has not yet optimized the code during the first few thousand reads. */
const warmUpReadsPerKind = 2000;
const readStatement = 'select id, content from bench_boards where id = $1';

/** Median; the upper of the two middle values if their number is even, NaN if there are none. */
export function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;
}

/**
 * Summarizes the medians of all rounds, paired by round.
 * @param rounds - median of each kind in each round, in milliseconds
 */
export function summarizeRounds(rounds: ReadonlyArray<Readonly<Record<HopKind, number>>>): readonly HopRow[] {
	return hopKinds.map(kind => {
		const mediansMs = rounds.map(round => round[kind]);
		const addedTimesMs = rounds.map(round => round[kind] - round.direct);
		return {
			kind,
			medianMs: median(mediansMs),
			leastMs: Math.min(...mediansMs),
			greatestMs: Math.max(...mediansMs),
			addedMs: median(addedTimesMs),
			addedLeastMs: Math.min(...addedTimesMs),
			addedGreatestMs: Math.max(...addedTimesMs),
		};
	});
}

/** Runs the experiment for one deployment, with a single group and no other load. */
export async function runHopExperiment(options: HopOptions): Promise<HopResult> {
	const deployment = {...options.deployment, groups: options.deployment.groups.slice(0, 1)};
	const cluster = new Cluster([deployment], {databaseArgs: options.databaseArgs, logLevel: 'warn'});
	await cluster.start();
	const sessions = createSessions(cluster, deployment);
	try {
		await Promise.all(Object.values(sessions).map(async session => session.open()));
		await prepareTable(sessions);
		return await measureReads(sessions, options, deployment);
	} finally {
		for (const session of Object.values(sessions)) {
			session.close();
		}

		await cluster.stop();
	}
}

type HopSessions = Readonly<Record<HopKind, CallerSession>>;

function createSessions(cluster: Cluster, deployment: DeploymentTopology): HopSessions {
	const {callers, processes} = cluster.endpoints();
	const [group] = deployment.groups;
	const [user, password] = Object.entries(demoUsers)[0]!;
	const direct = processes.filter(({name}) => name === group!.databases[0]!.name);
	// Reads of the first application have the freshness class `session`.
	const common = {
		firstEndpointIndex: 0, database: group!.name, application: deployment.workloads[0]!.application, user, password,
	};
	return {
		direct: new CallerSession({...common, endpoints: direct}),
		'session token': new CallerSession({...common, endpoints: callers}),
		'no token': new CallerSession({...common, endpoints: callers}),
	};
}

const maxAttempts = 100;
const retryPauseMs = 100;

/** Creates and fills the table through a proxy, and sets the session token of the `session token` session. */
async function prepareTable(sessions: HopSessions): Promise<void> {
	const writer = sessions['session token'];
	const values = Array.from({length: boardCount}, (_, index) => `(${index}, 'board ${index}')`).join(', ');
	for (const statement of ['create table bench_boards (id int primary key, content text)', `insert into bench_boards (id, content) values ${values}`]) {
		await retry(async () => writer.query(statement));
	}

	await writer.query(`set crocusloom.session = '${writer.token ?? ''}'`);
}

async function retry(attempt: () => Promise<unknown>): Promise<void> {
	for (let remaining = maxAttempts; ; remaining--) {
		try {
			await attempt();
			return;
		} catch (error) {
			if (remaining <= 1) {
				throw error;
			}

			await sleep(retryPauseMs);
		}
	}
}

async function measureReads(sessions: HopSessions, {seed, rounds, readsPerRound, databaseArgs}: HopOptions, deployment: DeploymentTopology): Promise<HopResult> {
	const random = seededRandom(seed, 0);
	const violations: string[] = [];
	const mediansMs: Array<Record<HopKind, number>> = [];
	await runRound(sessions, warmUpReadsPerKind, random, violations);
	for (let round = 0; round < rounds; round++) {
		const timesMs = await runRound(sessions, readsPerRound, random, violations);
		mediansMs.push(Object.fromEntries(hopKinds.map(kind => [kind, median(timesMs[kind])])) as Record<HopKind, number>);
	}

	const extraArgs = databaseArgs.length > 0 ? `(${databaseArgs.join(' ')})` : 'with slots of 2 ms';
	return {
		deployment: deployment.name,
		setting: `1 group of 3 databases ${extraArgs}, ${deployment.proxies.length} proxies, ${rounds} rounds of ${readsPerRound} reads of each kind, one at a time, interleaved`,
		rows: summarizeRounds(mediansMs),
		violations,
	};
}

/** Runs one round. The kinds are interleaved read by read in a random rotation, so that drift in machine performance affects all of them equally. */
async function runRound(sessions: HopSessions, reads: number, random: RandomSource, violations: string[]): Promise<Record<HopKind, number[]>> {
	const timesMs: Record<HopKind, number[]> = {direct: [], 'session token': [], 'no token': []};
	for (let read = 0; read < reads; read++) {
		const offset = Math.floor(random() * hopKinds.length);
		for (let step = 0; step < hopKinds.length; step++) {
			const kind = hopKinds[(offset + step) % hopKinds.length]!;
			const id = Math.floor(random() * boardCount);
			const startMs = performance.now();
			const [row] = await sessions[kind].query(readStatement, [id]);
			timesMs[kind].push(performance.now() - startMs);
			if (row?.content !== `board ${id}`) {
				violations.push(`${kind}: row ${id} read as ${JSON.stringify(row)}`);
			}
		}
	}

	return timesMs;
}
