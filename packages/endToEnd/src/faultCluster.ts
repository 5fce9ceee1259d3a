/**
 * A small deployment of real processes, with methods that inject the faults named in the design.
 */
import {appendFile, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	brazos, Cluster, type CallerEndpoint, type CounterValues, type DeploymentTopology, type FaultSettings, type OperatorEndpoint, type PlatformFaults, type ProcessEndpoint,
} from '@crocusloom/standins';
import {CallerSession, maxFailoverMs} from './callerSession.js';
import {LoadGenerator} from './loadGenerator.js';
import {pollUntil} from './poll.js';

/** Status that the control port of a stand-in database reports. */
export type DatabaseStatus = {
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly followsTerm: number;
	readonly isWritable: boolean;
	readonly position: {readonly term: number; readonly offsetBytes: number};
};

export const databaseGroupName = 'booking-db-1';
export const applicationName = 'bookings';
const failureDomains = ['bryan', 'waco', 'temple'] as const;

/** A deployment of one group of 3 databases and 3 proxies, with one of each in every failure domain. */
export const smallDeployment: DeploymentTopology = {
	...brazos,
	proxies: failureDomains.map((failureDomain, index) => ({name: `proxy-${index + 1}`, failureDomain})),
	groups: brazos.groups.slice(0, 1),
};

/** Sends an HTTP request with a JSON body and returns the status and the parsed body of the response. */
export async function sendRequest<T>(url: string, {method = 'GET', body, headers}: {
	readonly method?: string; readonly body?: unknown; readonly headers?: Readonly<Record<string, string>>;
} = {}): Promise<{readonly status: number; readonly body: T}> {
	const response = await fetch(url, {
		method, headers: {...(body !== undefined && {'content-type': 'application/json'}), ...headers}, ...(body !== undefined && {body: JSON.stringify(body)}),
	});
	const text = await response.text();
	return {status: response.status, body: (text === '' ? undefined : JSON.parse(text)) as T};
}

/** Starts the deployment, injects faults into its processes and reads their state. */
export class FaultCluster {
	readonly cluster = new Cluster([smallDeployment], {daemonScript: fileURLToPath(new URL('partitionedDaemon.js', import.meta.url))});

	/** Starts all processes and waits until the group serves writes and all replicas follow the primary. */
	async start(): Promise<void> {
		await this.cluster.start();
		const loadGenerator = new LoadGenerator({...this.loadGeneratorOptions(0), sessionCount: 1});
		await loadGenerator.start();
		await loadGenerator.finish();
		await this.waitUntilHealthy();
		// In a real deployment the operators create the table of idempotency keys.
		await this.query('create table if not exists crocusloom_idempotency (key text primary key, answer text)');
	}

	async stop(): Promise<void> {
		await this.cluster.stop();
	}

	/** Starts a load generator that connects to the given proxies and records a history. */
	async startLoad(seed: number, callerEndpoints = () => this.callerEndpoints): Promise<LoadGenerator> {
		const loadGenerator = new LoadGenerator({...this.loadGeneratorOptions(seed), callerEndpoints});
		await loadGenerator.start();
		return loadGenerator;
	}

	get callerEndpoints(): readonly CallerEndpoint[] {
		return this.cluster.endpoints().callers;
	}

	get operatorEndpoints(): readonly OperatorEndpoint[] {
		return this.cluster.endpoints().operators;
	}

	get databases(): readonly ProcessEndpoint[] {
		return this.cluster.endpoints().processes.filter(({kind}) => kind === 'database');
	}

	get proxies(): readonly ProcessEndpoint[] {
		return this.cluster.endpoints().processes.filter(({kind}) => kind === 'proxy');
	}

	get platform(): ProcessEndpoint {
		return this.cluster.endpoints().processes.find(({kind}) => kind === 'platform')!;
	}

	async readDatabaseStatus({controlUrl}: ProcessEndpoint): Promise<DatabaseStatus> {
		const {body} = await sendRequest<DatabaseStatus>(`${controlUrl}/status`);
		return body;
	}

	async readDatabaseCounters({controlUrl}: ProcessEndpoint): Promise<CounterValues> {
		const {body} = await sendRequest<CounterValues>(`${controlUrl}/counters`);
		return body;
	}

	/** Changes the given fault settings of a stand-in database; the others stay as they are. */
	async setDatabaseFaults({controlUrl}: ProcessEndpoint, faults: Partial<FaultSettings>): Promise<void> {
		await sendRequest(`${controlUrl}/faults`, {method: 'PUT', body: faults});
	}

