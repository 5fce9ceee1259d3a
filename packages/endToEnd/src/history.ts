/**
 * Checks what sessions saw against the guarantees of the design.
 */
import {groupBy} from './groupBy.js';
import {
	type History, type HistoryRow, type Operation, type ReadOperation, type WriteOperation,
} from './types.js';

/** Attempts that a session must see from now on, by the session whose rows they are. */
type Expected = Map<number, Set<number>>;

/**
 * Lists every violation of read-your-writes, monotonic reads, exactly-once, "not run", atomic transactions and the
 * matching of answers to requests.
 * @param history - operations in the order of each session, and the rows at the end
 * @returns one line per violation; empty if the history is correct
 */
export function checkHistory(history: History): readonly string[] {
	const sessions = groupBy(history.operations, ({session}) => session);
	return [
		...[...sessions.values()].flatMap(operations => checkSession(operations)),
		...checkEnd(history),
	];
}

/** Checks one session's reads against its earlier writes and reads. */
function checkSession(operations: readonly Operation[]): readonly string[] {
	const written: Expected = new Map();
	const read: Expected = new Map();
	const violations: string[] = [];
	for (const operation of operations) {
		if (operation.kind === 'unanswered') {
			violations.push(`session ${operation.session} request ${operation.request}: no answer within ${operation.waitMs} ms`);
		} else if (operation.kind === 'write') {
			add(written, operation.session, acknowledgedAttempts(operation));
		} else {
			violations.push(...checkRead(operation, written, read));
			add(read, operation.subject, operation.rows.map(({attempt}) => attempt));
		}
	}

	return violations;
}

function checkRead(operation: ReadOperation, written: Expected, read: Expected): readonly string[] {
	const {session, request, subject, rows, answeredRequests} = operation;
	const place = `session ${session} request ${request}`;
	const seen = new Set(rows.map(({attempt}) => attempt));
	const missing = (expected: Expected) => [...expected.get(subject) ?? []].filter(attempt => !seen.has(attempt));
	return [
		...missing(written).map(attempt => `${place}: read-your-writes: acknowledged attempt ${attempt} is missing`),
		...missing(read).map(attempt => `${place}: monotonic reads: attempt ${attempt} was seen before and is missing`),
		...answeredRequests.filter(answered => answered !== request).map(answered => `${place}: got the answer to request ${answered}`),
		...duplicateRows(rows).map(text => `${place}: ${text}`),
	];
}

/** Checks the rows at the end against all writes. */
function checkEnd({operations, finalRows}: History): readonly string[] {
	const writes = operations.filter(operation => operation.kind === 'write');
	const reads = groupBy(operations.filter(operation => operation.kind === 'read').flatMap(read => countAttempts(read)), ({attempt}) => attempt);
	const byRequest = groupBy(finalRows, ({request}) => request);
	const known = new Set(writes.map(({request}) => request));
	return [
		...duplicateRows(finalRows),
		...writes.filter(({rowCount}) => rowCount === 2).flatMap(write => partialReads(write, reads)),
		...writes.flatMap(write => checkWrite(write, byRequest.get(write.request) ?? [])),
		...[...byRequest.keys()].filter(request => !known.has(request)).map(request => `end: request ${request} was never made`),
	];
}

function checkWrite(write: WriteOperation, rows: readonly HistoryRow[]): readonly string[] {
	const {request, attempts, acknowledged, rowCount} = write;
	const byAttempt = groupBy(rows, ({attempt}) => attempt);
	const violations: string[] = [];
	if (acknowledged !== undefined && !byAttempt.has(acknowledged)) {
		violations.push(`end: acknowledged attempt ${acknowledged} of request ${request} is missing`);
	}

	if (byAttempt.size > 1) {
		violations.push(`end: request ${request} ran ${byAttempt.size} times, as attempts ${[...byAttempt.keys()].join(', ')}`);
	}

	for (const [attempt, attemptRows] of byAttempt) {
		if (attemptRows.length !== rowCount) {
			violations.push(`end: attempt ${attempt} has ${attemptRows.length} of ${rowCount} rows`);
		}

		const outcome = attempts.find(({number}) => number === attempt)?.outcome;
		if (outcome === undefined || outcome === 'notRun' || outcome === 'failed') {
			violations.push(`end: attempt ${attempt} of request ${request} was reported as ${outcome ?? 'never made'} and ran`);
		}
	}

	return violations;
}

type ReadAttempt = {readonly attempt: number; readonly rowCount: number; readonly reader: string};

function countAttempts({session, request, rows}: ReadOperation): readonly ReadAttempt[] {
	const byAttempt = groupBy(rows, ({attempt}) => attempt);
	return [...byAttempt].map(([attempt, same]) => ({attempt, rowCount: same.length, reader: `session ${session} request ${request}`}));
}

/** Reads that show a part of a transaction. */
function partialReads({attempts, rowCount}: WriteOperation, reads: ReadonlyMap<number, readonly ReadAttempt[]>): readonly string[] {
	return attempts
		.flatMap(({number}) => reads.get(number) ?? [])
		.filter(read => read.rowCount !== rowCount)
		.map(({attempt, reader, rowCount: shown}) => `${reader}: shows ${shown} of ${rowCount} rows of attempt ${attempt}`);
}

/** Rows that the same attempt wrote twice. */
function duplicateRows(rows: readonly HistoryRow[]): readonly string[] {
	const groups = groupBy(rows, ({attempt, part}) => `attempt ${attempt} part ${part}`);
	return [...groups].filter(([, same]) => same.length > 1).map(([name, same]) => `${name} is present ${same.length} times`);
}

function acknowledgedAttempts({acknowledged}: WriteOperation): readonly number[] {
	return acknowledged === undefined ? [] : [acknowledged];
}

function add(expected: Expected, subject: number, attempts: readonly number[]): void {
	expected.set(subject, new Set([...expected.get(subject) ?? [], ...attempts]));
}
