/**
 * A caller that keeps its session over connections to several proxies.
 */
import {type EventEmitter} from 'node:events';
import {connect} from 'node:net';
import pg from 'pg';
import {type CallerEndpoint} from '@crocusloom/standins';
import {type AttemptOutcome} from './types.js';

export type CallerOptions = {
	readonly database: string;
	readonly application: string;
	/** Whether the session hands its token to the next proxy. */
	readonly usesToken: boolean;
};

/** The stated bound of a failover: a request that takes longer counts as unanswered. */
export const failoverBoundMs = 13_000;

/** Number in place of a protocol version that makes a startup packet a cancel request. */
const cancelRequestCode = 80_877_102;

/** Thrown when a request was not answered within the bound of a failover. */
export class UnansweredError extends Error {
	override readonly name = 'UnansweredError';
}

/** Rows and command tag of an answer. */
export type Answer = {readonly rows: ReadonlyArray<Readonly<Record<string, unknown>>>; readonly command: string};

type ErrorFields = {readonly code?: string; readonly detail?: string};

/**
 * Tells by its SQLSTATE and detail what an error says about the statement.
 * @returns `unknown` also for a broken connection, because the statement may have been sent
 */
export function outcomeOfError(error: unknown): AttemptOutcome {
	const {code, detail} = error as ErrorFields;
	if ((code === '57P03' || code === '53000') && detail?.includes('outcome=not_run')) {
		return 'notRun';
	}

	const isServerError = code !== undefined && /^[\dA-Z]{5}$/v.test(code) && !/^(?:08|57P|XX|E)/v.test(code);
	return isServerError ? 'failed' : 'unknown';
}

/** One session; at most one statement runs at a time. */
export class CallerSession {
	/** Latest token that a proxy reported. */
	token = '';
	private client?: pg.Client;

	constructor(private readonly options: CallerOptions) {}

	get isConnected(): boolean {
		return this.client !== undefined;
	}

	/** Connects to a proxy, in place of the present connection. @throws Error if the proxy refuses or does not answer */
	async connect({host, port}: CallerEndpoint): Promise<void> {
		this.close();
		const {database, application, usesToken} = this.options;
		const client = new pg.Client({
			host, port, database, user: 'demo', password: 'demo', application_name: application, connectionTimeoutMillis: failoverBoundMs,
			...(usesToken && {options: `-c crocusloom.session=${this.token}`}),
		});
		client.on('error', () => {
			this.forget(client);
		});
		client.on('end', () => {
			this.forget(client);
		});
		// The types of pg leave out the connection, which emits the parameter statuses.
		const {connection} = client as unknown as {readonly connection: EventEmitter};
		connection.on('parameterStatus', (status: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (status.parameterName === 'crocusloom.session') {
				this.token = status.parameterValue;
			}
		});
		await client.connect();
		this.client = client;
	}

	/**
	 * Runs one text and gives its answer.
	 * @throws UnansweredError if there is no answer within the bound of a failover; the connection is closed
	 */
	async query(text: string): Promise<Answer> {
		const {client} = this;
		if (!client) {
			throw new Error('not connected');
		}

		let timer: NodeJS.Timeout | undefined;
		const limit = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(new UnansweredError(text));
				this.close();
			}, failoverBoundMs);
		});
		const answer = client.query<Readonly<Record<string, unknown>>>(text);
		// After the limit the closed connection rejects this as well.
		answer.catch(() => undefined);
		try {
			return await Promise.race([answer, limit]);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Closes the connection at once, as a caller that dies. */
	close(): void {
		const {client} = this;
		this.client = undefined;
		if (client) {
			const {connection} = client as unknown as {readonly connection: {readonly stream: {destroy(): void}}};
			connection.stream.destroy();
		}
	}

	/** Resolves with the SQLSTATE of the error that ends the idle connection; undefined if it ends without one. */
	async closed(): Promise<string | undefined> {
		const {client} = this;
		return new Promise(resolve => {
			client?.once('error', (error: ErrorFields) => {
				resolve(error.code);
			});
			client?.once('end', () => {
				resolve(undefined);
			});
		});
	}

	/** Sends the cancel request of this session's running statement to a proxy. */
	cancelThrough({host, port}: CallerEndpoint): void {
		const {processID: processId, secretKey} = this.client as unknown as {readonly processID: number; readonly secretKey: number};
		const packet = Buffer.alloc(16);
		packet.writeInt32BE(packet.length, 0);
		packet.writeInt32BE(cancelRequestCode, 4);
		packet.writeInt32BE(Math.trunc(processId), 8);
		packet.writeInt32BE(Math.trunc(secretKey), 12);
		const socket = connect({host, port});
		socket.on('error', () => undefined);
		socket.end(packet);
	}

	private forget(client: pg.Client): void {
		if (this.client === client) {
			this.client = undefined;
		}
	}
}
