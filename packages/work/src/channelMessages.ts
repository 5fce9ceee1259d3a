/**
 * Messages of the work channel. They have the format of PostgreSQL frames (type byte, 4-byte length), with type bytes that
 * PostgreSQL does not use. PostgreSQL frames can therefore be sent between them without decoding.
 */
import {Packr} from 'msgpackr';
import {
	type ExchangeResult, type Failure, type PreparedStatement, type WorkRequest,
} from '@crocusloom/model';
import {buildFrame, frameHeaderBytes} from '@crocusloom/wire';

/** Type bytes of the messages. */
export const messageTypes = {
	/** Starts an exchange of a new or the current unit of work. The frames of the exchange follow. */
	exchange: 1,
	/** Ends an exchange with its result or failure. */
	trailer: 2,
	cancel: 3,
	release: 4,
} as const;

/** Header of an exchange. */
export type ExchangeHeader = {
	/** Present in the first exchange of a unit of work. */
	readonly request?: WorkRequest;
	readonly mayCommit: boolean;
	readonly preparedStatements: readonly PreparedStatement[];
	/** Total size of the frames that follow. */
	readonly framesBytes: number;
};

export type Trailer
	= | {readonly result: ExchangeResult}
		| {readonly failure: Failure};

/** Maximum size of the frames of one exchange, so that a peer cannot exhaust memory. */
export const maximumExchangeBytes = 64 * 1024 * 1024;

const packr = new Packr({useRecords: false});

/** Builds a message with a msgpack body. */
export function packMessage(type: number, body: ExchangeHeader | Trailer): Buffer {
	return buildFrame(type, packr.pack(body));
}

/**
 * Decodes the body of a message.
 * @param frame - whole message
 * @throws Error if the body is not valid msgpack or not an object
 */
export function unpackMessage<T extends ExchangeHeader | Trailer>(frame: Buffer): T {
	const body: unknown = packr.unpack(frame.subarray(frameHeaderBytes));
	if (typeof body !== 'object' || body === null) {
		throw new TypeError('the body of a work channel message is not an object');
	}

	return body as T;
}

/** Validates an exchange header from a peer. */
export function isExchangeHeader({request, mayCommit, preparedStatements, framesBytes}: ExchangeHeader): boolean {
	return typeof mayCommit === 'boolean'
		&& Array.isArray(preparedStatements)
		&& preparedStatements.every(({name, parseFrame}) => typeof name === 'string' && Buffer.isBuffer(parseFrame))
		&& framesBytes > 0
		&& framesBytes <= maximumExchangeBytes
		&& (request === undefined || isWorkRequest(request));
}

function isWorkRequest({group, database, rank, callerKey, mode, waitLimitMs}: WorkRequest): boolean {
	const hasNames = [group, database, rank, callerKey].every(name => typeof name === 'string');
	return hasNames && (mode === 'read' || mode === 'write') && waitLimitMs >= 0;
}

/** Validates a trailer from a peer. */
export function isTrailer(trailer: Trailer): boolean {
	return 'failure' in trailer
		? typeof trailer.failure?.kind === 'string'
		: ['I', 'T', 'E'].includes(trailer.result?.transactionStatus);
}

export const cancelMessage = buildFrame(messageTypes.cancel, Buffer.alloc(0));
export const releaseMessage = buildFrame(messageTypes.release, Buffer.alloc(0));
