import {
	type Clock, type DatabaseView, type GroupState, type GroupView, type StatementMode,
} from '@crocusloom/model';

/** Silence after which a database counts as unreachable; equal to the monitors' time of suspicion. */
export const lostAfterMs = 600;
/** Silence above which a full queue is taken for a sign of a failure; the monitor asks every 200 ms. */
const doubtAfterMs = 250;
/** Time between two checks while units of work are open. */
export const lossCheckIntervalMs = 100;
/** Checks in sequence that must find silence. After a pause of this process, the first one precedes the reading of answers that arrived meanwhile. */
const checksOfSilence = 2;
/** The same for a database that its monitor has never heard, because the monitor may have just started. */
const checksOfNewMonitor = lostAfterMs / lossCheckIntervalMs;

/** A unit of work that is ended when its database is lost. */
export type EndableWork = {
	readonly mode: StatementMode;
	/** Ends what runs or waits, with an outcome by what was sent, and closes the connection. */
	end(reason: string): void;
};

/** What the watch does beyond ending units of work. */
export type LossActions = {
	/** The group's view; undefined when this process does not monitor the group. */
	readonly view: () => GroupView | undefined;
	/** Called with each check that finds the database unreachable. */
	readonly onUnreachable: (reason: string) => void;
};

/**
 * Ends units of work at a database that is unreachable, and writes at one that has been replaced as the primary. A frozen
 * server keeps its connections open, so that nothing else would end them.
 */
export class LossWatch {
	private readonly open = new Set<EndableWork>();
	private isChecking = false;
	private silentChecks = 0;
	private unreachable = false;
	private doubtful = false;

	/**
	 * @param database - the watched database
	 * @param clock - time of the checks
	 * @param actions - source of the view and further actions
	 */
	constructor(private readonly database: string, private readonly clock: Clock, private readonly actions: LossActions) {}

	/** True from the check that found the database unreachable until one that finds it answering. */
	get isUnreachable(): boolean {
		return this.unreachable;
	}

	/** True while the database may have stopped answering; statements that it does not start in time are not shed for load then. */
	get isDoubtful(): boolean {
		return this.doubtful;
	}

	/** Watches a unit of work until it is removed. */
	add(work: EndableWork): void {
		this.open.add(work);
		if (!this.isChecking) {
			this.isChecking = true;
			void this.run();
		}
	}

	remove(work: EndableWork): void {
		this.open.delete(work);
	}

	private async run(): Promise<void> {
		while (this.open.size > 0 || this.unreachable) {
			await this.clock.sleep(lossCheckIntervalMs);
			this.check();
		}

		this.isChecking = false;
		this.silentChecks = 0;
		this.doubtful = false;
	}

	private check(): void {
		const state = this.actions.view()?.state();
		const seen = state?.databases.find(({database}) => database === this.database);
		this.noteSilence(seen);
		if (this.unreachable) {
			const reason = 'the database does not answer its monitor';
			this.end(() => true, reason);
			this.actions.onUnreachable(reason);
		} else if (state && seen && isReplaced(state, seen)) {
			this.end(({mode}) => mode === 'write', `the database is no longer the primary; that of term ${state.term} is ${state.primary ?? 'not known yet'}`);
		}
	}

	private noteSilence(seen: DatabaseView | undefined): void {
		this.doubtful = seen !== undefined && seen.silentMs > doubtAfterMs;
		this.silentChecks = seen && seen.silentMs > lostAfterMs ? this.silentChecks + 1 : 0;
		const needed = seen?.silentMs === Number.POSITIVE_INFINITY ? checksOfNewMonitor : checksOfSilence;
		this.unreachable = this.silentChecks >= needed;
	}

	private end(isAffected: (work: EndableWork) => boolean, reason: string): void {
		for (const work of [...this.open].filter(candidate => isAffected(candidate))) {
			this.open.delete(work);
			work.end(reason);
		}
	}
}

/** A monitor that has not heard the database yet cannot tell that nobody leads. */
function isReplaced({primary}: GroupState, {database, silentMs}: DatabaseView): boolean {
	return primary === undefined ? silentMs !== Number.POSITIVE_INFINITY : primary !== database;
}
