import {type ExperimentResult} from './run.js';
import {mergeRanks} from './summary.js';
import {
	barPanel, colors, linePanel, svgDocument, type Line, type Mark,
} from './svg.js';
import {bucketMs, type Variant} from './types.js';

/** Buckets joined to one point of a line, so that Poisson noise does not hide the course. */
const bucketsPerPoint = 5;

/** Plot of an experiment: throughput of each rank over time, or times of reads. */
export function plotOf(result: ExperimentResult): string {
	return svgDocument(result.kind === 'hop' ? hopPanels(result) : loadPanels(result));
}

function hopPanels({results}: Extract<ExperimentResult, {kind: 'hop'}>): readonly string[] {
	return results.map(({deployment, rows}) => barPanel({
		title: `${deployment}: point read, median of rounds with least and greatest round`,
		yLabel: 'ms',
		bars: rows.map(({kind, medianMs, leastMs, greatestMs}, index) => ({
			label: kind, value: medianMs, least: leastMs, greatest: greatestMs, color: colors[index]!,
		})),
	}));
}

function loadPanels({experiment, phases}: Extract<ExperimentResult, {kind: 'load'}>): readonly string[] {
	const deployments = [...new Set(phases.map(({result}) => result.deployment))];
	return deployments.map(deployment => {
		const ofDeployment = phases.filter(({result}) => result.deployment === deployment);
		return linePanel({
			title: `${deployment}: ${experiment.title.toLowerCase()}`,
			xLabel: 's since the start of the load',
			yLabel: 'completed requests/s',
			lines: ofDeployment.flatMap(({result}) => linesOf(result.workers.map(({ranks}) => ranks), result)),
			marks: ofDeployment.filter(({result}) => result.variant === 'crocusloom').flatMap(({result}) => marksOf(result)),
		});
	});
}

type LoadResult = Extract<ExperimentResult, {kind: 'load'}>['phases'][number]['result'];

function marksOf({faults, startAtMs}: LoadResult): readonly Mark[] {
	return faults.map(({fault, atMs}) => ({label: fault, x: (atMs - startAtMs) / 1000}));
}

function linesOf(ranks: ReadonlyArray<LoadResult['workers'][number]['ranks']>, {variant, durationMs}: {readonly variant: Variant; readonly durationMs: number}): readonly Line[] {
	return ranks[0]!.map((_, index) => {
		const {rank, completedSeries} = mergeRanks(ranks.map(of => of[index]!));
		return {
			label: `${rank}, ${variant}`,
			color: colors[index % colors.length]!,
			isDashed: variant === 'baseline',
			points: ratePoints(completedSeries, durationMs),
		};
	});
}

/** Rates in the middle of each span, in seconds and requests a second. */
export function ratePoints(series: readonly number[], durationMs: number): ReadonlyArray<readonly [number, number]> {
	const spanMs = bucketMs * bucketsPerPoint;
	return Array.from({length: Math.floor(durationMs / spanMs)}, (_, index) => {
		const count = series.slice(index * bucketsPerPoint, (index + 1) * bucketsPerPoint).reduce((total, value) => total + value, 0);
		return [(index + 0.5) * spanMs / 1000, count * 1000 / spanMs] as const;
	});
}
