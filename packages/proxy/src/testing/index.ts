export * from './hostDialer.js';
export * from './memoryLease.js';
export * from './memoryService.js';
export * from './memoryServiceRecords.js';
export * from './promotionService.js';
