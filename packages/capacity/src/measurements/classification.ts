import {classify, loadClassifier} from '@crocusloom/wire';
import {type Point, type Series} from '../types.js';

const textCounts = [1000, 2000, 4000] as const;
const warmUpTextCount = 500;
/** Classifying a cached text takes less than a microsecond, so a single round would be too short to measure. */
const cachedRounds = 50;

function createStatementTexts(series: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) =>
		`select b.id, b.interpreter, b.place from bookings b where b.starts_at > '2030-01-15' and b.place = '${series}-${index}' order by b.starts_at limit 20`);
}

/** Classifies all texts. @returns the elapsed milliseconds */
function measureClassificationMs(statementTexts: readonly string[]): number {
	const startedAtMs = performance.now();
	for (const text of statementTexts) {
		classify(text);
	}

	return performance.now() - startedAtMs;
}

/** Measures the time to classify texts that are new and texts that are in the cache. */
export async function measureClassification(): Promise<readonly Series[]> {
	await loadClassifier();
	measureClassificationMs(createStatementTexts('warm-up', warmUpTextCount));
	const newTextPoints: Point[] = [];
	const cachedTextPoints: Point[] = [];
	for (const count of textCounts) {
		const statementTexts = createStatementTexts(`size-${count}`, count);
		newTextPoints.push({x: count, y: measureClassificationMs(statementTexts)});
		const repeatedTexts = Array.from({length: cachedRounds}, () => statementTexts).flat();
		cachedTextPoints.push({x: repeatedTexts.length, y: measureClassificationMs(repeatedTexts)});
	}

	const description = {xName: 'statement texts', yUnit: 'ms'};
	return [
		{
			id: 'classify-new', title: 'time to classify new texts', ...description, points: newTextPoints,
		},
		{
			id: 'classify-known', title: 'time to classify known texts', ...description, points: cachedTextPoints,
		},
	];
}
