export * from './memoryLease.js';
export * from './memoryService.js';
