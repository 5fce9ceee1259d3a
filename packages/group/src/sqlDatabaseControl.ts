import {
	type BackendDialer, childSignal, type Clock, type DatabaseControl, type DatabaseStatus, FailureError, type ControlResult, type LogPosition, type Metrics, noopMetrics,
	type RandomSource, type FailureStep, type WaitResult,
} from '@crocusloom/model';
import {ControlConnection, type Row} from './controlConnection.js';
import {databaseFailure, withTimeLimit} from './timeLimit.js';
import {callLimitMs, reconnectFirstMs, reconnectLongestMs} from './timing.js';

export type SqlDatabaseControlOptions = {
	readonly database: string;
	readonly address: string;
	readonly port: number;
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Counts the bytes on the monitor connection. */
	readonly metrics?: Metrics;
};

const statusSql = 'SELECT * FROM crocusloom_status()';
const acceptedValues: ReadonlySet<string> = new Set(['t', 'true', 'accepted']);
const waitAnswers: ReadonlySet<string> = new Set<WaitResult>(['reached', 'superseded', 'timeout']);

/** Control of one database by SQL functions over a single monitor connection, which is dialled when it is needed. */
export class SqlDatabaseControl implements DatabaseControl {
	readonly database: string;
	private connecting?: Promise<ControlConnection>;
	private connection?: ControlConnection;
	private readonly lifetime = new AbortController();
	private dialFailures = 0;
	private nextDialAtMs = 0;

	constructor(private readonly options: SqlDatabaseControlOptions) {
		this.database = options.database;
	}

	async status(signal: AbortSignal): Promise<DatabaseStatus> {
		return this.limited('monitor', callLimitMs, signal, async connection => this.readStatus(connection, 'monitor'));
	}

	async fence(term: number, owner: string, signal: AbortSignal): Promise<ControlResult> {
		return this.change('fence', `SELECT crocusloom_fence(${term}, ${quote(owner)})`, signal);
	}

	async promote(term: number, owner: string, signal: AbortSignal): Promise<ControlResult> {
		return this.change('promote', `SELECT crocusloom_promote(${term}, ${quote(owner)})`, signal);
	}

	async follow(term: number, primaryAddress: string, signal: AbortSignal): Promise<ControlResult> {
		return this.change('follow', `SELECT crocusloom_follow(${term}, ${quote(primaryAddress)})`, signal);
	}

	async waitForPosition(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		const sql = `SELECT crocusloom_wait_position(${position.term}, ${position.offsetBytes}, ${Math.ceil(timeoutMs)})`;
		return this.limited('acknowledge', timeoutMs + callLimitMs, signal, async connection => {
			const answer = firstValue(await connection.query(sql, 'acknowledge'));
			if (answer === undefined || !waitAnswers.has(answer)) {
				throw this.failure('acknowledge', `unexpected answer to a position wait: ${answer}`);
			}

			return answer as WaitResult;
		});
	}

	close(): void {
		this.lifetime.abort(this.failure('monitor', 'the control of the database is closed'));
		this.connection?.close();
	}

	/** Runs a control function and reads the status behind it, in one round trip. */
	private async change(step: FailureStep, sql: string, signal: AbortSignal): Promise<ControlResult> {
		return this.limited(step, callLimitMs, signal, async connection => {
			const [rows, status] = await Promise.all([connection.query(sql, step), this.readStatus(connection, step)]);
			return {accepted: acceptedValues.has(firstValue(rows) ?? ''), status};
		});
	}

	private async readStatus(connection: ControlConnection, step: FailureStep): Promise<DatabaseStatus> {
		const [row] = await connection.queryPrepared(statusSql, step);
		const status = row && parseStatus(this.database, row);
		if (!status) {
			throw this.failure(step, 'the answer to crocusloom_status() lacks a column or has a value that is not a number');
		}

		return status;
	}

	/** A call over its limit closes the connection, because later answers on it would wait behind the missing one. */
	private async limited<T>(step: FailureStep, limitMs: number, signal: AbortSignal, run: (connection: ControlConnection) => Promise<T>): Promise<T> {
		const failure = databaseFailure(step, this.database, `no answer within ${limitMs} ms`);
		let used: ControlConnection | undefined;
		let isOverLimit = true;
		const both = childSignal(signal, this.lifetime.signal);
		try {
			return await withTimeLimit({
				clock: this.options.clock, limitMs, signal: both.signal, failure,
			}, async () => {
				used = await this.connect();
				try {
					return await run(used);
				} finally {
					isOverLimit = false;
				}
			});
		} finally {
			if (isOverLimit && !both.signal.aborted) {
				used?.close();
			}

			both.release();
		}
	}

	private async connect(): Promise<ControlConnection> {
		if (this.connection?.usable) {
			return this.connection;
		}

		this.connecting ??= this.dial();
		try {
			return await this.connecting;
		} finally {
			this.connecting = undefined;
		}
	}

	private async dial(): Promise<ControlConnection> {
		const {clock, dialer, database, address, port} = this.options;
		const waitMs = this.nextDialAtMs - clock.nowMs();
		if (waitMs > 0) {
			await clock.sleep(waitMs, this.lifetime.signal);
		}

		try {
			const failure = databaseFailure('connect', database, `no connection within ${callLimitMs} ms`);
			const dialled = await withTimeLimit({
				clock, limitMs: callLimitMs, signal: this.lifetime.signal, failure,
			}, async signal => {
				const connection = await dialer.dial(database, address, port, signal);
				if (signal.aborted) {
					// Nobody waits any more; an unused connection would count against the database's limit.
					connection.close();
				}

				return connection;
			});
			this.dialFailures = 0;
			this.connection = new ControlConnection(database, dialled, this.options.metrics ?? noopMetrics);
			return this.connection;
		} catch (error) {
			this.delayNextDial();
			throw error;
		}
	}

	private delayNextDial(): void {
		const longestMs = Math.min(reconnectLongestMs, reconnectFirstMs * (2 ** this.dialFailures));
		this.dialFailures++;
		this.nextDialAtMs = this.options.clock.nowMs() + (longestMs * (0.5 + (this.options.random.next() / 2)));
	}

	private failure(step: FailureStep, message: string): FailureError {
		return new FailureError(databaseFailure(step, this.database, message));
	}
}

function quote(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}

function firstValue(rows: readonly Row[]): string | undefined {
	return Object.values(rows[0] ?? {})[0];
}

function parseStatus(database: string, row: Row): DatabaseStatus | undefined {
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
	};
}
