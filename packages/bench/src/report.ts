/**
 * Results as tables, for the terminal and for the page of measurements.
 */
import {type HopResult} from './hop.js';
import {type ExperimentResult} from './run.js';
import {type PhaseSummary, type RankSummary} from './summary.js';

type Table = {readonly head: readonly string[]; readonly rows: ReadonlyArray<readonly string[]>};

/** Writes a table in Markdown. */
export function markdownTable({head, rows}: Table): string {
	const line = (cells: readonly string[]) => `| ${cells.map(cell => cell.replaceAll('|', '/')).join(' | ')} |`;
	return [line(head), line(head.map(() => '---')), ...rows.map(row => line(row))].join('\n');
}

function rounded(value: number, digits = 1): string {
	return Number.isFinite(value) ? value.toFixed(digits) : '–';
}

/** Text of an experiment's result, in Markdown that also reads well in a terminal. */
export function consoleText(result: ExperimentResult): string {
	return result.kind === 'hop'
		? [`## ${result.title} (hop)`, '', hopText(result.results)].join('\n')
		: [`## ${result.experiment.title} (${result.experiment.name})`, '', loadText(result)].join('\n');
}

function hopText(results: readonly HopResult[]): string {
	return [
		...results.map(({deployment, setting}) => `- ${deployment}: ${setting}`),
		'',
		markdownTable({
			head: ['deployment', 'read', 'median ms', 'rounds ms', 'added ms', 'added, rounds ms'],
			rows: results.flatMap(({deployment, rows}) => rows.map(row => [
				deployment,
				row.kind,
				rounded(row.medianMs, 2),
				`${rounded(row.leastMs, 2)} to ${rounded(row.greatestMs, 2)}`,
				row.kind === 'direct' ? '' : rounded(row.addedMs, 2),
				row.kind === 'direct' ? '' : `${rounded(row.addedLeastMs, 2)} to ${rounded(row.addedGreatestMs, 2)}`,
			])),
		}),
		'',
		...violationLines(results),
	].join('\n');
}

function loadText({experiment, phases}: Extract<ExperimentResult, {kind: 'load'}>): string {
	const summaries = phases.map(({summary}) => summary);
	const parts = [
		summaries.map(({deployment, variant, setting}) => `- ${deployment}, ${variant}: ${setting}`).join('\n'),
		experiment.baselineNote,
		markdownTable(serviceTable(summaries)),
		experiment.flood === undefined ? undefined : markdownTable(floodTable(summaries)),
		summaries.some(({gaps}) => gaps.length > 0) ? markdownTable(gapTable(summaries)) : undefined,
		markdownTable(readTable(summaries)),
		markdownTable(checkTable(summaries)),
		markdownTable(toolTable(summaries)),
		errorLines(summaries),
		violationLines(summaries.map(summary => ({deployment: `${summary.deployment}, ${summary.variant}`, violations: [...summary.violations, ...summary.problems]}))).join('\n'),
	];
	return parts.filter(part => part !== undefined && part !== '').join('\n\n').concat('\n');
}

function rankRows(summaries: readonly PhaseSummary[], cells: (rank: RankSummary) => readonly string[]): ReadonlyArray<readonly string[]> {
	return summaries.flatMap(({deployment, variant, ranks}) => ranks.map(rank => [deployment, variant, rank.rank, ...cells(rank)]));
}

function serviceTable(summaries: readonly PhaseSummary[]): Table {
	return {
		head: ['deployment', 'system', 'rank', 'target ms', 'arrivals', 'within target %', 'p50 ms', 'p99 ms', 'completed', 'not run', 'not sent', 'unknown', 'lost', 'failed'],
		rows: rankRows(summaries, ({targetMs, scheduled, withinTargetPercent, p50Ms, p99Ms, counts}) => [
			String(targetMs),
			String(scheduled),
			rounded(withinTargetPercent),
			rounded(p50Ms),
			rounded(p99Ms),
			...[counts.completed, counts.notRun, counts.notSent, counts.unknown, counts.lost, counts.failed].map(String),
		]),
	};
}

