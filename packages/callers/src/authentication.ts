import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import {sqlStates} from '@crocusloom/model';
import {
	backend, buildFrame, frameHeaderBytes, frontend, readCString,
} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';
import {refusal} from './errors.js';
import {ScramExchange, type ScramKeys, deriveScramKeys} from './scram.js';
import {type CallerUsers} from './types.js';

/** Codes of Authentication frames. */
const authenticationCodes = {
	ok: 0, cleartext: 3, md5: 5, sasl: 10, saslContinue: 11, saslFinal: 12,
} as const;
const scramMechanism = 'SCRAM-SHA-256';

export const authenticationOk = authenticationFrame(authenticationCodes.ok);

function authenticationFrame(code: number, body: Buffer = Buffer.alloc(0)): Buffer {
	const head = Buffer.allocUnsafe(4);
	head.writeInt32BE(code);
	return buildFrame(backend.authentication, Buffer.concat([head, body]));
}

/** Checks passwords of callers. Derived keys are kept, because deriving them takes 4096 rounds. */
export class Authenticator {
	private readonly scramKeys = new Map<string, Promise<ScramKeys>>();

	private readonly methods: Readonly<Record<CallerUsers['method'], (channel: CallerChannel, user: string, password: string | undefined) => Promise<boolean>>> = {
		async cleartext(channel, _user, password) {
			await channel.write([authenticationFrame(authenticationCodes.cleartext)]);
			return isSecretEqual(await readPasswordText(channel), password);
		},
		async md5(channel, user, password) {
			const salt = randomBytes(4);
			await channel.write([authenticationFrame(authenticationCodes.md5, salt)]);
			const answer = await readPasswordText(channel);
			return isSecretEqual(answer, password === undefined ? undefined : md5Answer(user, password, salt));
		},
		'scram-sha-256': async (channel, user, password) => this.scram(channel, user, password),
	};

	constructor(private readonly users: CallerUsers | undefined) {}

	/**
	 * Asks the caller for its password and checks it.
	 * @throws FailureError with 28P01 when it is wrong; the same for an unknown user
	 */
	async authenticate(channel: CallerChannel, user: string): Promise<void> {
		if (!this.users) {
			return;
		}

		const password = this.users.passwords.get(user);
		const accepted = await this.methods[this.users.method](channel, user, password);
		if (!accepted) {
			throw refusal('authentication', channel.peer, sqlStates.invalidPassword, `password authentication failed for user "${user}"`);
		}
	}

	private async scram(channel: CallerChannel, user: string, password: string | undefined): Promise<boolean> {
		await channel.write([authenticationFrame(authenticationCodes.sasl, Buffer.from(`${scramMechanism}\0\0`))]);
		const first = readSaslInitial(await readPasswordFrame(channel), channel.peer);
		const exchange = new ScramExchange(first, await this.keysOf(user, password), channel.peer);
		await channel.write([authenticationFrame(authenticationCodes.saslContinue, Buffer.from(exchange.serverFirst))]);
		const final = await readPasswordFrame(channel);
		const proof = exchange.verify(final.toString('utf8'));
		if (proof === undefined || password === undefined) {
			return false;
		}

		await channel.write([authenticationFrame(authenticationCodes.saslFinal, Buffer.from(proof))]);
		return true;
	}

	/** An unknown user gets keys of a random password, so that the exchange looks the same. */
	private async keysOf(user: string, password: string | undefined): Promise<ScramKeys> {
		if (password === undefined) {
			return deriveScramKeys(randomBytes(16).toString('hex'));
		}

		const known = this.scramKeys.get(user) ?? deriveScramKeys(password);
		this.scramKeys.set(user, known);
		return known;
	}
}

async function readPasswordFrame(channel: CallerChannel): Promise<Buffer> {
	const frame = await channel.next();
	if (frame?.type !== frontend.password) {
		throw refusal('authentication', channel.peer, sqlStates.protocolViolation, 'a password message was expected');
	}

	return frame.bytes.subarray(frameHeaderBytes);
}

async function readPasswordText(channel: CallerChannel): Promise<string> {
	const text = readCString(await readPasswordFrame(channel), 0);
	if (!text) {
		throw refusal('authentication', channel.peer, sqlStates.protocolViolation, 'the password message is not terminated');
	}

	return text.text;
}

function readSaslInitial(body: Buffer, peer: string): string {
	const mechanism = readCString(body, 0);
	const isValid = mechanism?.text === scramMechanism
		&& body.length >= mechanism.nextOffset + 4
		&& body.readInt32BE(mechanism.nextOffset) === body.length - mechanism.nextOffset - 4;
	if (!isValid) {
		throw refusal('authentication', peer, sqlStates.protocolViolation, `SASL mechanism ${scramMechanism} with an initial response was expected`);
	}

	return body.toString('utf8', mechanism.nextOffset + 4);
}

function md5(...parts: ReadonlyArray<string | Buffer>): string {
	const hash = createHash('md5');
	for (const part of parts) {
		hash.update(part);
	}

	return hash.digest('hex');
}

function md5Answer(user: string, password: string, salt: Buffer): string {
	return `md5${md5(md5(password, user), salt)}`;
}

/** Compares in a time that does not depend on where the texts differ. */
function isSecretEqual(given: string, expected: string | undefined): boolean {
	const digests = [given, expected ?? ''].map(text => createHash('sha256').update(text).digest());
	return timingSafeEqual(digests[0]!, digests[1]!) && expected !== undefined;
}
