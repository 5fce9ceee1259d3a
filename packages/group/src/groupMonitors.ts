import {createHash} from 'node:crypto';
import {
	type Clock, type ConfigurationSource, type DatabaseControl, type DatabaseGroupSpec, type DatabaseSpec, type DatabaseListState, type GroupState, type GroupViews,
	type KeyValueStore, type Logger, type Membership, noopLogger, type PromotionRecord, type RandomSource, type Resource, runSupervised,
} from '@crocusloom/model';
import {majoritySize} from './confirmation.js';
import {type GroupStateDirectory, type LocalMonitors} from './groupStateDirectory.js';
import {GroupMonitor} from './groupMonitor.js';
import {ListChangeSettler} from './listChangeSettler.js';
import {Promoter} from './promoter.js';
import {StatusPublisher} from './statusPublisher.js';
import {monitorStopDelayMs, unreachableAfterMs} from './timing.js';

export type GroupMonitorsOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly membership: Membership;
	readonly configuration: ConfigurationSource;
	/** Creates the control of one database. The group monitor closes it. */
	readonly createControl: (database: DatabaseSpec) => DatabaseControl;
	/** Name of the deployment, which is part of the keys in the store. */
	readonly deployment: string;
	/** Store to which the results of promotions are published, if the platform is used. */
	readonly store?: KeyValueStore;
	/** Records that the change of a group's databases to a generation is in force; returns false if that is not known. */
	readonly settleDatabases?: (group: string, generation: number, signal: AbortSignal) => Promise<boolean>;
	readonly log?: Logger;
};

type RunningMonitor = {
	readonly monitor: GroupMonitor;
	/** Names and addresses of the databases, and the state of their list, as one string. If it changes, the monitor is replaced. */
	readonly databasesKey: string;
};

/** Runs a monitor and a promoter for each group with a database that this host holds. */
export class GroupMonitors implements GroupViews, LocalMonitors {
	private readonly runningMonitors = new Map<string, RunningMonitor>();
	private readonly closeController = new AbortController();
	private directory?: GroupStateDirectory;
	private readonly publisher?: StatusPublisher;

	constructor(private readonly options: GroupMonitorsOptions) {
		const {store, deployment, clock} = options;
		this.publisher = store && new StatusPublisher(store, deployment, clock);
	}

	/**
	 * Starts the monitors, and starts and stops monitors when configuration or membership changes.
	 * @param directory - directory of this process, which has the states reported by other monitors
	 */
	start(directory: GroupStateDirectory): void {
		this.directory = directory;
		const {configuration, membership} = this.options;
		const reconcile = () => {
			this.reconcile();
		};

		configuration.onChange(reconcile, this.closeController.signal);
		membership.onChange(reconcile, this.closeController.signal);
		this.reconcile();
	}

	close(): void {
		this.closeController.abort(new Error('the monitors are closed'));
		for (const {monitor} of this.runningMonitors.values()) {
			monitor.close();
		}

		this.runningMonitors.clear();
	}

	get(group: string): GroupMonitor | undefined {
		return this.runningMonitors.get(group)?.monitor;
	}

	groups(): readonly string[] {
		return [...this.runningMonitors.keys()];
	}

	monitoringHosts(group: string): readonly string[] {
		const databases = this.specOf(group)?.databases ?? [];
		const {membership} = this.options;
		return [...new Set(databases.map(({name, failureDomain}) => membership.holderOf(name, failureDomain).host))];
	}

	private reconcile(): void {
		const {configuration, membership} = this.options;
		const selfHost = membership.self.host;
		const requiredGroups = [...configuration.current().databaseGroups.keys()].filter(group => this.monitoringHosts(group).includes(selfHost));
		for (const [group, runningMonitor] of this.runningMonitors) {
			const resource = this.resourceOf(group);
			if (!resource || runningMonitor.databasesKey !== databasesKeyOf(resource)) {
				this.stopMonitor(group, runningMonitor);
			} else if (!requiredGroups.includes(group)) {
				void this.stopAfterDelay(group, runningMonitor);
			}
		}

		for (const group of requiredGroups) {
			if (!this.runningMonitors.has(group)) {
				this.startMonitor(group);
			}
		}
	}

	private stopMonitor(group: string, runningMonitor: RunningMonitor): void {
		runningMonitor.monitor.close();
		if (this.runningMonitors.get(group) === runningMonitor) {
			this.runningMonitors.delete(group);
		}
	}

	/** Stops a monitor after a delay. Transactions that are open when the holder changes still need it for the acknowledgement of their commit. */
	private async stopAfterDelay(group: string, runningMonitor: RunningMonitor): Promise<void> {
		try {
			await this.options.clock.sleep(monitorStopDelayMs, runningMonitor.monitor.signal);
		} catch {
			return;
		}

		if (!this.monitoringHosts(group).includes(this.options.membership.self.host)) {
			this.stopMonitor(group, runningMonitor);
		}
	}