function floodTable(summaries: readonly PhaseSummary[]): Table {
	return {
		head: ['deployment', 'system', 'rank', 'before /s', 'in the flood /s', 'of before %', 'floor /s', 'of floor %', 'within target in the flood %'],
		rows: rankRows(summaries, ({flood}) => flood
			? [
				rounded(flood.beforeRate), rounded(flood.duringRate), rounded(flood.ofBeforePercent), rounded(flood.floorRate), rounded(flood.ofFloorPercent), rounded(flood.withinTargetPercent),
			]
			: []),
	};
}

function gapTable(summaries: readonly PhaseSummary[]): Table {
	return {
		head: ['deployment', 'system', 'failure', 'longest time without an acknowledged write, ms'],
		rows: summaries.flatMap(({deployment, variant, gaps}) => gaps.map(({fault, gapMs, hasEnded}) => [deployment, variant, fault, `${hasEnded ? '' : 'at least '}${rounded(gapMs, 0)}`])),
	};
}

function readTable(summaries: readonly PhaseSummary[]): Table {
	return {
		head: ['deployment', 'system', 'reads at databases', 'served by replicas %', 'best that the lag allowed %', 'most connections of limit', 'connections refused'],
		rows: summaries.map(({deployment, variant, reads, replicaSharePercent, bestSharePercent, connections}) => [
			deployment,
			variant,
			String(reads),
			rounded(replicaSharePercent),
			rounded(bestSharePercent),
			`${Math.max(...connections.map(({maximum}) => maximum))} of ${connections[0]?.limit ?? 0}`,
			String(connections.reduce((total, {refused}) => total + refused, 0)),
		]),
	};
}

function checkTable(summaries: readonly PhaseSummary[]): Table {
	return {
		head: ['deployment', 'system', 'acknowledged inserts', 'lost', 'doubled', 'ran although "not run"', 'inserts unknown', 'read-your-writes checked', 'violations'],
		rows: summaries.map(({deployment, variant, inserts, readYourWritesChecked, violations}) => [
			deployment,
			variant,
			...[inserts.acknowledged, inserts.lost, inserts.doubled, inserts.ranAlthoughNotRun, inserts.unknown, readYourWritesChecked, violations.length].map(String),
		]),
	};
}

function toolTable(summaries: readonly PhaseSummary[]): Table {
	return {
		head: ['deployment', 'system', 'tool\'s own lag p99 ms', 'most ms', 'cores used by each load process', 'most outstanding of a rank and process', 'cores used by each proxy', 'promotions'],
		rows: summaries.map(({deployment, variant, ownLagP99Ms, ownLagMaxMs, workerCpuShares, peakOutstanding, proxies}) => [
			deployment, variant, rounded(ownLagP99Ms), rounded(ownLagMaxMs), workerCpuShares.join(', '), String(peakOutstanding), Object.values(proxies.cores).join(', '), String(proxies.promotions),
		]),
	};
}

/** Most frequent reasons of refused and failed requests of each run. */
function errorLines(summaries: readonly PhaseSummary[]): string {
	const mostFrequent = 4;
	return summaries.flatMap(({deployment, variant, ranks}) => {
		const reasons = ranks.flatMap(({rank, errors}) => Object.entries(errors).map(([reason, count]) => ({text: `${count} × ${rank}: ${reason}`, count})));
		return reasons.toSorted((a, b) => b.count - a.count).slice(0, mostFrequent).map(({text}) => `- ${deployment}, ${variant}: ${text}`);
	}).join('\n');
}

function violationLines(parts: ReadonlyArray<{readonly deployment: string; readonly violations: readonly string[]}>): readonly string[] {
	return parts.flatMap(({deployment, violations}) => violations.slice(0, 10).map(text => `- Violation, ${deployment}: ${text}`));
}
