/**
 * A small deployment of real processes with switches for all faults of the design.
 */
import {appendFile, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	brazos, Cluster, type CallerEndpoint, type CounterValues, type DeploymentTopology, type FaultSettings, type OperatorEndpoint, type PlatformFaults, type ProcessEndpoint,
} from '@crocusloom/standins';
import {CallerSession, failoverBoundMs} from './callerSession.js';
import {Load} from './load.js';
import {pollUntil} from './poll.js';

/** State that the control port of a database reports. */
export type DatabaseStatus = {
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly followsTerm: number;
	readonly isWritable: boolean;
	readonly position: {readonly term: number; readonly offsetBytes: number};
};

export const databaseGroup = 'booking-db-1';
export const application = 'bookings';
const failureDomains = ['bryan', 'waco', 'temple'] as const;

/** One group of 3 databases and 3 proxies, one of each in each failure domain. */
export const smallDeployment: DeploymentTopology = {
	...brazos,
	proxies: failureDomains.map((failureDomain, index) => ({name: `proxy-${index + 1}`, failureDomain})),
	groups: brazos.groups.slice(0, 1),
};

/** Sends a request with a JSON body and gives status and body of the answer. */
export async function request<T>(url: string, {method = 'GET', body, headers}: {
	readonly method?: string; readonly body?: unknown; readonly headers?: Readonly<Record<string, string>>;
} = {}): Promise<{readonly status: number; readonly body: T}> {
	const response = await fetch(url, {
		method, headers: {...(body !== undefined && {'content-type': 'application/json'}), ...headers}, ...(body !== undefined && {body: JSON.stringify(body)}),
	});
	const text = await response.text();
	return {status: response.status, body: (text === '' ? undefined : JSON.parse(text)) as T};
}

export class FaultCluster {
	readonly cluster = new Cluster([smallDeployment], {daemonScript: fileURLToPath(new URL('partitionedDaemon.js', import.meta.url))});

	/** Starts all processes and waits until writes are served. */
	async start(): Promise<void> {
		await this.cluster.start();
		const load = new Load({...this.loadOptions(0), sessionCount: 1});
		await load.start();
		await load.finish();
		await this.untilHealthy();
		// The table of idempotency keys belongs to the operators' schema.
		await this.query('create table if not exists crocusloom_idempotency (key text primary key, answer text)');
	}

	async stop(): Promise<void> {
		await this.cluster.stop();
	}

	/** Starts a load with a history over the given proxies. */
	async startLoad(seed: number, callers = () => this.callers): Promise<Load> {
		const load = new Load({...this.loadOptions(seed), callers});
		await load.start();
		return load;
	}

	get callers(): readonly CallerEndpoint[] {
		return this.cluster.endpoints().callers;
	}

	get operators(): readonly OperatorEndpoint[] {
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

	async status({controlUrl}: ProcessEndpoint): Promise<DatabaseStatus> {
		const {body} = await request<DatabaseStatus>(`${controlUrl}/status`);
		return body;
	}

	async counters({controlUrl}: ProcessEndpoint): Promise<CounterValues> {
		const {body} = await request<CounterValues>(`${controlUrl}/counters`);
		return body;
	}

	/** Sets fault switches of a database. */
	async setFaults({controlUrl}: ProcessEndpoint, faults: Partial<FaultSettings>): Promise<void> {
		await request(`${controlUrl}/faults`, {method: 'PUT', body: faults});
	}

	async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
		await request(`${this.platform.controlUrl}/faults`, {method: 'PUT', body: faults});
	}

	/** Primary of the highest term among the running databases. */
	async primary(): Promise<ProcessEndpoint> {
		const running = this.databases.filter(({pid}) => pid !== 0);
		const states = await Promise.all(running.map(async database => ({database, status: await this.status(database)})));
		const leading = states.filter(({status}) => status.isWritable).toSorted((a, b) => b.status.followsTerm - a.status.followsTerm)[0];
		if (!leading) {
			throw new Error('no database is writable');
		}

		return leading.database;
	}

	/** Databases other than the primary. */
	async replicas(): Promise<readonly ProcessEndpoint[]> {
		const {name} = await this.primary();
		return this.databases.filter(database => database.name !== name);
	}

