import {assert} from 'chai';
import {checkHistory} from '../history.js';
import {
	type HistoryRow, type Operation, type ReadOperation, type WriteOperation,
} from '../types.js';

const write = (change: Partial<WriteOperation> = {}): WriteOperation => ({
	kind: 'write', session: 1, request: 10, rowCount: 1, attempts: [{id: 11, outcome: 'completed'}], acknowledgedAttempt: 11, ...change,
});
const row = (attempt = 11, part = 1): HistoryRow => ({attempt, request: 10, part});
const read = (rows: readonly HistoryRow[], change: Partial<ReadOperation> = {}): ReadOperation => ({
	kind: 'read', session: 1, request: 20, targetSession: 1, answeredRequests: rows.map(() => 20), rows, ...change,
});
const unknownWrite = write({attempts: [{id: 11, outcome: 'unknown'}], acknowledgedAttempt: undefined});
const retriedWrite = write({attempts: [{id: 11, outcome: 'unknown'}, {id: 12, outcome: 'completed'}]});
const transaction = write({rowCount: 2});

type HistoryCase = {readonly name: string; readonly operations: readonly Operation[]; readonly finalRows: readonly HistoryRow[]; readonly violation?: RegExp};

const cases: readonly HistoryCase[] = [
	{name: 'a read that returns the session\'s earlier write', operations: [write(), read([row()])], finalRows: [row()]},
	{name: 'a write of unknown outcome that ran', operations: [unknownWrite], finalRows: [row()]},
	{name: 'a write of unknown outcome that did not run', operations: [unknownWrite, read([])], finalRows: []},
	{name: 'a retry that received the stored answer', operations: [retriedWrite], finalRows: [row()]},
	{
		name: 'a read that misses the session\'s earlier write', operations: [write(), read([])], finalRows: [row()], violation: /read-your-writes/v,
	},
	{
		name: 'a read that misses a row of an earlier read', operations: [unknownWrite, read([row()]), read([])], finalRows: [row()], violation: /monotonic reads/v,
	},
	{
		name: 'an answer to another request', operations: [write(), read([row()], {answeredRequests: [21]})], finalRows: [row()], violation: /answer to request 21/v,
	},
	{
		name: 'a lost acknowledged write', operations: [write()], finalRows: [], violation: /acknowledged attempt 11/v,
	},
	{
		name: 'a retry that ran again', operations: [retriedWrite], finalRows: [row(), row(12)], violation: /ran 2 times/v,
	},
	{
		name: 'a row that is present twice', operations: [write()], finalRows: [row(), row()], violation: /present 2 times/v,
	},
	{
		name: 'a partial transaction', operations: [transaction], finalRows: [row()], violation: /1 of 2 rows/v,
	},
	{
		name: 'a partial transaction in a read', operations: [transaction, read([row()])], finalRows: [row(), row(11, 2)], violation: /shows 1 of 2 rows/v,
	},
	{
		name: 'a write that was reported as not run but ran',
		operations: [write({attempts: [{id: 11, outcome: 'notRun'}], acknowledgedAttempt: undefined})],
		finalRows: [row()],
		violation: /reported as notRun/v,
	},
	{
		name: 'a row that no session wrote', operations: [], finalRows: [row()], violation: /never made/v,
	},
	{
		name: 'a request without an answer', operations: [{
			kind: 'unanswered', session: 1, request: 10, waitMs: 13_000,
		}], finalRows: [], violation: /no answer/v,
	},
];

describe('history checker', () => {
	for (const {name, operations, finalRows, violation} of cases) {
		it(`${violation ? 'reports' : 'accepts'} ${name} (guards against a checker that ${violation ? 'misses violations' : 'rejects correct histories'})`, () => {
			const violations = checkHistory({operations, finalRows});
			if (violation) {
				assert.match(violations.join('\n'), violation);
			} else {
				assert.deepEqual(violations, []);
			}
		});
	}
});
