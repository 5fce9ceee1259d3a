import {assert} from 'chai';
import fc from 'fast-check';
import {poissonArrivals, seededNumbers} from '../arrivals.js';

const seed = 20_261;

describe('poissonArrivals', () => {
	it('guards against arrivals out of order, outside the run, or different for the same seed', () => {
		fc.assert(fc.property(fc.integer(), fc.integer({min: 1, max: 500}), fc.integer({min: 1, max: 500}), (stream, first, second) => {
			const segments = [{fromMs: 0, ratePerSecond: first}, {fromMs: 400, ratePerSecond: second}];
			const once = [...poissonArrivals(segments, 1000, seededNumbers(seed, stream))];
			const again = [...poissonArrivals(segments, 1000, seededNumbers(seed, stream))];
			assert.deepEqual(again, once);
			assert.deepEqual(once.toSorted((a, b) => a - b), once);
			assert.isTrue(once.every(atMs => atMs >= 0 && atMs < 1000));
		}), {seed, numRuns: 50});
	});

	it('guards against a rate other than the declared one in a segment', () => {
		const segments = [{fromMs: 0, ratePerSecond: 200}, {fromMs: 50_000, ratePerSecond: 1000}];
		const arrivals = [...poissonArrivals(segments, 100_000, seededNumbers(seed, 1))];
		const first = arrivals.filter(atMs => atMs < 50_000).length;
		// Both bounds are about five standard deviations of the Poisson counts of 10,000 and 50,000.
		assert.approximately(first, 10_000, 500);
		assert.approximately(arrivals.length - first, 50_000, 1100);
	});

	it('guards against equal streams of neighbouring seeds and workers', () => {
		const starts = [0, 1, 2].flatMap(of => [0, 1, 2, 3, 4, 5].map(stream => seededNumbers(of, stream)()));
		assert.equal(new Set(starts).size, starts.length);
	});
});
