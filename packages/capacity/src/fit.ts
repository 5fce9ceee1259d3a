import {type Line, type Point} from './types.js';

function mean(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0) / values.length;
}

/**
 * Fits a line by least squares.
 * @param points - measured points
 * @returns the line, or undefined if fewer than two sizes differ
 */
export function fitLine(points: readonly Point[]): Line | undefined {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({y}) => y));
	const spread = points.reduce((total, {x}) => total + ((x - meanX) ** 2), 0);
	if (points.length < 2 || spread === 0) {
		return undefined;
	}

	const slope = points.reduce((total, {x, y}) => total + ((x - meanX) * (y - meanY)), 0) / spread;
	const intercept = meanY - (slope * meanX);
	const residual = Math.sqrt(mean(points.map(({x, y}) => (y - intercept - (slope * x)) ** 2)));
	return {intercept, slope, residual};
}
