/**
 * Renders results as Markdown tables for the terminal and the measurements page.
 */
import {type HopResult} from './hop.js';
import {type ExperimentResult} from './run.js';
import {type RankSummary, type TrialSummary} from './summary.js';

type Table = {readonly header: readonly string[]; readonly rows: ReadonlyArray<readonly string[]>};

/** Renders a table in Markdown; `|` in cells is replaced by `/`. */
export function renderMarkdownTable({header, rows}: Table): string {
	const formatRow = (cells: readonly string[]) => `| ${cells.map(cell => cell.replaceAll('|', '/')).join(' | ')} |`;
	return [formatRow(header), formatRow(header.map(() => '---')), ...rows.map(row => formatRow(row))].join('\n');
}

function formatFixed(value: number, digits = 1): string {
	return Number.isFinite(value) ? value.toFixed(digits) : '–';
}

/** Renders the result of an experiment as Markdown that is also readable in a terminal. */
export function renderResult(result: ExperimentResult): string {
	return result.kind === 'hop'
		? [`## ${result.title} (hop)`, '', renderHopResult(result.results)].join('\n')
		: [`## ${result.experiment.title} (${result.experiment.name})`, '', renderLoadResult(result)].join('\n');
}

function renderHopResult(results: readonly HopResult[]): string {
	return [
		...results.map(({deployment, setting}) => `- ${deployment}: ${setting}`),
		'',
		renderMarkdownTable({
			header: ['deployment', 'read', 'median ms', 'rounds ms', 'added ms', 'added, rounds ms'],
			rows: results.flatMap(({deployment, rows}) => rows.map(row => [
				deployment,
				row.kind,
				formatFixed(row.medianMs, 2),
				`${formatFixed(row.leastMs, 2)} to ${formatFixed(row.greatestMs, 2)}`,
				row.kind === 'direct' ? '' : formatFixed(row.addedMs, 2),
				row.kind === 'direct' ? '' : `${formatFixed(row.addedLeastMs, 2)} to ${formatFixed(row.addedGreatestMs, 2)}`,
			])),
		}),
		'',
		...violationLines(results),
	].join('\n');
}

function renderLoadResult({experiment, phases}: Extract<ExperimentResult, {kind: 'load'}>): string {
	const summaries = phases.map(({summary}) => summary);
	const sections = [
		summaries.map(({deployment, variant, setting}) => `- ${deployment}, ${variant}: ${setting}`).join('\n'),
		experiment.baselineNote,
		renderMarkdownTable(serviceTable(summaries)),
		experiment.floodRankIndex === undefined ? undefined : renderMarkdownTable(floodTable(summaries)),
		summaries.some(({gaps}) => gaps.length > 0) ? renderMarkdownTable(gapTable(summaries)) : undefined,
		renderMarkdownTable(readTable(summaries)),
		renderMarkdownTable(checkTable(summaries)),
		renderMarkdownTable(toolTable(summaries)),
		errorLines(summaries),
		violationLines(summaries.map(summary => ({deployment: `${summary.deployment}, ${summary.variant}`, violations: [...summary.violations, ...summary.problems]}))).join('\n'),
	];
	return sections.filter(section => section !== undefined && section !== '').join('\n\n').concat('\n');
}

function rankRows(summaries: readonly TrialSummary[], formatCells: (rank: RankSummary) => readonly string[]): ReadonlyArray<readonly string[]> {
	return summaries.flatMap(({deployment, variant, ranks}) => ranks.map(rank => [deployment, variant, rank.rank, ...formatCells(rank)]));
}

function serviceTable(summaries: readonly TrialSummary[]): Table {
	return {
		header: ['deployment', 'system', 'rank', 'target ms', 'arrivals', 'within target %', 'p50 ms', 'p99 ms', 'completed', 'not run', 'not sent', 'unknown', 'lost', 'failed'],
		rows: rankRows(summaries, ({targetMs, scheduled, withinTargetPercent, p50Ms, p99Ms, counts}) => [
			String(targetMs),
			String(scheduled),
			formatFixed(withinTargetPercent),
			formatFixed(p50Ms),
			formatFixed(p99Ms),
			...[counts.completed, counts.notRun, counts.notSent, counts.unknown, counts.lost, counts.failed].map(String),
		]),
	};
}

