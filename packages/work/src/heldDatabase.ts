import {
	FailureError, type BackendDialer, type Clock, type Configuration, type DatabaseGroupSpec, type DatabaseSpec,
	type GroupView, type GroupViews, type HolderStats, type Metrics, type NotRunReason, type RandomSource, type Tracer, type WorkRequest,
	holdsPosition,
} from '@crocusloom/model';
import {AdmissionQueue} from './admissionQueue.js';
import {type AdmissionLimits} from './rankState.js';
import {connectionBudget, ConnectionPool, type PoolTarget} from './connectionPool.js';
import {LossDetector} from './lossDetector.js';

/** Maximum wait for a replica to reach the position that a read requires. */
export const freshnessWaitMs = 20;

/** Ports of the holder. */
export type HolderPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly dialer: BackendDialer;
	readonly groupViews: GroupViews;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
};

/** A database that this process holds, with its admission queue and connection pool. */
export class HeldDatabase {
	readonly queue: AdmissionQueue;
	readonly pool: ConnectionPool;
	/** Aborts units of work when this database is lost. */
	readonly lossDetector: LossDetector;
	readonly metricLabels: Readonly<Record<string, string>>;
	private database: DatabaseSpec;
	private groupSpec: DatabaseGroupSpec;
	private isRemoved = false;

	/**
	 * @param group - name of the database group
	 * @param configuredDatabase - configuration of the database and its group
	 * @param configuration - configuration, for the policies of the ranks
	 * @param ports - dialer, clock, group views and other ports
	 */
	constructor(readonly group: string, configuredDatabase: ConfiguredDatabase, configuration: Configuration, readonly ports: HolderPorts) {
		this.database = configuredDatabase.database;
		this.groupSpec = configuredDatabase.group;
		this.metricLabels = {database: configuredDatabase.database.name};
		this.pool = new ConnectionPool(poolTarget(configuredDatabase), ports, () => {
			this.queue.grantWaiting();
		});
		this.queue = new AdmissionQueue(configuredDatabase.database.name, admissionLimits(configuredDatabase.group, configuration), ports.clock, {
			mayReserve: moreUrgentRanks => this.pool.availableCount > Math.min(moreUrgentRanks, this.pool.budget - 1),
			reserve: () => {
				this.pool.reserve();
			},
			isUnresponsive: () => this.lossDetector.isUnresponsive,
		});
		this.lossDetector = new LossDetector(configuredDatabase.database.name, ports.clock, {
			view: () => ports.groupViews.get(group),
			onUnreachable: reason => {
				this.pool.dropIdleAndWaiters(reason);
				this.queue.rejectWaiters('unreachable', reason);
			},
		});
	}

	get name(): string {
		return this.database.name;
	}

	get acknowledgement(): DatabaseGroupSpec['acknowledgement'] {
		return this.groupSpec.acknowledgement;
	}

	/** Applies a changed configuration. */
	configure(configuration: Configuration): void {
		const configuredDatabase = findDatabase(configuration, this.group, this.name);
		this.isRemoved = configuredDatabase === undefined;
		if (configuredDatabase) {
			this.database = configuredDatabase.database;
			this.groupSpec = configuredDatabase.group;
			this.pool.configure(poolTarget(configuredDatabase));
			this.queue.configure(admissionLimits(configuredDatabase.group, configuration));
		}
	}

	/**
	 * Waits for at most `freshnessWaitMs` until the database holds the position that the work requires.
	 * @returns undefined if no wait is necessary
	 * @throws FailureError `notRun` if the position is not reached in time
	 */
	waitForFreshness(request: WorkRequest, signal: AbortSignal): Promise<void> | undefined {
		const {minimumPosition} = request;
		if (!minimumPosition) {
			return undefined;
		}

		const view = this.view();
		const state = view.state();
		const databaseView = state.databases.find(({database}) => database === this.name);
		// A primary of the same or a later term holds everything that a majority held.
		const isPrimary = state.primary === this.name && state.term >= minimumPosition.term;
		if (isPrimary || (databaseView && holdsPosition(databaseView.position, minimumPosition))) {
			return undefined;
		}

		return this.waitForPosition(view, request, signal);
	}

	/**
	 * Checks the requirements for starting the work: the database is not leaving, is reachable, has the required role, and its data
	 * is recent enough.
	 * @throws FailureError `notRun` if a requirement is not met
	 */
	checkRequirements(request: WorkRequest): void {
		if (this.isRemoved || this.database.leaving) {
			throw this.notRunError('leaving', 'the database is leaving or was removed, and accepts no new work');
		}

		if (this.lossDetector.isUnreachable) {
			throw this.notRunError('unreachable', 'the database does not answer its monitor');
		}

		const view = this.view();
		if (request.mode === 'write' && view.state().primary !== this.name) {
			throw this.notRunError('notPrimary', `the primary is ${view.state().primary ?? 'not known'}`);
		}

		if (request.maxAgeMs !== undefined && view.provenAgeMs(this.name) > request.maxAgeMs) {
			throw this.notRunError('tooStale', `the data is not proven to be younger than ${request.maxAgeMs} ms`);
		}
	}

	/**
	 * Returns the view of the group.
	 * @throws FailureError `notRun` if this process does not monitor the group
	 */
	view(): GroupView {
		const view = this.ports.groupViews.get(this.group);
		if (!view) {
			throw this.notRunError('noPrimary', 'the group is not monitored by this host yet');
		}

		return view;
	}

	stats(): HolderStats {
		return {
			group: this.group,
			database: this.name,
			openConnections: this.pool.openCount,
			connectionLimit: this.pool.budget,
			busySlots: this.queue.busySlots,
			slotLimit: this.groupSpec.slotsPerDatabase,
			ranks: this.queue.stats(),
		};
	}

	notRunError(reason: NotRunReason, message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason, step: 'admission', peer: this.name, message,
		});
	}

	private async waitForPosition(view: GroupView, request: WorkRequest, signal: AbortSignal): Promise<void> {
		const waitMs = Math.min(freshnessWaitMs, request.waitLimitMs);
		if (!await view.waitForDatabase(this.name, request.minimumPosition!, waitMs, signal)) {
			throw this.notRunError('tooStale', `the position was not reached within ${waitMs} ms`);
		}
	}
}

/** Configuration of a database and of its group. */
export type ConfiguredDatabase = {readonly group: DatabaseGroupSpec; readonly database: DatabaseSpec};

/** Looks up a database in the configuration. */
export function findDatabase(configuration: Configuration, group: string, name: string): ConfiguredDatabase | undefined {
	const spec = configuration.databaseGroups.get(group)?.spec;
	const database = spec?.databases.find(candidate => candidate.name === name);
	return spec && database && {group: spec, database};
}

function poolTarget({group, database}: ConfiguredDatabase): PoolTarget {
	const {name, address, port} = database;
	return {
		database: name, address, port, budget: connectionBudget(group.connectionsPerDatabase),
	};
}

function admissionLimits(group: DatabaseGroupSpec, configuration: Configuration): AdmissionLimits {
	const ranks = [...configuration.ranks.values()].map(({name, spec}) => ({rank: name, ...spec}));
	return {slotLimit: group.slotsPerDatabase, ranks};
}
