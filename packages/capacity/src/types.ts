/** One measured point of a series. */
export type Point = {readonly x: number; readonly y: number};

/** A line fitted by least squares. */
export type Line = {
	readonly intercept: number;
	readonly slope: number;
	/** Root mean square of the distances of the points from the line, in the unit of y. */
	readonly residual: number;
};

/** Points of one quantity over one size. */
export type Series = {
	/** Stable identifier, by which a page or a script finds the series. */
	readonly id: string;
	readonly title: string;
	readonly xName: string;
	readonly yUnit: string;
	readonly points: readonly Point[];
};

/** A series with its line; without a line when the sizes do not differ. */
export type SlopeResult = Series & {readonly line?: Line};

/** One entry of the table of measurements. */
export type Measurement = {
	readonly id: string;
	readonly title: string;
	readonly run: () => Promise<readonly Series[]>;
};

/** Outcome of one measurement. */
export type MeasurementResult
	= | {readonly kind: 'measured'; readonly id: string; readonly title: string; readonly tookMs: number; readonly results: readonly SlopeResult[]}
		| {readonly kind: 'failed'; readonly id: string; readonly title: string; readonly tookMs: number; readonly message: string};
