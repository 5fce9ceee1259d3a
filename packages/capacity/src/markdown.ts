import {type WorkedOut} from './target.js';
import {type MeasurementResult, type SlopeResult} from './types.js';

const significantDigits = 3;

/** Formats a figure with three significant digits and without an exponent. */
export function formatFigure(value: number): string {
	return value === 0 ? '0' : Number(value.toPrecision(significantDigits)).toLocaleString('en-US', {maximumSignificantDigits: significantDigits});
}

/**
 * Writes results as Markdown tables, one row a series.
 * @param results - outcomes of the measurements
 */
export function toMarkdown(results: readonly MeasurementResult[]): string {
	return `${results.map(result => section(result)).join('\n\n')}\n`;
}

function section(result: MeasurementResult): string {
	const heading = `### ${result.title}`;
	if (result.kind === 'failed') {
		return `${heading}\n\nNot measured: ${result.message}`;
	}

	const rows = result.results.map(series => row(series));
	const head = ['| id | quantity | unit | at size: value | slope | at size 0 | residual |', '|---|---|---|---|---|---|---|'];
	return [heading, '', ...head, ...rows].join('\n');
}

function row({id, title, xName, yUnit, points, line}: SlopeResult): string {
	const values = points.map(({x, y}) => `${formatFigure(x)}: ${formatFigure(y)}`).join('; ');
	const figures = line ? [line.slope, line.intercept, line.residual].map(value => formatFigure(value)) : ['', '', ''];
	return `| ${[id, title, `${yUnit} by ${xName}`, values, ...figures].join(' | ')} |`;
}

/** Writes the figures of the target size as a table. */
export function targetTable(figures: readonly WorkedOut[]): string {
	const rows = figures.map(({figure, unit, from, limit, value}) => {
		const cells = [figure, value === undefined ? 'not known' : formatFigure(value), unit, limit === undefined ? '' : formatFigure(limit), from];
		return `| ${cells.join(' | ')} |`;
	});
	return ['### At the target size', '', '| figure | value | unit | limit | worked out from |', '|---|---|---|---|---|', ...rows, ''].join('\n');
}
