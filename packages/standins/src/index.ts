export {BackendServer, type BackendServerOptions} from './backendServer/server.js';
export {type CounterValues} from './backendServer/counters.js';
export {type FaultSettings} from './backendServer/faults.js';
export {Platform, type PlatformCounters, type PlatformOptions} from './platform/platform.js';
export {type PlatformFaults} from './platform/platformFaults.js';
