import {
	createHash, createHmac, pbkdf2, randomBytes, timingSafeEqual,
} from 'node:crypto';
import {promisify} from 'node:util';
import {sqlStates} from '@crocusloom/model';
import {refusal} from './errors.js';

/** Rounds of PBKDF2 that PostgreSQL uses. */
const iterations = 4096;
const keyBytes = 32;
const derive = promisify(pbkdf2);

/** What a server keeps of a password (RFC 5802). */
export type ScramKeys = {
	readonly salt: Buffer;
	readonly storedKey: Buffer;
	readonly serverKey: Buffer;
};

/** Derives the keys of a password with a fresh salt. */
export async function deriveScramKeys(password: string): Promise<ScramKeys> {
	const salt = randomBytes(16);
	const salted = await derive(password.normalize('NFKC'), salt, iterations, keyBytes, 'sha256');
	const clientKey = hmac(salted, 'Client Key');
	return {salt, storedKey: createHash('sha256').update(clientKey).digest(), serverKey: hmac(salted, 'Server Key')};
}

const clientFirstPattern = /^(?<header>[ny],(?:a=[^,]*)?,)(?<bare>(?:n=[^,]*),r=(?<nonce>[\u0021-\u002B\u002D-\u007E]+)(?:,.*)?)$/v;
const clientFinalPattern = /^(?<withoutProof>c=(?<binding>[^,]+),r=(?<nonce>[^,]+)(?:,.*)?),p=(?<proof>[^,]+)$/v;

/** The server's side of one SCRAM-SHA-256 exchange, without channel binding. */
export class ScramExchange {
	readonly serverFirst: string;
	private readonly nonce: string;
	private readonly header: string;
	private readonly clientFirstBare: string;

	/**
	 * @param clientFirst - the caller's first message
	 * @throws FailureError `protocol` when the message is malformed or asks for channel binding
	 */
	constructor(clientFirst: string, private readonly keys: ScramKeys, private readonly peer: string) {
		const groups = clientFirstPattern.exec(clientFirst)?.groups;
		if (!groups) {
			throw this.malformed();
		}

		this.header = groups.header!;
		this.clientFirstBare = groups.bare!;
		this.nonce = groups.nonce! + randomBytes(18).toString('base64');
		this.serverFirst = `r=${this.nonce},s=${keys.salt.toString('base64')},i=${iterations}`;
	}

	/**
	 * Checks the caller's proof.
	 * @returns the server's final message, or undefined when the password is wrong
	 * @throws FailureError `protocol` when the message is malformed
	 */
	verify(clientFinal: string): string | undefined {
		const groups = clientFinalPattern.exec(clientFinal)?.groups;
		if (groups?.nonce !== this.nonce || groups.binding !== Buffer.from(this.header).toString('base64')) {
			throw this.malformed();
		}

		const message = `${this.clientFirstBare},${this.serverFirst},${groups.withoutProof}`;
		const signature = hmac(this.keys.storedKey, message);
		const proof = Buffer.from(groups.proof!, 'base64');
		if (proof.length !== signature.length) {
			throw this.malformed();
		}

		// eslint-disable-next-line no-bitwise -- RFC 5802 defines the proof as an exclusive or.
		const clientKey = proof.map((byte, index) => byte ^ signature[index]!);
		const storedKey = createHash('sha256').update(clientKey).digest();
		return timingSafeEqual(storedKey, this.keys.storedKey) ? `v=${hmac(this.keys.serverKey, message).toString('base64')}` : undefined;
	}

	private malformed(): Error {
		return refusal('authentication', this.peer, sqlStates.protocolViolation, 'malformed SCRAM message');
	}
}

function hmac(key: Buffer, message: string): Buffer {
	return createHmac('sha256', key).update(message).digest();
}
