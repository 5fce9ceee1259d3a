/**
 * Frames (messages) of the PostgreSQL protocol, version 3: splits a byte stream into frames and builds the frames that a server
 * sends. Frontend frames are built with `serialize` of pg-protocol.
 */
import {isUtf8} from 'node:buffer';
import {sqlStates, FailureError} from '@crocusloom/model';
import {invalidTextError, requireSendableText} from './sqlText.js';

/** A complete frame. */
export type Frame = {
	readonly type: number;
	/** The frame as received, including the type byte and the length. */
	readonly bytes: Buffer;
};

/** Size of the frame header: the type byte and the 4-byte length. */
export const frameHeaderBytes = 5;

/** Default limit on the length of a frame. It bounds the memory that one peer can make this process buffer. */
export const defaultMaximumFrameBytes = 16 * 1024 * 1024;

/** Type bytes of frontend frames. */
export const frontendTypes = {
	bind: asciiCode('B'),
	close: asciiCode('C'),
	copyData: asciiCode('d'),
	copyDone: asciiCode('c'),
	copyFail: asciiCode('f'),
	describe: asciiCode('D'),
	execute: asciiCode('E'),
	flush: asciiCode('H'),
	functionCall: asciiCode('F'),
	parse: asciiCode('P'),
	password: asciiCode('p'),
	query: asciiCode('Q'),
	sync: asciiCode('S'),
	terminate: asciiCode('X'),
} as const;

/** Type bytes of backend frames. */
export const backendTypes = {
	authentication: asciiCode('R'),
	backendKeyData: asciiCode('K'),
	bindComplete: asciiCode('2'),
	closeComplete: asciiCode('3'),
	commandComplete: asciiCode('C'),
	copyInResponse: asciiCode('G'),
	copyOutResponse: asciiCode('H'),
	dataRow: asciiCode('D'),
	emptyQueryResponse: asciiCode('I'),
	errorResponse: asciiCode('E'),
	noData: asciiCode('n'),
	noticeResponse: asciiCode('N'),
	parameterDescription: asciiCode('t'),
	parameterStatus: asciiCode('S'),
	parseComplete: asciiCode('1'),
	portalSuspended: asciiCode('s'),
	readyForQuery: asciiCode('Z'),
	rowDescription: asciiCode('T'),
} as const;

function asciiCode(character: string): number {
	return character.codePointAt(0)!;
}

/** Splits a byte stream into complete frames and buffers an incomplete frame until its remaining chunks arrive. */
export class FrameReader {
	private readonly chunks: Buffer[] = [];
	private pendingBytes = 0;
	private neededBytes = frameHeaderBytes;

	/**
	 * @param peer - name of the peer that sends the stream, for failures
	 * @param maximumFrameBytes - limit on the length of a frame
	 */
	constructor(private readonly peer: string, private readonly maximumFrameBytes = defaultMaximumFrameBytes) {}

	/** Number of buffered bytes of an incomplete frame. */
	get bufferedBytes(): number {
		return this.pendingBytes;
	}

	/**
	 * Adds a chunk and returns the frames that it completes.
	 * @param chunk - bytes received from the socket
	 * @returns complete frames in order; they may share memory with the chunk
	 * @throws FailureError `protocol` if the length of a frame is invalid or exceeds the limit
	 */
	push(chunk: Buffer): Frame[] {
		const bytes = this.joinChunks(chunk);
		return bytes ? this.extractFrames(bytes) : [];
	}

	/** Concatenates the buffered chunks only once they may hold a complete frame, so that a large frame is not copied for each chunk. */
	private joinChunks(chunk: Buffer): Buffer | undefined {
		if (this.pendingBytes === 0) {
			return chunk;
		}

		this.chunks.push(chunk);
		this.pendingBytes += chunk.length;
		if (this.pendingBytes < this.neededBytes) {
			return undefined;
		}

		const joined = Buffer.concat(this.chunks, this.pendingBytes);
		this.chunks.length = 0;
		this.pendingBytes = 0;
		return joined;
	}

