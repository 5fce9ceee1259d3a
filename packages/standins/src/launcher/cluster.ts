/**
 * Starts and stops the processes of deployments on this machine.
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
import {resourcesOf} from './resources.js';
import {settingsText, type ProxyPorts} from './settings.js';
import {
	type DatabaseTopology, type DeploymentTopology, type Endpoints, type GroupTopology, type ProcessEndpoint, type ProcessKind, type ProxyTopology,
} from './types.js';

export type ClusterOptions = {
	/** Directory of settings and logs; absent: a new temporary one. */
	readonly directory?: string;
	/** JavaScript file of `crocusloomd`. */
	readonly daemonScript?: string;
	/** False starts databases and platforms only. */
	readonly withProxies?: boolean;
	readonly users?: Readonly<Record<string, string>>;
	readonly logLevel?: string;
	/** Further arguments of every database, for example `['--service-ms', '5']`. */
	readonly databaseArgs?: readonly string[];
	/** Further arguments of every platform. */
	readonly platformArgs?: readonly string[];
	/** Time that all processes may take to be ready, in milliseconds. */
	readonly readyLimitMs?: number;
};

type Member = {
	readonly process: ManagedProcess;
	readonly kind: ProcessKind;
	readonly deployment: string;
	readonly failureDomain: string;
	readonly group?: string;
	port: number;
	controlPort?: number;
	readonly operatorPort?: number;
	/** Port that the host list shows for a proxy. */
	readonly peerPort?: number;
};

const host = '127.0.0.1';
const portsPerProxy = 4;
const readyPollMs = 100;
const defaultReadyLimitMs = 60_000;
export const demoUsers: Readonly<Record<string, string>> = {demo: 'demo'};

function scriptPath(relative: string): string {
	return fileURLToPath(new URL(relative, import.meta.url));
}

export class Cluster {
	private readonly members = new Map<string, Member>();
	private directoryPath = '';
	private starting: Promise<unknown> = Promise.resolve();
	private isStopping = false;

	constructor(private readonly deployments: readonly DeploymentTopology[], private readonly options: ClusterOptions = {}) {}

	/** Directory of settings and logs. */
	get directory(): string {
		return this.directoryPath;
	}

	/**
	 * Starts all processes, seeds the platforms and waits until the proxies answer their operators.
	 * @throws Error if a process does not become ready; what was started is stopped first
	 */
	async start(): Promise<void> {
		this.directoryPath = this.options.directory ?? await mkdtemp(path.join(tmpdir(), 'crocusloom-'));
		this.starting = settleAll(this.deployments.map(async deployment => this.startDeployment(deployment)));
		try {
			await this.starting;
		} catch (error) {
			await this.stop();
			throw error;
		}
	}

	/** Stops all processes that this cluster started: first the proxies, then what they depend on. */
	async stop(): Promise<void> {
		this.isStopping = true;
		await this.stopMembers();
		// A start in progress ends early now; what it had started meanwhile is stopped as well.
		await this.starting.catch(() => undefined);
		await this.stopMembers();
	}

	/** Process by its name. @throws Error if there is none */
	process(name: string): ManagedProcess {
		return this.member(name).process;
	}

	/** Kills a process without a chance to clean up, and waits until it has ended. */
	async kill(name: string): Promise<void> {
		const {process} = this.member(name);
		process.signal('SIGKILL');
		await process.exited;
	}

	/** Stops a process from running (SIGSTOP); its connections stay open. */
	pause(name: string): void {
		this.member(name).process.signal('SIGSTOP');
	}

	/** Lets a paused process run again (SIGCONT). */
	resume(name: string): void {
		this.member(name).process.signal('SIGCONT');
	}

