import {type DeploymentTopology} from '@crocusloom/standins';
import {experiments, type Experiment} from './experiments.js';
import {runHopExperiment, type HopResult} from './hop.js';
import {summarizeTrial, type TrialSummary} from './summary.js';
import {runTrial, type TrialResult} from './trial.js';
import {type Variant} from './types.js';

export type RunOptions = {
	readonly deployments: readonly DeploymentTopology[];
	readonly seed: number;
	/** Duration of the load; defaults to that of the experiment. */
	readonly durationMs?: number;
	readonly workers: number;
	readonly floodConnections?: number;
	readonly databaseArgs: readonly string[];
	/** Called with a description when a part of the run starts. */
	readonly onProgress?: (text: string) => void;
};

/** Result of a load experiment, with one trial per deployment and variant in `phases`, or of the hop experiment. */
export type ExperimentResult
	= | {readonly kind: 'load'; readonly experiment: Experiment; readonly phases: ReadonlyArray<{readonly result: TrialResult; readonly summary: TrialSummary}>}
		| {readonly kind: 'hop'; readonly name: 'hop'; readonly title: string; readonly results: readonly HopResult[]};

export const experimentNames: readonly string[] = [...experiments.map(({name}) => name), 'hop'];

const variants: readonly Variant[] = ['crocusloom', 'baseline'];
const hopRounds = 9;
const hopReadsPerRound = 200;
/** Without service time, the timers of the stand-in do not add noise to the overhead of the hop. */
const hopDatabaseArgs: readonly string[] = ['--service-ms', '0'];

/** Runs an experiment for all deployments, one after the other; load experiments also run for the baseline. @throws Error if a part fails to start */
export async function runExperiment(name: string, options: RunOptions): Promise<ExperimentResult> {
	const {deployments, seed, databaseArgs, onProgress} = options;
	if (name === 'hop') {
		const results: HopResult[] = [];
		for (const deployment of deployments) {
			onProgress?.(`hop: ${deployment.name}`);
			results.push(await runHopExperiment({
				deployment, seed, rounds: hopRounds, readsPerRound: hopReadsPerRound, databaseArgs: [...hopDatabaseArgs, ...databaseArgs],
			}));
		}

		return {
			kind: 'hop', name, title: 'Point read through a proxy and directly', results,
		};
	}

	const definition = experiments.find(candidate => candidate.name === name);
	if (!definition) {
		throw new Error(`unknown experiment: ${name}`);
	}

	const experiment = {...definition, floodConnections: options.floodConnections};

	const phases: Array<{readonly result: TrialResult; readonly summary: TrialSummary}> = [];
	for (const deployment of deployments) {
		for (const variant of variants) {
			onProgress?.(`${name}: ${deployment.name}, ${variant}`);
			const defaultDurationMs = variant === 'baseline' ? experiment.baselineDurationMs ?? experiment.durationMs : experiment.durationMs;
			const result = await runTrial({
				experiment, deployment, variant, seed, durationMs: options.durationMs ?? defaultDurationMs, workers: options.workers, databaseArgs,
			});
			phases.push({result, summary: summarizeTrial(result, experiment, deployment)});
		}
	}

	return {kind: 'load', experiment, phases};
}

/** Violations and problems of crocusloom in all parts of an experiment. Those of the baseline are part of the comparison and are not listed. */
export function productViolations(result: ExperimentResult): readonly string[] {
	return result.kind === 'hop'
		? result.results.flatMap(({deployment, violations}) => violations.map(text => `${deployment}: ${text}`))
		: result.phases
			.filter(({summary}) => summary.variant === 'crocusloom')
			.flatMap(({summary}) => [...summary.violations, ...summary.problems].map(text => `${summary.deployment}: ${text}`));
}

/** Returns the name of an experiment, which is also the file name of its plot. */
export function experimentName(result: ExperimentResult): string {
	return result.kind === 'hop' ? result.name : result.experiment.name;
}
