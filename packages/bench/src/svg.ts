/**
 * Renders line and bar plots as SVG.
 */

export type Line = {readonly label: string; readonly points: ReadonlyArray<readonly [number, number]>; readonly color: string; readonly isDashed: boolean};
/** Labelled vertical line at a point of the x-axis, for example at a fault. */
export type EventMarker = {readonly label: string; readonly x: number};
export type LinePanel = {readonly title: string; readonly xLabel: string; readonly yLabel: string; readonly lines: readonly Line[]; readonly markers: readonly EventMarker[]};
/** A bar with a whisker from `minimum` to `maximum`. */
export type Bar = {readonly label: string; readonly value: number; readonly minimum: number; readonly maximum: number; readonly color: string};
export type BarPanel = {readonly title: string; readonly yLabel: string; readonly bars: readonly Bar[]};

const panelSize = {
	widthPx: 720, heightPx: 300, leftPx: 60, rightPx: 190, topPx: 36, bottomPx: 44,
} as const;
const plotWidthPx = panelSize.widthPx - panelSize.leftPx - panelSize.rightPx;
const plotHeightPx = panelSize.heightPx - panelSize.topPx - panelSize.bottomPx;
const tickIntervalCount = 5;
export const colors: readonly string[] = ['#7b3fa0', '#d98e04', '#2a7f62'];

/** Escapes text for XML. */
export function escapeXml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

/** Rounds a value up to 1, 2, 5 or 10 times a power of ten, for use as the end of an axis. */
export function niceMaximum(value: number): number {
	const magnitude = 10 ** Math.floor(Math.log10(Math.max(value, 1e-3)));
	return ([1, 2, 5, 10].find(step => step * magnitude >= value) ?? 10) * magnitude;
}

function format(value: number): string {
	return String(Math.round(value * 100) / 100);
}

function textElement(x: number, y: number, text: string, attributes = ''): string {
	return `<text x="${format(x)}" y="${format(y)}" ${attributes}>${escapeXml(text)}</text>`;
}

function yAxis(maximum: number, label: string): readonly string[] {
	const ticks = Array.from({length: tickIntervalCount + 1}, (_, index) => index / tickIntervalCount);
	return [
		...ticks.flatMap(fraction => {
			const y = panelSize.topPx + (plotHeightPx * (1 - fraction));
			return [
				`<line x1="${panelSize.leftPx}" x2="${panelSize.leftPx + plotWidthPx}" y1="${format(y)}" y2="${format(y)}" stroke="#ddd"/>`,
				textElement(panelSize.leftPx - 6, y + 4, format(fraction * maximum), 'text-anchor="end"'),
			];
		}),
		textElement(panelSize.leftPx, panelSize.topPx - 8, label),
	];
}

function xAxis(maximum: number, label: string): readonly string[] {
	return [
		...Array.from({length: tickIntervalCount + 1}, (_, index) =>
			textElement(panelSize.leftPx + (plotWidthPx * index / tickIntervalCount), panelSize.topPx + plotHeightPx + 16, format(maximum * index / tickIntervalCount), 'text-anchor="middle"')),
		textElement(panelSize.leftPx + (plotWidthPx / 2), panelSize.topPx + plotHeightPx + 34, label, 'text-anchor="middle"'),
	];
}

/** Renders a line plot. */
export function renderLinePanel({title, xLabel, yLabel, lines, markers}: LinePanel): string {
	const points = lines.flatMap(line => line.points);
	const maximumX = Math.max(1e-3, ...points.map(([x]) => x));
	const maximumY = niceMaximum(Math.max(...points.map(([, y]) => y), 0));
	const dashes = ' stroke-dasharray="5 4"';
	const toCoordinates = ([x, y]: readonly [number, number]) => `${format(panelSize.leftPx + (x / maximumX * plotWidthPx))},${format(panelSize.topPx + (plotHeightPx * (1 - (y / maximumY))))}`;
	return [
		textElement(panelSize.leftPx, 16, title, 'font-weight="bold"'),
		...yAxis(maximumY, yLabel),
		...xAxis(maximumX, xLabel),
		...markers.flatMap(({label, x}) => {
			const markerPx = panelSize.leftPx + (x / maximumX * plotWidthPx);
			return [
				`<line x1="${format(markerPx)}" x2="${format(markerPx)}" y1="${panelSize.topPx}" y2="${panelSize.topPx + plotHeightPx}" stroke="#b00" stroke-dasharray="2 3"/>`,
				textElement(markerPx + 3, panelSize.topPx + 10, label, 'fill="#b00"'),
			];
		}),
		...lines.map(({points: linePoints, color, isDashed}) => {
			const coordinates = linePoints.map(point => toCoordinates(point)).join(' ');
			return `<polyline fill="none" stroke="${color}" stroke-width="1.5"${isDashed ? dashes : ''} points="${coordinates}"/>`;
		}),
		...lines.flatMap(({label, color, isDashed}, index) => {
			const y = panelSize.topPx + 8 + (index * 16);
			const x = panelSize.leftPx + plotWidthPx + 8;
			return [
				`<line x1="${x}" x2="${x + 22}" y1="${y}" y2="${y}" stroke="${color}" stroke-width="2"${isDashed ? dashes : ''}/>`,
				textElement(x + 26, y + 4, label),
			];
		}),
	].join('\n');
}

/** Renders a bar plot with a whisker from the minimum to the maximum of each bar. */
export function renderBarPanel({title, yLabel, bars}: BarPanel): string {
	const axisMaximum = niceMaximum(Math.max(0, ...bars.map(({maximum}) => maximum)));
	const columnWidthPx = plotWidthPx / Math.max(1, bars.length);
	const toY = (value: number) => panelSize.topPx + (plotHeightPx * (1 - (value / axisMaximum)));
	return [
		textElement(panelSize.leftPx, 16, title, 'font-weight="bold"'),
		...yAxis(axisMaximum, yLabel),
		...bars.flatMap(({label, value, minimum, maximum, color}, index) => {
			const centerPx = panelSize.leftPx + (columnWidthPx * (index + 0.5));
			return [
				`<rect x="${format(centerPx - (columnWidthPx / 4))}" width="${format(columnWidthPx / 2)}" y="${format(toY(value))}" height="${format(toY(0) - toY(value))}" fill="${color}"/>`,
				`<line x1="${format(centerPx)}" x2="${format(centerPx)}" y1="${format(toY(minimum))}" y2="${format(toY(maximum))}" stroke="#222"/>`,
				textElement(centerPx, panelSize.topPx + plotHeightPx + 16, label, 'text-anchor="middle"'),
				textElement(centerPx + 4, toY(maximum) - 4, format(value)),
			];
		}),
	].join('\n');
}

/** Combines panels into one SVG document, stacked vertically. */
export function renderSvgDocument(panels: readonly string[]): string {
	const heightPx = panels.length * panelSize.heightPx;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${panelSize.widthPx}" height="${heightPx}" viewBox="0 0 ${panelSize.widthPx} ${heightPx}" font-family="sans-serif" font-size="11">`,
		`<rect width="${panelSize.widthPx}" height="${heightPx}" fill="#fff"/>`,
		...panels.map((panel, index) => `<g transform="translate(0 ${index * panelSize.heightPx})">\n${panel}\n</g>`),
		'</svg>',
		'',
	].join('\n');
}
