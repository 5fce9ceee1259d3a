export * from './hostDialer.js';
export * from './memoryService.js';
