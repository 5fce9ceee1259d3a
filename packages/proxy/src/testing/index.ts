export * from './memoryService.js';
export * from './recordingLog.js';
