/**
 * A test client that keeps its session while it connects to different proxies.
 */
import {type EventEmitter} from 'node:events';
import {connect} from 'node:net';
import pg from 'pg';
import {type CallerEndpoint} from '@crocusloom/standins';
import {type AttemptOutcome} from './types.js';

export type CallerSessionOptions = {
	readonly database: string;
	readonly application: string;
	/** Whether a new connection sends the latest session token to the proxy in the startup options. */
	readonly sendsSessionToken: boolean;
};

/** Upper limit of a failover according to the design. A request that takes longer counts as unanswered. */
export const maxFailoverMs = 13_000;

/** Request code of a PostgreSQL CancelRequest, sent in place of the protocol version. */
const cancelRequestCode = 80_877_102;

/** Thrown when a request is not answered within {@link maxFailoverMs}. */
export class UnansweredError extends Error {
	override readonly name = 'UnansweredError';
}

/** Rows and command tag of a completed query. */
export type QueryResult = {readonly rows: ReadonlyArray<Readonly<Record<string, unknown>>>; readonly command: string};

type ErrorFields = {readonly code?: string; readonly detail?: string};

/**
 * Derives the outcome of a statement from the SQLSTATE and the detail of its error.
 * @returns `unknown` also for a broken connection, because the statement may have been sent
 */
export function attemptOutcomeOf(error: unknown): AttemptOutcome {
	const {code, detail} = error as ErrorFields;
	if ((code === '57P03' || code === '53000') && detail?.includes('outcome=not_run')) {
		return 'notRun';
	}

	const isServerError = code !== undefined && /^[\dA-Z]{5}$/v.test(code) && !/^(?:08|57P|XX|E)/v.test(code);
	return isServerError ? 'failed' : 'unknown';
}

/** One session of a caller. It runs at most one statement at a time. */
export class CallerSession {
	/** Latest session token that a proxy reported. */
	sessionToken = '';
	private client?: pg.Client;

	constructor(private readonly options: CallerSessionOptions) {}

	get isConnected(): boolean {
		return this.client !== undefined;
	}

	/** Connects to a proxy and closes the previous connection. @throws Error if the proxy refuses or does not answer */
	async connect({host, port}: CallerEndpoint): Promise<void> {
		this.close();
		const {database, application, sendsSessionToken} = this.options;
		const client = new pg.Client({
			host, port, database, user: 'demo', password: 'demo', application_name: application, connectionTimeoutMillis: maxFailoverMs,
			...(sendsSessionToken && {options: `-c crocusloom.session=${this.sessionToken}`}),
		});
		client.on('error', () => {
			this.clearClient(client);
		});
		client.on('end', () => {
			this.clearClient(client);
		});
		// The types of pg omit the connection, which emits the ParameterStatus messages.
		const {connection} = client as unknown as {readonly connection: EventEmitter};
		connection.on('parameterStatus', (status: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (status.parameterName === 'crocusloom.session') {
				this.sessionToken = status.parameterValue;
			}
		});
		await client.connect();
		this.client = client;
	}

	/**
	 * Runs one SQL text.
	 * @throws UnansweredError if there is no answer within {@link maxFailoverMs}; the connection is then closed
	 */
	async query(text: string): Promise<QueryResult> {
		const {client} = this;
		if (!client) {
			throw new Error('not connected');
		}

		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(new UnansweredError(text));
				this.close();
			}, maxFailoverMs);
		});
		const result = client.query<Readonly<Record<string, unknown>>>(text);
		// After a timeout, closing the connection rejects this promise as well.
		result.catch(() => undefined);
		try {
			return await Promise.race([result, timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Destroys the socket without a Terminate message, as when the caller's process dies. */
	close(): void {
		const {client} = this;
		this.client = undefined;
		if (client) {
			const {connection} = client as unknown as {readonly connection: {readonly stream: {destroy(): void}}};
			connection.stream.destroy();
		}
	}

	/** Resolves when the idle connection ends, with the SQLSTATE of the error that ended it, or undefined if there was none. */
	async waitForClose(): Promise<string | undefined> {
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

	/** Sends a cancel request for this session's running statement to a proxy, which may be another than the connected one. */
	sendCancelRequest({host, port}: CallerEndpoint): void {
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

	private clearClient(client: pg.Client): void {
		if (this.client === client) {
			this.client = undefined;
		}
	}
}
