/**
 * PostgreSQL protocol v3 frames: cutting a byte stream at frame boundaries and building the frames that a server sends.
 * Frontend frames are built with `serialize` of pg-protocol.
 */
import {sqlStates, FailureError} from '@crocusloom/model';

/** A whole frame with its type byte and length. */
export type Frame = {
	readonly type: number;
	/** The frame as it was received, header included. */
	readonly bytes: Buffer;
};

/** Type byte and 4-byte length. */
export const frameHeaderBytes = 5;

/** Largest frame that is accepted, so that one peer cannot take all memory. */
export const defaultMaximumFrameBytes = 16 * 1024 * 1024;

/** Type bytes of frontend frames. */
export const frontend = {
	bind: code('B'),
	close: code('C'),
	copyData: code('d'),
	copyDone: code('c'),
	copyFail: code('f'),
	describe: code('D'),
	execute: code('E'),
	flush: code('H'),
	functionCall: code('F'),
	parse: code('P'),
	password: code('p'),
	query: code('Q'),
	sync: code('S'),
	terminate: code('X'),
} as const;

/** Type bytes of backend frames. */
export const backend = {
	authentication: code('R'),
	backendKeyData: code('K'),
	bindComplete: code('2'),
	closeComplete: code('3'),
	commandComplete: code('C'),
	copyInResponse: code('G'),
	copyOutResponse: code('H'),
	dataRow: code('D'),
	emptyQueryResponse: code('I'),
	errorResponse: code('E'),
	noData: code('n'),
	noticeResponse: code('N'),
	parameterDescription: code('t'),
	parameterStatus: code('S'),
	parseComplete: code('1'),
	portalSuspended: code('s'),
	readyForQuery: code('Z'),
	rowDescription: code('T'),
} as const;

function code(letter: string): number {
	return letter.codePointAt(0)!;
}

/** Cuts a byte stream into whole frames and keeps the rest for the next chunk. */
export class FrameReader {
	private readonly chunks: Buffer[] = [];
	private pendingBytes = 0;
	private neededBytes = frameHeaderBytes;

	/**
	 * @param peer - whom to name in a failure
	 * @param maximumFrameBytes - largest frame accepted
	 */
	constructor(private readonly peer: string, private readonly maximumFrameBytes = defaultMaximumFrameBytes) {}

	/** Bytes kept for a frame that is not whole yet. */
	get bufferedBytes(): number {
		return this.pendingBytes;
	}

	/**
	 * Takes a chunk and gives the frames that are whole now.
	 * @param chunk - bytes as they came from the socket
	 * @returns whole frames in order; they share memory with the chunk
	 * @throws FailureError `protocol` when a frame's length is impossible or above the limit
	 */
	push(chunk: Buffer): Frame[] {
		const bytes = this.join(chunk);
		return bytes ? this.cut(bytes) : [];
	}

	/** Joins kept chunks only when they can make a whole frame, so that a large frame is not copied once a chunk. */
	private join(chunk: Buffer): Buffer | undefined {
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

	private cut(bytes: Buffer): Frame[] {
		const frames: Frame[] = [];
		let offset = 0;
		this.neededBytes = frameHeaderBytes;
		while (bytes.length - offset >= frameHeaderBytes) {
			const frameBytes = 1 + this.checkedLength(bytes.readInt32BE(offset + 1));
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

	private checkedLength(lengthBytes: number): number {
		if (lengthBytes < 4) {
			throw new FailureError({
				kind: 'protocol', step: 'forward', peer: this.peer, sqlState: sqlStates.protocolViolation, message: `frame length ${lengthBytes} is impossible`,
			});
		}

		if (lengthBytes > this.maximumFrameBytes) {
			throw new FailureError({
				kind: 'protocol',
				step: 'forward',
				peer: this.peer,
				sqlState: sqlStates.protocolViolation,
				message: `frame of ${lengthBytes} bytes is above the limit of ${this.maximumFrameBytes} bytes`,
			});
		}

		return lengthBytes;
	}
}

/**
 * Builds a frame from its type and body.
 * @param type - type byte
 * @param body - everything after the length
 */
export function buildFrame(type: number, body: Buffer): Buffer {
	const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
	frame[0] = type;
	frame.writeInt32BE(4 + body.length, 1);
	body.copy(frame, frameHeaderBytes);
	return frame;
}

/** Text with the terminating zero byte. */
export function cString(text: string): Buffer {
	return Buffer.from(`${text}\0`, 'utf8');
}

/**
 * Reads a zero-terminated text.
 * @returns the text and the offset behind its zero byte; undefined when there is no zero byte
 */
export function readCString(bytes: Buffer, offset: number): {readonly text: string; readonly nextOffset: number} | undefined {
	const end = bytes.indexOf(0, offset);
	return end === -1 ? undefined : {text: bytes.toString('utf8', offset, end), nextOffset: end + 1};
}

/** Fields of an ErrorResponse or NoticeResponse by their letter. */
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

	return buildFrame(backend.errorResponse, Buffer.concat([...parts.map(part => cString(part)), Buffer.of(0)]));
}

/**
 * Reads one field of an ErrorResponse.
 * @param frame - whole frame
 * @param letter - field code, for example `C` for the SQLSTATE
 */
export function errorField(frame: Buffer, letter: string): string | undefined {
	let offset = frameHeaderBytes;
	while (offset < frame.length && frame[offset] !== 0) {
		const field = readCString(frame, offset + 1);
		if (!field) {
			return undefined;
		}

		if (frame[offset] === code(letter)) {
			return field.text;
		}

		offset = field.nextOffset;
	}

	return undefined;
}

/** Builds ReadyForQuery with the transaction status. */
export function readyForQuery(status: 'I' | 'T' | 'E'): Buffer {
	return buildFrame(backend.readyForQuery, Buffer.from(status));
}

/** Builds ParameterStatus. */
export function parameterStatus(name: string, value: string): Buffer {
	return buildFrame(backend.parameterStatus, Buffer.concat([cString(name), cString(value)]));
}

/** Builds CommandComplete with its tag, for example `INSERT 0 1`. */
export function commandComplete(tag: string): Buffer {
	return buildFrame(backend.commandComplete, cString(tag));
}

/** Object id of the type `text`, which every text-format value can be read as. */
export const textTypeId = 25;

/** A column of a RowDescription. */
export type Column = {
	readonly name: string;
	readonly typeId?: number;
};

/** Builds RowDescription for text-format columns. */
export function rowDescription(columns: readonly Column[]): Buffer {
	const count = Buffer.allocUnsafe(2);
	count.writeInt16BE(columns.length);
	const fields = columns.map(column => {
		const fixed = Buffer.alloc(18);
		fixed.writeInt32BE(column.typeId ?? textTypeId, 6);
		fixed.writeInt16BE(-1, 10);
		fixed.writeInt32BE(-1, 12);
		return Buffer.concat([cString(column.name), fixed]);
	});
	return buildFrame(backend.rowDescription, Buffer.concat([count, ...fields]));
}

/** Builds DataRow with text-format values; null is SQL NULL. */
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

	return buildFrame(backend.dataRow, Buffer.concat(parts));
}

/**
 * Reads the values of a DataRow frame as text.
 * @param frame - whole frame
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