	/** Splits off the complete frames and buffers the remaining bytes. */
	private extractFrames(bytes: Buffer): Frame[] {
		const frames: Frame[] = [];
		let offset = 0;
		this.neededBytes = frameHeaderBytes;
		while (bytes.length - offset >= frameHeaderBytes) {
			const frameBytes = 1 + this.validateLength(bytes.readInt32BE(offset + 1));
			if (bytes.length - offset < frameBytes) {
				this.neededBytes = frameBytes;
				break;
			}

			frames.push({type: bytes[offset]!, bytes: bytes.subarray(offset, offset + frameBytes)});
			offset += frameBytes;
		}

		if (offset < bytes.length) {
			this.chunks.push(bytes.subarray(offset));
			this.pendingBytes = bytes.length - offset;
		}

		return frames;
	}

	/** Returns the length field of a frame if it is valid. The length includes its own four bytes. */
	private validateLength(lengthBytes: number): number {
		if (lengthBytes < 4) {
			throw new FailureError({
				kind: 'protocol', step: 'forward', peer: this.peer, sqlState: sqlStates.protocolViolation, message: `invalid frame length ${lengthBytes}`,
			});
		}

		if (lengthBytes > this.maximumFrameBytes) {
			throw new FailureError({
				kind: 'protocol',
				step: 'forward',
				peer: this.peer,
				sqlState: sqlStates.protocolViolation,
				message: `frame of ${lengthBytes} bytes exceeds the limit of ${this.maximumFrameBytes} bytes`,
			});
		}

		return lengthBytes;
	}
}

/**
 * Builds a frame.
 * @param type - type byte
 * @param body - content after the header
 */
export function buildFrame(type: number, body: Buffer): Buffer {
	const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
	frame[0] = type;
	frame.writeInt32BE(4 + body.length, 1);
	body.copy(frame, frameHeaderBytes);
	return frame;
}

/**
 * Encodes a text as a zero-terminated UTF-8 string.
 * @throws FailureError `protocol` with 22021 for a text that would arrive as another, as `requireSendableText` does
 */
export function cString(text: string): Buffer {
	return Buffer.from(`${requireSendableText(text)}\0`, 'utf8');
}

/** Encodes a text for a human reader. A character that a string cannot carry is replaced, because an error has to arrive. */
function readableCString(text: string): Buffer {
	return cString(text.replaceAll(/[\0\p{Surrogate}]/gv, '\u{FFFD}'));
}

/**
 * Reads a zero-terminated string.
 * @returns the text and the offset after its zero byte; undefined if there is no zero byte
 */
export function readCString(bytes: Buffer, offset: number): {readonly text: string; readonly nextOffset: number} | undefined {
	const end = bytes.indexOf(0, offset);
	return end === -1 ? undefined : {text: bytes.toString('utf8', offset, end), nextOffset: end + 1};
}

/**
 * Reads a zero-terminated string from a caller. Decoding replaces invalid bytes, so without the check two different texts could become the same one.
 * @returns the text and the offset after its zero byte; undefined if there is no zero byte
 * @throws FailureError `protocol` with 22021 if the string is not valid UTF-8
 */
export function readUtf8CString(bytes: Buffer, offset: number): ReturnType<typeof readCString> {
	const result = readCString(bytes, offset);
	if (result && !isUtf8(bytes.subarray(offset, result.nextOffset - 1))) {
		throw invalidTextError('invalid byte sequence for encoding "UTF8"');
	}

	return result;
}

/** Fields of an ErrorResponse. */
export type ErrorFields = {
	readonly severity?: 'ERROR' | 'FATAL' | 'WARNING' | 'NOTICE';
	readonly sqlState: string;
	readonly message: string;
	readonly detail?: string;
	readonly hint?: string;
	readonly constraint?: string;
};

