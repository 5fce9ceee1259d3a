import {assert} from 'chai';
import {classify, loadClassifier, type Classification} from '../classify.js';

type Case = {
	readonly text: string;
	readonly expected: Partial<Classification>;
	/** Failure that the case guards against, for the test title. */
	readonly guards: string;
};

const cases: readonly Case[] = [
	{text: 'select * from boards where id = 1', expected: {mode: 'read'}, guards: 'a read that is never routed to a replica'},
	{text: 'select * from boards for update', expected: {mode: 'write'}, guards: 'a row lock taken at a replica'},
	{text: 'with x as (insert into a values (1) returning id) select * from x', expected: {mode: 'write'}, guards: 'a write inside a SELECT sent to a replica'},
	{text: 'select nextval(\'s\')', expected: {mode: 'write'}, guards: 'a sequence advanced at a replica'},
	{text: 'select 1; insert into a values (1)', expected: {mode: 'write', statementCount: 2}, guards: 'the second statement of a text being ignored'},
	{text: 'begin read only', expected: {mode: 'read', transaction: 'beginReadOnly'}, guards: 'a read-only transaction sent to the primary'},
	{text: 'begin read write', expected: {mode: 'write', transaction: 'begin'}, guards: 'a read-write transaction sent to a replica'},
	{text: 'rollback to a', expected: {transaction: 'savepoint'}, guards: 'ROLLBACK TO releasing the connection of the transaction'},
	{text: 'savepoint "A b"', expected: {transactionCommands: [{kind: 'savepoint', savepoint: 'A b'}]}, guards: 'a savepoint under another name'},
	{
		text: 'release a; rollback to B; commit and chain; abort', expected: {
			transactionCommands: [
				{kind: 'release', savepoint: 'a'}, {kind: 'rollbackTo', savepoint: 'b'}, {kind: 'commit', isChained: true}, {kind: 'rollback', isChained: false},
			],
		}, guards: 'transaction control after the first command being ignored',
	},
	{text: 'not sql', expected: {mode: 'write', transaction: 'none'}, guards: 'a syntax error whose message depends on the server'},
	{text: '', expected: {statementCount: 0}, guards: 'the empty query being counted as a write'},
	{text: 'set crocusloom.rank to boards', expected: {proxySettings: [{name: 'rank', value: 'boards'}]}, guards: 'a proxy setting sent to the backend server'},
	{text: 'copy a from stdin', expected: {unsupportedFeature: 'COPY'}, guards: 'a COPY that blocks a pooled connection'},
];

describe('classify', () => {
	before(loadClassifier);

	for (const {text, expected, guards} of cases) {
		it(`${JSON.stringify(text)} guards against ${guards}`, () => {
			assert.deepInclude(classify(text), expected);
		});
	}
});
