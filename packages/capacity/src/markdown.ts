import {type TargetFigure} from './target.js';
import {type MeasurementResult, type FittedSeries} from './types.js';

const significantDigits = 3;

/** Formats a figure with three significant digits and without an exponent. */
export function formatFigure(value: number): string {
	return value === 0 ? '0' : Number(value.toPrecision(significantDigits)).toLocaleString('en-US', {maximumSignificantDigits: significantDigits});
}

/**
 * Formats results as Markdown: one section per measurement, with a table that has one row per series.
 * @param results - results of the measurements, including failed ones
 */
export function formatResults(results: readonly MeasurementResult[]): string {
	return `${results.map(result => formatSection(result)).join('\n\n')}\n`;
}

function formatSection(result: MeasurementResult): string {
	const heading = `### ${result.title}`;
	if (result.kind === 'failed') {
		return `${heading}\n\nNot measured: ${result.message}`;
	}

	const rows = result.results.map(series => formatRow(series));
	const headerLines = ['| id | quantity | unit | at size: value | slope | at size 0 | residual |', '|---|---|---|---|---|---|---|'];
	return [heading, '', ...headerLines, ...rows].join('\n');
}

function formatRow({id, title, xName, yUnit, points, line}: FittedSeries): string {
	const values = points.map(({x, y}) => `${formatFigure(x)}: ${formatFigure(y)}`).join('; ');
	const figures = line ? [line.slope, line.intercept, line.residual].map(value => formatFigure(value)) : ['', '', ''];
	return `| ${[id, title, `${yUnit} by ${xName}`, values, ...figures].join(' | ')} |`;
}

/** Formats the figures for the target size as a Markdown table. */
export function formatTargetTable(figures: readonly TargetFigure[]): string {
	const rows = figures.map(({figure, unit, derivation, limit, value}) => {
		const cells = [figure, value === undefined ? 'not known' : formatFigure(value), unit, limit === undefined ? '' : formatFigure(limit), derivation];
		return `| ${cells.join(' | ')} |`;
	});
	return ['### At the target size', '', '| figure | value | unit | limit | worked out from |', '|---|---|---|---|---|', ...rows, ''].join('\n');
}
