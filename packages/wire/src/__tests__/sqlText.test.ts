import {expect} from 'chai';
import fc from 'fast-check';
import {parseSync} from 'libpg-query';
import {type FailureError} from '@crocusloom/model';
import {loadClassifier} from '../classify.js';
import {quoteLiteral} from '../sqlText.js';

const propertyOptions = {seed: 39, numRuns: 3000} as const;
const escapes: Readonly<Record<string, string>> = {
	b: '\b', f: '\f', n: '\n', r: '\r', t: '\t',
};

/**
 * Reads one literal by the rules of the PostgreSQL manual (4.1.2.1 and 4.1.2.2), character by character.
 * @returns its value; undefined if the text is not exactly one literal
 */
function readLiteral(sql: string, isStandardConforming: boolean): string | undefined {
	const hasEscapePrefix = /^e/iv.test(sql);
	const hasEscapes = hasEscapePrefix || !isStandardConforming;
	let index = hasEscapePrefix ? 1 : 0;
	if (sql[index] !== '\'') {
		return undefined;
	}

	let value = '';
	for (index++; index < sql.length; index++) {
		if (sql[index] === '\'' && sql[index + 1] !== '\'') {
			return index === sql.length - 1 ? value : undefined;
		}

		if (sql[index] === '\'' || (sql[index] === '\\' && hasEscapes)) {
			index++;
			// Octal, hexadecimal and Unicode escapes are not written, so a digit, x or u here would be another value.
			value += sql[index - 1] === '\\' ? escapes[sql[index]!] ?? (/[0-7xuU]/v.test(sql[index] ?? '0') ? '\u{FFFD}' : sql[index]) : '\'';
		} else {
			value += sql[index];
		}
	}

	return undefined;
}

const texts = fc.string({unit: fc.constantFrom('\'', '\\', '"', 'E', 'n', 'x', 'u', '0', '$', ';', '-', '\n', ' ', 'ü', '\u{1F600}')});

describe('SQL literals', () => {
	before(async () => loadClassifier());

	for (const isStandardConforming of [true, false]) {
		it(`have the value of their text with standard_conforming_strings ${isStandardConforming ? 'on' : 'off'} (guards against a text that ends its literal)`, () => {
			fc.assert(fc.property(texts, text => {
				expect(readLiteral(quoteLiteral(text), isStandardConforming)).to.equal(text);
			}), propertyOptions);
		});
	}

	it('have the value of their text for the parser of PostgreSQL (guards against a reading of the rules of our own)', () => {
		fc.assert(fc.property(texts, text => {
			const parsed = JSON.stringify(parseSync(`SELECT ${quoteLiteral(text)}`));
			expect(parsed).to.include(`"sval":${JSON.stringify(text)}`);
		}), propertyOptions);
	});

	for (const text of ['a\0b', '\u{D800}', 'a\u{DC00}']) {
		it(`refuse ${JSON.stringify(text)} (guards against a text that arrives as another)`, () => {
			try {
				quoteLiteral(text);
			} catch (error) {
				expect((error as FailureError).failure).to.include({kind: 'protocol', sqlState: '22021'});
				return;
			}

			throw new Error('expected a refusal');
		});
	}
});
