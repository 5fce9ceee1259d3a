import {assert} from 'chai';
import fc from 'fast-check';
import {fitLine} from '../fit.js';
import {formatFigure, formatTargetTable, formatResults} from '../markdown.js';
import {measurements} from '../measurements.js';
import {callsBetween, groupCallsByKind} from '../platformCalls.js';
import {ratesBetween, sumMetric} from '../proxyMetrics.js';
import {runMeasurement} from '../runMeasurement.js';
import {computeTargetFigures} from '../target.js';

const seed = 20_261_204;

describe('capacity', () => {
	it('guards against a fitted line whose slope or intercept differs from that of the points', () => {
		const coefficient = fc.integer({min: -1000, max: 1000});
		const sizes = fc.uniqueArray(fc.integer({min: 0, max: 5000}), {minLength: 3, maxLength: 8});
		fc.assert(fc.property(coefficient, coefficient, sizes, (slope, intercept, xs) => {
			const line = fitLine(xs.map(x => ({x, y: intercept + (slope * x)})))!;
			assert.closeTo(line.slope, slope, 1e-6);
			assert.closeTo(line.intercept, intercept, 1e-3);
			assert.closeTo(line.residual, 0, 1e-3);
		}), {seed});
	});

	it('guards against a residual that leaves out the scatter of the points', () => {
		assert.deepEqual(fitLine([{x: -1, y: 1}, {x: 1, y: 1}, {x: -1, y: -1}, {x: 1, y: -1}]), {intercept: 0, slope: 0, residual: 1});
	});

	const unfittablePoints = [[], [{x: 1, y: 2}], [{x: 1, y: 2}, {x: 1, y: 3}]];
	for (const points of unfittablePoints) {
		it(`guards against a line fitted to ${points.length} points with fewer than two sizes`, () => {
			assert.isUndefined(fitLine(points));
		});
	}

	const figures: ReadonlyArray<readonly [number, string]> = [[0, '0'], [1234.5, '1,230'], [0.000_249_4, '0.000249'], [-904_000, '-904,000']];
	for (const [value, text] of figures) {
		it(`guards against ${value} formatted with an exponent or with false precision`, () => {
			assert.equal(formatFigure(value), text);
		});
	}

	it('guards against a sum that includes other metrics or leaves out labels', () => {
		const text = '# HELP a_total a\na_total{method="x"} 2\na_total{method="y"} 3\na_total_more 7\nb_total 4\n';
		assert.deepEqual(['a_total', 'b_total', 'c_total'].map(name => sumMetric(text, name)), [5, 4, 0]);
	});

	it('guards against rates that ignore the time between samples', () => {
		const before = {
			atMs: 1000, cpuSeconds: 1, residentBytes: 0, peerSentBytes: 100, peerNotifications: 10,
		};
		const after = {
			atMs: 3000, cpuSeconds: 1.5, residentBytes: 0, peerSentBytes: 300, peerNotifications: 20,
		};
		assert.deepEqual(ratesBetween(before, after), {cpuCores: 0.25, sentBytesPerSecond: 100, notificationsPerSecond: 5});
	});

	it('guards against a platform call that is counted as the wrong kind', () => {
		const before = groupCallsByKind({'/hosts': 1});
		const after = groupCallsByKind({
			'/hosts': 2, '/v3/kv/range': 3, '/v3/kv/txn': 4, '/v3/watch': 5, refused: 6,
		});
		assert.deepEqual(callsBetween(before, after), {
			reads: 4, writes: 4, watches: 5, refused: 6,
		});
	});

	it('guards against a failed measurement that stops the others or is shown as measured', async () => {
		const result = await runMeasurement({
			id: 'broken',
			title: 'Broken',
			async run() {
				throw new Error('no proxy');
			},
		});
		assert.equal(result.kind, 'failed');
		assert.include(formatResults([result]), 'Not measured: no proxy');
	});

	it('guards against two measurements with the same id, both of which --only would run', () => {
		assert.lengthOf(new Set(measurements.map(({id}) => id)), measurements.length);
	});

	it('guards against a figure that is shown although its series was not measured', () => {
		const callers = {
			id: 'memory-idle-callers', title: '', xName: '', yUnit: 'bytes', points: [], line: {intercept: 0, slope: 10_000, residual: 0},
		};
		const figures = computeTargetFigures([{
			kind: 'measured', id: 'callers', title: '', tookMs: 0, results: [callers],
		}]);
		const valueOf = (name: string) => figures.find(({figure}) => figure === name)!.value;
		assert.closeTo(valueOf('callers')!, 71.95, 0.01);
		assert.isUndefined(valueOf('control: peers'));
		assert.include(formatTargetTable(figures), '| control: peers | not known |');
	});
});
