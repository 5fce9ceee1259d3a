import {
	assert as assertProperty, array, property, string,
} from 'fast-check';
import {expect} from 'chai';
import {backendStatementName} from '../statementDigest.js';

const seed = 20_261_206;

describe('name of a prepared statement on backend connections', () => {
	it(`is one word of fixed length for any definition, seed ${seed} (guards against texts of callers in names)`, () => {
		assertProperty(property(array(string({unit: 'binary'})), definition => {
			expect(backendStatementName(definition)).to.match(/^[\da-f]{32}$/v);
		}), {seed});
	});

	const differentDefinitions: ReadonlyArray<{readonly name: string; readonly definitions: ReadonlyArray<readonly string[]>}> = [
		{name: 'the boundary of the parts', definitions: [['ab', 'c'], ['a', 'bc'], ['abc'], ['', 'abc'], ['abc', '']]},
		{name: 'blanks', definitions: [['read', 'a b'], ['read', 'a  b'], ['read', ' a b'], ['read', 'a b ']]},
		{name: 'the mode', definitions: [['read', 'a'], ['write', 'a']]},
		{name: 'the length in a part', definitions: [['1:a'], ['1:', 'a'], ['a']]},
	];
	for (const {name, definitions} of differentDefinitions) {
		it(`differs for definitions that differ in ${name} (guards against two statements under one name)`, () => {
			expect(new Set(definitions.map(definition => backendStatementName(definition))).size).to.equal(definitions.length);
		});
	}

	it('is the same for a text and its UTF-8 bytes (guards against one statement under two names)', () => {
		expect(backendStatementName(['ü'])).to.equal(backendStatementName([Buffer.from('ü')]));
	});
});