	/**
	 * Cuts a failure domain off from the others and from the platform: its proxies, its database, and replication.
	 * @param failureDomain - domain to cut off
	 */
	async cutDomain(failureDomain: string): Promise<void> {
		const isInside = (process: ProcessEndpoint) => process.failureDomain === failureDomain;
		const {processes} = this.cluster.endpoints();
		const outsidePorts = await this.portsOf(processes.filter(process => !isInside(process)));
		const insidePorts = await this.portsOf(processes.filter(process => isInside(process)));
		await Promise.all(this.proxies.map(async proxy => this.cutProxy(proxy, isInside(proxy) ? outsidePorts : insidePorts)));
		await Promise.all(this.databases.map(async database => this.setFaults(database, {
			cut: this.databases.filter(other => isInside(other) !== isInside(database)).map(({host, port}) => `${host}:${port}`),
		})));
	}

	/** Ends every partition, frozen server and paused replication, and starts what was killed. */
	async heal(): Promise<void> {
		for (const {name} of this.cluster.endpoints().processes.filter(({pid}) => pid === 0)) {
			await this.cluster.restart(name);
		}

		for (const {name} of this.proxies) {
			this.cluster.resume(name);
		}

		await this.setPlatformFaults({slowMs: 0, down: 'no', loseAnswers: 0});
		await Promise.all([
			...this.proxies.map(async proxy => this.cutProxy(proxy, [])),
			...this.databases.map(async database => this.setFaults(database, {
				frozen: false, cut: [], lagMs: 0, replicationPaused: false, dropAnswers: 0,
			})),
		]);
	}

	/** Waits until another database leads. @throws Error after the bound of a failover */
	async untilPromoted({name}: ProcessEndpoint): Promise<void> {
		await pollUntil(`a primary in place of ${name}`, async () => {
			const promoted = await this.primary();
			return promoted.name !== name;
		}, failoverBoundMs);
	}

	/** Waits until one database leads and the others follow it and hold its log. @throws Error after the bound of a failover */
	async untilHealthy(): Promise<void> {
		await pollUntil('one primary that all others follow', async () => {
			const states = await Promise.all(this.databases.map(async database => this.status(database)));
			const leading = states.filter(({isWritable}) => isWritable);
			const [leader] = leading;
			return leading.length === 1 && states.every(({fencedTerm, followsTerm, position}) =>
				fencedTerm === leader!.fencedTerm && followsTerm === leader!.followsTerm && position.term === leader!.position.term);
		}, failoverBoundMs);
	}

	/** Runs one text at the first proxy that answers. */
	async query(text: string): Promise<void> {
		const caller = new CallerSession(this.sessionOptions);
		await caller.connect(this.callers[0]!);
		await caller.query(text);
		caller.close();
	}

	get sessionOptions() {
		return {database: databaseGroup, application, usesToken: true} as const;
	}

	/** File of a proxy's settings. */
	settingsFile(name: string): string {
		return path.join(this.cluster.directory, `${name}.ini`);
	}

	/** Adds lines to the settings of a proxy; they apply when it restarts. */
	async addSettings(name: string, lines: string): Promise<void> {
		await appendFile(this.settingsFile(name), lines);
	}

	private loadOptions(seed: number) {
		return {
			seed, database: databaseGroup, application, callers: () => this.callers,
		};
	}

	private async cutProxy({name}: ProcessEndpoint, ports: readonly number[]): Promise<void> {
		await writeFile(`${this.settingsFile(name)}.cut`, JSON.stringify(ports));
		this.cluster.process(name).signal('SIGUSR2');
	}

	private async portsOf(processes: readonly ProcessEndpoint[]): Promise<readonly number[]> {
		const ports = await Promise.all(processes.map(async ({kind, name, port}) => kind === 'proxy' ? this.peerPorts(name) : [port]));
		return ports.flat();
	}

	private async peerPorts(name: string): Promise<readonly number[]> {
		const text = await readFile(this.settingsFile(name), 'utf8');
		const peers = /\[peers\][^\[]*/v.exec(text)?.[0] ?? '';
		return [...peers.matchAll(/^(?:port|workPort)=(?<port>\d+)$/gmv)].map(({groups}) => Number(groups!.port));
	}
}
