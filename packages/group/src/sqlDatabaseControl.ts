import {
	type BackendDialer, childSignal, type Clock, type DatabaseControl, type DatabaseStatus, FailureError, type ControlResult, type FollowOrder, type LogPosition, type Metrics, noopMetrics,
	type OwnedDatabaseOrder,
	type RandomSource, type FailureStep, type WaitResult,
} from '@crocusloom/model';
import {quoteLiteral} from '@crocusloom/wire';
import {ControlConnection, type Row} from './controlConnection.js';
import {peerFailure, withTimeout} from './timeout.js';
import {callTimeoutMs, reconnectInitialBackoffMs, reconnectMaximumBackoffMs} from './timing.js';

export type SqlDatabaseControlOptions = {
	readonly database: string;
	readonly address: string;
	readonly port: number;
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Receives the counts of bytes on the monitor connection. */
	readonly metrics?: Metrics;
};

type CallOptions = {readonly step: FailureStep; readonly timeoutMs: number; readonly signal: AbortSignal};

const statusSql = 'SELECT * FROM crocusloom_status()';
const acceptedValues: ReadonlySet<string> = new Set(['t', 'true', 'accepted']);
const waitResults: ReadonlySet<string> = new Set<WaitResult>(['reached', 'superseded', 'timeout']);

/** Controls one database by SQL functions over a single monitor connection, which is dialed on demand. */
export class SqlDatabaseControl implements DatabaseControl {
	readonly database: string;
	private pendingConnection?: Promise<ControlConnection>;
	private connection?: ControlConnection;
	private readonly closeController = new AbortController();
	private dialFailureCount = 0;
	private connectionCount = 0;
	private nextDialAtMs = 0;

	constructor(private readonly options: SqlDatabaseControlOptions) {
		this.database = options.database;
	}

	async status(signal: AbortSignal): Promise<DatabaseStatus> {
		return this.callWithTimeout({step: 'monitor', timeoutMs: callTimeoutMs, signal}, async () => this.connect(), async connection => this.readStatus(connection, 'monitor'));
	}

	async fence({term, owner, connectionId}: OwnedDatabaseOrder, signal: AbortSignal): Promise<ControlResult> {
		return this.sendOrder({step: 'fence', sql: `SELECT crocusloom_fence(${term}, ${quoteLiteral(owner)})`, connectionId}, signal);
	}

	async promote({term, owner, connectionId}: OwnedDatabaseOrder, signal: AbortSignal): Promise<ControlResult> {
		return this.sendOrder({step: 'promote', sql: `SELECT crocusloom_promote(${term}, ${quoteLiteral(owner)})`, connectionId}, signal);
	}

	async follow({term, primaryAddress, connectionId}: FollowOrder, signal: AbortSignal): Promise<ControlResult> {
		return this.sendOrder({step: 'follow', sql: `SELECT crocusloom_follow(${term}, ${quoteLiteral(primaryAddress)})`, connectionId}, signal);
	}

	async waitForPosition(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		const sql = `SELECT crocusloom_wait_position(${position.term}, ${position.offsetBytes}, ${Math.ceil(timeoutMs)})`;
		return this.callWithTimeout({step: 'acknowledge', timeoutMs: timeoutMs + callTimeoutMs, signal}, async () => this.connect(), async connection => {
			const result = firstValue(await connection.query(sql, 'acknowledge'));
			if (result === undefined || !waitResults.has(result)) {
				throw this.createError('acknowledge', `unexpected result of crocusloom_wait_position(): ${result}`);
			}

			return result as WaitResult;
		});
	}

	close(): void {
		this.closeController.abort(this.createError('monitor', 'the control of the database is closed'));
		this.connection?.close();
	}

	/** Sends an order on its connection and then reads the status, in one round trip. */
	private async sendOrder({step, sql, connectionId}: {readonly step: FailureStep; readonly sql: string; readonly connectionId: number}, signal: AbortSignal): Promise<ControlResult> {
		return this.callWithTimeout({step, timeoutMs: callTimeoutMs, signal}, () => this.requireConnection(connectionId, step), async connection => {
			const [rows, status] = await Promise.all([connection.query(sql, step), this.readStatus(connection, step)]);
			return {accepted: acceptedValues.has(firstValue(rows) ?? ''), status};
		});
	}

