import {expect} from 'chai';
import fc from 'fast-check';
import {backendStatementName} from '@crocusloom/model';
import {
	buildFrame, cString, frontendTypes, loadClassifier,
} from '@crocusloom/wire';
import {readParseMessage} from '../preparedStatements.js';

const propertyOptions = {seed: 39, numRuns: 500} as const;
type Definition = {readonly name: string; readonly text: string; readonly typeIds: readonly number[]};

function definitionBody({text, typeIds}: Definition): Buffer {
	const types = Buffer.alloc(2 + (4 * typeIds.length));
	types.writeInt16BE(typeIds.length);
	for (const [index, typeId] of typeIds.entries()) {
		types.writeInt32BE(typeId, 2 + (4 * index));
	}

	return Buffer.concat([cString(text), types]);
}

function backendNameOf(definition: Definition): string {
	const frame = buildFrame(frontendTypes.parse, Buffer.concat([cString(definition.name), definitionBody(definition)]));
	return readParseMessage(frame, 'caller').statement.preparedStatement!.name;
}

const definitions: fc.Arbitrary<Definition> = fc.record({
	name: fc.string({minLength: 1, unit: 'grapheme'}).filter(name => !name.includes('\0')),
	text: fc.string({unit: fc.constantFrom('a', ' ', '$', '1', 'é')}),
	typeIds: fc.array(fc.constantFrom(0, 23, 25), {maxLength: 3}),
});

describe('names of prepared statements on backend connections', () => {
	before(async () => loadClassifier());

	it('are the same exactly for the same text and parameter types, whatever the caller\'s name (guards against two statements under one name)', () => {
		fc.assert(fc.property(definitions, definitions, (first, second) => {
			const isSame = definitionBody(first).equals(definitionBody(second));
			expect(backendNameOf(first) === backendNameOf(second)).to.equal(isSame);
			expect(backendNameOf({...first, name: second.name})).to.equal(backendNameOf(first));
		}), propertyOptions);
	});

	it('follow the rule that both protocols share (guards against a second rule for names)', () => {
		fc.assert(fc.property(definitions, definition => {
			expect(backendNameOf(definition)).to.equal(`crocusloom_${backendStatementName([definitionBody(definition)])}`);
		}), propertyOptions);
	});
});
