import {type SecureContext, TLSSocket} from 'node:tls';
import {sqlStates} from '@crocusloom/model';
import {buildFrame, cString, readUtf8CString} from '@crocusloom/wire';
import {type CancelKey} from './cancel.js';
import {type CallerChannel} from './channel.js';
import {protocolError} from './errors.js';

/** Request codes of startup packets, which have no type byte. */
const requestCodes = {
	cancel: 80_877_102,
	ssl: 80_877_103,
	gssEncryption: 80_877_104,
} as const;
const protocolMajor = 3;
/** Maximum number of encryption requests on one connection: one for TLS and one for GSSAPI. */
const maximumEncryptionRequests = 2;

/** Purpose of a connection, as its startup packet states it. */
export type StartupRequest
	= | {readonly kind: 'session'; readonly channel: CallerChannel; readonly parameters: ReadonlyMap<string, string>}
		| {readonly kind: 'cancel'; readonly key: CancelKey}
		| {readonly kind: 'closed'};

export type StartupContext = {
	/** Certificate and key; undefined if TLS is not configured. */
	readonly secureContext?: SecureContext;
	/** Creates the channel on top of a TLS socket. The server closes it together with the connection. */
	readonly createTlsChannel: (socket: TLSSocket) => CallerChannel;
};

/**
 * Reads startup packets up to StartupMessage or CancelRequest. Switches to TLS if the caller requests it and it is configured.
 * @throws FailureError `protocol` for any other packet
 */
export async function readStartup(plainChannel: CallerChannel, context: StartupContext): Promise<StartupRequest> {
	let channel = plainChannel;
	for (let encryptionRequests = 0; encryptionRequests <= maximumEncryptionRequests; encryptionRequests++) {
		const packet = await channel.readStartupPacket();
		if (!packet) {
			return {kind: 'closed'};
		}

		const code = packet.readInt32BE(0);
		if (code === requestCodes.ssl && context.secureContext && channel === plainChannel) {
			channel = startTls(channel, context);
		} else if (code === requestCodes.ssl || code === requestCodes.gssEncryption) {
			await channel.write([Buffer.from('N')]);
		} else if (code === requestCodes.cancel) {
			return readCancelRequest(packet, channel.peer);
		} else {
			return readSessionStartup(packet, channel);
		}
	}

	throw protocolError('startup', channel.peer, sqlStates.protocolViolation, 'too many encryption requests');
}

function startTls(channel: CallerChannel, context: StartupContext): CallerChannel {
	const socket = channel.detachSocket();
	socket.write('S');
	return context.createTlsChannel(new TLSSocket(socket, {isServer: true, secureContext: context.secureContext}));
}

function readCancelRequest(packet: Buffer, peer: string): StartupRequest {
	if (packet.length !== 12) {
		throw protocolError('startup', peer, sqlStates.protocolViolation, 'invalid length of the cancel request');
	}

	return {kind: 'cancel', key: {processId: packet.readUInt32BE(4), secret: packet.readUInt32BE(8)}};
}

async function readSessionStartup(packet: Buffer, channel: CallerChannel): Promise<StartupRequest> {
	const major = packet.readUInt16BE(0);
	const minor = packet.readUInt16BE(2);
	if (major !== protocolMajor) {
		throw protocolError('startup', channel.peer, sqlStates.protocolViolation, `protocol ${major}.${minor} is not supported`);
	}

	const parameters = readParameters(packet, channel.peer);
	const unknownOptions = [...parameters.keys()].filter(name => name.startsWith('_pq_.'));
	if (minor > 0 || unknownOptions.length > 0) {
		await channel.write([buildNegotiateProtocolVersion(unknownOptions)]);
	}

	return {kind: 'session', channel, parameters};
}

function readParameters(packet: Buffer, peer: string): ReadonlyMap<string, string> {
	const parameters = new Map<string, string>();
	let offset = 4;
	while (offset < packet.length && packet[offset] !== 0) {
		const name = readUtf8CString(packet, offset);
		const value = name && readUtf8CString(packet, name.nextOffset);
		if (!value) {
			throw protocolError('startup', peer, sqlStates.protocolViolation, 'startup parameter without a terminating zero byte');
		}

		parameters.set(name.text, value.text);
		offset = value.nextOffset;
	}

	if (offset !== packet.length - 1) {
		throw protocolError('startup', peer, sqlStates.protocolViolation, 'invalid length of the startup packet');
	}

	return parameters;
}

/** Builds NegotiateProtocolVersion, which tells the caller that 3.0 is the newest supported version and which options are unknown. */
function buildNegotiateProtocolVersion(unknownOptions: readonly string[]): Buffer {
	const counts = Buffer.alloc(8);
	counts.writeInt32BE(unknownOptions.length, 4);
	return buildFrame('v'.codePointAt(0)!, Buffer.concat([counts, ...unknownOptions.map(name => cString(name))]));
}

/**
 * Parses the `options` startup parameter.
 * @param options - arguments of the form `-c name=value` or `--name=value`; a backslash escapes the next character
 * @returns names and values in the order given
 * @throws FailureError `protocol` for any other argument
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

		const equalsIndex = word.indexOf('=');
		if (equalsIndex < 1) {
			throw protocolError('startup', peer, sqlStates.protocolViolation, `startup option "${words[index] ?? '-c'}" is not of the form -c name=value`);
		}

		settings.push([word.slice(0, equalsIndex), word.slice(equalsIndex + 1)]);
	}

	return settings;
}
