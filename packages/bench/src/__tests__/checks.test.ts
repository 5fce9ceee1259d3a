import {assert} from 'chai';
import {addSample, type DatabaseStatus} from '../databases.js';
import {failoverGap} from '../gaps.js';
import {checkInserts} from '../insertCheck.js';
import {errorKind, NoAnswerError, outcomeOf} from '../outcome.js';
import {describeViolation} from '../readYourWrites.js';
import {violationsOf} from '../summary.js';

describe('outcomeOf', () => {
	const cases = [
		['a refusal counted as unknown', {code: '53000', detail: 'outcome=not_run; step=admission; peer=a'}, 'notRun'],
		['an unknown outcome counted as a plain error', {code: '08007', detail: 'outcome=unknown; step=acknowledge; peer=a'}, 'unknown'],
		['an error of the server counted as unknown', {code: '25006', message: 'read-only'}, 'failed'],
		['a closed connection counted as not run', {message: 'Connection terminated unexpectedly'}, 'unknown'],
		['an error of the socket counted as the server\'s', {code: 'EPIPE', message: 'write EPIPE'}, 'unknown'],
		['a request that was never sent counted as unknown', {message: 'Client has encountered a connection error and is not queryable'}, 'notSent'],
		['a missing answer counted as unknown', new NoAnswerError('no answer'), 'lost'],
	] as const;
	for (const [failure, error, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.equal(outcomeOf(error), expected);
		});
	}

	it('guards against one entry per figure when reasons are counted', () => {
		assert.equal(errorKind({code: '53000', message: 'wait 12 ms', detail: 'step=admission'}), errorKind({code: '53000', message: 'wait 7 ms', detail: 'step=admission'}));
	});
});

describe('checkInserts', () => {
	const log = {acknowledged: ['a', 'b', 'c'], notRun: ['d', 'e'], unknown: ['f']};
	const cases = [
		['a complaint about a correct run', ['a', 'b', 'c', 'f'], [0, 0, 0]],
		['a lost insert that is not seen', ['a', 'c'], [1, 0, 0]],
		['a doubled insert that is not seen', ['a', 'b', 'b', 'c'], [0, 1, 0]],
		['a doubled unknown insert that is not seen', ['a', 'b', 'c', 'f', 'f'], [0, 1, 0]],
		['an insert that ran although it was reported as not run', ['a', 'b', 'c', 'e'], [0, 0, 1]],
	] as const;
	for (const [failure, ids, expected] of cases) {
		it(`guards against ${failure}`, () => {
			const {lost, doubled, ranAlthoughNotRun} = checkInserts([log], ids);
			assert.deepEqual([lost, doubled, ranAlthoughNotRun], [...expected]);
		});
	}
});

describe('describeViolation', () => {
	const cases = [
		['a complaint about the acknowledged value', 3, false],
		['a complaint about a write whose outcome is open', 4, false],
		['a stale read that is not seen', 2, true],
		['a value that was never written', 5, true],
		['a missing row that is not seen', undefined, true],
	] as const;
	for (const [failure, value, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.equal(describeViolation('c', value, {acknowledged: 3, attempted: 4}, 'proxy') !== undefined, expected);
		});
	}
});

describe('failoverGap', () => {
	const cases = [
		['time before the fault counted as its gap', [0, 900, 1100, 1400], {gapMs: 600, hasEnded: false}],
		['a gap that is cut short by a late acknowledgement', [990, 1010, 1800, 1900], {gapMs: 790, hasEnded: true}],
		['a gap without end reported as ended', [100], {gapMs: 1000, hasEnded: false}],
		['acknowledgements of other times taken for the end', [1010, 2500], {gapMs: 990, hasEnded: false}],
	] as const;
	for (const [failure, times, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.deepEqual(failoverGap(times, {fault: 'kill', atMs: 1000, untilMs: 2000}), {fault: 'kill', ...expected});
		});
	}
});

describe('addSample', () => {
	const empty = {
		reads: 0, readsAtReplicas: 0, freshSamples: 0, samples: 0,
	};
	const sample = (role: 'primary' | 'replica', offsetBytes: number, selects: number) => {
		const status: DatabaseStatus = {
			role, fencedTerm: 1, position: {term: 1, offsetBytes}, isWritable: role === 'primary',
		};
		return {status, selects};
	};

	const before = [sample('primary', 100, 10), sample('replica', 100, 50)];
	const cases = [
		['a caught-up replica taken for a late one', [sample('primary', 120, 15), sample('replica', 100, 70)], [25, 20, 1]],
		['a late replica taken for a fresh one', [sample('primary', 120, 10), sample('replica', 90, 50)], [0, 0, 0]],
		['negative reads after a restart', [sample('primary', 120, 10), sample('replica', 100, 4)], [4, 4, 1]],
		['a dead database that is counted', [sample('primary', 120, 11), {selects: 0, status: undefined}], [1, 0, 0]],
	] as const;
	for (const [failure, after, expected] of cases) {
		it(`guards against ${failure}`, () => {
			const {reads, readsAtReplicas, freshSamples} = addSample(empty, before, after);
			assert.deepEqual([reads, readsAtReplicas, freshSamples], [...expected]);
		});
	}
});

describe('violationsOf', () => {
	const insertCheck = checkInserts([], []);
	const connection = {
		database: 'd', limit: 20, maximum: 20, opened: 30, refused: 0,
	};
	const cases = [
		['a complaint about connections at the limit', connection, 0],
		['refused connections that are not reported', {...connection, refused: 1}, 1],
		['connections above the limit that are not reported', {...connection, maximum: 21}, 1],
	] as const;
	for (const [failure, count, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.lengthOf(violationsOf({workers: [], insertCheck, connections: [count]}), expected);
		});
	}
});
