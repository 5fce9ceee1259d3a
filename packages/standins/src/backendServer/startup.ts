/**
 * The untyped packets at the start of a connection.
 */
import {cString} from '@crocusloom/wire';

export type StartupPacket
	= | {readonly kind: 'encryption'}
		| {readonly kind: 'cancel'; readonly processId: number; readonly secret: number}
		| {readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string>};

const codes = {
	cancel: 80_877_102, ssl: 80_877_103, gssEncryption: 80_877_104, version3: 196_608,
} as const;

/** Largest startup packet that is accepted. */
const maximumPacketBytes = 10_000;

/**
 * Cuts a startup packet off the front of the received bytes.
 * @returns undefined while the packet is not whole
 * @throws Error if the length is impossible or the protocol version unknown
 */
export function takeStartupPacket(bytes: Buffer): {readonly packet: StartupPacket; readonly rest: Buffer} | undefined {
	if (bytes.length < 4) {
		return undefined;
	}

	const lengthBytes = bytes.readInt32BE(0);
	if (lengthBytes < 8 || lengthBytes > maximumPacketBytes) {
		throw new Error(`startup packet of ${lengthBytes} bytes`);
	}

	return bytes.length < lengthBytes ? undefined : {packet: readPacket(bytes.subarray(0, lengthBytes)), rest: bytes.subarray(lengthBytes)};
}

function readPacket(bytes: Buffer): StartupPacket {
	const code = bytes.readInt32BE(4);
	if (code === codes.ssl || code === codes.gssEncryption) {
		return {kind: 'encryption'};
	}

	if (code === codes.cancel && bytes.length >= 16) {
		return {kind: 'cancel', processId: bytes.readInt32BE(8), secret: bytes.readInt32BE(12)};
	}

	if (Math.floor(code / 65_536) !== 3) {
		throw new Error(`unknown protocol version ${code}`);
	}

	const texts = bytes.toString('utf8', 8).split('\0');
	const parameters = new Map<string, string>();
	for (let index = 0; index + 1 < texts.length && texts[index] !== ''; index += 2) {
		parameters.set(texts[index]!, texts[index + 1]!);
	}

	return {kind: 'startup', parameters};
}

/** Builds a startup packet of protocol version 3.0. */
export function startupPacket(parameters: Readonly<Record<string, string>>): Buffer {
	const texts = Object.entries(parameters).flatMap(([name, value]) => [cString(name), cString(value)]);
	const body = Buffer.concat([...texts, Buffer.of(0)]);
	const header = Buffer.alloc(8);
	header.writeInt32BE(8 + body.length, 0);
	header.writeInt32BE(codes.version3, 4);
	return Buffer.concat([header, body]);
}
