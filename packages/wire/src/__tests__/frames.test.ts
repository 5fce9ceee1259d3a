import {expect} from 'chai';
import {type FailureError} from '@crocusloom/model';
import {
	commandComplete, cString, errorResponse, parameterStatus, readErrorField, rowDescription,
} from '../frames.js';

describe('texts in frames', () => {
	const builders: ReadonlyArray<readonly [string, () => Buffer]> = [
		['a string', () => cString('a\0b')],
		['a string with half of a surrogate pair', () => cString('\u{D800}')],
		['a parameter name', () => parameterStatus('a\0b', 'c')],
		['a parameter value', () => parameterStatus('a', 'b\0c')],
		['a command tag', () => commandComplete('a\0b')],
		['a column name', () => rowDescription([{name: 'a\0b'}])],
	];
	for (const [name, build] of builders) {
		it(`refuse ${name} that would arrive as another (guards against a frame whose fields are shifted)`, () => {
			try {
				build();
			} catch (error) {
				expect((error as FailureError).failure).to.include({kind: 'protocol', sqlState: '22021'});
				return;
			}

			throw new Error('expected a refusal');
		});
	}

	it('replace such characters in the message of an error, which has to arrive (guards against an error response whose fields are shifted)', () => {
		const frame = errorResponse({
			sqlState: 'XX000', message: 'a\0Cb', detail: 'c\u{D800}', hint: 'd\0',
		});
		expect(['C', 'M', 'D', 'H'].map(code => readErrorField(frame, code))).to.deep.equal(['XX000', 'a\u{FFFD}Cb', 'c\u{FFFD}', 'd\u{FFFD}']);
	});
});
