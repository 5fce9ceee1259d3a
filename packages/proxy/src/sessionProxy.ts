import {
	type Clock, type Logger, type Metrics, type RandomSource,
} from '@crocusloom/model';
import {DecisionLog} from './decisionLog.js';
import {HostCount} from './connectionShare.js';
import {type BackendDialer, type BackendServer, type ProxyConfiguration} from './ports.js';
import {ranksOf, RouteTable} from './routeTable.js';
import {ServiceView} from './serviceView.js';
import {Session, type SessionIdentity} from './session.js';
import {StatementRunner} from './statementRunner.js';

/** Interval of the upkeep of connections and of the search for unknown primaries. */
const maintenanceIntervalMs = 100;
/** Time that a start waits for the primaries; longer, one of them has probably failed. */
const primarySearchMs = 300;

export type SessionProxyPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly dialer: BackendDialer;
	/** Failure domain of this process. */
	readonly failureDomain: string;
};

/** The sessions, routes and services of one proxy process. */
export class SessionProxy {
	readonly routes: RouteTable;
	private readonly views = new Map<string, ServiceView>();
	private readonly runner: StatementRunner;
	private readonly decisions: DecisionLog;
	private servers: readonly BackendServer[] = [];
	private hasServers = false;
	/** Time at which the configuration and the servers were first seen to be known. */
	private configuredMs: number | undefined;
	private sessionCount = 0;
	private readonly hosts: HostCount;
	private sharedAmong = 1;

	constructor(private readonly ports: SessionProxyPorts) {
		this.routes = new RouteTable(ports.log);
		this.hosts = new HostCount(ports.clock);
		this.decisions = new DecisionLog(ports.log, ports.metrics, ports.clock);
		this.runner = new StatementRunner({
			clock: ports.clock,
			failureDomain: ports.failureDomain,
			viewOf: service => this.views.get(service),
		});
		this.routes.onChange(configuration => {
			this.applyConfiguration(configuration);
		});
	}

	/** True once a configuration, the servers and their primaries are known, or no primary was found for a while. */
	get isReady(): boolean {
		if (this.routes.current === undefined || !this.hasServers) {
			return false;
		}

		this.configuredMs ??= this.ports.clock.nowMs();
		return this.ports.clock.nowMs() - this.configuredMs >= primarySearchMs || this.services.every(view => view.currentLead !== undefined);
	}

	get services(): readonly ServiceView[] {
		return [...this.views.values()];
	}

	/** Takes over the list of servers from service discovery. */
	setServers(servers: readonly BackendServer[]): void {
		this.servers = servers;
		this.hasServers = true;
		for (const view of this.views.values()) {
			this.distribute(view);
		}
	}

	/** Takes over the number of hosts that run a proxy. */
	setHostCount(count: number): void {
		this.hosts.note(count);
	}

	/** Starts the session of a caller. */
	openSession(database: string, user: string): Session {
		this.sessionCount++;
		const identity: SessionIdentity = {name: `${user}#${this.sessionCount}`, database, user};
		return new Session(identity, {
			clock: this.ports.clock, routes: this.routes, runner: this.runner, decisions: this.decisions,
		});
	}

	/** Keeps connections and the knowledge of primaries up until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.divideConnections();
			for (const view of this.views.values()) {
				view.maintain();
			}

			await this.ports.clock.sleep(maintenanceIntervalMs, signal);
		}
	}

	/** Ends all connections to backend servers. */
	close(): void {
		for (const view of this.views.values()) {
			view.close();
		}
	}

	private divideConnections(): void {
		const hosts = this.hosts.current;
		if (hosts === this.sharedAmong) {
			return;
		}

		this.ports.log.info({hosts, before: this.sharedAmong}, 'connections are divided among another number of hosts');
		this.sharedAmong = hosts;
		for (const view of this.views.values()) {
			view.applyLimits();
		}
	}

	private applyConfiguration(configuration: ProxyConfiguration): void {
		for (const [name, view] of this.views) {
			if (!configuration.services.has(name)) {
				this.views.delete(name);
				view.close();
			}
		}

		for (const spec of configuration.services.values()) {
			const known = this.views.get(spec.name);
			const view = known ?? new ServiceView(spec, {...this.ports, hostCount: () => this.hosts.current});
			view.configure(spec, ranksOf(configuration, spec.name));
			if (!known) {
				this.views.set(spec.name, view);
				this.distribute(view);
			}
		}
	}

	private distribute(view: ServiceView): void {
		view.setServers(this.servers.filter(server => server.service === view.name));
	}
}
