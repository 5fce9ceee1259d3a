export * from './logging.js';
export * from './settings.js';
export * from './tracing.js';
export * from './metrics.js';
export * from './unexpectedErrors.js';