/** Builds an ErrorResponse. */
export function errorResponse(fields: ErrorFields): Buffer {
	const severity = fields.severity ?? 'ERROR';
	const parts = [`S${severity}`, `V${severity}`, `C${fields.sqlState}`, `M${fields.message}`];
	if (fields.detail) {
		parts.push(`D${fields.detail}`);
	}

	if (fields.hint) {
		parts.push(`H${fields.hint}`);
	}

	if (fields.constraint) {
		parts.push(`n${fields.constraint}`);
	}

	return buildFrame(backendTypes.errorResponse, Buffer.concat([...parts.map(part => readableCString(part)), Buffer.of(0)]));
}

/**
 * Reads one field of an ErrorResponse.
 * @param frame - complete frame
 * @param fieldCode - code of the field, for example `C` for the SQLSTATE
 * @returns the value of the field; undefined if the frame lacks it
 */
export function readErrorField(frame: Buffer, fieldCode: string): string | undefined {
	let offset = frameHeaderBytes;
	while (offset < frame.length && frame[offset] !== 0) {
		const field = readCString(frame, offset + 1);
		if (!field) {
			return undefined;
		}

		if (frame[offset] === asciiCode(fieldCode)) {
			return field.text;
		}

		offset = field.nextOffset;
	}

	return undefined;
}

/** Builds ReadyForQuery with a transaction status: `I` idle, `T` in a transaction, `E` in a failed transaction. */
export function readyForQuery(status: 'I' | 'T' | 'E'): Buffer {
	return buildFrame(backendTypes.readyForQuery, Buffer.from(status));
}

/** Builds ParameterStatus. */
export function parameterStatus(name: string, value: string): Buffer {
	return buildFrame(backendTypes.parameterStatus, Buffer.concat([cString(name), cString(value)]));
}

/** Builds CommandComplete with a command tag, for example `INSERT 0 1`. */
export function commandComplete(tag: string): Buffer {
	return buildFrame(backendTypes.commandComplete, cString(tag));
}

/** Object ID of the type `text`, as which a client can read any value in text format. */
export const textTypeId = 25;

/** A column of a RowDescription. */
export type Column = {
	readonly name: string;
	/** Object ID of the type; `textTypeId` by default. */
	readonly typeId?: number;
};

/** Builds RowDescription for columns in text format. */
export function rowDescription(columns: readonly Column[]): Buffer {
	const count = Buffer.allocUnsafe(2);
	count.writeInt16BE(columns.length);
	const fields = columns.map(column => {
		const fixedFields = Buffer.alloc(18);
		fixedFields.writeInt32BE(column.typeId ?? textTypeId, 6);
		fixedFields.writeInt16BE(-1, 10);
		fixedFields.writeInt32BE(-1, 12);
		return Buffer.concat([cString(column.name), fixedFields]);
	});
	return buildFrame(backendTypes.rowDescription, Buffer.concat([count, ...fields]));
}

/** Builds DataRow with values in text format; null stands for SQL NULL. */
export function dataRow(values: ReadonlyArray<string | null>): Buffer {
	const count = Buffer.allocUnsafe(2);
	count.writeInt16BE(values.length);
	const parts: Buffer[] = [count];
	for (const value of values) {
		const length = Buffer.allocUnsafe(4);
		const text = value === null ? Buffer.alloc(0) : Buffer.from(value, 'utf8');
		length.writeInt32BE(value === null ? -1 : text.length);
		parts.push(length, text);
	}

	return buildFrame(backendTypes.dataRow, Buffer.concat(parts));
}

/**
 * Reads the values of a DataRow as text.
 * @param frame - complete frame
 */
export function readDataRow(frame: Buffer): Array<string | null> {
	const count = frame.readInt16BE(frameHeaderBytes);
	const values: Array<string | null> = [];
	let offset = frameHeaderBytes + 2;
	for (let index = 0; index < count; index++) {
		const lengthBytes = frame.readInt32BE(offset);
		offset += 4;
		if (lengthBytes < 0) {
			values.push(null);
			continue;
		}

		values.push(frame.toString('utf8', offset, offset + lengthBytes));
		offset += lengthBytes;
	}

	return values;
}