function floodTable(summaries: readonly TrialSummary[]): Table {
	return {
		header: ['deployment', 'system', 'rank', 'before /s', 'in the flood /s', 'of before %', 'floor /s', 'of floor %', 'within target in the flood %'],
		rows: rankRows(summaries, ({flood}) => flood
			? [
				formatFixed(flood.beforeRate),
				formatFixed(flood.duringRate),
				formatFixed(flood.ofBeforePercent),
				formatFixed(flood.floorRate),
				formatFixed(flood.ofFloorPercent),
				formatFixed(flood.withinTargetPercent),
			]
			: []),
	};
}

function gapTable(summaries: readonly TrialSummary[]): Table {
	return {
		header: ['deployment', 'system', 'failure', 'longest time without an acknowledged write, ms'],
		rows: summaries.flatMap(({deployment, variant, gaps}) => gaps.map(({fault, gapMs, hasEnded}) => [deployment, variant, fault, `${hasEnded ? '' : 'at least '}${formatFixed(gapMs, 0)}`])),
	};
}

function readTable(summaries: readonly TrialSummary[]): Table {
	return {
		header: ['deployment', 'system', 'reads at databases', 'served by replicas %', 'best that the lag allowed %', 'most connections of limit', 'connections refused'],
		rows: summaries.map(({deployment, variant, reads, replicaSharePercent, bestSharePercent, connections}) => [
			deployment,
			variant,
			String(reads),
			formatFixed(replicaSharePercent),
			formatFixed(bestSharePercent),
			`${Math.max(...connections.map(({maximum}) => maximum))} of ${connections[0]?.limit ?? 0}`,
			String(connections.reduce((total, {refused}) => total + refused, 0)),
		]),
	};
}

function checkTable(summaries: readonly TrialSummary[]): Table {
	return {
		header: ['deployment', 'system', 'acknowledged inserts', 'lost', 'doubled', 'ran although "not run"', 'inserts unknown', 'read-your-writes checked', 'violations'],
		rows: summaries.map(({deployment, variant, inserts, readYourWritesChecked, violations}) => [
			deployment,
			variant,
			...[inserts.acknowledged, inserts.lost, inserts.doubled, inserts.ranAlthoughNotRun, inserts.unknown, readYourWritesChecked, violations.length].map(String),
		]),
	};
}

function toolTable(summaries: readonly TrialSummary[]): Table {
	return {
		header: ['deployment', 'system', 'tool\'s own lag p99 ms', 'most ms', 'cores used by each load process', 'most outstanding of a rank and process', 'cores used by each proxy', 'promotions'],
		rows: summaries.map(({deployment, variant, ownLagP99Ms, ownLagMaxMs, workerCpuShares, peakOutstanding, proxies}) => [
			deployment,
			variant,
			formatFixed(ownLagP99Ms),
			formatFixed(ownLagMaxMs),
			workerCpuShares.join(', '),
			String(peakOutstanding),
			Object.values(proxies.cores).join(', '),
			String(proxies.promotions),
		]),
	};
}

/** Lists the most frequent error reasons of each trial. */
function errorLines(summaries: readonly TrialSummary[]): string {
	const maxReasons = 4;
	return summaries.flatMap(({deployment, variant, ranks}) => {
		const reasons = ranks.flatMap(({rank, errors}) => Object.entries(errors).map(([reason, count]) => ({text: `${count} × ${rank}: ${reason}`, count})));
		return reasons.toSorted((a, b) => b.count - a.count).slice(0, maxReasons).map(({text}) => `- ${deployment}, ${variant}: ${text}`);
	}).join('\n');
}

function violationLines(parts: ReadonlyArray<{readonly deployment: string; readonly violations: readonly string[]}>): readonly string[] {
	return parts.flatMap(({deployment, violations}) => violations.slice(0, 10).map(text => `- Violation, ${deployment}: ${text}`));
}
