import {type InsertLog} from './types.js';

/** Result of the comparison of stored rows with acknowledged inserts. */
export type InsertCheck = {
	readonly acknowledged: number;
	readonly unknown: number;
	/** Number of acknowledged inserts without a row. */
	readonly lost: number;
	/** Number of ids with more than one row. */
	readonly doubled: number;
	/** Number of inserts that were reported as not run but have a row. */
	readonly ranAlthoughNotRun: number;
	/** Up to `maxExamples` of the ids with a violation. */
	readonly examples: readonly string[];
};

const maxExamples = 5;

/**
 * Compares the rows at the end of a run with the outcomes that were reported to callers.
 * @param logs - insert logs of all workers
 * @param ids - ids of all rows, one entry per row
 */
export function checkInserts(logs: readonly InsertLog[], ids: readonly string[]): InsertCheck {
	const rowCounts = new Map<string, number>();
	for (const id of ids) {
		rowCounts.set(id, (rowCounts.get(id) ?? 0) + 1);
	}

	const acknowledged = logs.flatMap(log => log.acknowledged);
	const lost = acknowledged.filter(id => !rowCounts.has(id));
	const doubled = [...rowCounts].filter(([, count]) => count > 1).map(([id]) => id);
	const ranAlthoughNotRun = logs.flatMap(log => log.notRun).filter(id => rowCounts.has(id));
	return {
		acknowledged: acknowledged.length,
		unknown: logs.reduce((total, log) => total + log.unknown.length, 0),
		lost: lost.length,
		doubled: doubled.length,
		ranAlthoughNotRun: ranAlthoughNotRun.length,
		examples: [...lost, ...doubled, ...ranAlthoughNotRun].slice(0, maxExamples),
	};
}
