import {
	type BackendConnection, FailureError, type Metrics, type FailureStep,
} from '@crocusloom/model';
import {
	backendTypes, buildFrame, cString, readErrorField, type Frame, frameHeaderBytes, FrameReader, frontendTypes, readCString, readDataRow,
} from '@crocusloom/wire';
import {peerFailure} from './timeout.js';

/** The values of one row by column name. */
export type Row = Readonly<Record<string, string | undefined>>;

type PendingQuery = {
	readonly columns: string[];
	readonly rows: Row[];
	error?: string;
	readonly resolve: (rows: readonly Row[]) => void;
	readonly reject: (error: Error) => void;
	readonly step: FailureStep;
};

/** Pipelined queries on one monitor connection. Responses are matched to queries in order. */
export class ControlConnection {
	private readonly pendingQueries: PendingQuery[] = [];
	private isOpen = true;
	/** The prepared statement and its column names, which are filled in when the row description arrives. */
	private preparedStatement?: {readonly sql: string; readonly columns: string[]};

	constructor(readonly id: number, private readonly database: string, private readonly connection: BackendConnection, private readonly metrics: Metrics) {
		void this.readResponses();
	}

	get isUsable(): boolean {
		return this.isOpen;
	}

	/**
	 * Sends a simple query and waits for its rows.
	 * @param sql - one statement
	 * @param step - step that a failure reports
	 * @throws FailureError `peer` if the connection closes or the database responds with an error
	 */
	async query(sql: string, step: FailureStep): Promise<readonly Row[]> {
		return this.send(step, [], () => buildFrame(frontendTypes.query, cString(sql)));
	}

	/**
	 * Runs a frequently repeated statement without parameters. It is parsed and described once per connection, because the row
	 * description takes up most of the bytes of a short response.
	 * @throws FailureError as `query` does
	 */
	async queryPrepared(sql: string, step: FailureStep): Promise<readonly Row[]> {
		const isPrepared = this.preparedStatement?.sql === sql;
		const statement = isPrepared ? this.preparedStatement! : {sql, columns: []};
		this.preparedStatement = statement;
		try {
			return await this.send(step, statement.columns, () => Buffer.concat([...(isPrepared ? [] : prepareFrames(sql)), ...executeFrames()]));
		} catch (error) {
			this.preparedStatement = undefined;
			throw error;
		}
	}

	/** Closes the connection. Queries without a response fail. */
	close(): void {
		if (!this.isOpen) {
			return;
		}

		this.isOpen = false;
		this.connection.close();
		for (const query of this.pendingQueries.splice(0)) {
			query.reject(new FailureError(peerFailure(query.step, this.database, 'the monitor connection was closed before the answer')));
		}
	}

	private async send(step: FailureStep, columns: string[], buildFrames: () => Buffer): Promise<readonly Row[]> {
		if (!this.isOpen) {
			throw new FailureError(peerFailure(step, this.database, 'the monitor connection is closed'));
		}

		return new Promise((resolve, reject) => {
			this.pendingQueries.push({
				columns, rows: [], resolve, reject, step,
			});
			const frames = buildFrames();
			this.metrics.count('monitor_sent_bytes_total', undefined, frames.length);
			this.connection.write(frames);
		});
	}

	private async readResponses(): Promise<void> {
		const reader = new FrameReader(this.database);
		try {
			for await (const chunk of this.connection.read()) {
				this.metrics.count('monitor_received_bytes_total', undefined, chunk.length);
				for (const frame of reader.push(chunk)) {
					this.handleFrame(frame);
				}
			}
		} catch {
			// `close` rejects the queries without a response.
		} finally {
			this.close();
		}
	}

	private handleFrame(frame: Frame): void {
		const query = this.pendingQueries[0];
		if (query) {
			frameHandlers[frame.type]?.(query, frame.bytes);
		}

		if (query && frame.type === backendTypes.readyForQuery) {
			this.pendingQueries.shift();
			this.settleQuery(query);
		}
	}

	private settleQuery(query: PendingQuery): void {
		if (query.error === undefined) {
			query.resolve(query.rows);
			return;
		}

		query.reject(new FailureError(peerFailure(query.step, this.database, query.error)));
	}
}

/** Name of the only prepared statement. Preparing another statement replaces it. */
const statementName = cString('s');
const zeroCount = Buffer.alloc(2);
const unlimitedRows = Buffer.alloc(4);

/** Closes the statement first, because its name is still in use if an earlier execution failed. */
function prepareFrames(sql: string): readonly Buffer[] {
	const statementReference = Buffer.concat([Buffer.from('S'), statementName]);
	return [
		buildFrame(frontendTypes.close, statementReference),
		buildFrame(frontendTypes.parse, Buffer.concat([statementName, cString(sql), zeroCount])),
		buildFrame(frontendTypes.describe, statementReference),
	];
}

function executeFrames(): readonly Buffer[] {
	return [
		// Unnamed portal, no parameters, all result columns in text format.
		buildFrame(frontendTypes.bind, Buffer.concat([cString(''), statementName, zeroCount, zeroCount, zeroCount])),
		buildFrame(frontendTypes.execute, Buffer.concat([cString(''), unlimitedRows])),
		buildFrame(frontendTypes.sync, Buffer.alloc(0)),
	];
}

const frameHandlers: Readonly<Record<number, (query: PendingQuery, bytes: Buffer) => void>> = {
	[backendTypes.rowDescription](query, bytes) {
		query.columns.splice(0, query.columns.length, ...readColumnNames(bytes));
	},
	[backendTypes.dataRow](query, bytes) {
		const values = readDataRow(bytes);
		query.rows.push(Object.fromEntries(query.columns.map((column, index) => [column, values[index] ?? undefined])));
	},
	[backendTypes.errorResponse](query, bytes) {
		query.error = readErrorField(bytes, 'M') ?? 'error without a message';
	},
};

/** Size in bytes of the fields that follow the name in the description of a column. */
const columnFieldsBytes = 18;

function readColumnNames(bytes: Buffer): string[] {
	const names: string[] = [];
	let offset = frameHeaderBytes + 2;
	for (let remainingCount = bytes.readInt16BE(frameHeaderBytes); remainingCount > 0; remainingCount--) {
		const name = readCString(bytes, offset);
		if (!name) {
			break;
		}

		names.push(name.text);
		offset = name.nextOffset + columnFieldsBytes;
	}

	return names;
}
