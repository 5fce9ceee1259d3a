/**
 * Messages of the work channel. Each has the shape of a PostgreSQL frame (type byte, 4-byte length), with type bytes
 * that PostgreSQL does not use, so that its frames pass between them undecoded.
 */
import {Packr} from 'msgpackr';
import {
	type ExchangeResult, type Failure, type PreparedStatement, type WorkRequest,
} from '@crocusloom/model';
import {buildFrame, frameHeaderBytes} from '@crocusloom/wire';

/** Type bytes of the channel's own messages. */
export const channelTypes = {
	/** Opens a unit of work or continues it; the frames of the exchange follow. */
	exchange: 1,
	/** Ends an exchange with its result or failure. */
	trailer: 2,
	cancel: 3,
	release: 4,
} as const;

/** Header of an exchange. */
export type ExchangeHeader = {
	/** Present on the first exchange of a unit of work. */
	readonly request?: WorkRequest;
	readonly mayCommit: boolean;
	readonly preparedStatements: readonly PreparedStatement[];
	/** Size of the frames that follow. */
	readonly framesBytes: number;
};

export type Trailer
	= | {readonly result: ExchangeResult}
		| {readonly failure: Failure};

/** Frames of one exchange that the channel accepts, so that one peer cannot take all memory. */
export const maximumExchangeBytes = 64 * 1024 * 1024;

const packr = new Packr({useRecords: false});

/** Builds a message with a msgpack body. */
export function packMessage(type: number, body: ExchangeHeader | Trailer): Buffer {
	return buildFrame(type, packr.pack(body));
}

/**
 * Reads the body of a message.
 * @param frame - whole message
 * @throws Error when the body is not msgpack or not an object
 */
export function unpackMessage<T extends ExchangeHeader | Trailer>(frame: Buffer): T {
	const body: unknown = packr.unpack(frame.subarray(frameHeaderBytes));
	if (typeof body !== 'object' || body === null) {
		throw new TypeError('the body of a work channel message is not an object');
	}

	return body as T;
}

/** Checks the shape of a header from a peer. */
export function isExchangeHeader({request, mayCommit, preparedStatements, framesBytes}: ExchangeHeader): boolean {
	return typeof mayCommit === 'boolean'
		&& Array.isArray(preparedStatements)
		&& preparedStatements.every(({name, parseFrame}) => typeof name === 'string' && Buffer.isBuffer(parseFrame))
		&& framesBytes > 0
		&& framesBytes <= maximumExchangeBytes
		&& (request === undefined || isWorkRequest(request));
}

function isWorkRequest({group, database, rank, callerKey, mode, waitLimitMs}: WorkRequest): boolean {
	const isNamed = [group, database, rank, callerKey].every(name => typeof name === 'string');
	return isNamed && (mode === 'read' || mode === 'write') && waitLimitMs >= 0;
}

/** Checks the shape of a trailer from a peer. */
export function isTrailer(trailer: Trailer): boolean {
	return 'failure' in trailer
		? typeof trailer.failure?.kind === 'string'
		: ['I', 'T', 'E'].includes(trailer.result?.transactionStatus);
}

export const cancelMessage = buildFrame(channelTypes.cancel, Buffer.alloc(0));
export const releaseMessage = buildFrame(channelTypes.release, Buffer.alloc(0));
