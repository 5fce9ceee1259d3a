/**
 * Encoding and decoding of length-prefixed JSON messages on a TCP stream.
 */

const lengthPrefixBytes = 4;

/** Largest message accepted from a peer. The largest messages sent are configuration snapshots. */
const maximumMessageBytes = 8 * 1024 * 1024;

/** Encodes a message with its length prefix. */
export function encodeMessage(message: unknown): Buffer {
	const body = Buffer.from(JSON.stringify(message), 'utf8');
	const frame = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, lengthPrefixBytes);
	return frame;
}

/**
 * Decodes a byte stream into messages.
 * @param chunks - chunks of the stream, which may end within a message
 * @throws Error if a message exceeds the size limit or is not JSON
 */
export async function * decodeMessages(chunks: AsyncIterable<Buffer>): AsyncGenerator {
	let buffered: Buffer = Buffer.alloc(0);
	for await (const chunk of chunks) {
		buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
		while (buffered.length >= lengthPrefixBytes) {
			const bodyBytes = buffered.readUInt32BE(0);
			if (bodyBytes > maximumMessageBytes) {
				throw new Error(`message of ${bodyBytes} bytes is above the limit of ${maximumMessageBytes} bytes`);
			}

			const endOffset = lengthPrefixBytes + bodyBytes;
			if (buffered.length < endOffset) {
				break;
			}

			yield JSON.parse(buffered.toString('utf8', lengthPrefixBytes, endOffset));
			buffered = buffered.subarray(endOffset);
		}
	}
}
