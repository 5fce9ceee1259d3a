/**
 * Trial: one run of an experiment for one deployment and one variant (crocusloom or the baseline).
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Cluster, demoUsers, type DeploymentTopology, type Endpoints, type ProcessEndpoint,
} from '@crocusloom/standins';
import {CallerSession} from './callerSession.js';
import {
	fetchConnectionCounts, fetchStatus, findPrimary, sampleReplicaShare, type ConnectionCount, type ReplicaShare,
} from './databases.js';
import {rankLoads, type Experiment, type FaultContext} from './experiments.js';
import {findFailoverGap, type FailoverGap, type FaultWindow} from './gaps.js';
import {checkInserts, type InsertCheck} from './insertCheck.js';
import {boardCount} from './loadGenerator.js';
import {computeProxyUsage, sampleProxies, type ProxyUsage} from './proxies.js';
import {counterId} from './readYourWrites.js';
import {
	type Endpoint, type Variant, type WorkerResult, type WorkerSpec,
} from './types.js';
import {Workers} from './workers.js';

export type TrialOptions = {
	readonly experiment: Experiment;
	readonly deployment: DeploymentTopology;
	readonly variant: Variant;
	readonly seed: number;
	readonly durationMs: number;
	readonly workers: number;
	readonly databaseArgs: readonly string[];
};

export type TrialResult = {
	readonly deployment: string;
	readonly variant: Variant;
	readonly startAtMs: number;
	readonly durationMs: number;
	readonly workers: readonly WorkerResult[];
	readonly replicaShare: ReplicaShare;
	readonly gaps: readonly FailoverGap[];
	readonly faults: readonly FaultWindow[];
	readonly connections: readonly ConnectionCount[];
	readonly insertCheck: InsertCheck;
	readonly proxies: ProxyUsage;
	/** Errors outside the measured requests, for example in fault injection. */
	readonly problems: readonly string[];
	/** Description of the setup, for the output. */
	readonly setting: string;
};

const checkersPerWorker = 2;
/** Connections per database that the baseline leaves to replication and operators; the proxies likewise leave 4 to their monitors. */
const reservedConnections = 4;
/** Time limit for retrying a statement until the proxies know the configuration and the primary. */
const readyTimeoutMs = 20_000;
const retryPauseMs = 100;

const tableDefinitions = [
	'create table bench_orders (id text, subject text)',
	'create table bench_boards (id int primary key, content text)',
	'create table bench_counters (id text primary key, value int)',
];

/** Starts a cluster with a single group, runs the load with its faults and checks the result. */
export async function runTrial(options: TrialOptions): Promise<TrialResult> {
	const deployment = {...options.deployment, groups: options.deployment.groups.slice(0, 1)};
	const cluster = new Cluster([deployment], {
		hasProxies: options.variant === 'crocusloom',
		databaseArgs: ['--service-ms', String(options.experiment.serviceMs), ...options.databaseArgs],
		logLevel: 'warn',
	});
	await cluster.start();
	try {
		return await new Trial(cluster, {...options, deployment}).run();
	} finally {
		await cluster.stop();
	}
}

/** Runs one trial on a started cluster. */
class Trial {
	private readonly endpoints: Endpoints;
	private readonly databases: readonly ProcessEndpoint[];
	private readonly group: string;
	private readonly faults: FaultWindow[] = [];
	private readonly problems: string[] = [];

	constructor(private readonly cluster: Cluster, private readonly options: TrialOptions) {
		this.endpoints = cluster.endpoints();
		this.databases = this.endpoints.processes.filter(({kind}) => kind === 'database');
		this.group = options.deployment.groups[0]!.name;
	}

	async run(): Promise<TrialResult> {
		const {experiment, deployment, variant, durationMs} = this.options;
		const token = await this.createTables();
		const loadEnd = new AbortController();
		const faultContext = this.createFaultContext(loadEnd.signal);
		await experiment.injectFaultsBeforeLoad?.(faultContext);
		const workers = await Workers.prepare(this.workerSpecs(token));
		const proxiesBefore = await sampleProxies(this.endpoints.operators);
		const replicaShare = sampleReplicaShare(this.databases, loadEnd.signal);
		let startAtMs = 0;
		let faultInjection: Promise<void> = Promise.resolve();
		const results = await workers.run(atMs => {
			startAtMs = atMs;
			faultInjection = this.injectFaults(faultContext, atMs);
		});
		loadEnd.abort();
		const proxiesAfter = await sampleProxies(this.endpoints.operators);
		await faultInjection;
		const writeTimesMs = results.flatMap(result => result.writeTimesMs);
		return {
			deployment: deployment.name,
			variant,
			startAtMs,
			durationMs,
			workers: results,
			replicaShare: await replicaShare,
			gaps: this.faults.map(window => findFailoverGap(writeTimesMs, {...window, untilMs: Math.min(window.untilMs, startAtMs + durationMs)})),
			faults: this.faults,
			connections: await fetchConnectionCounts(this.databases, deployment.connectionsPerDatabase),
			insertCheck: checkInserts(results.map(({inserts}) => inserts), await this.readInsertedIds()),
			proxies: computeProxyUsage(proxiesBefore, proxiesAfter),
			problems: this.problems,
			setting: this.describeSetting(),
		};
	}

