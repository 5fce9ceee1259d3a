/** One measured point of a series. */
export type Point = {readonly x: number; readonly y: number};

/** A line fitted by the method of least squares. */
export type Line = {
	readonly intercept: number;
	readonly slope: number;
	/** Root mean square of the distances of the points from the line, in the unit of y. */
	readonly residual: number;
};

/** Measurements of one quantity at different sizes. */
export type Series = {
	/** Stable id by which pages and scripts refer to the series. */
	readonly id: string;
	readonly title: string;
	readonly xName: string;
	readonly yUnit: string;
	readonly points: readonly Point[];
};

/** A series with its fitted line. The line is missing if the points have fewer than two different sizes. */
export type FittedSeries = Series & {readonly line?: Line};

/** A measurement that produces one or more series. */
export type Measurement = {
	readonly id: string;
	readonly title: string;
	readonly run: () => Promise<readonly Series[]>;
};

/** Result of one measurement, as printed by `--json` and read back by `--from`. */
export type MeasurementResult
	= | {readonly kind: 'measured'; readonly id: string; readonly title: string; readonly tookMs: number; readonly results: readonly FittedSeries[]}
		| {readonly kind: 'failed'; readonly id: string; readonly title: string; readonly tookMs: number; readonly message: string};
