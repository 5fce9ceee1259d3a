export {fitLine} from './fit.js';
export {formatFigure, targetTable, toMarkdown} from './markdown.js';
export {measurements} from './measurements.js';
export {runMeasurement} from './runMeasurements.js';
export {
	slopesOf, target, workOut, type Slopes, type WorkedOut,
} from './target.js';
export * from './types.js';
