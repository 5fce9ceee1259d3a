export * from './memoryService.js';
export * from './recordingLogger.js';
