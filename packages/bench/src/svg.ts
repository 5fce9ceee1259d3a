/**
 * Plots as SVG: lines over time and bars.
 */

export type Line = {readonly label: string; readonly points: ReadonlyArray<readonly [number, number]>; readonly color: string; readonly isDashed: boolean};
/** Vertical mark, for example of a fault. */
export type Mark = {readonly label: string; readonly x: number};
export type LinePanel = {readonly title: string; readonly xLabel: string; readonly yLabel: string; readonly lines: readonly Line[]; readonly marks: readonly Mark[]};
export type Bar = {readonly label: string; readonly value: number; readonly least: number; readonly greatest: number; readonly color: string};
export type BarPanel = {readonly title: string; readonly yLabel: string; readonly bars: readonly Bar[]};

const size = {
	widthPx: 720, heightPx: 300, leftPx: 60, rightPx: 190, topPx: 36, bottomPx: 44,
} as const;
const plotWidthPx = size.widthPx - size.leftPx - size.rightPx;
const plotHeightPx = size.heightPx - size.topPx - size.bottomPx;
const tickCount = 5;
export const colors: readonly string[] = ['#7b3fa0', '#d98e04', '#2a7f62'];

/** Escapes text for XML. */
export function escapeXml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

/** A round number at or above the value, for the end of an axis. */
export function niceMaximum(value: number): number {
	const power = 10 ** Math.floor(Math.log10(Math.max(value, 1e-3)));
	return ([1, 2, 5, 10].find(step => step * power >= value) ?? 10) * power;
}

function fixed(value: number): string {
	return String(Math.round(value * 100) / 100);
}

function textAt(x: number, y: number, text: string, attributes = ''): string {
	return `<text x="${fixed(x)}" y="${fixed(y)}" ${attributes}>${escapeXml(text)}</text>`;
}

function yAxis(maximum: number, label: string): readonly string[] {
	const ticks = Array.from({length: tickCount + 1}, (_, index) => index / tickCount);
	return [
		...ticks.flatMap(part => {
			const y = size.topPx + (plotHeightPx * (1 - part));
			return [
				`<line x1="${size.leftPx}" x2="${size.leftPx + plotWidthPx}" y1="${fixed(y)}" y2="${fixed(y)}" stroke="#ddd"/>`,
				textAt(size.leftPx - 6, y + 4, fixed(part * maximum), 'text-anchor="end"'),
			];
		}),
		textAt(size.leftPx, size.topPx - 8, label),
	];
}

function xAxis(maximum: number, label: string): readonly string[] {
	return [
		...Array.from({length: tickCount + 1}, (_, index) =>
			textAt(size.leftPx + (plotWidthPx * index / tickCount), size.topPx + plotHeightPx + 16, fixed(maximum * index / tickCount), 'text-anchor="middle"')),
		textAt(size.leftPx + (plotWidthPx / 2), size.topPx + plotHeightPx + 34, label, 'text-anchor="middle"'),
	];
}

/** Draws one panel of lines. */
export function linePanel({title, xLabel, yLabel, lines, marks}: LinePanel): string {
	const points = lines.flatMap(line => line.points);
	const maximumX = Math.max(1e-3, ...points.map(([x]) => x));
	const maximumY = niceMaximum(Math.max(...points.map(([, y]) => y), 0));
	const dashes = ' stroke-dasharray="5 4"';
	const place = ([x, y]: readonly [number, number]) => `${fixed(size.leftPx + (x / maximumX * plotWidthPx))},${fixed(size.topPx + (plotHeightPx * (1 - (y / maximumY))))}`;
	return [
		textAt(size.leftPx, 16, title, 'font-weight="bold"'),
		...yAxis(maximumY, yLabel),
		...xAxis(maximumX, xLabel),
		...marks.flatMap(({label, x}) => {
			const atPx = size.leftPx + (x / maximumX * plotWidthPx);
			return [
				`<line x1="${fixed(atPx)}" x2="${fixed(atPx)}" y1="${size.topPx}" y2="${size.topPx + plotHeightPx}" stroke="#b00" stroke-dasharray="2 3"/>`,
				textAt(atPx + 3, size.topPx + 10, label, 'fill="#b00"'),
			];
		}),
		...lines.map(({points: of, color, isDashed}) => {
			const placed = of.map(point => place(point)).join(' ');
			return `<polyline fill="none" stroke="${color}" stroke-width="1.5"${isDashed ? dashes : ''} points="${placed}"/>`;
		}),
		...lines.flatMap(({label, color, isDashed}, index) => {
			const y = size.topPx + 8 + (index * 16);
			const x = size.leftPx + plotWidthPx + 8;
			return [
				`<line x1="${x}" x2="${x + 22}" y1="${y}" y2="${y}" stroke="${color}" stroke-width="2"${isDashed ? dashes : ''}/>`,
				textAt(x + 26, y + 4, label),
			];
		}),
	].join('\n');
}

/** Draws one panel of bars, with the least and greatest value as a whisker. */
export function barPanel({title, yLabel, bars}: BarPanel): string {
	const maximum = niceMaximum(Math.max(0, ...bars.map(({greatest}) => greatest)));
	const slotPx = plotWidthPx / Math.max(1, bars.length);
	const yOf = (value: number) => size.topPx + (plotHeightPx * (1 - (value / maximum)));
	return [
		textAt(size.leftPx, 16, title, 'font-weight="bold"'),
		...yAxis(maximum, yLabel),
		...bars.flatMap(({label, value, least, greatest, color}, index) => {
			const middle = size.leftPx + (slotPx * (index + 0.5));
			return [
				`<rect x="${fixed(middle - (slotPx / 4))}" width="${fixed(slotPx / 2)}" y="${fixed(yOf(value))}" height="${fixed(yOf(0) - yOf(value))}" fill="${color}"/>`,
				`<line x1="${fixed(middle)}" x2="${fixed(middle)}" y1="${fixed(yOf(least))}" y2="${fixed(yOf(greatest))}" stroke="#222"/>`,
				textAt(middle, size.topPx + plotHeightPx + 16, label, 'text-anchor="middle"'),
				textAt(middle + 4, yOf(greatest) - 4, fixed(value)),
			];
		}),
	].join('\n');
}

/** Joins panels, one below the other, to a document. */
export function svgDocument(panels: readonly string[]): string {
	const heightPx = panels.length * size.heightPx;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${size.widthPx}" height="${heightPx}" viewBox="0 0 ${size.widthPx} ${heightPx}" font-family="sans-serif" font-size="11">`,
		`<rect width="${size.widthPx}" height="${heightPx}" fill="#fff"/>`,
		...panels.map((panel, index) => `<g transform="translate(0 ${index * size.heightPx})">\n${panel}\n</g>`),
		'</svg>',
		'',
	].join('\n');
}
