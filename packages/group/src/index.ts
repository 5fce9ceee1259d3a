export * from './directory.js';
export * from './groupMonitor.js';
export * from './sqlDatabaseControl.js';
export * from './stateMessage.js';
