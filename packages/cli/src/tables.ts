/** A column of a table: its heading and the function that formats its cells. */
export type TableColumn<T> = {
	readonly title: string;
	readonly text: (row: T) => string;
};

const columnGap = '  ';

/**
 * Formats rows as a table with aligned columns.
 * @returns the lines of the table, or only the line `(none)` if there are no rows
 */
export function formatTable<T>(columns: ReadonlyArray<TableColumn<T>>, rows: readonly T[]): readonly string[] {
	if (rows.length === 0) {
		return ['(none)'];
	}

	const cells = [columns.map(({title}) => title), ...rows.map(row => columns.map(({text}) => text(row)))];
	const widths = columns.map((_column, index) => Math.max(...cells.map(line => line[index]!.length)));
	return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join(columnGap).trimEnd());
}

/** Formats a duration in a readable unit, for example `850 ms`, `4.2 s` or `12 min`. */
export function formatDuration(durationMs: number | null): string {
	if (durationMs === null || !Number.isFinite(durationMs)) {
		return 'unknown';
	}

	if (durationMs < 1000) {
		return `${Math.round(durationMs)} ms`;
	}

	return durationMs < 120_000 ? `${Number((durationMs / 1000).toFixed(1))} s` : `${Math.floor(durationMs / 60_000)} min`;
}
