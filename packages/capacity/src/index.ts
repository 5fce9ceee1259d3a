export {fitLine} from './fit.js';
export {formatFigure, toMarkdown} from './markdown.js';
export {measurements} from './measurements.js';
export {runMeasurement} from './runMeasurements.js';
export * from './types.js';
