/**
 * One run of an experiment for one deployment: crocusloom or the naive baseline.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Cluster, demoUsers, type DeploymentTopology, type Endpoints, type ProcessEndpoint,
} from '@crocusloom/standins';
import {CallerSession} from './callerSession.js';
import {
	connectionCounts, findPrimary, sampleReplicaShare, statusOf, type ConnectionCount, type ReplicaShare,
} from './databases.js';
import {rankLoads, type EventContext, type Experiment} from './experiments.js';
import {failoverGap, type FailoverGap, type FaultSpan} from './gaps.js';
import {checkInserts, type InsertCheck} from './insertCheck.js';
import {seededRows} from './loadRun.js';
import {proxyUse, sampleProxies, type ProxyUse} from './proxies.js';
import {counterId} from './readYourWrites.js';
import {
	type Endpoint, type Variant, type WorkerResult, type WorkerSpec,
} from './types.js';
import {Workers} from './workers.js';

export type PhaseOptions = {
	readonly experiment: Experiment;
	readonly deployment: DeploymentTopology;
	readonly variant: Variant;
	readonly seed: number;
	readonly durationMs: number;
	readonly workers: number;
	readonly databaseArgs: readonly string[];
};

export type PhaseResult = {
	readonly deployment: string;
	readonly variant: Variant;
	readonly startAtMs: number;
	readonly durationMs: number;
	readonly workers: readonly WorkerResult[];
	readonly replicaShare: ReplicaShare;
	readonly gaps: readonly FailoverGap[];
	readonly faults: readonly FaultSpan[];
	readonly connections: readonly ConnectionCount[];
	readonly insertCheck: InsertCheck;
	readonly proxies: ProxyUse;
	/** What went wrong outside the measured requests, for example in an event. */
	readonly problems: readonly string[];
	/** What ran, for the output. */
	readonly setting: string;
};

const checkersPerWorker = 2;
/** Connections of a database that the baseline leaves to replication and operators, as the proxies leave 4 to monitors. */
const reservedConnections = 4;
/** Time that the first statement may take until proxies know the configuration and the primary. */
const readyLimitMs = 20_000;
const retryPauseMs = 100;

const definitions = [
	'create table bench_orders (id text, subject text)',
	'create table bench_boards (id int primary key, content text)',
	'create table bench_counters (id text primary key, value int)',
];

/** Starts a cluster of one group, runs the load with the events and checks the result. */
export async function runPhase(options: PhaseOptions): Promise<PhaseResult> {
	const deployment = {...options.deployment, groups: options.deployment.groups.slice(0, 1)};
	const cluster = new Cluster([deployment], {
		hasProxies: options.variant === 'crocusloom',
		databaseArgs: ['--service-ms', String(options.experiment.serviceMs), ...options.databaseArgs],
		logLevel: 'warn',
	});
	await cluster.start();
	try {
		return await new Phase(cluster, {...options, deployment}).run();
	} finally {
		await cluster.stop();
	}
}

class Phase {
	private readonly endpoints: Endpoints;
	private readonly databases: readonly ProcessEndpoint[];
	private readonly group: string;
	private readonly faults: FaultSpan[] = [];
	private readonly problems: string[] = [];

	constructor(private readonly cluster: Cluster, private readonly options: PhaseOptions) {
		this.endpoints = cluster.endpoints();
		this.databases = this.endpoints.processes.filter(({kind}) => kind === 'database');
		this.group = options.deployment.groups[0]!.name;
	}

	async run(): Promise<PhaseResult> {
		const {experiment, deployment, variant, durationMs} = this.options;
		const token = await this.createTables();
		const over = new AbortController();
		const context = this.eventContext(over.signal);
		await experiment.before?.(context);
		const workers = await Workers.prepare(this.workerSpecs(token));
		const proxiesBefore = await sampleProxies(this.endpoints.operators);
		const shares = sampleReplicaShare(this.databases, over.signal);
		let startAtMs = 0;
		let events: Promise<void> = Promise.resolve();
		const results = await workers.run(atMs => {
			startAtMs = atMs;
			events = this.runEvents(context, atMs);
		});
		over.abort();
		const proxiesAfter = await sampleProxies(this.endpoints.operators);
		await events;
		const writeTimesMs = results.flatMap(result => result.writeTimesMs);
		return {
			deployment: deployment.name,
			variant,
			startAtMs,
			durationMs,
			workers: results,
			replicaShare: await shares,
			gaps: this.faults.map(span => failoverGap(writeTimesMs, {...span, untilMs: Math.min(span.untilMs, startAtMs + durationMs)})),
			faults: this.faults,
			connections: await connectionCounts(this.databases, deployment.connectionsPerDatabase),
			insertCheck: checkInserts(results.map(({inserts}) => inserts), await this.readIds()),
			proxies: proxyUse(proxiesBefore, proxiesAfter),
			problems: this.problems,
			setting: this.describe(),
		};
	}