	private async readStatus(connection: ControlConnection, step: FailureStep): Promise<DatabaseStatus> {
		const [row] = await connection.queryPrepared(statusSql, step);
		const status = row && parseStatus(row, this.database, connection.id);
		if (!status) {
			throw this.createError(step, 'the result of crocusloom_status() lacks a column or has a value that is not a number');
		}

		return status;
	}

	/** Runs a call with a timeout. On timeout the connection is closed, because later responses on it would queue behind the missing one. */
	private async callWithTimeout<T>(
		{step, timeoutMs, signal}: CallOptions,
		getConnection: () => Promise<ControlConnection> | ControlConnection,
		run: (connection: ControlConnection) => Promise<T>,
	): Promise<T> {
		const failure = peerFailure(step, this.database, `no answer within ${timeoutMs} ms`);
		let usedConnection: ControlConnection | undefined;
		let isUnfinished = true;
		const callController = childSignal(signal, this.closeController.signal);
		try {
			return await withTimeout({
				clock: this.options.clock, timeoutMs, signal: callController.signal, failure,
			}, async () => {
				usedConnection = await getConnection();
				try {
					return await run(usedConnection);
				} finally {
					isUnfinished = false;
				}
			});
		} finally {
			if (isUnfinished && !callController.signal.aborted) {
				usedConnection?.close();
			}

			callController.release();
		}
	}

	/** @throws FailureError `peer` if the connection has ended */
	private requireConnection(connectionId: number, step: FailureStep): ControlConnection {
		if (!this.connection?.isUsable || this.connection.id !== connectionId) {
			throw this.createError(step, 'the connection on which the status was read has ended');
		}

		return this.connection;
	}

	private async connect(): Promise<ControlConnection> {
		if (this.connection?.isUsable) {
			return this.connection;
		}

		this.pendingConnection ??= this.dial();
		try {
			return await this.pendingConnection;
		} finally {
			this.pendingConnection = undefined;
		}
	}

	private async dial(): Promise<ControlConnection> {
		const {clock, dialer, database, address, port} = this.options;
		const waitMs = this.nextDialAtMs - clock.nowMs();
		if (waitMs > 0) {
			await clock.sleep(waitMs, this.closeController.signal);
		}

		try {
			const failure = peerFailure('connect', database, `no connection within ${callTimeoutMs} ms`);
			const backendConnection = await withTimeout({
				clock, timeoutMs: callTimeoutMs, signal: this.closeController.signal, failure,
			}, async signal => {
				const connection = await dialer.dial(database, address, port, signal);
				if (signal.aborted) {
					// No caller waits for the connection any more, and unused it would count towards the connection limit of the database.
					connection.close();
				}

				return connection;
			});
			this.dialFailureCount = 0;
			this.connection = new ControlConnection(++this.connectionCount, database, backendConnection, this.options.metrics ?? noopMetrics);
			return this.connection;
		} catch (error) {
			this.delayNextDial();
			throw error;
		}
	}

	private delayNextDial(): void {
		const maximumDelayMs = Math.min(reconnectMaximumBackoffMs, reconnectInitialBackoffMs * (2 ** this.dialFailureCount));
		this.dialFailureCount++;
		this.nextDialAtMs = this.options.clock.nowMs() + (maximumDelayMs * (0.5 + (this.options.random.next() / 2)));
	}

	private createError(step: FailureStep, message: string): FailureError {
		return new FailureError(peerFailure(step, this.database, message));
	}
}

function firstValue(rows: readonly Row[]): string | undefined {
	return Object.values(rows[0] ?? {})[0];
}

function parseStatus(row: Row, database: string, connectionId: number): DatabaseStatus | undefined {
	const numbers = [row.fenced_term, row.follows_term, row.log_term, row.log_offset].map(Number);
	if (numbers.some(number => !Number.isSafeInteger(number))) {
		return undefined;
	}

	const [fencedTerm, followsTerm, term, offsetBytes] = numbers as [number, number, number, number];
	return {
		database,
		role: row.role === 'primary' ? 'primary' : 'replica',
		fencedTerm,
		followsTerm,
		position: {term, offsetBytes},
		fenceOwner: row.fence_owner ?? '',
		connectionId,
	};
}
