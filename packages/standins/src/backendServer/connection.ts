/**
 * Connections of clients and replicas: startup, authentication, then queries or replication.
 */
import {randomInt} from 'node:crypto';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	backendTypes, buildFrame, errorResponse, FrameReader, parameterStatus, readyForQuery, frontendTypes, type Frame,
} from '@crocusloom/wire';
import {readQueryOrPassword} from './messages.js';
import {replicationProtocol, serveReplica} from './replication.js';
import {type ServerComponents} from './statementRunner.js';
import {Session} from './session.js';
import {serverSqlStates} from './sqlError.js';
import {parseStartupPacket, type StartupPacket} from './startup.js';

/** Components, settings and callbacks of the server that a connection uses. */
export type ConnectionContext = ServerComponents & {
	readonly connectionLimit: number;
	/** Delay before a new connection is ready. */
	readonly connectMs: number;
	readonly password?: string;
	/** Registers a session so that cancel requests can find it. */
	registerSession(processId: number, secretKey: number, session: Session): void;
	/** Removes a session that has ended. */
	unregisterSession(processId: number): void;
	/** Cancels the running statement of a session if the secret key is correct. */
	cancelSession(processId: number, secretKey: number): void;
};

// eslint-disable-next-line unicorn/text-encoding-identifier-case -- PostgreSQL's own spelling
const encodingName = 'UTF8';

const parameterStatuses = {
	server_version: '16.0',
	server_encoding: encodingName,
	client_encoding: encodingName,
	DateStyle: 'ISO, MDY',
	TimeZone: 'UTC',
	integer_datetimes: 'on',
	standard_conforming_strings: 'on',
} as const;

const authenticationCodes = {ok: 0, cleartextPassword: 3} as const;
/** Upper bound, exclusive, of the random process ids and secret keys in BackendKeyData. */
const keyDataLimit = 2 ** 31;

/** Serves a connection of a client, of a replica or of a cancel request. */
export class Connection {
	private readonly closeController = new AbortController();
	private peerNames: readonly string[];

	constructor(private readonly context: ConnectionContext, private readonly socket: Socket) {
		const address = socket.remoteAddress ?? '';
		this.peerNames = [address, `${address}:${socket.remotePort}`];
		socket.setNoDelay(true);
		socket.on('error', () => {
			this.closeController.abort();
		});
		socket.on('close', () => {
			this.closeController.abort();
		});
	}

