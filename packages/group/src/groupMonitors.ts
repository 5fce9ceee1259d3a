import {createHash} from 'node:crypto';
import {
	type Clock, type ConfigurationSource, type DatabaseControl, type DatabaseGroupSpec, type DatabaseSpec, type GroupState, type GroupViews,
	type KeyValueStore, type Logger, type Membership, type PromotionRecord, type RandomSource,
} from '@crocusloom/model';
import {majorityOf} from './confirmation.js';
import {type Directory, type LocalMonitors} from './directory.js';
import {GroupMonitor} from './groupMonitor.js';
import {Promoter} from './promoter.js';
import {StatusPublisher} from './statusPublisher.js';
import {monitorLingerMs, suspectAfterMs} from './timing.js';

export type GroupMonitorsOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly membership: Membership;
	readonly configuration: ConfigurationSource;
	/** Makes the control of one database; the monitor closes it. */
	readonly createControl: (database: DatabaseSpec) => DatabaseControl;
	/** Deployment name, part of the keys in the store. */
	readonly deployment: string;
	/** Where results of promotions are published, if the platform is used. */
	readonly store?: KeyValueStore;
	readonly log?: Logger;
};

type RunningMonitor = {
	readonly monitor: GroupMonitor;
	/** Names and addresses of the databases; a change of these starts a new monitor. */
	readonly databases: string;
};

/** Runs a monitor and a promoter for each group of which this host holds a database. */
export class GroupMonitors implements GroupViews, LocalMonitors {
	private readonly running = new Map<string, RunningMonitor>();
	private readonly lifetime = new AbortController();
	private directory?: Directory;
	private readonly publisher?: StatusPublisher;

	constructor(private readonly options: GroupMonitorsOptions) {
		const {store, deployment, clock} = options;
		this.publisher = store && new StatusPublisher(store, deployment, clock);
	}

	/**
	 * Starts monitors and keeps them in step with configuration and membership.
	 * @param directory - the directory of this process, which has the reports of other monitors
	 */
	start(directory: Directory): void {
		this.directory = directory;
		const {configuration, membership} = this.options;
		const reconcile = () => {
			this.reconcile();
		};

		configuration.onChange(reconcile, this.lifetime.signal);
		membership.onChange(reconcile, this.lifetime.signal);
		this.reconcile();
	}

	close(): void {
		this.lifetime.abort(new Error('the monitors are closed'));
		for (const {monitor} of this.running.values()) {
			monitor.close();
		}

		this.running.clear();
	}

	get(group: string): GroupMonitor | undefined {
		return this.running.get(group)?.monitor;
	}

	groups(): readonly string[] {
		return [...this.running.keys()];
	}

	monitoringHosts(group: string): readonly string[] {
		const databases = this.specOf(group)?.databases ?? [];
		const {membership} = this.options;
		return [...new Set(databases.map(({name, failureDomain}) => membership.holderOf(name, failureDomain).host))];
	}

	private reconcile(): void {
		const {configuration, membership} = this.options;
		const self = membership.self.host;
		const wanted = [...configuration.current().databaseGroups.keys()].filter(group => this.monitoringHosts(group).includes(self));
		for (const [group, running] of this.running) {
			const spec = this.specOf(group);
			if (!spec || running.databases !== databasesText(spec)) {
				this.stopMonitor(group, running);
			} else if (!wanted.includes(group)) {
				void this.stopAfterLinger(group, running);
			}
		}

		for (const group of wanted) {
			if (!this.running.has(group)) {
				this.startMonitor(group);
			}
		}
	}

	private stopMonitor(group: string, running: RunningMonitor): void {
		running.monitor.close();
		if (this.running.get(group) === running) {
			this.running.delete(group);
		}
	}

	/** Transactions that are open when the holder changes still need the monitor to acknowledge their commit. */
	private async stopAfterLinger(group: string, running: RunningMonitor): Promise<void> {
		try {
			await this.options.clock.sleep(monitorLingerMs, running.monitor.signal);
		} catch {
			return;
		}

		if (!this.monitoringHosts(group).includes(this.options.membership.self.host)) {
			this.stopMonitor(group, running);
		}
	}

	private startMonitor(group: string): void {
		const {clock, random, membership, createControl, log} = this.options;
		const {self} = membership;
		let spec = this.specOf(group)!;
		const monitor = new GroupMonitor({
			group,
			host: self.host,
			clock,
			controls: spec.databases.map(database => createControl(database)),
			spec: () => {
				spec = this.specOf(group) ?? spec;
				return spec;
			},
		});
		this.running.set(group, {monitor, databases: databasesText(spec)});
		monitor.onChange(() => {
			this.directory?.publishChange(group);
		}, monitor.signal);
		monitor.start();
		const promoter = new Promoter({
			monitor,
			random,
			owner: `${self.host}/${self.incarnation}`,
			rank: () => this.rankOf(group),
			isSeenElsewhere: primary => this.isSeenElsewhere(group, primary),
			onRecord: record => {
				this.publishRecord(monitor, record);
			},
			log,
		});
		void promoter.run();
	}

	private publishRecord(monitor: GroupMonitor, record: PromotionRecord): void {
		if (record.outcome !== 'promoted' || !record.candidate) {
			return;
		}

		this.directory?.publishChange(record.group);
		const state: GroupState = {...monitor.state(), term: record.term, primary: record.candidate};
		void this.publisher?.publish(state, monitor.signal);
	}

	/** Place of this host in the rendezvous order of the group's monitors that can reach a majority. */
	private rankOf(group: string): number {
		const self = this.options.membership.self.host;
		const able = this.monitoringHosts(group).filter(host => host !== self && this.reachesMajority(group, host));
		const ownScore = scoreOf(group, self);
		return able.filter(host => scoreOf(group, host) > ownScore).length;
	}

	private reachesMajority(group: string, host: string): boolean {
		const databases = this.directory?.reportOf(group, host)?.databases ?? [];
		return databases.filter(({silentMs}) => silentMs < reportReachableMs).length >= majorityOf(databases.length);
	}

	/**
	 * Another monitor's report counts while its own last answer is fresh, unless this host holds the primary: then the
	 * group's writes pass through this host, which cannot serve them.
	 */
	private isSeenElsewhere(group: string, primary: string): boolean {
		const {membership} = this.options;
		const database = this.specOf(group)?.databases.find(({name}) => name === primary);
		if (database && membership.holderOf(primary, database.failureDomain).host === membership.self.host) {
			return false;
		}

		const reports = this.monitoringHosts(group).map(host => this.directory?.reportOf(group, host));
		return reports.some(report => report?.primary === primary && report.databases.some(view => view.database === primary && view.silentMs < suspectAfterMs));
	}

	private specOf(group: string): DatabaseGroupSpec | undefined {
		return this.options.configuration.current().databaseGroups.get(group)?.spec;
	}
}

/** Peers report every 500 ms, so a database that a peer reaches looks silent for up to that much longer here. */
const reportReachableMs = 2 * suspectAfterMs;

/** Rendezvous score of a host for a group. */
function scoreOf(group: string, host: string): string {
	return createHash('sha1').update(`${group}/${host}`).digest('hex');
}

function databasesText(spec: DatabaseGroupSpec): string {
	return JSON.stringify(spec.databases.map(({name, address, port}) => [name, address, port]));
}
