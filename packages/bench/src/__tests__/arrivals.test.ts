import {assert} from 'chai';
import fc from 'fast-check';
import {poissonArrivals, seededRandom} from '../arrivals.js';

const seed = 20_261;

describe('poissonArrivals', () => {
	it('guards against arrivals that are out of order, outside the schedule, or different for the same seed', () => {
		fc.assert(fc.property(fc.integer(), fc.integer({min: 1, max: 500}), fc.integer({min: 1, max: 500}), (stream, firstRate, secondRate) => {
			const segments = [{fromMs: 0, ratePerSecond: firstRate}, {fromMs: 400, ratePerSecond: secondRate}];
			const arrivals = [...poissonArrivals(segments, 1000, seededRandom(seed, stream))];
			const repeatedArrivals = [...poissonArrivals(segments, 1000, seededRandom(seed, stream))];
			assert.deepEqual(repeatedArrivals, arrivals);
			assert.deepEqual(arrivals.toSorted((a, b) => a - b), arrivals);
			assert.isTrue(arrivals.every(atMs => atMs >= 0 && atMs < 1000));
		}), {seed, numRuns: 50});
	});

	it('guards against a segment with a rate other than the configured one', () => {
		const segments = [{fromMs: 0, ratePerSecond: 200}, {fromMs: 50_000, ratePerSecond: 1000}];
		const arrivals = [...poissonArrivals(segments, 100_000, seededRandom(seed, 1))];
		const firstCount = arrivals.filter(atMs => atMs < 50_000).length;
		// Both bounds are about five standard deviations of the Poisson counts of 10,000 and 50,000.
		assert.approximately(firstCount, 10_000, 500);
		assert.approximately(arrivals.length - firstCount, 50_000, 1100);
	});

	it('guards against equal random streams for consecutive seeds and workers', () => {
		const firstValues = [0, 1, 2].flatMap(seedValue => [0, 1, 2, 3, 4, 5].map(stream => seededRandom(seedValue, stream)()));
		assert.equal(new Set(firstValues).size, firstValues.length);
	});
});