	private createFaultContext(signal: AbortSignal): FaultContext {
		const {cluster, databases, faults, options: {deployment, variant, durationMs}} = this;
		return {
			cluster, deployment, databases, variant, durationMs, signal, recordFault(fault, observationMs) {
				const atMs = performance.timeOrigin + performance.now();
				faults.push({fault, atMs, untilMs: atMs + observationMs});
			},
		};
	}

	private async injectFaults(context: FaultContext, startAtMs: number): Promise<void> {
		try {
			await sleep(startAtMs - performance.timeOrigin - performance.now());
			await this.options.experiment.injectFaults?.(context);
		} catch (error) {
			// The end of the load aborts the pauses of the fault injection; this is not an error.
			if (!context.signal.aborted) {
				this.problems.push(`fault injection: ${(error as Error).message}`);
			}
		}
	}

	private workerSpecs(token: string | undefined): readonly WorkerSpec[] {
		const {experiment, deployment, variant, seed, durationMs, workers} = this.options;
		const loads = rankLoads(deployment, experiment, durationMs, workers);
		const sharedConnections = Math.floor((deployment.connectionsPerDatabase - reservedConnections) / workers) - (2 * checkersPerWorker);
		return Array.from({length: workers}, (_, worker): WorkerSpec => ({
			worker, seed, variant, database: this.group, endpoints: this.callerEndpoints(), ...this.credentials(), token, loads, durationMs, sharedConnections, checkers: checkersPerWorker,
		}));
	}

	/** Endpoints that callers connect to: the proxies, or for the baseline the backend server that starts as the primary. */
	private callerEndpoints(): readonly Endpoint[] {
		const primary = this.options.deployment.groups[0]!.databases[0]!.name;
		return this.options.variant === 'crocusloom' ? this.endpoints.callers : this.databases.filter(({name}) => name === primary);
	}

	private credentials(): {readonly user: string; readonly password: string} {
		const [user, password] = Object.entries(demoUsers)[0]!;
		return {user, password};
	}

	/** Creates and fills the tables. @returns the session token after the last statement */
	private async createTables(): Promise<string | undefined> {
		return this.withSession(this.callerEndpoints(), async session => {
			const counters = Array.from({length: this.options.workers * checkersPerWorker}, (_, index) =>
				`('${counterId(Math.floor(index / checkersPerWorker), index % checkersPerWorker)}', 0)`);
			const boards = Array.from({length: boardCount}, (_, index) => `(${index}, 'board ${index}')`);
			const statements = [...tableDefinitions, `insert into bench_counters (id, value) values ${counters.join(', ')}`, `insert into bench_boards (id, content) values ${boards.join(', ')}`];
			for (const statement of statements) {
				await retryUntilReady(async () => session.query(statement));
			}

			return session.token;
		});
	}

	/** Reads the ids of all inserted rows; for the baseline from the primary or else from the most advanced database. */
	private async readInsertedIds(): Promise<readonly string[]> {
		const endpoints = this.options.variant === 'crocusloom' ? this.callerEndpoints() : await this.findMostAdvancedDatabase();
		return this.withSession(endpoints, async session => {
			const rows = await retryUntilReady(async () => session.query('select id from bench_orders'));
			return rows.map(row => String(row.id));
		});
	}

	private async findMostAdvancedDatabase(): Promise<readonly Endpoint[]> {
		const primary = await findPrimary(this.databases);
		if (primary) {
			return [primary];
		}

		const positions = await Promise.all(this.databases.map(async database => {
			const status = await fetchStatus(database);
			return {database, offsetBytes: status?.position.offsetBytes ?? -1};
		}));
		return positions.toSorted((a, b) => b.offsetBytes - a.offsetBytes).slice(0, 1).map(({database}) => database);
	}

	private async withSession<T>(endpoints: readonly Endpoint[], action: (session: CallerSession) => Promise<T>): Promise<T> {
		const {application} = (this.options.deployment.workloads.at(-1)!);
		const session = new CallerSession({
			endpoints, firstEndpointIndex: 0, database: this.group, application, ...this.credentials(),
		});
		await session.open();
		try {
			return await action(session);
		} finally {
			session.close();
		}
	}

	private describeSetting(): string {
		const {experiment, deployment, variant, workers, durationMs, databaseArgs} = this.options;
		const extraArgs = databaseArgs.length > 0 ? ` (${databaseArgs.join(' ')})` : '';
		const slots = `${deployment.slotsPerDatabase} slots of ${experiment.serviceMs} ms${extraArgs}`;
		const proxies = variant === 'baseline' ? 'no proxies' : `${deployment.proxies.length} proxies`;
		return `1 group of ${deployment.groups[0]!.databases.length} databases with ${slots}, ${proxies}, ${workers} load processes, ${durationMs / 1000} s`;
	}
}

/** Repeats an attempt until it succeeds or `readyTimeoutMs` has passed. @throws the last error */
async function retryUntilReady<T>(attempt: () => Promise<T>): Promise<T> {
	for (const deadlineMs = performance.now() + readyTimeoutMs; ;) {
		try {
			return await attempt();
		} catch (error) {
			// "Duplicate table" and "unique violation" mean that an earlier attempt took effect although its response was lost.
			if (['42P07', '23505'].includes((error as {readonly code?: string}).code ?? '')) {
				return [] as T;
			}

			if (performance.now() > deadlineMs) {
				throw error;
			}

			await sleep(retryPauseMs);
		}
	}
}
