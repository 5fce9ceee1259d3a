/**
 * Checks the recorded history of sessions against the guarantees of the design.
 */
import {groupBy} from './groupBy.js';
import {
	type History, type HistoryRow, type Operation, type ReadOperation, type WriteOperation,
} from './types.js';

/** Attempts whose rows a session has to see in its later reads, by the session that wrote the rows. */
type ExpectedAttempts = Map<number, Set<number>>;

/**
 * Lists every violation of read-your-writes, monotonic reads, exactly-once, "not run", atomic transactions and the
 * matching of answers to requests.
 * @param history - the operations, in order within each session, and the final rows
 * @returns one line per violation; empty if the history is correct
 */
export function checkHistory(history: History): readonly string[] {
	const sessions = groupBy(history.operations, ({session}) => session);
	return [
		...[...sessions.values()].flatMap(operations => checkSession(operations)),
		...checkFinalRows(history),
	];
}

/** Checks the reads of one session against its earlier writes and reads. */
function checkSession(operations: readonly Operation[]): readonly string[] {
	const acknowledgedWrites: ExpectedAttempts = new Map();
	const earlierReads: ExpectedAttempts = new Map();
	const violations: string[] = [];
	for (const operation of operations) {
		if (operation.kind === 'unanswered') {
			violations.push(`session ${operation.session} request ${operation.request}: no answer within ${operation.waitMs} ms`);
		} else if (operation.kind === 'write') {
			addExpected(acknowledgedWrites, operation.session, acknowledgedAttemptsOf(operation));
		} else {
			violations.push(...checkRead(operation, acknowledgedWrites, earlierReads));
			addExpected(earlierReads, operation.targetSession, operation.rows.map(({attempt}) => attempt));
		}
	}

	return violations;
}

function checkRead(operation: ReadOperation, acknowledgedWrites: ExpectedAttempts, earlierReads: ExpectedAttempts): readonly string[] {
	const {session, request, targetSession, rows, answeredRequests} = operation;
	const location = `session ${session} request ${request}`;
	const visibleAttempts = new Set(rows.map(({attempt}) => attempt));
	const missingAttempts = (expected: ExpectedAttempts) => [...expected.get(targetSession) ?? []].filter(attempt => !visibleAttempts.has(attempt));
	return [
		...missingAttempts(acknowledgedWrites).map(attempt => `${location}: read-your-writes: acknowledged attempt ${attempt} is missing`),
		...missingAttempts(earlierReads).map(attempt => `${location}: monotonic reads: attempt ${attempt} was seen before and is missing`),
		...answeredRequests.filter(answered => answered !== request).map(answered => `${location}: got the answer to request ${answered}`),
		...describeDuplicateRows(rows).map(text => `${location}: ${text}`),
	];
}

/** Checks the final rows against all writes. */
function checkFinalRows({operations, finalRows}: History): readonly string[] {
	const writes = operations.filter(operation => operation.kind === 'write');
	const readsByAttempt = groupBy(operations.filter(operation => operation.kind === 'read').flatMap(read => countRowsByAttempt(read)), ({attempt}) => attempt);
	const rowsByRequest = groupBy(finalRows, ({request}) => request);
	const knownRequests = new Set(writes.map(({request}) => request));
	return [
		...describeDuplicateRows(finalRows),
		...writes.filter(({rowCount}) => rowCount === 2).flatMap(write => findPartialReads(write, readsByAttempt)),
		...writes.flatMap(write => checkWrite(write, rowsByRequest.get(write.request) ?? [])),
		...[...rowsByRequest.keys()].filter(request => !knownRequests.has(request)).map(request => `final rows: request ${request} was never made`),
	];
}

function checkWrite(write: WriteOperation, rows: readonly HistoryRow[]): readonly string[] {
	const {request, attempts, acknowledgedAttempt, rowCount} = write;
	const rowsByAttempt = groupBy(rows, ({attempt}) => attempt);
	const violations: string[] = [];
	if (acknowledgedAttempt !== undefined && !rowsByAttempt.has(acknowledgedAttempt)) {
		violations.push(`final rows: acknowledged attempt ${acknowledgedAttempt} of request ${request} is missing`);
	}

	if (rowsByAttempt.size > 1) {
		violations.push(`final rows: request ${request} ran ${rowsByAttempt.size} times, as attempts ${[...rowsByAttempt.keys()].join(', ')}`);
	}

	for (const [attempt, attemptRows] of rowsByAttempt) {
		if (attemptRows.length !== rowCount) {
			violations.push(`final rows: attempt ${attempt} has ${attemptRows.length} of ${rowCount} rows`);
		}

		const outcome = attempts.find(({id}) => id === attempt)?.outcome;
		if (outcome === undefined || outcome === 'notRun' || outcome === 'failed') {
			violations.push(`final rows: attempt ${attempt} of request ${request} was reported as ${outcome ?? 'never made'} but its rows exist`);
		}
	}

	return violations;
}

/** Number of rows of one attempt that one read returned. */
type AttemptRead = {readonly attempt: number; readonly rowCount: number; readonly reader: string};

function countRowsByAttempt({session, request, rows}: ReadOperation): readonly AttemptRead[] {
	const rowsByAttempt = groupBy(rows, ({attempt}) => attempt);
	return [...rowsByAttempt].map(([attempt, attemptRows]) => ({attempt, rowCount: attemptRows.length, reader: `session ${session} request ${request}`}));
}

/** Lists the reads that returned only some of the rows of a transaction. */
function findPartialReads({attempts, rowCount}: WriteOperation, readsByAttempt: ReadonlyMap<number, readonly AttemptRead[]>): readonly string[] {
	return attempts
		.flatMap(({id}) => readsByAttempt.get(id) ?? [])
		.filter(read => read.rowCount !== rowCount)
		.map(({attempt, reader, rowCount: visibleRowCount}) => `${reader}: shows ${visibleRowCount} of ${rowCount} rows of attempt ${attempt}`);
}

/** Lists the rows that occur more than once although an attempt writes each of them once. */
function describeDuplicateRows(rows: readonly HistoryRow[]): readonly string[] {
	const rowsByIdentity = groupBy(rows, ({attempt, part}) => `attempt ${attempt} part ${part}`);
	return [...rowsByIdentity].filter(([, duplicates]) => duplicates.length > 1).map(([identity, duplicates]) => `${identity} is present ${duplicates.length} times`);
}

function acknowledgedAttemptsOf({acknowledgedAttempt}: WriteOperation): readonly number[] {
	return acknowledgedAttempt === undefined ? [] : [acknowledgedAttempt];
}

function addExpected(expected: ExpectedAttempts, targetSession: number, attempts: readonly number[]): void {
	expected.set(targetSession, new Set([...expected.get(targetSession) ?? [], ...attempts]));
}
