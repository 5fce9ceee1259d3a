import {
	type Clock, type DatabaseView, type GroupState, type GroupView, type StatementMode,
} from '@crocusloom/model';

/** Time without an answer after which a database counts as unreachable. Equal to `unreachableAfterMs` of the group monitors, after which they suspect a primary to have failed. */
export const unreachableAfterMs = 600;
/** Time without an answer above which a full queue is attributed to a failure rather than to load. The monitor polls every 200 ms. */
const unresponsiveAfterMs = 250;
/** Interval of the checks while units of work are open. */
export const lossCheckIntervalMs = 100;
/**
 * Consecutive checks that must find the database silent. After a pause of this process, the first check runs before the answers
 * that arrived meanwhile are read.
 */
const requiredSilentChecks = 2;
/** Consecutive silent checks required for a database that has never answered its monitor, because the monitor may have just started. */
const requiredSilentChecksOfNewMonitor = unreachableAfterMs / lossCheckIntervalMs;

/** A unit of work that is aborted when its database is lost. */
export type AbortableWork = {
	readonly mode: StatementMode;
	/** Aborts the running or waiting exchange and closes the connection. The outcome depends on whether the exchange was sent. */
	abort(reason: string): void;
};

/** Source of the group view, and actions of the detector beyond aborting units of work. */
export type LossDetectorPorts = {
	/** Returns the view of the group, or undefined if this process does not monitor the group. */
	readonly view: () => GroupView | undefined;
	/** Called with each check that finds the database unreachable. */
	readonly onUnreachable: (reason: string) => void;
};

/**
 * Aborts units of work at a database that is unreachable, and writes at a database that was replaced as the primary. A frozen
 * server keeps its connections open, so the units of work would otherwise never end.
 */
export class LossDetector {
	private readonly openWork = new Set<AbortableWork>();
	private isChecking = false;
	private silentChecks = 0;
	private isDatabaseUnreachable = false;
	private isDatabaseUnresponsive = false;

	/**
	 * @param database - name of the database
	 * @param clock - times the checks
	 * @param ports - source of the view, and further actions
	 */
	constructor(private readonly database: string, private readonly clock: Clock, private readonly ports: LossDetectorPorts) {}

	/** True if the latest check found the database unreachable. */
	get isUnreachable(): boolean {
		return this.isDatabaseUnreachable;
	}

	/** True while the database may have stopped answering. Statements that do not start in time are then not reported as shed. */
	get isUnresponsive(): boolean {
		return this.isDatabaseUnresponsive;
	}

	/** Adds a unit of work, which is aborted on loss of the database until it is removed. */
	add(work: AbortableWork): void {
		this.openWork.add(work);
		if (!this.isChecking) {
			this.isChecking = true;
			void this.checkPeriodically();
		}
	}

	remove(work: AbortableWork): void {
		this.openWork.delete(work);
	}

	private async checkPeriodically(): Promise<void> {
		while (this.openWork.size > 0 || this.isDatabaseUnreachable) {
			await this.clock.sleep(lossCheckIntervalMs);
			this.check();
		}

		this.isChecking = false;
		this.silentChecks = 0;
		this.isDatabaseUnresponsive = false;
	}

	private check(): void {
		const state = this.ports.view()?.state();
		const databaseView = state?.databases.find(({database}) => database === this.database);
		this.updateSilence(databaseView);
		if (this.isDatabaseUnreachable) {
			const reason = 'the database does not answer its monitor';
			this.abortMatching(() => true, reason);
			this.ports.onUnreachable(reason);
		} else if (state && databaseView && isReplaced(state, databaseView)) {
			this.abortMatching(({mode}) => mode === 'write', `the database is no longer the primary; the primary of term ${state.term} is ${state.primary ?? 'not known yet'}`);
		}
	}

	private updateSilence(databaseView: DatabaseView | undefined): void {
		this.isDatabaseUnresponsive = databaseView !== undefined && databaseView.silentMs > unresponsiveAfterMs;
		this.silentChecks = databaseView && databaseView.silentMs > unreachableAfterMs ? this.silentChecks + 1 : 0;
		const requiredChecks = databaseView?.silentMs === Number.POSITIVE_INFINITY ? requiredSilentChecksOfNewMonitor : requiredSilentChecks;
		this.isDatabaseUnreachable = this.silentChecks >= requiredChecks;
	}

	private abortMatching(isAffected: (work: AbortableWork) => boolean, reason: string): void {
		for (const work of [...this.openWork].filter(candidate => isAffected(candidate))) {
			this.openWork.delete(work);
			work.abort(reason);
		}
	}
}

/** Returns whether another database, or no database, is the primary. Until the database has answered its monitor, a missing primary proves nothing. */
function isReplaced({primary}: GroupState, {database, silentMs}: DatabaseView): boolean {
	return primary === undefined ? silentMs !== Number.POSITIVE_INFINITY : primary !== database;
}
