import {type DeploymentTopology} from '@crocusloom/standins';
import {experiments, type Experiment} from './experiments.js';
import {runHop, type HopResult} from './hop.js';
import {runPhase, type PhaseResult} from './phase.js';
import {summarize, type PhaseSummary} from './summary.js';
import {type Variant} from './types.js';

export type RunOptions = {
	readonly deployments: readonly DeploymentTopology[];
	readonly seed: number;
	/** Length of the load in milliseconds; absent: that of the experiment. */
	readonly durationMs?: number;
	readonly workers: number;
	readonly floodConnections?: number;
	readonly databaseArgs: readonly string[];
	/** Called when a part of the run begins. */
	readonly onProgress?: (text: string) => void;
};

/** Outcome of an experiment. */
export type ExperimentResult
	= | {readonly kind: 'load'; readonly experiment: Experiment; readonly phases: ReadonlyArray<{readonly result: PhaseResult; readonly summary: PhaseSummary}>}
		| {readonly kind: 'hop'; readonly name: 'hop'; readonly title: string; readonly results: readonly HopResult[]};

export const experimentNames: readonly string[] = [...experiments.map(({name}) => name), 'hop'];

const variants: readonly Variant[] = ['crocusloom', 'baseline'];
const hopRounds = 9;
const hopReadsPerRound = 200;
/** Without service time the timers of the stand-in do not blur what a hop adds. */
const hopDatabaseArgs: readonly string[] = ['--service-ms', '0'];

/** Runs an experiment for all deployments, one after the other, each next to the baseline. @throws Error if a part fails to start */
export async function runExperiment(name: string, options: RunOptions): Promise<ExperimentResult> {
	const {deployments, seed, databaseArgs, onProgress} = options;
	if (name === 'hop') {
		const results: HopResult[] = [];
		for (const deployment of deployments) {
			onProgress?.(`hop: ${deployment.name}`);
			results.push(await runHop({
				deployment, seed, rounds: hopRounds, readsPerRound: hopReadsPerRound, databaseArgs: [...hopDatabaseArgs, ...databaseArgs],
			}));
		}

		return {
			kind: 'hop', name, title: 'Point read through a proxy and directly', results,
		};
	}

	const found = experiments.find(candidate => candidate.name === name);
	if (!found) {
		throw new Error(`there is no experiment ${name}`);
	}

	const experiment = {...found, floodConnections: options.floodConnections};

	const phases: Array<{readonly result: PhaseResult; readonly summary: PhaseSummary}> = [];
	for (const deployment of deployments) {
		for (const variant of variants) {
			onProgress?.(`${name}: ${deployment.name}, ${variant}`);
			const ownMs = variant === 'baseline' ? experiment.baselineDurationMs ?? experiment.durationMs : experiment.durationMs;
			const result = await runPhase({
				experiment, deployment, variant, seed, durationMs: options.durationMs ?? ownMs, workers: options.workers, databaseArgs,
			});
			phases.push({result, summary: summarize(result, experiment, deployment)});
		}
	}

	return {kind: 'load', experiment, phases};
}

/** What the checks found in all parts of an experiment; the baseline's findings are part of the comparison and not listed. */
export function productViolations(result: ExperimentResult): readonly string[] {
	return result.kind === 'hop'
		? result.results.flatMap(({deployment, violations}) => violations.map(text => `${deployment}: ${text}`))
		: result.phases
			.filter(({summary}) => summary.variant === 'crocusloom')
			.flatMap(({summary}) => [...summary.violations, ...summary.problems].map(text => `${summary.deployment}: ${text}`));
}

/** Name of an experiment, also of its plot. */
export function nameOf(result: ExperimentResult): string {
	return result.kind === 'hop' ? result.name : result.experiment.name;
}
