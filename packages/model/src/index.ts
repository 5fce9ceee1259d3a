export * from './childSignal.js';
export * from './deferred.js';
export * from './failure.js';
export * from './ports.js';
export * from './position.js';
export * from './resources.js';
export * from './system.js';
export * from './types.js';
