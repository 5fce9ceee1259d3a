export {checkHistory} from './history.js';
export {FaultCluster, type DatabaseStatus} from './faultCluster.js';
export {Load, type LoadOptions} from './load.js';
export {CallerSession, outcomeOfError, type CallerOptions} from './callerSession.js';
export {Partition} from './partition.js';
export {primaryFaultNames, primaryFaults, type PrimaryFault} from './faults.js';
export * from './types.js';
