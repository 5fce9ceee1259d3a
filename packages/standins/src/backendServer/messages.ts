/**
 * Reading of frontend messages.
 */
import {frameHeaderBytes, readCString, type Frame} from '@crocusloom/wire';
import {serverSqlStates, SqlError} from './sqlError.js';
import {type Value} from './values.js';

export type ParseMessage = {readonly name: string; readonly text: string; readonly typeIds: readonly number[]};
export type BindMessage = {readonly portal: string; readonly statement: string; readonly values: readonly Value[]};
export type NamedMessage = {readonly kind: 'S' | 'P'; readonly name: string};
export type ExecuteMessage = {readonly portal: string; readonly maximumRows: number};

class MessageReader {
	private offset = frameHeaderBytes;

	constructor(private readonly bytes: Buffer) {}

	string(): string {
		const result = readCString(this.bytes, this.offset);
		if (!result) {
			throw new SqlError(serverSqlStates.protocolViolation, 'a message ends inside a text');
		}

		this.offset = result.nextOffset;
		return result.text;
	}

	letter(): string {
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

	/** Text of a counted value; a negative count is null. */
	counted(): string | null {
		const lengthBytes = this.int32();
		if (lengthBytes < 0) {
			return null;
		}

		this.offset += lengthBytes;
		return this.bytes.toString('utf8', this.offset - lengthBytes, this.offset);
	}
}

/** Reads the text of a Query or PasswordMessage. */
export function readText(frame: Frame): string {
	return new MessageReader(frame.bytes).string();
}

export function readParse(frame: Frame): ParseMessage {
	const reader = new MessageReader(frame.bytes);
	const name = reader.string();
	const text = reader.string();
	return {name, text, typeIds: Array.from({length: reader.int16()}, () => reader.int32())};
}

/** Reads a Bind; values are taken as text whatever their format code. */
export function readBind(frame: Frame): BindMessage {
	const reader = new MessageReader(frame.bytes);
	const portal = reader.string();
	const statement = reader.string();
	const formats = reader.int16();
	for (let index = 0; index < formats; index++) {
		reader.int16();
	}

	return {portal, statement, values: Array.from({length: reader.int16()}, () => reader.counted())};
}

/** Reads a Describe or Close. */
export function readNamed(frame: Frame): NamedMessage {
	const reader = new MessageReader(frame.bytes);
	return {kind: reader.letter() === 'S' ? 'S' : 'P', name: reader.string()};
}

export function readExecute(frame: Frame): ExecuteMessage {
	const reader = new MessageReader(frame.bytes);
	return {portal: reader.string(), maximumRows: reader.int32()};
}