	async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
		await sendRequest(`${this.platform.controlUrl}/faults`, {method: 'PUT', body: faults});
	}

	/** Finds the writable database with the highest term among the running ones. @throws Error if no database is writable */
	async findPrimary(): Promise<ProcessEndpoint> {
		const running = this.databases.filter(({pid}) => pid !== 0);
		const states = await Promise.all(running.map(async database => ({database, status: await this.readDatabaseStatus(database)})));
		const writable = states.filter(({status}) => status.isWritable).toSorted((a, b) => b.status.followsTerm - a.status.followsTerm)[0];
		if (!writable) {
			throw new Error('no database is writable');
		}

		return writable.database;
	}

	/** Returns all databases except the primary. */
	async findReplicas(): Promise<readonly ProcessEndpoint[]> {
		const {name} = await this.findPrimary();
		return this.databases.filter(database => database.name !== name);
	}

	/**
	 * Partitions the network between a failure domain and everything outside it: other proxies, other databases, replication
	 * and the platform.
	 * @param failureDomain - the domain to isolate
	 */
	async isolateFailureDomain(failureDomain: string): Promise<void> {
		const isInside = (process: ProcessEndpoint) => process.failureDomain === failureDomain;
		const {processes} = this.cluster.endpoints();
		const outsidePorts = await this.findListenerPorts(processes.filter(process => !isInside(process)));
		const insidePorts = await this.findListenerPorts(processes.filter(process => isInside(process)));
		await Promise.all(this.proxies.map(async proxy => this.setBlockedPorts(proxy, isInside(proxy) ? outsidePorts : insidePorts)));
		await Promise.all(this.databases.map(async database => this.setDatabaseFaults(database, {
			cut: this.databases.filter(other => isInside(other) !== isInside(database)).map(({host, port}) => `${host}:${port}`),
		})));
	}

	/** Restarts killed processes, resumes paused proxies, and ends all partitions and all faults of the platform and the databases. */
	async clearFaults(): Promise<void> {
		for (const {name} of this.cluster.endpoints().processes.filter(({pid}) => pid === 0)) {
			await this.cluster.restart(name);
		}

		for (const {name} of this.proxies) {
			this.cluster.resume(name);
		}

		await this.setPlatformFaults({
			slowMs: 0, down: 'no', loseAnswers: 0, withholdEvents: false,
		});
		await Promise.all([
			...this.proxies.map(async proxy => this.setBlockedPorts(proxy, [])),
			...this.databases.map(async database => this.setDatabaseFaults(database, {
				frozen: false, cut: [], lagMs: 0, replicationPaused: false, dropAnswers: 0,
			})),
		]);
	}

	/** Waits until another database is the primary. @throws Error after {@link maxFailoverMs} */
	async waitForPromotion({name}: ProcessEndpoint): Promise<void> {
		await pollUntil(`a primary in place of ${name}`, async () => {
			const newPrimary = await this.findPrimary();
			return newPrimary.name !== name;
		}, maxFailoverMs);
	}

	/** Waits until exactly one database is writable and the others follow its term and have its log. @throws Error after {@link maxFailoverMs} */
	async waitUntilHealthy(): Promise<void> {
		await pollUntil('one primary that all others follow', async () => {
			const states = await Promise.all(this.databases.map(async database => this.readDatabaseStatus(database)));
			const writable = states.filter(({isWritable}) => isWritable);
			const [primary] = writable;
			return writable.length === 1 && states.every(({fencedTerm, followsTerm, position}) =>
				fencedTerm === primary!.fencedTerm && followsTerm === primary!.followsTerm && position.term === primary!.position.term);
		}, maxFailoverMs);
	}

	/** Runs one SQL text through the first proxy. */
	async query(text: string): Promise<void> {
		const session = new CallerSession(this.sessionOptions);
		await session.connect(this.callerEndpoints[0]!);
		await session.query(text);
		session.close();
	}

	/** Options of a session that sends its token and runs on the group of the cluster. */
	get sessionOptions() {
		return {database: databaseGroupName, application: applicationName, sendsSessionToken: true} as const;
	}

	/** Path of a proxy's settings file. */
	settingsFilePath(name: string): string {
		return path.join(this.cluster.directory, `${name}.ini`);
	}

	/** Appends lines to the settings of a proxy. They take effect when it restarts. */
	async addSettings(name: string, lines: string): Promise<void> {
		await appendFile(this.settingsFilePath(name), lines);
	}

	private loadGeneratorOptions(seed: number) {
		return {
			seed, database: databaseGroupName, application: applicationName, callerEndpoints: () => this.callerEndpoints,
		};
	}

	/** Writes the remote ports to block to the `.cut` file of a proxy and signals the proxy to read it. */
	private async setBlockedPorts({name}: ProcessEndpoint, ports: readonly number[]): Promise<void> {
		await writeFile(`${this.settingsFilePath(name)}.cut`, JSON.stringify(ports));
		this.cluster.process(name).signal('SIGUSR2');
	}

	/** Finds the ports on which the processes accept connections from proxies. */
	private async findListenerPorts(processes: readonly ProcessEndpoint[]): Promise<readonly number[]> {
		const ports = await Promise.all(processes.map(async ({kind, name, port}) => kind === 'proxy' ? this.readPeerPorts(name) : [port]));
		return ports.flat();
	}

	/** Reads the peer and work ports of a proxy from the `[peers]` section of its settings. */
	private async readPeerPorts(name: string): Promise<readonly number[]> {
		const text = await readFile(this.settingsFilePath(name), 'utf8');
		const peers = /\[peers\][^\[]*/v.exec(text)?.[0] ?? '';
		return [...peers.matchAll(/^(?:port|workPort)=(?<port>\d+)$/gmv)].map(({groups}) => Number(groups!.port));
	}
}
