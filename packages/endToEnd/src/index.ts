export {checkHistory} from './history.js';
export {FaultCluster, type DatabaseStatus} from './faultCluster.js';
export {LoadGenerator, type LoadGeneratorOptions} from './loadGenerator.js';
export {CallerSession, attemptOutcomeOf, type CallerSessionOptions} from './callerSession.js';
export {NetworkPartition} from './partition.js';
export {primaryFaultNames, primaryFaults, type PrimaryFaultName} from './faults.js';
export * from './types.js';
