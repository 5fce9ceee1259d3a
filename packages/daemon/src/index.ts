export * from './settings.js';
export * from './tracing.js';
