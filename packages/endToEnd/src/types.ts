/**
 * What sessions recorded, as the checker reads it.
 */

/** Outcome of one attempt at a write, as its caller saw it. */
export type AttemptOutcome = 'completed' | 'notRun' | 'unknown' | 'failed';

/** One attempt; its number is unique in the run and is stored in each row that it writes. */
export type Attempt = {readonly number: number; readonly outcome: AttemptOutcome};

/** A write: one request of a session, with all attempts at it. */
export type WriteOperation = {
	readonly kind: 'write';
	readonly session: number;
	readonly request: number;
	/** Rows that an attempt writes: 1 for a single insert, 2 for a transaction. */
	readonly rowCount: 1 | 2;
	readonly attempts: readonly Attempt[];
	/** Attempt that the answer named; undefined if nothing was acknowledged. */
	readonly acknowledged: number | undefined;
};

/** A row as a read shows it. */
export type HistoryRow = {readonly attempt: number; readonly request: number; readonly part: number};

/** An answered read of all rows of one session. */
export type ReadOperation = {
	readonly kind: 'read';
	readonly session: number;
	readonly request: number;
	/** Session whose rows were read. */
	readonly subject: number;
	/** Request numbers that the answer carried. */
	readonly answeredRequests: readonly number[];
	readonly rows: readonly HistoryRow[];
};

/** A request that was not answered within the limit of a failover. */
export type UnansweredOperation = {readonly kind: 'unanswered'; readonly session: number; readonly request: number; readonly waitMs: number};

export type Operation = WriteOperation | ReadOperation | UnansweredOperation;

/** Operations of each session in its own order, and all rows that are left at the end. */
export type History = {
	readonly operations: readonly Operation[];
	readonly finalRows: readonly HistoryRow[];
};
