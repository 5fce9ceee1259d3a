import {type Point, type Series} from './types.js';

/** A series without its points. */
export type SeriesDescription = Omit<Series, 'points'>;

/**
 * Builds one series per column from records that were measured at different sizes.
 * @param records - one record per size
 * @param sizeOf - returns the size of a record
 * @param columns - the description of each series and the function that reads its value from a record
 */
export function buildSeries<R>(records: readonly R[], sizeOf: (record: R) => number, columns: ReadonlyArray<SeriesDescription & {readonly valueOf: (record: R) => number}>): readonly Series[] {
	return columns.map(({valueOf, ...description}) => ({
		...description,
		points: records.map((record): Point => ({x: sizeOf(record), y: valueOf(record)})),
	}));
}
