/**
 * The packets at the start of a connection, which have no message type.
 */
import {cString} from '@crocusloom/wire';

/** A request for encryption (TLS or GSSAPI), a cancel request or a StartupMessage. */
export type StartupPacket
	= | {readonly kind: 'encryption'}
		| {readonly kind: 'cancel'; readonly processId: number; readonly secretKey: number}
		| {readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string>};

const requestCodes = {
	cancel: 80_877_102, ssl: 80_877_103, gssEncryption: 80_877_104, version3: 196_608,
} as const;

/** Size limit of a startup packet. */
const maximumPacketBytes = 10_000;

/**
 * Parses the startup packet at the start of the received bytes.
 * @returns the packet and the bytes after it; undefined while the packet is incomplete
 * @throws Error if the length is invalid or the protocol version unsupported
 */
export function parseStartupPacket(bytes: Buffer): {readonly packet: StartupPacket; readonly rest: Buffer} | undefined {
	if (bytes.length < 4) {
		return undefined;
	}

	const lengthBytes = bytes.readInt32BE(0);
	if (lengthBytes < 8 || lengthBytes > maximumPacketBytes) {
		throw new Error(`invalid startup packet length: ${lengthBytes} bytes`);
	}

	return bytes.length < lengthBytes ? undefined : {packet: readPacket(bytes.subarray(0, lengthBytes)), rest: bytes.subarray(lengthBytes)};
}

function readPacket(bytes: Buffer): StartupPacket {
	const code = bytes.readInt32BE(4);
	if (code === requestCodes.ssl || code === requestCodes.gssEncryption) {
		return {kind: 'encryption'};
	}

	if (code === requestCodes.cancel && bytes.length >= 16) {
		return {kind: 'cancel', processId: bytes.readInt32BE(8), secretKey: bytes.readInt32BE(12)};
	}

	if (Math.floor(code / 65_536) !== 3) {
		throw new Error(`unsupported protocol version ${code}`);
	}

	const texts = bytes.toString('utf8', 8).split('\0');
	const parameters = new Map<string, string>();
	for (let index = 0; index + 1 < texts.length && texts[index] !== ''; index += 2) {
		parameters.set(texts[index]!, texts[index + 1]!);
	}

	return {kind: 'startup', parameters};
}

/** Builds a StartupMessage of protocol version 3.0. */
export function buildStartupPacket(parameters: Readonly<Record<string, string>>): Buffer {
	const texts = Object.entries(parameters).flatMap(([name, value]) => [cString(name), cString(value)]);
	const body = Buffer.concat([...texts, Buffer.of(0)]);
	const header = Buffer.alloc(8);
	header.writeInt32BE(8 + body.length, 0);
	header.writeInt32BE(requestCodes.version3, 4);
	return Buffer.concat([header, body]);
}