	/** Starts an ended process again on its port; a database starts as an empty replica at fenced term 0. */
	async restart(name: string): Promise<void> {
		const member = this.member(name);
		if (member.kind === 'proxy') {
			await member.process.start();
			await this.waitForProxy(member);
			return;
		}

		const lacking = new Set(['--initial-primary', '--follow']);
		const {args} = member.process.spec;
		const kept = args.filter((arg, index) => !lacking.has(arg) && args[index - 1] !== '--follow');
		await member.process.start([...kept, '--port', String(member.port), '--control-port', String(member.controlPort)]);
	}

	/** Where everything listens. */
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

	/** Starts a process unless the cluster is being stopped, so that none is left over. */
	private async launch(member: Member, args?: readonly string[]): Promise<ReadyLine | undefined> {
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
		await seedResources(`http://${host}:${platform.port}`, deployment.name, resourcesOf(deployment, name => ({host, port: this.member(name).port})));
		if (this.options.withProxies ?? true) {
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

	private async startStandin({name, ...place}: {readonly name: string} & Pick<Member, 'kind' | 'deployment' | 'failureDomain' | 'group'>, args: readonly string[]): Promise<Member> {
		const script = scriptPath(place.kind === 'platform' ? '../platform/main.js' : '../backendServer/main.js');
		const process = new ManagedProcess({
			name, script, args: ['--name', name, ...args], logFile: path.join(this.directoryPath, `${name}.log`), printsReady: true,
		});
		const member: Member = {process, ...place, port: 0};
		this.members.set(name, member);
		const ready = await this.launch(member, [...process.spec.args, '--control-port', '0']);
		member.port = ready!.port;
		member.controlPort = ready!.controlPort;
		return member;
	}

	private async startProxies(deployment: DeploymentTopology, platformPort: number): Promise<void> {
		const script = this.options.daemonScript ?? scriptPath('../../../daemon/lib/main.js');
		await access(script);
		const ports = await findFreePorts(deployment.proxies.length * portsPerProxy, host);
		const portsOf = (index: number): ProxyPorts => {
			const [callers, peers, work, operators] = ports.slice(index * portsPerProxy, (index + 1) * portsPerProxy);
			return {
				callers: callers!, peers: peers!, work: work!, operators: operators!,
			};
		};

		const seeds = deployment.proxies.map((_, index) => `${host}:${portsOf(index).peers}`);
		await settleAll(deployment.proxies.map(async (proxy, index) => this.startProxy(script, proxy, {
			deployment, ports: portsOf(index), seeds, platformUrl: `http://${host}:${platformPort}`,
		})));
	}

	private async startProxy(script: string, proxy: ProxyTopology, {deployment, ports, seeds, platformUrl}: {
		readonly deployment: DeploymentTopology; readonly ports: ProxyPorts; readonly seeds: readonly string[]; readonly platformUrl: string;
	}): Promise<void> {
		const settingsFile = path.join(this.directoryPath, `${proxy.name}.ini`);
		await writeFile(settingsFile, settingsText({
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
			name: proxy.name, script, args: ['--settings', settingsFile], logFile: path.join(this.directoryPath, `${proxy.name}.log`), printsReady: false,
		});
		const member: Member = {
			process, kind: 'proxy', deployment: deployment.name, failureDomain: proxy.failureDomain, port: ports.callers, peerPort: ports.peers, operatorPort: ports.operators,
		};
		this.members.set(proxy.name, member);
		await this.launch(member);
		await this.waitForProxy(member);
	}

	/** Polls the operators' port until it answers. */
	private async waitForProxy({process, operatorPort}: Member): Promise<void> {
		const untilMs = performance.now() + (this.options.readyLimitMs ?? defaultReadyLimitMs);
		while (performance.now() < untilMs && process.isRunning) {
			if (await answers(`http://${host}:${operatorPort}/v1/status`)) {
				return;
			}

			await sleep(readyPollMs);
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

/** Waits until all have settled, so that nothing goes on in the background. @throws the first rejection's reason */
async function settleAll(promises: ReadonlyArray<Promise<unknown>>): Promise<void> {
	await Promise.allSettled(promises);
	await Promise.all(promises);
}

async function answers(url: string): Promise<boolean> {
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
