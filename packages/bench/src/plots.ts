import {type ExperimentResult} from './run.js';
import {mergeRankResults} from './summary.js';
import {
	colors, renderBarPanel, renderLinePanel, renderSvgDocument, type EventMarker, type Line,
} from './svg.js';
import {bucketMs, type Variant} from './types.js';

/** Buckets averaged into one point of a line, to smooth the Poisson noise of the arrivals. */
const bucketsPerPoint = 5;

/** Renders the plot of an experiment as SVG: the throughput of each rank over time, or the latencies of the hop experiment. */
export function renderPlot(result: ExperimentResult): string {
	return renderSvgDocument(result.kind === 'hop' ? hopPanels(result) : loadPanels(result));
}

function hopPanels({results}: Extract<ExperimentResult, {kind: 'hop'}>): readonly string[] {
	return results.map(({deployment, rows}) => renderBarPanel({
		title: `${deployment}: point read, median of rounds with least and greatest round`,
		yLabel: 'ms',
		bars: rows.map(({kind, medianMs, leastMs, greatestMs}, index) => ({
			label: kind, value: medianMs, minimum: leastMs, maximum: greatestMs, color: colors[index]!,
		})),
	}));
}

function loadPanels({experiment, phases}: Extract<ExperimentResult, {kind: 'load'}>): readonly string[] {
	const deployments = [...new Set(phases.map(({result}) => result.deployment))];
	return deployments.map(deployment => {
		const deploymentTrials = phases.filter(({result}) => result.deployment === deployment);
		return renderLinePanel({
			title: `${deployment}: ${experiment.title.toLowerCase()}`,
			xLabel: 's since the start of the load',
			yLabel: 'completed requests/s',
			lines: deploymentTrials.flatMap(({result}) => throughputLines(result.workers.map(({ranks}) => ranks), result)),
			markers: deploymentTrials.filter(({result}) => result.variant === 'crocusloom').flatMap(({result}) => faultMarkers(result)),
		});
	});
}

type LoadResult = Extract<ExperimentResult, {kind: 'load'}>['phases'][number]['result'];

function faultMarkers({faults, startAtMs}: LoadResult): readonly EventMarker[] {
	return faults.map(({fault, atMs}) => ({label: fault, x: (atMs - startAtMs) / 1000}));
}

function throughputLines(ranks: ReadonlyArray<LoadResult['workers'][number]['ranks']>, {variant, durationMs}: {readonly variant: Variant; readonly durationMs: number}): readonly Line[] {
	return ranks[0]!.map((_, index) => {
		const {rank, completedSeries} = mergeRankResults(ranks.map(workerRanks => workerRanks[index]!));
		return {
			label: `${rank}, ${variant}`,
			color: colors[index % colors.length]!,
			isDashed: variant === 'baseline',
			points: ratePoints(completedSeries, durationMs),
		};
	});
}

/** Converts a series of counts to points: the middle of each interval in seconds, and the rate in requests per second. */
export function ratePoints(series: readonly number[], durationMs: number): ReadonlyArray<readonly [number, number]> {
	const pointWidthMs = bucketMs * bucketsPerPoint;
	return Array.from({length: Math.floor(durationMs / pointWidthMs)}, (_, index) => {
		const count = series.slice(index * bucketsPerPoint, (index + 1) * bucketsPerPoint).reduce((total, value) => total + value, 0);
		return [(index + 0.5) * pointWidthMs / 1000, count * 1000 / pointWidthMs] as const;
	});
}