	private startMonitor(group: string): void {
		const {clock, random, membership, createControl, log} = this.options;
		const {self} = membership;
		const resource = this.resourceOf(group)!;
		let {spec} = resource;
		const {generation, previousDatabases} = resource.databaseList ?? initialListState;
		const monitor = new GroupMonitor({
			group,
			host: self.host,
			clock,
			controls: [...spec.databases, ...removedDatabases(resource)].map(database => createControl(database)),
			generation,
			previousDatabases,
			spec: () => {
				spec = this.specOf(group) ?? spec;
				return spec;
			},
		});
		this.runningMonitors.set(group, {monitor, databasesKey: databasesKeyOf(resource)});
		monitor.onChange(() => {
			this.directory?.publishChange(group);
		}, monitor.signal);
		monitor.start();
		const promoter = new Promoter({
			monitor,
			random,
			owner: `${self.host}/${self.incarnation}`,
			promotionRank: () => this.promotionRankOf(group),
			isReachableElsewhere: primary => this.isReachableElsewhere(group, primary),
			onRecord: record => {
				this.publishPromotion(monitor, record);
			},
			log,
		});
		void this.supervise('promoter', monitor, async () => promoter.run());
		if (previousDatabases) {
			this.startSettler(group, monitor);
		}
	}

	private startSettler(group: string, monitor: GroupMonitor): void {
		const {settleDatabases, log} = this.options;
		const settle = async (generation: number, signal: AbortSignal) => await settleDatabases?.(group, generation, signal) ?? false;
		const settler = new ListChangeSettler({monitor, settle, log});
		void this.supervise('list change settler', monitor, async () => settler.run());
	}

	private async supervise(task: string, {signal}: GroupMonitor, run: () => Promise<void>): Promise<void> {
		const {clock, log = noopLogger} = this.options;
		await runSupervised(task, run, {clock, log}, signal);
	}

	private publishPromotion(monitor: GroupMonitor, record: PromotionRecord): void {
		if (record.outcome !== 'promoted' || !record.candidate) {
			return;
		}

		this.directory?.publishChange(record.group);
		const state: GroupState = {...monitor.state(), term: record.term, primary: record.candidate};
		void this.publisher?.publish(state, monitor.signal);
	}

	/** Returns the position of this host in the rendezvous order of the group's monitors that can reach a majority. */
	private promotionRankOf(group: string): number {
		const selfHost = this.options.membership.self.host;
		const eligibleHosts = this.monitoringHosts(group).filter(host => host !== selfHost && this.isMajorityReachableFrom(group, host));
		const selfScore = rendezvousScore(group, selfHost);
		return eligibleHosts.filter(host => rendezvousScore(group, host) > selfScore).length;
	}

	private isMajorityReachableFrom(group: string, host: string): boolean {
		const databases = this.directory?.reportOf(group, host)?.databases ?? [];
		return databases.filter(({silentMs}) => silentMs < reportedUnreachableAfterMs).length >= majoritySize(databases.length);
	}

	/**
	 * Checks whether another monitor has recently reported that it reaches the primary. The reports are ignored if this host
	 * holds the primary, because then the writes of the group pass through this host, which cannot serve them.
	 */
	private isReachableElsewhere(group: string, primary: string): boolean {
		const {membership} = this.options;
		const database = this.specOf(group)?.databases.find(({name}) => name === primary);
		if (database && membership.holderOf(primary, database.failureDomain).host === membership.self.host) {
			return false;
		}

		const reports = this.monitoringHosts(group).map(host => this.directory?.reportOf(group, host));
		return reports.some(report => report?.primary === primary && report.databases.some(view => view.database === primary && view.silentMs < unreachableAfterMs));
	}

	private specOf(group: string): DatabaseGroupSpec | undefined {
		return this.resourceOf(group)?.spec;
	}

	private resourceOf(group: string): Resource<'databaseGroups'> | undefined {
		return this.options.configuration.current().databaseGroups.get(group);
	}
}

const initialListState: DatabaseListState = {generation: 0};

/**
 * A database in the report of a peer counts as unreachable after this time without a response. Peers report every 500 ms, so a
 * database that a peer reaches may appear silent for up to 500 ms longer at this host.
 */
const reportedUnreachableAfterMs = 2 * unreachableAfterMs;

/** Returns the rendezvous hashing score of a host for a group. */
function rendezvousScore(group: string, host: string): string {
	return createHash('sha1').update(`${group}/${host}`).digest('hex');
}

function databasesKeyOf({spec, databaseList}: Resource<'databaseGroups'>): string {
	const keysOf = (databases: readonly DatabaseSpec[]) => databases.map(({name, address, port}) => [name, address, port]);
	return JSON.stringify([keysOf(spec.databases), databaseList?.generation ?? 0, keysOf(databaseList?.previousDatabases ?? [])]);
}

/** Returns the databases before a change that is not in force which the change has removed. */
function removedDatabases({spec, databaseList}: Resource<'databaseGroups'>): readonly DatabaseSpec[] {
	return (databaseList?.previousDatabases ?? []).filter(({name}) => !spec.databases.some(database => database.name === name));
}
