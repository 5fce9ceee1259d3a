/**
 * Length-prefixed JSON messages on a TCP stream.
 */

const lengthPrefixBytes = 4;

/** Largest message accepted from a peer; a configuration snapshot is the largest one sent. */
const maximumMessageBytes = 8 * 1024 * 1024;

/** Encodes one message. */
export function encodeMessage(message: unknown): Buffer {
	const body = Buffer.from(JSON.stringify(message), 'utf8');
	const frame = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, lengthPrefixBytes);
	return frame;
}

/**
 * Cuts a stream into messages.
 * @param chunks - bytes as they arrive
 * @throws Error when a message is above the limit or is not JSON
 */
export async function * decodeMessages(chunks: AsyncIterable<Buffer>): AsyncGenerator {
	let pending: Buffer = Buffer.alloc(0);
	for await (const chunk of chunks) {
		pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
		while (pending.length >= lengthPrefixBytes) {
			const bodyBytes = pending.readUInt32BE(0);
			if (bodyBytes > maximumMessageBytes) {
				throw new Error(`message of ${bodyBytes} bytes is above the limit of ${maximumMessageBytes} bytes`);
			}

			const endOffset = lengthPrefixBytes + bodyBytes;
			if (pending.length < endOffset) {
				break;
			}

			yield JSON.parse(pending.toString('utf8', lengthPrefixBytes, endOffset));
			pending = pending.subarray(endOffset);
		}
	}
}
