import {type Point, type Series} from './types.js';

/** Description of a series before its points are known. */
export type SeriesHead = Omit<Series, 'points'>;

/**
 * Builds series from records of one size each.
 * @param records - one record a size
 * @param sizeOf - size of a record
 * @param columns - description of each series, with the function that takes its value from a record
 */
export function buildSeries<R>(records: readonly R[], sizeOf: (record: R) => number, columns: ReadonlyArray<SeriesHead & {readonly valueOf: (record: R) => number}>): readonly Series[] {
	return columns.map(({valueOf, ...head}) => ({
		...head,
		points: records.map((record): Point => ({x: sizeOf(record), y: valueOf(record)})),
	}));
}
