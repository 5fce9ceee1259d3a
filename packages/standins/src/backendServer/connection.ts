/**
 * One connection from its first byte on: startup, authentication, and then queries or replication.
 */
import {randomInt} from 'node:crypto';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	backendTypes, buildFrame, errorResponse, FrameReader, parameterStatus, readyForQuery, frontendTypes, type Frame,
} from '@crocusloom/wire';
import {readText} from './messages.js';
import {replicationProtocol, serveReplica} from './replication.js';
import {type ServerParts} from './runner.js';
import {Session} from './session.js';
import {serverSqlStates} from './sqlError.js';
import {takeStartupPacket, type StartupPacket} from './startup.js';

/** What a connection needs of its server. */
export type ConnectionHost = ServerParts & {
	readonly connectionLimit: number;
	readonly connectMs: number;
	readonly password?: string;
	/** Registers a session for cancel requests. */
	register(processId: number, secret: number, session: Session): void;
	unregister(processId: number): void;
	cancel(processId: number, secret: number): void;
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

const authentication = {ok: 0, cleartextPassword: 3} as const;
const maximumSecret = 2 ** 31;

export class Connection {
	private readonly closed = new AbortController();
	private names: readonly string[];

	constructor(private readonly host: ConnectionHost, private readonly socket: Socket) {
		const address = socket.remoteAddress ?? '';
		this.names = [address, `${address}:${socket.remotePort}`];
		socket.setNoDelay(true);
		socket.on('error', () => {
			this.closed.abort();
		});
		socket.on('close', () => {
			this.closed.abort();
		});
	}

	/** Serves the connection until it ends; never rejects. */
	async serve(): Promise<void> {
		const chunks = (this.socket as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
		try {
			await this.start(chunks);
		} catch {
			// Any failure here is a broken or closed connection; what is open is rolled back below.
		} finally {
			this.closed.abort();
			this.socket.destroy();
		}
	}

	private async start(chunks: AsyncIterator<Buffer>): Promise<void> {
		let received: Buffer = Buffer.alloc(0);
		for (;;) {
			const taken = takeStartupPacket(received);
			if (!taken) {
				const chunk = await this.next(chunks);
				if (!chunk) {
					return;
				}

				received = Buffer.concat([received, chunk]);
				continue;
			}

			received = taken.rest;
			if (taken.packet.kind === 'encryption') {
				this.socket.write('N');
				continue;
			}

			await this.dispatch(taken.packet, received, chunks);
			return;
		}
	}

	private async dispatch(packet: Exclude<StartupPacket, {kind: 'encryption'}>, received: Buffer, chunks: AsyncIterator<Buffer>): Promise<void> {
		if (packet.kind === 'cancel') {
			this.host.cancel(packet.processId, packet.secret);
			return;
		}

		const application = packet.parameters.get('application_name');
		this.names = application === undefined ? this.names : [...this.names, application];
		await this.host.faults.untilOpen(this.names, this.closed.signal);
		const frames = this.frames(received, chunks);
		if (packet.parameters.get('replication') === replicationProtocol) {
			const first = await frames.next();
			if (!first.done) {
				const {database, faults} = this.host;
				await serveReplica(first.value, {
					socket: this.socket, database, faults, names: this.names, signal: this.closed.signal,
				});
			}

			return;
		}

		await this.serveCaller(frames);
	}

	private async serveCaller(frames: AsyncIterator<Frame>): Promise<void> {
		const {counters, connectionLimit, connectMs} = this.host;
		if (counters.connections >= connectionLimit) {
			counters.count('connectionsRefused');
			this.refuse(serverSqlStates.tooManyConnections, 'sorry, too many clients already');
			return;
		}

		counters.connectionOpened();
		try {
			await sleep(connectMs, undefined, {signal: this.closed.signal});
			if (await this.authenticate(frames)) {
				await this.serveQueries(frames);
			}
		} finally {
			counters.connectionClosed();
		}
	}

	private async authenticate(frames: AsyncIterator<Frame>): Promise<boolean> {
		const {password} = this.host;
		if (password !== undefined) {
			await this.send(authenticationFrame(authentication.cleartextPassword));
			const answer = await frames.next();
			const isRight = !answer.done && answer.value.type === frontendTypes.password && readText(answer.value) === password;
			if (!isRight) {
				this.refuse(serverSqlStates.invalidPassword, 'password authentication failed');
				return false;
			}
		}

		return true;
	}

	private async serveQueries(frames: AsyncIterator<Frame>): Promise<void> {
		const session = new Session(this.host, async bytes => this.send(bytes));
		const processId = randomInt(1, maximumSecret);
		const secret = randomInt(1, maximumSecret);
		this.host.register(processId, secret, session);
		this.closed.signal.addEventListener('abort', () => {
			session.runner.cancel();
		});
		try {
			await this.send(Buffer.concat([
				authenticationFrame(authentication.ok),
				...Object.entries(parameterStatuses).map(([name, value]) => parameterStatus(name, value)),
				keyData(processId, secret),
				readyForQuery('I'),
			]));
			for (;;) {
				const frame = await frames.next();
				const continues = !frame.done && await session.handle(frame.value);
				if (!continues) {
					return;
				}
			}
		} finally {
			session.runner.close();
			this.host.unregister(processId);
		}
	}

	private async * frames(received: Buffer, chunks: AsyncIterator<Buffer>): AsyncGenerator<Frame, void> {
		const reader = new FrameReader(this.names[1]!);
		let chunk: Buffer | undefined = received;
		while (chunk) {
			if (chunk.length > 0) {
				yield * reader.push(chunk);
			}

			chunk = await this.next(chunks);
		}
	}

	private async next(chunks: AsyncIterator<Buffer>): Promise<Buffer | undefined> {
		const chunk = await chunks.next();
		await this.host.faults.untilOpen(this.names, this.closed.signal);
		return chunk.done ? undefined : chunk.value;
	}

	private async send(bytes: Buffer): Promise<void> {
		await this.host.faults.untilOpen(this.names, this.closed.signal);
		this.socket.write(bytes);
	}

	private refuse(sqlState: string, message: string): void {
		this.socket.end(errorResponse({severity: 'FATAL', sqlState, message}));
	}
}

function authenticationFrame(code: number): Buffer {
	const body = Buffer.alloc(4);
	body.writeInt32BE(code);
	return buildFrame(backendTypes.authentication, body);
}

function keyData(processId: number, secret: number): Buffer {
	const body = Buffer.alloc(8);
	body.writeInt32BE(processId, 0);
	body.writeInt32BE(secret, 4);
	return buildFrame(backendTypes.backendKeyData, body);
}
