import {assert} from 'chai';
import {addReadsBetween, type DatabaseStatus} from '../databases.js';
import {findFailoverGap} from '../gaps.js';
import {checkInserts} from '../insertCheck.js';
import {classifyError, errorReason, NoAnswerError} from '../outcome.js';
import {describeViolation} from '../readYourWrites.js';
import {findViolations} from '../summary.js';

describe('classifyError', () => {
	const cases = [
		['a request that did not run classified as unknown', {code: '53000', detail: 'outcome=not_run; step=admission; peer=a'}, 'notRun'],
		['an unknown outcome classified as failed', {code: '08007', detail: 'outcome=unknown; step=acknowledge; peer=a'}, 'unknown'],
		['a server error classified as unknown', {code: '25006', message: 'read-only'}, 'failed'],
		['a closed connection classified as not run', {message: 'Connection terminated unexpectedly'}, 'unknown'],
		['a socket error classified as a server error', {code: 'EPIPE', message: 'write EPIPE'}, 'unknown'],
		['a request that was never sent classified as unknown', {message: 'Client has encountered a connection error and is not queryable'}, 'notSent'],
		['a missing response classified as unknown', new NoAnswerError('no answer'), 'lost'],
	] as const;
	for (const [failure, error, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.equal(classifyError(error), expected);
		});
	}

	it('guards against error reasons that differ only in a number and are counted separately', () => {
		assert.equal(errorReason({code: '53000', message: 'wait 12 ms', detail: 'step=admission'}), errorReason({code: '53000', message: 'wait 7 ms', detail: 'step=admission'}));
	});
});

describe('checkInserts', () => {
	const log = {acknowledged: ['a', 'b', 'c'], notRun: ['d', 'e'], unknown: ['f']};
	const cases = [
		['a violation reported for a correct run', ['a', 'b', 'c', 'f'], [0, 0, 0]],
		['a lost insert that is not detected', ['a', 'c'], [1, 0, 0]],
		['a duplicated insert that is not detected', ['a', 'b', 'b', 'c'], [0, 1, 0]],
		['a duplicated insert of unknown outcome that is not detected', ['a', 'b', 'c', 'f', 'f'], [0, 1, 0]],
		['an insert that ran although it was reported as not run and is not detected', ['a', 'b', 'c', 'e'], [0, 0, 1]],
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
		['a violation reported for the acknowledged value', 3, false],
		['a violation reported for a write of unknown outcome', 4, false],
		['a stale read that is not detected', 2, true],
		['a value that was never written and is not detected', 5, true],
		['a missing row that is not detected', undefined, true],
	] as const;
	for (const [failure, value, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.equal(describeViolation('c', value, {acknowledged: 3, attempted: 4}, 'proxy') !== undefined, expected);
		});
	}
});

describe('findFailoverGap', () => {
	const cases = [
		['time before the fault counted towards the gap', [0, 900, 1100, 1400], {gapMs: 600, hasEnded: false}],
		['a gap cut short by a write acknowledged just after the fault', [990, 1010, 1800, 1900], {gapMs: 790, hasEnded: true}],
		['an unfinished gap reported as ended', [100], {gapMs: 1000, hasEnded: false}],
		['an acknowledgement after the observation window taken for the end of the gap', [1010, 2500], {gapMs: 990, hasEnded: false}],
	] as const;
	for (const [failure, times, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.deepEqual(findFailoverGap(times, {fault: 'kill', atMs: 1000, untilMs: 2000}), {fault: 'kill', ...expected});
		});
	}
});

describe('addReadsBetween', () => {
	const empty = {
		reads: 0, readsAtReplicas: 0, freshSamples: 0, samples: 0,
	};
	const sample = (role: 'primary' | 'replica', offsetBytes: number, selectCount: number) => {
		const status: DatabaseStatus = {
			role, fencedTerm: 1, position: {term: 1, offsetBytes}, isWritable: role === 'primary',
		};
		return {status, selectCount};
	};

	const before = [sample('primary', 100, 10), sample('replica', 100, 50)];
	const cases = [
		['an up-to-date replica classified as lagging', [sample('primary', 120, 15), sample('replica', 100, 70)], [25, 20, 1]],
		['a lagging replica classified as fresh', [sample('primary', 120, 10), sample('replica', 90, 50)], [0, 0, 0]],
		['a negative number of reads after a restart', [sample('primary', 120, 10), sample('replica', 100, 4)], [4, 4, 1]],
		['an unresponsive database included in the counts', [sample('primary', 120, 11), {selectCount: 0, status: undefined}], [1, 0, 0]],
	] as const;
	for (const [failure, after, expected] of cases) {
		it(`guards against ${failure}`, () => {
			const {reads, readsAtReplicas, freshSamples} = addReadsBetween(empty, before, after);
			assert.deepEqual([reads, readsAtReplicas, freshSamples], [...expected]);
		});
	}
});

describe('findViolations', () => {
	const insertCheck = checkInserts([], []);
	const connection = {
		database: 'd', limit: 20, maximum: 20, opened: 30, refused: 0,
	};
	const cases = [
		['a violation reported for connections at the limit', connection, 0],
		['refused connections that are not reported', {...connection, refused: 1}, 1],
		['connections above the limit that are not reported', {...connection, maximum: 21}, 1],
	] as const;
	for (const [failure, count, expected] of cases) {
		it(`guards against ${failure}`, () => {
			assert.lengthOf(findViolations({workers: [], insertCheck, connections: [count]}), expected);
		});
	}
});
