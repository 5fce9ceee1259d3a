import {
	createHash, createHmac, pbkdf2, randomBytes, timingSafeEqual,
} from 'node:crypto';
import {promisify} from 'node:util';
import {sqlStates} from '@crocusloom/model';
import {protocolError} from './errors.js';

/** PBKDF2 iteration count that PostgreSQL uses by default. */
const iterationCount = 4096;
const keyBytes = 32;
const derivePbkdf2 = promisify(pbkdf2);

/** Values that a server stores in place of a password (RFC 5802). */
export type ScramKeys = {
	readonly salt: Buffer;
	readonly storedKey: Buffer;
	readonly serverKey: Buffer;
};

/** Derives the SCRAM keys of a password, with a new random salt. */
export async function deriveScramKeys(password: string): Promise<ScramKeys> {
	const salt = randomBytes(16);
	const saltedPassword = await derivePbkdf2(password.normalize('NFKC'), salt, iterationCount, keyBytes, 'sha256');
	const clientKey = hmac(saltedPassword, 'Client Key');
	return {salt, storedKey: createHash('sha256').update(clientKey).digest(), serverKey: hmac(saltedPassword, 'Server Key')};
}

const clientFirstPattern = /^(?<header>[ny],(?:a=[^,]*)?,)(?<bare>(?:n=[^,]*),r=(?<nonce>[\u0021-\u002B\u002D-\u007E]+)(?:,.*)?)$/v;
const clientFinalPattern = /^(?<withoutProof>c=(?<binding>[^,]+),r=(?<nonce>[^,]+)(?:,.*)?),p=(?<proof>[^,]+)$/v;

/** Server side of one SCRAM-SHA-256 authentication, without channel binding. */
export class ScramExchange {
	readonly serverFirst: string;
	private readonly nonce: string;
	private readonly gs2Header: string;
	private readonly clientFirstBare: string;

	/**
	 * @param clientFirst - the client-first-message
	 * @throws FailureError `protocol` if the message is malformed or requires channel binding
	 */
	constructor(clientFirst: string, private readonly keys: ScramKeys, private readonly peer: string) {
		const groups = clientFirstPattern.exec(clientFirst)?.groups;
		if (!groups) {
			throw this.malformedMessageError();
		}

		this.gs2Header = groups.header!;
		this.clientFirstBare = groups.bare!;
		this.nonce = groups.nonce! + randomBytes(18).toString('base64');
		this.serverFirst = `r=${this.nonce},s=${keys.salt.toString('base64')},i=${iterationCount}`;
	}

	/**
	 * Verifies the client proof.
	 * @returns the server-final-message, or undefined if the password is wrong
	 * @throws FailureError `protocol` if the message is malformed
	 */
	verify(clientFinal: string): string | undefined {
		const groups = clientFinalPattern.exec(clientFinal)?.groups;
		if (groups?.nonce !== this.nonce || groups.binding !== Buffer.from(this.gs2Header).toString('base64')) {
			throw this.malformedMessageError();
		}

		const authMessage = `${this.clientFirstBare},${this.serverFirst},${groups.withoutProof}`;
		const clientSignature = hmac(this.keys.storedKey, authMessage);
		const clientProof = Buffer.from(groups.proof!, 'base64');
		if (clientProof.length !== clientSignature.length) {
			throw this.malformedMessageError();
		}

		// eslint-disable-next-line no-bitwise -- RFC 5802 defines the proof as an exclusive or.
		const clientKey = clientProof.map((byte, index) => byte ^ clientSignature[index]!);
		const storedKey = createHash('sha256').update(clientKey).digest();
		return timingSafeEqual(storedKey, this.keys.storedKey) ? `v=${hmac(this.keys.serverKey, authMessage).toString('base64')}` : undefined;
	}

	private malformedMessageError(): Error {
		return protocolError('authentication', this.peer, sqlStates.protocolViolation, 'malformed SCRAM message');
	}
}

function hmac(key: Buffer, message: string): Buffer {
	return createHmac('sha256', key).update(message).digest();
}
