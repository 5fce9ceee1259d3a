import {type SecureContext, TLSSocket} from 'node:tls';
import {sqlStates} from '@crocusloom/model';
import {buildFrame, readCString} from '@crocusloom/wire';
import {type CancelKey} from './cancel.js';
import {type CallerChannel} from './channel.js';
import {refusal} from './errors.js';

/** Request codes of packets without type byte. */
const requestCodes = {
	cancel: 80_877_102,
	ssl: 80_877_103,
	gssEncryption: 80_877_104,
} as const;
const protocolMajor = 3;
/** Encryption requests that one connection may make: one for TLS and one for GSS. */
const maximumEncryptionRequests = 2;

/** What a connection turned out to be for. */
export type StartupRequest
	= | {readonly kind: 'session'; readonly channel: CallerChannel; readonly parameters: ReadonlyMap<string, string>}
		| {readonly kind: 'cancel'; readonly key: CancelKey}
		| {readonly kind: 'closed'};

export type StartupContext = {
	readonly secureContext?: SecureContext;
	/** Makes the channel on top of an encrypted socket; the server ends it with the connection. */
	readonly wrap: (socket: TLSSocket) => CallerChannel;
};

/**
 * Reads packets up to StartupMessage or CancelRequest; starts TLS when asked and configured.
 * @throws FailureError `protocol` for anything else
 */
export async function readStartup(initial: CallerChannel, context: StartupContext): Promise<StartupRequest> {
	let channel = initial;
	for (let requests = 0; requests <= maximumEncryptionRequests; requests++) {
		const packet = await channel.readStartupPacket();
		if (!packet) {
			return {kind: 'closed'};
		}

		const code = packet.readInt32BE(0);
		if (code === requestCodes.ssl && context.secureContext && channel === initial) {
			channel = startTls(channel, context);
		} else if (code === requestCodes.ssl || code === requestCodes.gssEncryption) {
			await channel.write([Buffer.from('N')]);
		} else if (code === requestCodes.cancel) {
			return readCancel(packet, channel.peer);
		} else {
			return readSessionStartup(packet, channel);
		}
	}

	throw refusal('startup', channel.peer, sqlStates.protocolViolation, 'too many encryption requests');
}

function startTls(channel: CallerChannel, context: StartupContext): CallerChannel {
	const socket = channel.detach();
	socket.write('S');
	return context.wrap(new TLSSocket(socket, {isServer: true, secureContext: context.secureContext}));
}

function readCancel(packet: Buffer, peer: string): StartupRequest {
	if (packet.length !== 12) {
		throw refusal('startup', peer, sqlStates.protocolViolation, 'cancel request has the wrong length');
	}

	return {kind: 'cancel', key: {processId: packet.readUInt32BE(4), secret: packet.readUInt32BE(8)}};
}

async function readSessionStartup(packet: Buffer, channel: CallerChannel): Promise<StartupRequest> {
	const major = packet.readUInt16BE(0);
	const minor = packet.readUInt16BE(2);
	if (major !== protocolMajor) {
		throw refusal('startup', channel.peer, sqlStates.protocolViolation, `protocol ${major}.${minor} is not supported`);
	}

	const parameters = readParameters(packet, channel.peer);
	const unknownOptions = [...parameters.keys()].filter(name => name.startsWith('_pq_.'));
	if (minor > 0 || unknownOptions.length > 0) {
		await channel.write([negotiateProtocolVersion(unknownOptions)]);
	}

	return {kind: 'session', channel, parameters};
}

function readParameters(packet: Buffer, peer: string): ReadonlyMap<string, string> {
	const parameters = new Map<string, string>();
	let offset = 4;
	while (offset < packet.length && packet[offset] !== 0) {
		const name = readCString(packet, offset);
		const value = name && readCString(packet, name.nextOffset);
		if (!value) {
			throw refusal('startup', peer, sqlStates.protocolViolation, 'startup parameters are not terminated');
		}

		parameters.set(name.text, value.text);
		offset = value.nextOffset;
	}

	if (offset !== packet.length - 1) {
		throw refusal('startup', peer, sqlStates.protocolViolation, 'startup packet has the wrong length');
	}

	return parameters;
}

/** Tells the caller that 3.0 is the newest minor version here. */
function negotiateProtocolVersion(unknownOptions: readonly string[]): Buffer {
	const head = Buffer.alloc(8);
	head.writeInt32BE(unknownOptions.length, 4);
	return buildFrame('v'.codePointAt(0)!, Buffer.concat([head, ...unknownOptions.map(name => Buffer.from(`${name}\0`))]));
}

/**
 * Reads the `options` startup parameter.
 * @param options - `-c name=value` and `--name=value` items; a backslash takes the next character literally
 * @returns names and values in order
 * @throws FailureError `protocol` for any other item
 */
export function parseStartupOptions(options: string, peer: string): ReadonlyArray<readonly [string, string]> {
	const words = (options.match(/(?:\\[\s\S]|[^\s\\])+/gv) ?? []).map(word => word.replaceAll(/\\([\s\S])/gv, '$1'));
	const settings: Array<readonly [string, string]> = [];
	for (let index = 0; index < words.length; index++) {
		let word = words[index]!;
		if (word === '-c') {
			word = words[++index] ?? '';
		} else if (word.startsWith('-c') || word.startsWith('--')) {
			word = word.slice(2);
		} else {
			word = '';
		}

		const equals = word.indexOf('=');
		if (equals < 1) {
			throw refusal('startup', peer, sqlStates.protocolViolation, `startup option "${words[index] ?? '-c'}" is not of the form -c name=value`);
		}

		settings.push([word.slice(0, equals), word.slice(equals + 1)]);
	}

	return settings;
}
