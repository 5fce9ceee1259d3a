export * from './hostDialer.js';
export * from './memoryLease.js';
export * from './memoryService.js';
export * from './promotionService.js';