	private eventContext(signal: AbortSignal): EventContext {
		const {cluster, databases, faults, options: {deployment, variant, durationMs}} = this;
		return {
			cluster, deployment, databases, variant, durationMs, signal, noteFault(fault, observedMs) {
				const atMs = performance.timeOrigin + performance.now();
				faults.push({fault, atMs, untilMs: atMs + observedMs});
			},
		};
	}

	private async runEvents(context: EventContext, startAtMs: number): Promise<void> {
		try {
			await sleep(startAtMs - performance.timeOrigin - performance.now());
			await this.options.experiment.events?.(context);
		} catch (error) {
			// The run may be over before an experiment's last pause.
			if (!context.signal.aborted) {
				this.problems.push(`event: ${(error as Error).message}`);
			}
		}
	}

	private workerSpecs(token: string | undefined): readonly WorkerSpec[] {
		const {experiment, deployment, variant, seed, durationMs, workers} = this.options;
		const loads = rankLoads(deployment, experiment, durationMs, workers);
		const sharedConnections = Math.floor((deployment.connectionsPerDatabase - reservedConnections) / workers) - (2 * checkersPerWorker);
		return Array.from({length: workers}, (_, worker): WorkerSpec => ({
			worker, seed, variant, database: this.group, endpoints: this.callerEndpoints(), ...this.login(), token, loads, durationMs, sharedConnections, checkers: checkersPerWorker,
		}));
	}

	/** Proxies, or the backend server that starts as the primary for the baseline. */
	private callerEndpoints(): readonly Endpoint[] {
		const primary = this.options.deployment.groups[0]!.databases[0]!.name;
		return this.options.variant === 'crocusloom' ? this.endpoints.callers : this.databases.filter(({name}) => name === primary);
	}

	private login(): {readonly user: string; readonly password: string} {
		const [user, password] = Object.entries(demoUsers)[0]!;
		return {user, password};
	}

	/** Creates and fills the tables. @returns the session's token at the end */
	private async createTables(): Promise<string | undefined> {
		return this.withSession(this.callerEndpoints(), async session => {
			const counters = Array.from({length: this.options.workers * checkersPerWorker}, (_, index) =>
				`('${counterId(Math.floor(index / checkersPerWorker), index % checkersPerWorker)}', 0)`);
			const boards = Array.from({length: seededRows}, (_, index) => `(${index}, 'board ${index}')`);
			const texts = [...definitions, `insert into bench_counters (id, value) values ${counters.join(', ')}`, `insert into bench_boards (id, content) values ${boards.join(', ')}`];
			for (const text of texts) {
				await retried(async () => session.query(text));
			}

			return session.token;
		});
	}

	/** Ids of all inserted rows; of the baseline's databases the one furthest ahead is asked. */
	private async readIds(): Promise<readonly string[]> {
		const endpoints = this.options.variant === 'crocusloom' ? this.callerEndpoints() : await this.furthestDatabase();
		return this.withSession(endpoints, async session => {
			const rows = await retried(async () => session.query('select id from bench_orders'));
			return rows.map(row => String(row.id));
		});
	}

	private async furthestDatabase(): Promise<readonly Endpoint[]> {
		const primary = await findPrimary(this.databases);
		if (primary) {
			return [primary];
		}

		const found = await Promise.all(this.databases.map(async database => {
			const status = await statusOf(database);
			return {database, offsetBytes: status?.position.offsetBytes ?? -1};
		}));
		return found.toSorted((a, b) => b.offsetBytes - a.offsetBytes).slice(0, 1).map(({database}) => database);
	}

	private async withSession<T>(endpoints: readonly Endpoint[], use: (session: CallerSession) => Promise<T>): Promise<T> {
		const {application} = (this.options.deployment.workloads.at(-1)!);
		const session = new CallerSession({
			endpoints, first: 0, database: this.group, application, ...this.login(),
		});
		await session.open();
		try {
			return await use(session);
		} finally {
			session.close();
		}
	}

	private describe(): string {
		const {experiment, deployment, variant, workers, durationMs, databaseArgs} = this.options;
		const extra = databaseArgs.length > 0 ? ` (${databaseArgs.join(' ')})` : '';
		const slots = `${deployment.slotsPerDatabase} slots of ${experiment.serviceMs} ms${extra}`;
		const proxies = variant === 'baseline' ? 'no proxies' : `${deployment.proxies.length} proxies`;
		return `1 group of ${deployment.groups[0]!.databases.length} databases with ${slots}, ${proxies}, ${workers} load processes, ${durationMs / 1000} s`;
	}
}

/** Repeats an attempt until it succeeds or the limit is reached. @throws the last error */
async function retried<T>(attempt: () => Promise<T>): Promise<T> {
	for (const untilMs = performance.now() + readyLimitMs; ;) {
		try {
			return await attempt();
		} catch (error) {
			// A creation or insert whose answer was lost has taken effect.
			if (['42P07', '23505'].includes((error as {readonly code?: string}).code ?? '')) {
				return [] as T;
			}

			if (performance.now() > untilMs) {
				throw error;
			}

			await sleep(retryPauseMs);
		}
	}
}
