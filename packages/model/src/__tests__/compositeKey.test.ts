import {expect} from 'chai';
import fc from 'fast-check';
import {compositeKey} from '../compositeKey.js';

const propertyOptions = {seed: 39, numRuns: 20_000} as const;
const parts = fc.array(fc.string({maxLength: 4, unit: fc.constantFrom('0', '1', '2', ':', '/', ' ', 'a', '\0', '\u{D800}', '\u{1F600}')}), {maxLength: 4});

/** Reads the parts back, independently of how they were joined: by the length before each. */
function readParts(key: string): readonly string[] {
	const found: string[] = [];
	for (let rest = key; rest !== '';) {
		const colon = rest.indexOf(':');
		const end = colon + 1 + Number(rest.slice(0, colon));
		found.push(rest.slice(colon + 1, end));
		rest = rest.slice(end);
	}

	return found;
}

describe('composite key', () => {
	it('gives back its parts, whatever they contain (guards against two pairs that share an entry)', () => {
		fc.assert(fc.property(parts, texts => {
			expect(readParts(compositeKey(texts))).to.deep.equal(texts);
		}), propertyOptions);
	});

	const differentParts: ReadonlyArray<ReadonlyArray<readonly string[]>> = [
		[['a/b', 'c'], ['a', 'b/c']],
		[['a b', 'c'], ['a', 'b c']],
		[['a', ''], ['', 'a'], ['a']],
		[['1:a'], ['1', 'a'], ['1:', 'a']],
	];
	for (const lists of differentParts) {
		it(`differs for ${JSON.stringify(lists)} (guards against two pairs that share an entry)`, () => {
			expect(new Set(lists.map(list => compositeKey(list))).size).to.equal(lists.length);
		});
	}
});
