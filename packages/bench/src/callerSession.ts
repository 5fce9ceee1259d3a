/**
 * A caller's session: one connection that is opened again at the next endpoint when it closes, with the session's token.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {NoAnswerError} from './outcome.js';
import {type Endpoint} from './types.js';

export type SessionOptions = {
	readonly endpoints: readonly Endpoint[];
	/** Index of the endpoint to connect to first. */
	readonly first: number;
	readonly database: string;
	readonly application: string;
	readonly user: string;
	readonly password: string;
	readonly token?: string;
	/** Called when the session can take a request (again). */
	readonly onOpen?: (session: CallerSession) => void;
};

type Row = Readonly<Record<string, unknown>>;

/** Pause before the next attempt to connect, so that a dead endpoint does not take all processor time. */
const reconnectPauseMs = 50;
const connectLimitMs = 3000;
/** Time after which a request without an answer is given up; above the design's goal for a failover of 2 s. */
const answerLimitMs = 5000;

export class CallerSession {
	token: string | undefined;
	private client?: pg.Client;
	private endpointIndex: number;
	private isClosed = false;

	constructor(private readonly options: SessionOptions) {
		this.endpointIndex = options.first;
		this.token = options.token;
	}

	get isOpen(): boolean {
		return this.client !== undefined;
	}

	/** Connects, and goes on to the next endpoint until one accepts or the session is closed. */
	async open(): Promise<void> {
		while (!this.isClosed) {
			if (await this.tryOpen()) {
				this.options.onOpen?.(this);
				return;
			}

			this.endpointIndex++;
			await sleep(reconnectPauseMs);
		}
	}

	/**
	 * Runs a statement.
	 * @throws the database's error, or NoAnswerError after the limit, which also closes the connection
	 */
	async query(text: string, values: readonly unknown[] = []): Promise<readonly Row[]> {
		const {client} = this;
		if (!client) {
			throw new Error('the session has no connection');
		}

		let isLate = false;
		const timer = setTimeout(() => {
			isLate = true;
			destroy(client);
		}, answerLimitMs);
		try {
			const {rows} = await client.query<Row>(text, [...values]);
			return rows;
		} catch (error) {
			throw isLate ? new NoAnswerError(`no answer within ${answerLimitMs} ms`) : error;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Closes the connection for good. */
	close(): void {
		this.isClosed = true;
		if (this.client) {
			destroy(this.client);
		}
	}

	private async tryOpen(): Promise<boolean> {
		const {endpoints, database, application, user, password} = this.options;
		const {host, port} = endpoints[this.endpointIndex % endpoints.length]!;
		const client = new pg.Client({
			host,
			port,
			database,
			user,
			password,
			application_name: application,
			connectionTimeoutMillis: connectLimitMs,
			...(this.token === undefined ? {} : {options: `-c crocusloom.session=${this.token}`}),
		});
		client.on('error', () => {
			// The request that was running rejects with the same error.
		});
		this.followToken(client);
		try {
			await client.connect();
		} catch {
			destroy(client);
			return false;
		}

		if (this.isClosed) {
			destroy(client);
			return false;
		}

		this.client = client;
		// An error comes before the end; until then the session must not be taken for a request.
		client.once('error', () => {
			this.client = undefined;
		});
		client.once('end', () => {
			this.reopen();
		});
		return true;
	}

	private reopen(): void {
		this.client = undefined;
		this.endpointIndex++;
		void this.open();
	}

	private followToken(client: pg.Client): void {
		connectionOf(client).on('parameterStatus', (status: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (status.parameterName === 'crocusloom.session') {
				this.token = status.parameterValue;
			}
		});
	}
}

/** The types of `pg` leave out the connection, which emits the parameter statuses and owns the socket. */
function connectionOf(client: pg.Client): NodeJS.EventEmitter & {readonly stream: {destroy: () => void}} {
	return (client as unknown as {readonly connection: NodeJS.EventEmitter & {readonly stream: {destroy: () => void}}}).connection;
}

function destroy(client: pg.Client): void {
	connectionOf(client).stream.destroy();
}
