import {
	FailureError, type BackendDialer, type Clock, type Configuration, type DatabaseGroupSpec, type DatabaseSpec,
	type GroupView, type GroupViews, type HolderStats, type Metrics, type NotRunReason, type RandomSource, type Tracer, type WorkRequest,
	holdsPosition,
} from '@crocusloom/model';
import {AdmissionQueue} from './admissionQueue.js';
import {type AdmissionLimits} from './rankState.js';
import {connectionBudget, ConnectionPool, type PoolTarget} from './connectionPool.js';
import {LossWatch} from './lossWatch.js';

/** Longest wait for a replica to reach the position that a read needs. */
export const freshnessWaitMs = 20;

/** What the holder side needs of the outside. */
export type HolderPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly dialer: BackendDialer;
	readonly groupViews: GroupViews;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
};

/** Queue and pool of one database that this process holds. */
export class HeldDatabase {
	readonly queue: AdmissionQueue;
	readonly pool: ConnectionPool;
	/** Ends units of work when this database is lost. */
	readonly losses: LossWatch;
	readonly metricLabels: Readonly<Record<string, string>>;
	private database: DatabaseSpec;
	private groupSpec: DatabaseGroupSpec;
	private isRemoved = false;

	/**
	 * @param group - name of the database group
	 * @param found - the database in the configuration
	 * @param configuration - for the ranks
	 */
	constructor(readonly group: string, found: FoundDatabase, configuration: Configuration, readonly ports: HolderPorts) {
		this.database = found.database;
		this.groupSpec = found.group;
		this.metricLabels = {database: found.database.name};
		this.pool = new ConnectionPool(poolTarget(found), ports, () => {
			this.queue.grantWaiting();
		});
		this.queue = new AdmissionQueue(found.database.name, admissionLimits(found.group, configuration), ports.clock, {
			mayReserve: moreUrgentRanks => this.pool.availableCount > Math.min(moreUrgentRanks, this.pool.budget - 1),
			reserve: () => {
				this.pool.reserve();
			},
			isDoubtful: () => this.losses.isDoubtful,
		});
		this.losses = new LossWatch(found.database.name, ports.clock, {
			view: () => ports.groupViews.get(group),
			onUnreachable: reason => {
				this.pool.dropAll(reason);
				this.queue.refuseWaiting('unreachable', reason);
			},
		});
	}

	get name(): string {
		return this.database.name;
	}

	get acknowledgement(): DatabaseGroupSpec['acknowledgement'] {
		return this.groupSpec.acknowledgement;
	}

	/** Puts a changed configuration in force. */
	configure(configuration: Configuration): void {
		const found = findDatabase(configuration, this.group, this.name);
		this.isRemoved = found === undefined;
		if (found) {
			this.database = found.database;
			this.groupSpec = found.group;
			this.pool.configure(poolTarget(found));
			this.queue.configure(admissionLimits(found.group, configuration));
		}
	}

	/**
	 * Waits a bounded time until the database holds the position that the work needs.
	 * @returns undefined when there is nothing to wait for
	 * @throws FailureError `notRun` when the position is not reached in time
	 */
	awaitFreshness(request: WorkRequest, signal: AbortSignal): Promise<void> | undefined {
		const {minimumPosition} = request;
		if (!minimumPosition) {
			return undefined;
		}

		const view = this.view();
		const state = view.state();
		const seen = state.databases.find(({database}) => database === this.name);
		// A primary of the position's term or a later one holds all that a majority held.
		const isPrimary = state.primary === this.name && state.term >= minimumPosition.term;
		if (isPrimary || (seen && holdsPosition(seen.position, minimumPosition))) {
			return undefined;
		}

		return this.waitForPosition(view, request, signal);
	}

	/**
	 * Checks what must hold when the work starts: leaving mark, reachability, role, age.
	 * @throws FailureError `notRun`
	 */
	checkDemands(request: WorkRequest): void {
		if (this.isRemoved || this.database.leaving) {
			throw this.refusal('leaving', 'the database takes no new work');
		}

		if (this.losses.isUnreachable) {
			throw this.refusal('unreachable', 'the database does not answer its monitor');
		}

		const view = this.view();
		if (request.mode === 'write' && view.state().primary !== this.name) {
			throw this.refusal('notPrimary', `the primary is ${view.state().primary ?? 'not known'}`);
		}

		if (request.maxAgeMs !== undefined && view.provenAgeMs(this.name) > request.maxAgeMs) {
			throw this.refusal('tooStale', `the data is not proven to be younger than ${request.maxAgeMs} ms`);
		}
	}

	/** @throws FailureError `notRun` when this process does not monitor the group */
	view(): GroupView {
		const view = this.ports.groupViews.get(this.group);
		if (!view) {
			throw this.refusal('noPrimary', 'the group is not monitored by this host yet');
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

	refusal(reason: NotRunReason, message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason, step: 'admission', peer: this.name, message,
		});
	}

	private async waitForPosition(view: GroupView, request: WorkRequest, signal: AbortSignal): Promise<void> {
		const waitMs = Math.min(freshnessWaitMs, request.waitLimitMs);
		if (!await view.waitForDatabase(this.name, request.minimumPosition!, waitMs, signal)) {
			throw this.refusal('tooStale', `the position is not reached within ${waitMs} ms`);
		}
	}
}

/** A database with the group that it belongs to. */
export type FoundDatabase = {readonly group: DatabaseGroupSpec; readonly database: DatabaseSpec};

/** Finds a database in the configuration. */
export function findDatabase(configuration: Configuration, group: string, name: string): FoundDatabase | undefined {
	const spec = configuration.databaseGroups.get(group)?.spec;
	const database = spec?.databases.find(candidate => candidate.name === name);
	return spec && database && {group: spec, database};
}

function poolTarget({group, database}: FoundDatabase): PoolTarget {
	const {name, address, port} = database;
	return {
		database: name, address, port, budget: connectionBudget(group.connectionsPerDatabase),
	};
}

function admissionLimits(group: DatabaseGroupSpec, configuration: Configuration): AdmissionLimits {
	const ranks = [...configuration.ranks.values()].map(({name, spec}) => ({rank: name, ...spec}));
	return {slotLimit: group.slotsPerDatabase, ranks};
}
