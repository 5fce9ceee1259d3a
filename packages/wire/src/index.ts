export * from './classify.js';
export * from './frames.js';
export * from './sqlText.js';
