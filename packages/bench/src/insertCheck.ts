import {type InsertLog} from './types.js';

export type InsertCheck = {
	readonly acknowledged: number;
	readonly unknown: number;
	/** Acknowledged inserts without a row. */
	readonly lost: number;
	/** Ids with more than one row. */
	readonly doubled: number;
	/** Inserts reported as not run that have a row. */
	readonly ranAlthoughNotRun: number;
	/** A few of the ids concerned. */
	readonly examples: readonly string[];
};

const maximumExamples = 5;

/**
 * Compares the rows at the end of a run with what callers were told.
 * @param logs - of all workers
 * @param ids - ids of all rows, one for each row
 */
export function checkInserts(logs: readonly InsertLog[], ids: readonly string[]): InsertCheck {
	const rows = new Map<string, number>();
	for (const id of ids) {
		rows.set(id, (rows.get(id) ?? 0) + 1);
	}

	const acknowledged = logs.flatMap(log => log.acknowledged);
	const lost = acknowledged.filter(id => !rows.has(id));
	const doubled = [...rows].filter(([, count]) => count > 1).map(([id]) => id);
	const ranAlthoughNotRun = logs.flatMap(log => log.notRun).filter(id => rows.has(id));
	return {
		acknowledged: acknowledged.length,
		unknown: logs.reduce((total, log) => total + log.unknown.length, 0),
		lost: lost.length,
		doubled: doubled.length,
		ranAlthoughNotRun: ranAlthoughNotRun.length,
		examples: [...lost, ...doubled, ...ranAlthoughNotRun].slice(0, maximumExamples),
	};
}
