import {classify, loadClassifier} from '@crocusloom/wire';
import {type Point, type Series} from '../types.js';

const textCounts = [1000, 2000, 4000] as const;
const warmUpTexts = 500;
/** A known text takes less than a microsecond, so that one round of them is too short to measure. */
const knownRounds = 50;

function texts(series: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) =>
		`select b.id, b.interpreter, b.place from bookings b where b.starts_at > '2030-01-15' and b.place = '${series}-${index}' order by b.starts_at limit 20`);
}

/** Classifies all texts. @returns milliseconds */
function classifyAll(all: readonly string[]): number {
	const startedAtMs = performance.now();
	for (const text of all) {
		classify(text);
	}

	return performance.now() - startedAtMs;
}

/** Time to classify texts that are new and texts that are in the cache. */
export async function measureClassification(): Promise<readonly Series[]> {
	await loadClassifier();
	classifyAll(texts('warm-up', warmUpTexts));
	const fresh: Point[] = [];
	const known: Point[] = [];
	for (const count of textCounts) {
		const all = texts(`size-${count}`, count);
		fresh.push({x: count, y: classifyAll(all)});
		const repeated = Array.from({length: knownRounds}, () => all).flat();
		known.push({x: repeated.length, y: classifyAll(repeated)});
	}

	const head = {xName: 'statement texts', yUnit: 'ms'};
	return [
		{
			id: 'classify-new', title: 'time to classify new texts', ...head, points: fresh,
		},
		{
			id: 'classify-known', title: 'time to classify known texts', ...head, points: known,
		},
	];
}
