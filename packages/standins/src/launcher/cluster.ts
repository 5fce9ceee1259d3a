/**
 * Starts and stops the processes of deployments on the local host.
 */
import {access, mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {type ListedHost} from '@crocusloom/model';
import {ManagedProcess, type ReadyLine} from './managedProcess.js';
import {putHosts, seedResources} from './platformClient.js';
import {findFreePorts} from './ports.js';
import {buildResources} from './resources.js';
import {formatSettings, type ProxyPorts} from './settings.js';
import {
	type DatabaseTopology, type DeploymentTopology, type Endpoints, type GroupTopology, type ProcessEndpoint, type ProcessKind, type ProxyTopology,
} from './types.js';

export type ClusterOptions = {
	/** Directory of settings files and logs; absent: a new temporary directory. */
	readonly directory?: string;
	/** Entry point of `crocusloomd`; absent: the one of this workspace. */
	readonly daemonScript?: string;
	/** False: only databases and platforms are started. Default: true. */
	readonly hasProxies?: boolean;
	/** Passwords by user name; absent: `demoUsers`. */
	readonly users?: Readonly<Record<string, string>>;
	readonly logLevel?: string;
	/** Additional arguments of every database, for example `['--service-ms', '5']`. */
	readonly databaseArgs?: readonly string[];
	/** Additional arguments of every platform. */
	readonly platformArgs?: readonly string[];
	/** Timeout for each proxy to become ready, in milliseconds. */
	readonly readyTimeoutMs?: number;
};

/** A process of the cluster and its addresses. */
type Member = {
	readonly process: ManagedProcess;
	readonly kind: ProcessKind;
	readonly deployment: string;
	readonly failureDomain: string;
	readonly group?: string;
	port: number;
	controlPort?: number;
	readonly operatorPort?: number;
	/** Port of a proxy in the host list. */
	readonly peerPort?: number;
};

const host = '127.0.0.1';
const portsPerProxy = 4;
const readinessPollMs = 100;
const defaultReadyTimeoutMs = 60_000;
/** Passwords by user name for callers of the demonstration. */
export const demoUsers: Readonly<Record<string, string>> = {demo: 'demo'};

function scriptPath(relative: string): string {
	return fileURLToPath(new URL(relative, import.meta.url));
}

/** The processes of one or more deployments: platforms, databases and proxies. */
export class Cluster {
	private readonly members = new Map<string, Member>();
	private directoryPath = '';
	private startup: Promise<unknown> = Promise.resolve();
	private isStopping = false;

	constructor(private readonly deployments: readonly DeploymentTopology[], private readonly options: ClusterOptions = {}) {}

	/** Directory of settings files and logs. */
	get directory(): string {
		return this.directoryPath;
	}

	/**
	 * Starts all processes, writes the configuration and the host list to the platforms, and waits until the operator API of
	 * every proxy responds.
	 * @throws Error if a process does not become ready, after stopping all processes that were started
	 */
	async start(): Promise<void> {
		this.directoryPath = this.options.directory ?? await mkdtemp(path.join(tmpdir(), 'crocusloom-'));
		this.startup = settleAll(this.deployments.map(async deployment => this.startDeployment(deployment)));
		try {
			await this.startup;
		} catch (error) {
			await this.stop();
			throw error;
		}
	}

	/** Stops all processes of the cluster: first the proxies, then the databases and platforms that they depend on. */
	async stop(): Promise<void> {
		this.isStopping = true;
		await this.stopMembers();
		// A start in progress fails early; the processes that it started in the meantime are stopped as well.
		await this.startup.catch(() => undefined);
		await this.stopMembers();
	}

	/** Returns a process by its name. @throws Error if there is none */
	process(name: string): ManagedProcess {
		return this.member(name).process;
	}

	/** Kills a process (SIGKILL) and waits until it has exited. */
	async kill(name: string): Promise<void> {
		const {process} = this.member(name);
		process.signal('SIGKILL');
		await process.exited;
	}

	/** Pauses a process (SIGSTOP); its connections stay open. */
	pause(name: string): void {
		this.member(name).process.signal('SIGSTOP');
	}

	/** Resumes a paused process (SIGCONT). */
	resume(name: string): void {
		this.member(name).process.signal('SIGCONT');
	}

	/** Restarts an exited process on its previous port. A database starts as an empty replica at fenced term 0. */
	async restart(name: string): Promise<void> {
		const member = this.member(name);
		if (member.kind === 'proxy') {
			await member.process.start();
			await this.waitForProxy(member);
			return;
		}

		const initialRoleFlags = new Set(['--initial-primary', '--follow']);
		const {args} = member.process.spec;
		const remainingArgs = args.filter((arg, index) => !initialRoleFlags.has(arg) && args[index - 1] !== '--follow');
		await member.process.start([...remainingArgs, '--port', String(member.port), '--control-port', String(member.controlPort)]);
	}

	/** Returns the addresses of all processes. */
	endpoints(): Endpoints {
		const entries = [...this.members];
		const proxies = entries.filter(([, {kind}]) => kind === 'proxy');
		return {
			callers: proxies.map(([name, {port, failureDomain, deployment}]) => ({
				host, port, failureDomain, deployment, name,
			})),
			operators: proxies.map(([name, {operatorPort, failureDomain, deployment}]) => ({
				url: `http://${host}:${operatorPort}`, failureDomain, deployment, name,
			})),
			processes: entries.map(([name, member]) => processEndpoint(name, member)),
		};
	}

	private async stopMembers(): Promise<void> {
		const members = [...this.members.values()];
		await Promise.all(members.filter(({kind}) => kind === 'proxy').map(async member => member.process.stop()));
		await Promise.all(members.map(async member => member.process.stop()));
	}

	/** Starts a process, unless the cluster is being stopped, so that `stop` leaves no process running. */
	private async startMember(member: Member, args?: readonly string[]): Promise<ReadyLine | undefined> {
		if (this.isStopping) {
			throw new Error(`${member.process.spec.name} was not started: the cluster is stopping`);
		}

		return member.process.start(args);
	}

	private async startDeployment(deployment: DeploymentTopology): Promise<void> {
		const platform = await this.startStandin({
			name: `${deployment.name}-platform`, kind: 'platform', deployment: deployment.name, failureDomain: '',
		}, this.options.platformArgs ?? []);
		await settleAll(deployment.groups.map(async group => this.startGroup(deployment, group)));
		await seedResources(`http://${host}:${platform.port}`, deployment.name, buildResources(deployment, name => ({host, port: this.member(name).port})));
		if (this.options.hasProxies ?? true) {
			await this.startProxies(deployment, platform.port);
		}

		await putHosts(`http://${host}:${platform.controlPort}`, this.listedHosts(deployment.name));
	}

	private async startGroup(deployment: DeploymentTopology, group: GroupTopology): Promise<void> {
		const [primary, ...replicas] = group.databases;
		const {port} = await this.startDatabase(deployment, group.name, primary!, ['--initial-primary']);
		await settleAll(replicas.map(async replica => this.startDatabase(deployment, group.name, replica, ['--follow', `${host}:${port}`])));
	}

	private async startDatabase(deployment: DeploymentTopology, group: string, {name, failureDomain}: DatabaseTopology, roleArgs: readonly string[]): Promise<Member> {
		const limits = ['--slots', String(deployment.slotsPerDatabase), '--connections', String(deployment.connectionsPerDatabase)];
		return this.startStandin({
			name, kind: 'database', deployment: deployment.name, failureDomain, group,
		}, [...limits, ...roleArgs, ...(this.options.databaseArgs ?? [])]);
	}

	private async startStandin({name, ...attributes}: {readonly name: string} & Pick<Member, 'kind' | 'deployment' | 'failureDomain' | 'group'>, args: readonly string[]): Promise<Member> {
		const script = scriptPath(attributes.kind === 'platform' ? '../platform/main.js' : '../backendServer/main.js');
		const process = new ManagedProcess({
			name, script, args: ['--name', name, ...args], logFile: path.join(this.directoryPath, `${name}.log`), hasReadyLine: true,
		});
		const member: Member = {process, ...attributes, port: 0};
		this.members.set(name, member);
		const ready = await this.startMember(member, [...process.spec.args, '--control-port', '0']);
		member.port = ready!.port;
		member.controlPort = ready!.controlPort;
		return member;
	}

	private async startProxies(deployment: DeploymentTopology, platformPort: number): Promise<void> {
		const script = this.options.daemonScript ?? scriptPath('../../../daemon/lib/main.js');
		await access(script);
		const ports = await findFreePorts(deployment.proxies.length * portsPerProxy, host);
		const portsOfProxy = (index: number): ProxyPorts => {
			const [callers, peers, work, operators] = ports.slice(index * portsPerProxy, (index + 1) * portsPerProxy);
			return {
				callers: callers!, peers: peers!, work: work!, operators: operators!,
			};
		};

		const seeds = deployment.proxies.map((_, index) => `${host}:${portsOfProxy(index).peers}`);
		await settleAll(deployment.proxies.map(async (proxy, index) => this.startProxy(script, proxy, {
			deployment, ports: portsOfProxy(index), seeds, platformUrl: `http://${host}:${platformPort}`,
		})));
	}

	private async startProxy(script: string, proxy: ProxyTopology, {deployment, ports, seeds, platformUrl}: {
		readonly deployment: DeploymentTopology; readonly ports: ProxyPorts; readonly seeds: readonly string[]; readonly platformUrl: string;
	}): Promise<void> {
		const settingsFile = path.join(this.directoryPath, `${proxy.name}.ini`);
		await writeFile(settingsFile, formatSettings({
			deployment,
			proxy,
			ports,
			platformUrl,
			address: host,
			seeds: seeds.filter(seed => seed !== `${host}:${ports.peers}`),
			users: this.options.users ?? demoUsers,
			logLevel: this.options.logLevel ?? 'info',
		}));
		const process = new ManagedProcess({
			name: proxy.name, script, args: ['--settings', settingsFile], logFile: path.join(this.directoryPath, `${proxy.name}.log`), hasReadyLine: false,
		});
		const member: Member = {
			process, kind: 'proxy', deployment: deployment.name, failureDomain: proxy.failureDomain, port: ports.callers, peerPort: ports.peers, operatorPort: ports.operators,
		};
		this.members.set(proxy.name, member);
		await this.startMember(member);
		await this.waitForProxy(member);
	}

	/** Polls the operator API of a proxy until it responds. */
	private async waitForProxy({process, operatorPort}: Member): Promise<void> {
		const deadlineMs = performance.now() + (this.options.readyTimeoutMs ?? defaultReadyTimeoutMs);
		while (performance.now() < deadlineMs && process.isRunning) {
			if (await isResponding(`http://${host}:${operatorPort}/v1/status`)) {
				return;
			}

			await sleep(readinessPollMs);
		}

		throw new Error(`${process.spec.name} did not become ready; see ${process.spec.logFile}`);
	}

	private listedHosts(deployment: string): readonly ListedHost[] {
		return [...this.members]
			.filter(([, member]) => member.deployment === deployment && member.kind !== 'platform')
			.map(([name, {kind, failureDomain, port, peerPort}]) => ({
				host: name, kind: kind === 'proxy' ? 'entry' : 'backend', failureDomain, address: host, port: peerPort ?? port, state: 'live',
			}));
	}

	private member(name: string): Member {
		const member = this.members.get(name);
		if (!member) {
			throw new Error(`there is no process ${name}`);
		}

		return member;
	}
}

/**
 * Waits until all promises have settled, so that no start continues in the background after a failure.
 * @throws the reason of the first rejected promise
 */
async function settleAll(promises: ReadonlyArray<Promise<unknown>>): Promise<void> {
	await Promise.allSettled(promises);
	await Promise.all(promises);
}

async function isResponding(url: string): Promise<boolean> {
	try {
		const response = await fetch(url);
		await response.arrayBuffer();
		return response.ok;
	} catch {
		return false;
	}
}

function processEndpoint(name: string, {process, kind, deployment, failureDomain, group, port, controlPort}: Member): ProcessEndpoint {
	return {
		name, kind, deployment, failureDomain, pid: process.pid ?? 0, host, port, group, controlUrl: controlPort === undefined ? undefined : `http://${host}:${controlPort}`,
	};
}