	/** Serves the connection until it closes. Never rejects. */
	async serve(): Promise<void> {
		const chunks = (this.socket as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
		try {
			await this.readStartup(chunks);
		} catch {
			// Any failure here means a broken or closed connection. `serveQueries` has rolled back the open transaction.
		} finally {
			this.closeController.abort();
			this.socket.destroy();
		}
	}

	private async readStartup(chunks: AsyncIterator<Buffer>): Promise<void> {
		let received: Buffer = Buffer.alloc(0);
		for (;;) {
			const parsed = parseStartupPacket(received);
			if (!parsed) {
				const chunk = await this.readChunk(chunks);
				if (!chunk) {
					return;
				}

				received = Buffer.concat([received, chunk]);
				continue;
			}

			received = parsed.rest;
			if (parsed.packet.kind === 'encryption') {
				this.socket.write('N');
				continue;
			}

			await this.handleStartupPacket(parsed.packet, received, chunks);
			return;
		}
	}

	private async handleStartupPacket(packet: Exclude<StartupPacket, {kind: 'encryption'}>, received: Buffer, chunks: AsyncIterator<Buffer>): Promise<void> {
		if (packet.kind === 'cancel') {
			this.context.cancelSession(packet.processId, packet.secretKey);
			return;
		}

		const application = packet.parameters.get('application_name');
		this.peerNames = application === undefined ? this.peerNames : [...this.peerNames, application];
		await this.context.faults.waitUntilUnblocked(this.peerNames, this.closeController.signal);
		const frames = this.readFrames(received, chunks);
		if (packet.parameters.get('replication') === replicationProtocol) {
			const firstFrame = await frames.next();
			if (!firstFrame.done) {
				const {database, faults} = this.context;
				await serveReplica(firstFrame.value, {
					socket: this.socket, database, faults, peerNames: this.peerNames, signal: this.closeController.signal,
				});
			}

			return;
		}

		await this.serveClient(frames);
	}

	private async serveClient(frames: AsyncIterator<Frame>): Promise<void> {
		const {counters, connectionLimit, connectMs} = this.context;
		if (counters.connections >= connectionLimit) {
			counters.increment('connectionsRefused');
			this.sendFatalError(serverSqlStates.tooManyConnections, 'sorry, too many clients already');
			return;
		}

		counters.connectionOpened();
		try {
			await sleep(connectMs, undefined, {signal: this.closeController.signal});
			if (await this.authenticate(frames)) {
				await this.serveQueries(frames);
			}
		} finally {
			counters.connectionClosed();
		}
	}

	private async authenticate(frames: AsyncIterator<Frame>): Promise<boolean> {
		const {password} = this.context;
		if (password !== undefined) {
			await this.send(authenticationFrame(authenticationCodes.cleartextPassword));
			const response = await frames.next();
			const isPasswordCorrect = !response.done && response.value.type === frontendTypes.password && readQueryOrPassword(response.value) === password;
			if (!isPasswordCorrect) {
				this.sendFatalError(serverSqlStates.invalidPassword, 'password authentication failed');
				return false;
			}
		}

		return true;
	}

	private async serveQueries(frames: AsyncIterator<Frame>): Promise<void> {
		const session = new Session(this.context, async bytes => this.send(bytes));
		const processId = randomInt(1, keyDataLimit);
		const secretKey = randomInt(1, keyDataLimit);
		this.context.registerSession(processId, secretKey, session);
		this.closeController.signal.addEventListener('abort', () => {
			session.runner.cancel();
		});
		try {
			await this.send(Buffer.concat([
				authenticationFrame(authenticationCodes.ok),
				...Object.entries(parameterStatuses).map(([name, value]) => parameterStatus(name, value)),
				backendKeyDataFrame(processId, secretKey),
				readyForQuery('I'),
			]));
			for (;;) {
				const frame = await frames.next();
				const isOpen = !frame.done && await session.handleMessage(frame.value);
				if (!isOpen) {
					return;
				}
			}
		} finally {
			session.runner.close();
			this.context.unregisterSession(processId);
		}
	}

	private async * readFrames(received: Buffer, chunks: AsyncIterator<Buffer>): AsyncGenerator<Frame, void> {
		const reader = new FrameReader(this.peerNames[1]!);
		let chunk: Buffer | undefined = received;
		while (chunk) {
			if (chunk.length > 0) {
				yield * reader.push(chunk);
			}

			chunk = await this.readChunk(chunks);
		}
	}

	private async readChunk(chunks: AsyncIterator<Buffer>): Promise<Buffer | undefined> {
		const chunk = await chunks.next();
		await this.context.faults.waitUntilUnblocked(this.peerNames, this.closeController.signal);
		return chunk.done ? undefined : chunk.value;
	}

	private async send(bytes: Buffer): Promise<void> {
		await this.context.faults.waitUntilUnblocked(this.peerNames, this.closeController.signal);
		this.socket.write(bytes);
	}

	private sendFatalError(sqlState: string, message: string): void {
		this.socket.end(errorResponse({severity: 'FATAL', sqlState, message}));
	}
}

function authenticationFrame(code: number): Buffer {
	const body = Buffer.alloc(4);
	body.writeInt32BE(code);
	return buildFrame(backendTypes.authentication, body);
}

function backendKeyDataFrame(processId: number, secretKey: number): Buffer {
	const body = Buffer.alloc(8);
	body.writeInt32BE(processId, 0);
	body.writeInt32BE(secretKey, 4);
	return buildFrame(backendTypes.backendKeyData, body);
}
