export * from './classify.js';
export * from './frames.js';
