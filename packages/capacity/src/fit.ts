import {type Line, type Point} from './types.js';

function meanOf(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0) / values.length;
}

/**
 * Fits a line by the method of least squares.
 * @param points - measured points
 * @returns the line, or undefined if the points have fewer than two different sizes
 */
export function fitLine(points: readonly Point[]): Line | undefined {
	const meanX = meanOf(points.map(({x}) => x));
	const meanY = meanOf(points.map(({y}) => y));
	const squaredDeviationSum = points.reduce((total, {x}) => total + ((x - meanX) ** 2), 0);
	if (points.length < 2 || squaredDeviationSum === 0) {
		return undefined;
	}

	const slope = points.reduce((total, {x, y}) => total + ((x - meanX) * (y - meanY)), 0) / squaredDeviationSum;
	const intercept = meanY - (slope * meanX);
	const residual = Math.sqrt(meanOf(points.map(({x, y}) => (y - intercept - (slope * x)) ** 2)));
	return {intercept, slope, residual};
}
