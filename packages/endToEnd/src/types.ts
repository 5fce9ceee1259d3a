/**
 * The history that sessions record and that the history checker reads.
 */

/** Outcome of one attempt to write, as the caller saw it. */
export type AttemptOutcome = 'completed' | 'notRun' | 'unknown' | 'failed';

/** One attempt to write. Its id is unique within the run and is stored in every row that it writes. */
export type Attempt = {readonly id: number; readonly outcome: AttemptOutcome};

/** A write request of a session, with all attempts to run it. */
export type WriteOperation = {
	readonly kind: 'write';
	readonly session: number;
	readonly request: number;
	/** Number of rows that an attempt writes: 1 for a single insert, 2 for a transaction. */
	readonly rowCount: 1 | 2;
	readonly attempts: readonly Attempt[];
	/** Id of the attempt that the answer contained; undefined if nothing was acknowledged. */
	readonly acknowledgedAttempt: number | undefined;
};

/** A row as a read returns it. `attempt` is the id of the attempt that wrote it. */
export type HistoryRow = {readonly attempt: number; readonly request: number; readonly part: number};

/** An answered read of all rows that one session wrote. */
export type ReadOperation = {
	readonly kind: 'read';
	readonly session: number;
	readonly request: number;
	/** Session whose table was read. */
	readonly targetSession: number;
	/** Request numbers in the rows of the answer. All have to equal `request`. */
	readonly answeredRequests: readonly number[];
	readonly rows: readonly HistoryRow[];
};

/** A request that was not answered within the upper limit of a failover. */
export type UnansweredOperation = {readonly kind: 'unanswered'; readonly session: number; readonly request: number; readonly waitMs: number};

export type Operation = WriteOperation | ReadOperation | UnansweredOperation;

/** The operations of all sessions, in order within each session, and all rows that exist at the end. */
export type History = {
	readonly operations: readonly Operation[];
	readonly finalRows: readonly HistoryRow[];
};
