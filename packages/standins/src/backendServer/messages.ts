/**
 * Parsers of frontend messages.
 */
import {frameHeaderBytes, readCString, type Frame} from '@crocusloom/wire';
import {serverSqlStates, SqlError} from './sqlError.js';
import {type Value} from './values.js';

export type ParseMessage = {readonly name: string; readonly text: string; readonly parameterTypeIds: readonly number[]};
export type BindMessage = {readonly portal: string; readonly statement: string; readonly values: readonly Value[]};
export type DescribeOrCloseMessage = {readonly kind: 'S' | 'P'; readonly name: string};
export type ExecuteMessage = {readonly portal: string; readonly maximumRows: number};

/** Reads the fields of a message in order. */
class MessageReader {
	private offset = frameHeaderBytes;

	constructor(private readonly bytes: Buffer) {}

	cString(): string {
		const result = readCString(this.bytes, this.offset);
		if (!result) {
			throw new SqlError(serverSqlStates.protocolViolation, 'message ends within a string');
		}

		this.offset = result.nextOffset;
		return result.text;
	}

	character(): string {
		this.offset++;
		return String.fromCodePoint(this.bytes[this.offset - 1]!);
	}

	int16(): number {
		this.offset += 2;
		return this.bytes.readInt16BE(this.offset - 2);
	}

	int32(): number {
		this.offset += 4;
		return this.bytes.readInt32BE(this.offset - 4);
	}

	/** Reads a text value that is preceded by its length; a negative length means null. */
	lengthPrefixedText(): string | null {
		const lengthBytes = this.int32();
		if (lengthBytes < 0) {
			return null;
		}

		this.offset += lengthBytes;
		return this.bytes.toString('utf8', this.offset - lengthBytes, this.offset);
	}
}

/** Reads the text of a Query or the password of a PasswordMessage. */
export function readQueryOrPassword(frame: Frame): string {
	return new MessageReader(frame.bytes).cString();
}

/** Reads a Parse message. */
export function readParse(frame: Frame): ParseMessage {
	const reader = new MessageReader(frame.bytes);
	const name = reader.cString();
	const text = reader.cString();
	return {name, text, parameterTypeIds: Array.from({length: reader.int16()}, () => reader.int32())};
}

/** Reads a Bind message. Values are read as text; their format codes are ignored. */
export function readBind(frame: Frame): BindMessage {
	const reader = new MessageReader(frame.bytes);
	const portal = reader.cString();
	const statement = reader.cString();
	const formatCount = reader.int16();
	for (let index = 0; index < formatCount; index++) {
		reader.int16();
	}

	return {portal, statement, values: Array.from({length: reader.int16()}, () => reader.lengthPrefixedText())};
}

/** Reads a Describe or Close message; `kind` is S for a statement, P for a portal. */
export function readDescribeOrClose(frame: Frame): DescribeOrCloseMessage {
	const reader = new MessageReader(frame.bytes);
	return {kind: reader.character() === 'S' ? 'S' : 'P', name: reader.cString()};
}

/** Reads an Execute message; `maximumRows` is 0 for no limit. */
export function readExecute(frame: Frame): ExecuteMessage {
	const reader = new MessageReader(frame.bytes);
	return {portal: reader.cString(), maximumRows: reader.int32()};
}
