export * from './memoryService.js';
