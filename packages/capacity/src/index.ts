export {fitLine} from './fit.js';
export {formatFigure, formatResults, formatTargetTable} from './markdown.js';
export {measurements} from './measurements.js';
export {runMeasurement} from './runMeasurement.js';
export {
	createSeriesLookup, targetSize, computeTargetFigures, type SeriesLookup, type TargetFigure,
} from './target.js';
export * from './types.js';
