export * from './groupStateDirectory.js';
export * from './groupMonitor.js';
export * from './groupMonitors.js';
export * from './listChangeSettler.js';
export * from './promoter.js';
export * from './sqlDatabaseControl.js';
export * from './stateMessage.js';
export * from './statusPublisher.js';
