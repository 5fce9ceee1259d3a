export {findFailoverGap, type FailoverGap, type FaultWindow} from './gaps.js';
export {checkInserts, type InsertCheck} from './insertCheck.js';
export {
	experimentName, experimentNames, productViolations, runExperiment, type ExperimentResult, type RunOptions,
} from './run.js';
export {type TrialSummary} from './summary.js';
export * from './types.js';
