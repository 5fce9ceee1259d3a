/**
 * Frontend messages for startup, authentication, cancellation and termination, and for queries of the holder.
 */
import {createHash} from 'node:crypto';
import {buildFrame, cString, frontendTypes} from '@crocusloom/wire';

/** Protocol version 3.0. */
const protocolVersion = 196_608;
/** Request code of CancelRequest. */
const cancelRequestCode = 80_877_102;

/** Builds a StartupMessage, which has no type byte. */
export function startupMessage(parameters: Readonly<Record<string, string>>): Buffer {
	const pairs = Object.entries(parameters).flatMap(([name, value]) => [cString(name), cString(value)]);
	const body = Buffer.concat([...pairs, Buffer.of(0)]);
	const header = Buffer.allocUnsafe(8);
	header.writeInt32BE(8 + body.length);
	header.writeInt32BE(protocolVersion, 4);
	return Buffer.concat([header, body]);
}

/** Builds a PasswordMessage. */
export function passwordMessage(password: string): Buffer {
	return buildFrame(frontendTypes.password, cString(password));
}

/** Computes the response to an MD5 password request. */
export function md5Password(user: string, password: string, salt: Buffer): string {
	const inner = createHash('md5').update(password + user).digest('hex');
	return `md5${createHash('md5').update(inner).update(salt).digest('hex')}`;
}

/** Builds a CancelRequest from the body of BackendKeyData. */
export function cancelRequest(keyData: Buffer): Buffer {
	const header = Buffer.allocUnsafe(8);
	header.writeInt32BE(8 + keyData.length);
	header.writeInt32BE(cancelRequestCode, 4);
	return Buffer.concat([header, keyData]);
}

/** Builds a Query message. */
export function queryMessage(text: string): Buffer {
	return buildFrame(frontendTypes.query, cString(text));
}

/** Builds a Terminate message. */
export function terminateMessage(): Buffer {
	return buildFrame(frontendTypes.terminate, Buffer.alloc(0));
}
