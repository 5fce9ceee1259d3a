/**
 * Client session: one connection that reconnects to the next endpoint with the current session token when it closes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {NoAnswerError} from './outcome.js';
import {type Endpoint} from './types.js';

export type SessionOptions = {
	readonly endpoints: readonly Endpoint[];
	/** Index of the endpoint to connect to first. */
	readonly firstEndpointIndex: number;
	readonly database: string;
	readonly application: string;
	readonly user: string;
	readonly password: string;
	readonly token?: string;
	/** Called each time the session has connected and can run requests. */
	readonly onOpen?: (session: CallerSession) => void;
};

type Row = Readonly<Record<string, unknown>>;

/** Pause between connection attempts, so that an unreachable endpoint does not cause a busy loop. */
const reconnectPauseMs = 50;
const connectTimeoutMs = 3000;
/** Time after which a request without a response fails; above the failover target of 2 s. */
const requestTimeoutMs = 5000;

export class CallerSession {
	/** Latest session token; undefined until the server reports one, if none was configured. */
	token: string | undefined;
	private client?: pg.Client;
	private endpointIndex: number;
	private isClosed = false;

	constructor(private readonly options: SessionOptions) {
		this.endpointIndex = options.firstEndpointIndex;
		this.token = options.token;
	}

	get isOpen(): boolean {
		return this.client !== undefined;
	}

	/** Connects, trying one endpoint after the other until one accepts or the session is closed. */
	async open(): Promise<void> {
		while (!this.isClosed) {
			if (await this.tryConnect()) {
				this.options.onOpen?.(this);
				return;
			}

			this.endpointIndex++;
			await sleep(reconnectPauseMs);
		}
	}

	/**
	 * Runs a statement.
	 * @throws the database error, or NoAnswerError after the request timeout, which also closes the connection
	 */
	async query(text: string, values: readonly unknown[] = []): Promise<readonly Row[]> {
		const {client} = this;
		if (!client) {
			throw new Error('the session has no connection');
		}

		let hasTimedOut = false;
		const timer = setTimeout(() => {
			hasTimedOut = true;
			destroyConnection(client);
		}, requestTimeoutMs);
		try {
			const {rows} = await client.query<Row>(text, [...values]);
			return rows;
		} catch (error) {
			throw hasTimedOut ? new NoAnswerError(`no answer within ${requestTimeoutMs} ms`) : error;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Closes the connection without reconnecting. */
	close(): void {
		this.isClosed = true;
		if (this.client) {
			destroyConnection(this.client);
		}
	}

	private async tryConnect(): Promise<boolean> {
		const {endpoints, database, application, user, password} = this.options;
		const {host, port} = endpoints[this.endpointIndex % endpoints.length]!;
		const client = new pg.Client({
			host,
			port,
			database,
			user,
			password,
			application_name: application,
			connectionTimeoutMillis: connectTimeoutMs,
			...(this.token === undefined ? {} : {options: `-c crocusloom.session=${this.token}`}),
		});
		client.on('error', () => {
			// The pending query rejects with the same error, which its caller handles.
		});
		this.trackSessionToken(client);
		try {
			await client.connect();
		} catch {
			destroyConnection(client);
			return false;
		}

		if (this.isClosed) {
			destroyConnection(client);
			return false;
		}

		this.client = client;
		// `error` is emitted before `end`. Clearing the client already at `error` keeps the pool from handing out a failed session.
		client.once('error', () => {
			this.client = undefined;
		});
		client.once('end', () => {
			this.reconnect();
		});
		return true;
	}

	private reconnect(): void {
		this.client = undefined;
		this.endpointIndex++;
		void this.open();
	}

	private trackSessionToken(client: pg.Client): void {
		getConnection(client).on('parameterStatus', (status: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (status.parameterName === 'crocusloom.session') {
				this.token = status.parameterValue;
			}
		});
	}
}

/** Returns the client's connection, which emits `parameterStatus` and owns the socket; the types of `pg` do not declare it. */
function getConnection(client: pg.Client): NodeJS.EventEmitter & {readonly stream: {destroy: () => void}} {
	return (client as unknown as {readonly connection: NodeJS.EventEmitter & {readonly stream: {destroy: () => void}}}).connection;
}

function destroyConnection(client: pg.Client): void {
	getConnection(client).stream.destroy();
}
