import {
	type BackendConnection, FailureError, type Metrics, type FailureStep,
} from '@crocusloom/model';
import {
	backend, buildFrame, cString, errorField, type Frame, frameHeaderBytes, FrameReader, frontend, readCString, readDataRow,
} from '@crocusloom/wire';
import {databaseFailure} from './timeLimit.js';

/** One row by column name. */
export type Row = Readonly<Record<string, string | undefined>>;

type PendingQuery = {
	readonly columns: string[];
	readonly rows: Row[];
	error?: string;
	readonly resolve: (rows: readonly Row[]) => void;
	readonly reject: (error: Error) => void;
	readonly step: FailureStep;
};

/** Simple queries on one monitor connection, pipelined: answers are matched in order. */
export class ControlConnection {
	private readonly pending: PendingQuery[] = [];
	private isOpen = true;
	/** The statement that is prepared, with its columns, which are filled in when the description arrives. */
	private prepared?: {readonly sql: string; readonly columns: string[]};

	constructor(private readonly database: string, private readonly connection: BackendConnection, private readonly metrics: Metrics) {
		void this.readAnswers();
	}

	get usable(): boolean {
		return this.isOpen;
	}

	/**
	 * Sends a query and waits for its rows.
	 * @param sql - one statement
	 * @param step - step to name in a failure
	 * @throws FailureError `peer` when the connection ends or the database answers with an error
	 */
	async query(sql: string, step: FailureStep): Promise<readonly Row[]> {
		return this.send(step, [], () => buildFrame(frontend.query, cString(sql)));
	}

	/**
	 * Runs a statement without parameters that is asked again and again. It is parsed and described once a connection; the
	 * description is most of the bytes of a short answer.
	 * @throws FailureError as `query` does
	 */
	async queryPrepared(sql: string, step: FailureStep): Promise<readonly Row[]> {
		const isPrepared = this.prepared?.sql === sql;
		const prepared = isPrepared ? this.prepared! : {sql, columns: []};
		this.prepared = prepared;
		try {
			return await this.send(step, prepared.columns, () => Buffer.concat([...(isPrepared ? [] : prepareFrames(sql)), ...executeFrames()]));
		} catch (error) {
			this.prepared = undefined;
			throw error;
		}
	}

	/** Closes the connection; queries without an answer fail. */
	close(): void {
		if (!this.isOpen) {
			return;
		}

		this.isOpen = false;
		this.connection.close();
		for (const query of this.pending.splice(0)) {
			query.reject(new FailureError(databaseFailure(query.step, this.database, 'the monitor connection was closed before the answer')));
		}
	}

	private async send(step: FailureStep, columns: string[], build: () => Buffer): Promise<readonly Row[]> {
		if (!this.isOpen) {
			throw new FailureError(databaseFailure(step, this.database, 'the monitor connection is closed'));
		}

		return new Promise((resolve, reject) => {
			this.pending.push({
				columns, rows: [], resolve, reject, step,
			});
			const frame = build();
			this.metrics.count('monitor_sent_bytes_total', undefined, frame.length);
			this.connection.write(frame);
		});
	}

	private async readAnswers(): Promise<void> {
		const reader = new FrameReader(this.database);
		try {
			for await (const chunk of this.connection.read()) {
				this.metrics.count('monitor_received_bytes_total', undefined, chunk.length);
				for (const frame of reader.push(chunk)) {
					this.takeFrame(frame);
				}
			}
		} catch {
			// The queries without an answer report the loss.
		} finally {
			this.close();
		}
	}

	private takeFrame(frame: Frame): void {
		const query = this.pending[0];
		if (query) {
			frameHandlers[frame.type]?.(query, frame.bytes);
		}

		if (query && frame.type === backend.readyForQuery) {
			this.pending.shift();
			this.finish(query);
		}
	}

	private finish(query: PendingQuery): void {
		if (query.error === undefined) {
			query.resolve(query.rows);
			return;
		}

		query.reject(new FailureError(databaseFailure(query.step, this.database, query.error)));
	}
}

/** Name of the one prepared statement; a text that is prepared later replaces it. */
const statementName = cString('s');
const noValues = Buffer.alloc(2);
const allRows = Buffer.alloc(4);

/** Closes the name first, because it is still in use if an earlier execution failed. */
function prepareFrames(sql: string): readonly Buffer[] {
	const named = Buffer.concat([Buffer.from('S'), statementName]);
	return [
		buildFrame(frontend.close, named),
		buildFrame(frontend.parse, Buffer.concat([statementName, cString(sql), noValues])),
		buildFrame(frontend.describe, named),
	];
}

function executeFrames(): readonly Buffer[] {
	return [
		// Unnamed portal, no parameters, all results as text.
		buildFrame(frontend.bind, Buffer.concat([cString(''), statementName, noValues, noValues, noValues])),
		buildFrame(frontend.execute, Buffer.concat([cString(''), allRows])),
		buildFrame(frontend.sync, Buffer.alloc(0)),
	];
}

const frameHandlers: Readonly<Record<number, (query: PendingQuery, bytes: Buffer) => void>> = {
	[backend.rowDescription](query, bytes) {
		query.columns.splice(0, query.columns.length, ...readColumnNames(bytes));
	},
	[backend.dataRow](query, bytes) {
		const values = readDataRow(bytes);
		query.rows.push(Object.fromEntries(query.columns.map((column, index) => [column, values[index] ?? undefined])));
	},
	[backend.errorResponse](query, bytes) {
		query.error = errorField(bytes, 'M') ?? 'error without a message';
	},
};

/** Bytes of a column's description after its name. */
const columnFixedBytes = 18;

function readColumnNames(bytes: Buffer): string[] {
	const names: string[] = [];
	let offset = frameHeaderBytes + 2;
	for (let left = bytes.readInt16BE(frameHeaderBytes); left > 0; left--) {
		const name = readCString(bytes, offset);
		if (!name) {
			break;
		}

		names.push(name.text);
		offset = name.nextOffset + columnFixedBytes;
	}

	return names;
}
