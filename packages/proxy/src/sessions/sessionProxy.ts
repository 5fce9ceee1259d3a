import {
	type Clock, ClockContinuity, type Logger, type Metrics, type RandomSource,
} from '@crocusloom/model';
import {freshnessMarginMs} from '../commits/commitSamples.js';
import {copyText} from '../copyText.js';
import {HostCount} from '../connections/connectionShare.js';
import {
	type BackendDialer, type BackendServer, type CheckRequest, type ConfirmServers, type IsNamedInOrder, type ProxyConfiguration,
} from '../ports.js';
import {type ServiceRecords} from '../servers/serviceRecords.js';
import {ServiceView} from '../servers/serviceView.js';
import {StatementRunner} from '../statements/statementRunner.js';
import {ConfigurationAge} from './configurationAge.js';
import {DecisionLog} from './decisionLog.js';
import {ranksOf, RouteTable} from './routeTable.js';
import {Session} from './session.js';
import {type SessionIdentity} from './sessionDecisions.js';
import {SessionTextBudget} from './sessionTextBudget.js';

/** Interval of connection maintenance and of the search for unknown primaries. */
const maintenanceIntervalMs = 100;
/** Time that a starting proxy waits for all primaries to be found. A primary that is still missing then has probably failed. */
const primarySearchTimeoutMs = 300;
/** Maximum length of the user in the name of a session; the rest is cut off. */
const maximumUserLength = 64;
/** Uncounted time of a suspension up to which ages count as measured correctly; within the safety margin of a freshness bound. */
const continuityToleranceMs = freshnessMarginMs / 2;

export type SessionProxyPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly dialer: BackendDialer;
	readonly checkRequest: CheckRequest;
	readonly confirmServers: ConfirmServers;
	readonly isNamedInOrder: IsNamedInOrder;
	readonly serviceRecords: ServiceRecords;
	/** Failure domain of this process. */
	readonly failureDomain: string;
	/** Time after the confirmation of a change within which it must be in force. */
	readonly configurationBoundMs: number;
};

/** Manages the sessions, routes and services of one proxy process. */
export class SessionProxy {
	readonly routes: RouteTable;
	readonly configurationAge: ConfigurationAge;
	private readonly continuity: ClockContinuity;
	private readonly views = new Map<string, ServiceView>();
	/** Views of services that are no longer configured and still run statements. */
	private readonly retiredViews = new Set<ServiceView>();
	private readonly runner: StatementRunner;
	private readonly decisionLog: DecisionLog;
	private readonly textBudget = new SessionTextBudget();
	private servers: readonly BackendServer[] = [];
	private hasServers = false;
	/** Time at which the configuration and the servers were first known. */
	private firstConfiguredMs: number | undefined;
	private sessionCount = 0;
	private readonly hostCount: HostCount;
	private appliedHostCount = 1;

	constructor(private readonly ports: SessionProxyPorts) {
		this.routes = new RouteTable(ports.log);
		this.continuity = new ClockContinuity(ports.clock, continuityToleranceMs);
		this.configurationAge = new ConfigurationAge(ports.configurationBoundMs, {...ports, continuity: this.continuity});
		this.hostCount = new HostCount(ports.clock);
		this.decisionLog = new DecisionLog(ports.log, ports.metrics, ports.clock);
		this.runner = new StatementRunner({
			clock: ports.clock,
			log: ports.log,
			metrics: ports.metrics,
			failureDomain: ports.failureDomain,
			viewOf: service => this.views.get(service),
		});
		this.routes.onChange(configuration => {
			this.applyConfiguration(configuration);
		});
	}

	/** True once the configuration and the servers are known, and all primaries have been found or the wait for them has passed. */
	get isReady(): boolean {
		if (this.routes.configuration === undefined || !this.hasServers) {
			return false;
		}

		this.firstConfiguredMs ??= this.ports.clock.nowMs();
		return this.ports.clock.nowMs() - this.firstConfiguredMs >= primarySearchTimeoutMs || this.services.every(view => view.currentPrimary !== undefined);
	}

	get services(): readonly ServiceView[] {
		return [...this.views.values()];
	}

	/** Sets the list of servers from service discovery. */
	setServers(servers: readonly BackendServer[]): void {
		this.servers = servers;
		this.hasServers = true;
		for (const view of this.views.values()) {
			this.assignServers(view);
		}
	}

	/** Sets the number of hosts that run a proxy. */
	setHostCount(count: number): void {
		this.hostCount.record(count);
	}

	/** Opens a session for a caller. */
	openSession(database: string, user: string): Session {
		this.sessionCount++;
		const shortUser = copyText(user.slice(0, maximumUserLength));
		const identity: SessionIdentity = {name: `${shortUser}#${this.sessionCount}`, database: copyText(database), user: shortUser};
		return new Session(identity, {
			clock: this.ports.clock,
			routes: this.routes,
			configurationAge: this.configurationAge,
			runner: this.runner,
			decisionLog: this.decisionLog,
			checkRequest: this.ports.checkRequest,
			textBudget: this.textBudget,
		});
	}

	/** Maintains connections and searches for unknown primaries until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.configurationAge.check();
			this.applyHostCount();
			for (const view of this.views.values()) {
				view.maintain();
			}

			this.maintainRetiredViews();
			await this.ports.clock.sleep(maintenanceIntervalMs, signal);
		}
	}

	/** Closes all connections to backend servers. */
	close(): void {
		for (const view of [...this.views.values(), ...this.retiredViews]) {
			view.close();
		}
	}

	private maintainRetiredViews(): void {
		for (const view of this.retiredViews) {
			view.maintainRetired();
			if (!view.hasRunningWork) {
				this.retiredViews.delete(view);
			}
		}
	}

	private applyHostCount(): void {
		const hosts = this.hostCount.recentMaximum;
		if (hosts === this.appliedHostCount) {
			return;
		}

		this.ports.log.info({hosts, before: this.appliedHostCount}, 'connection shares are recomputed for a changed number of hosts');
		this.appliedHostCount = hosts;
		for (const view of this.views.values()) {
			view.applyLimits();
		}
	}

	private applyConfiguration(configuration: ProxyConfiguration): void {
		for (const [name, view] of this.views) {
			if (!configuration.services.has(name)) {
				this.views.delete(name);
				this.retiredViews.add(view);
				view.retire();
			}
		}

		for (const spec of configuration.services.values()) {
			const existingView = this.views.get(spec.name);
			const view = existingView ?? new ServiceView(spec, {
				...this.ports,
				continuity: this.continuity,
				hostCount: () => this.hostCount.recentMaximum,
				// The servers and the configuration come from the same copy of the store.
				serverListAgeMs: () => this.configurationAge.ageMs,
				copyAgeMs: () => this.configurationAge.copyAgeMs,
			});
			view.configure(spec, ranksOf(configuration, spec.name));
			if (!existingView) {
				this.views.set(spec.name, view);
				this.assignServers(view);
			}
		}
	}

	private assignServers(view: ServiceView): void {
		if (!this.hasServers) {
			return;
		}

		view.setServers(this.servers.filter(server => server.service === view.name));
	}
}
