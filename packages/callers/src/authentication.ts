import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import {sqlStates} from '@crocusloom/model';
import {
	backendTypes, buildFrame, frameHeaderBytes, frontendTypes, readUtf8CString,
} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';
import {protocolError} from './errors.js';
import {deriveScramKeys, ScramExchange, type ScramKeys} from './scram.js';
import {type CallerUsers} from './types.js';

/** Request codes of the Authentication message. */
const authenticationCodes = {
	ok: 0, cleartext: 3, md5: 5, sasl: 10, saslContinue: 11, saslFinal: 12,
} as const;
const scramMechanism = 'SCRAM-SHA-256';

export const authenticationOk = authenticationFrame(authenticationCodes.ok);

function authenticationFrame(code: number, body: Buffer = Buffer.alloc(0)): Buffer {
	const codeField = Buffer.allocUnsafe(4);
	codeField.writeInt32BE(code);
	return buildFrame(backendTypes.authentication, Buffer.concat([codeField, body]));
}

/** Verifies the passwords of callers. SCRAM keys are cached per user, because deriving them takes 4096 PBKDF2 iterations. */
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
			const response = await readPasswordText(channel);
			return isSecretEqual(response, password === undefined ? undefined : md5Response(user, password, salt));
		},
		'scram-sha-256': async (channel, user, password) => this.authenticateScram(channel, user, password),
	};

	constructor(private readonly users: CallerUsers | undefined) {}

	/**
	 * Requests the caller's password and verifies it.
	 * @throws FailureError with 28P01 if the password is wrong or the user is unknown, so that callers cannot probe for user names
	 */
	async authenticate(channel: CallerChannel, user: string): Promise<void> {
		if (!this.users) {
			return;
		}

		const password = this.users.passwords.get(user);
		const isAccepted = await this.methods[this.users.method](channel, user, password);
		if (!isAccepted) {
			throw protocolError('authentication', channel.peer, sqlStates.invalidPassword, `password authentication failed for user "${user}"`);
		}
	}

	private async authenticateScram(channel: CallerChannel, user: string, password: string | undefined): Promise<boolean> {
		await channel.write([authenticationFrame(authenticationCodes.sasl, Buffer.from(`${scramMechanism}\0\0`))]);
		const clientFirst = readSaslInitialResponse(await readPasswordBody(channel), channel.peer);
		const exchange = new ScramExchange(clientFirst, await this.scramKeysOf(user, password), channel.peer);
		await channel.write([authenticationFrame(authenticationCodes.saslContinue, Buffer.from(exchange.serverFirst))]);
		const clientFinal = await readPasswordBody(channel);
		const serverFinal = exchange.verify(clientFinal.toString('utf8'));
		if (serverFinal === undefined || password === undefined) {
			return false;
		}

		await channel.write([authenticationFrame(authenticationCodes.saslFinal, Buffer.from(serverFinal))]);
		return true;
	}

	/** Returns the SCRAM keys of a user. An unknown user gets keys of a random password, so that the messages do not reveal which users exist. */
	private async scramKeysOf(user: string, password: string | undefined): Promise<ScramKeys> {
		if (password === undefined) {
			return deriveScramKeys(randomBytes(16).toString('hex'));
		}

		const keys = this.scramKeys.get(user) ?? deriveScramKeys(password);
		this.scramKeys.set(user, keys);
		return keys;
	}
}

async function readPasswordBody(channel: CallerChannel): Promise<Buffer> {
	const frame = await channel.readFrame();
	if (frame?.type !== frontendTypes.password) {
		throw protocolError('authentication', channel.peer, sqlStates.protocolViolation, 'expected a password message');
	}

	return frame.bytes.subarray(frameHeaderBytes);
}

async function readPasswordText(channel: CallerChannel): Promise<string> {
	const text = readUtf8CString(await readPasswordBody(channel), 0);
	if (!text) {
		throw protocolError('authentication', channel.peer, sqlStates.protocolViolation, 'the password message has no terminating zero byte');
	}

	return text.text;
}

function readSaslInitialResponse(body: Buffer, peer: string): string {
	const mechanism = readUtf8CString(body, 0);
	const isValid = mechanism?.text === scramMechanism
		&& body.length >= mechanism.nextOffset + 4
		&& body.readInt32BE(mechanism.nextOffset) === body.length - mechanism.nextOffset - 4;
	if (!isValid) {
		throw protocolError('authentication', peer, sqlStates.protocolViolation, `expected SASL mechanism ${scramMechanism} with an initial response`);
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

function md5Response(user: string, password: string, salt: Buffer): string {
	return `md5${md5(md5(password, user), salt)}`;
}

/** Compares two secrets in constant time. Hashing them first gives both the same length, which `timingSafeEqual` requires. */
function isSecretEqual(received: string, expected: string | undefined): boolean {
	const digests = [received, expected ?? ''].map(text => createHash('sha256').update(text).digest());
	return timingSafeEqual(digests[0]!, digests[1]!) && expected !== undefined;
}
