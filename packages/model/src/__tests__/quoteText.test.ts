import {expect} from 'chai';
import {quoteText} from '../quoteText.js';

describe('texts that messages quote', () => {
	const cases = [
		{name: 'an empty text', text: '', quoted: ''},
		{name: 'a text of the maximum length', text: 'x'.repeat(80), quoted: 'x'.repeat(80)},
		{name: 'a longer text', text: 'x'.repeat(81), quoted: `${'x'.repeat(80)}...`},
		{name: 'a text of 1 MiB', text: 'x'.repeat(1024 * 1024), quoted: `${'x'.repeat(80)}...`},
		{name: 'characters beyond the Basic Multilingual Plane', text: '\u{1F40A}'.repeat(80), quoted: '\u{1F40A}'.repeat(80)},
		{name: 'a longer text of such characters', text: `x${'\u{1F40A}'.repeat(80)}`, quoted: `x${'\u{1F40A}'.repeat(79)}...`},
	];
	for (const {name, text, quoted} of cases) {
		it(`quotes ${name} (guards against messages of a length that a caller chooses)`, () => {
			expect(quoteText(text)).to.equal(quoted);
		});
	}
});
