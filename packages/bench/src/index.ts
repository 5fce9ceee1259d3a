export {failoverGap, type FailoverGap, type FaultSpan} from './gaps.js';
export {checkInserts, type InsertCheck} from './insertCheck.js';
export {
	experimentNames, nameOf, productViolations, runExperiment, type ExperimentResult, type RunOptions,
} from './run.js';
export {type PhaseSummary} from './summary.js';
export * from './types.js';
