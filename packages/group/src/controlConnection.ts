import {
	type BackendConnection, FailureError, type Metrics, type Step,
} from '@crocusloom/model';
import {
	backend, buildFrame, cString, errorField, type Frame, frameHeaderBytes, FrameReader, frontend, readCString, readDataRow,
} from '@crocusloom/wire';
import {databaseFailure} from './timeLimit.js';

/** One row by column name. */
export type Row = Readonly<Record<string, string | undefined>>;

type PendingQuery = {
	columns: string[];
	readonly rows: Row[];
	error?: string;
	readonly resolve: (rows: readonly Row[]) => void;
	readonly reject: (error: Error) => void;
	readonly step: Step;
};

/** Simple queries on one monitor connection, pipelined: answers are matched in order. */
export class ControlConnection {
	private readonly pending: PendingQuery[] = [];
	private isOpen = true;

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
	async query(sql: string, step: Step): Promise<readonly Row[]> {
		if (!this.isOpen) {
			throw new FailureError(databaseFailure(step, this.database, 'the monitor connection is closed'));
		}

		return new Promise((resolve, reject) => {
			this.pending.push({
				columns: [], rows: [], resolve, reject, step,
			});
			const frame = buildFrame(frontend.query, cString(sql));
			this.metrics.count('monitor_sent_bytes_total', undefined, frame.length);
			this.connection.write(frame);
		});
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

const frameHandlers: Readonly<Record<number, (query: PendingQuery, bytes: Buffer) => void>> = {
	[backend.rowDescription](query, bytes) {
		query.columns = readColumnNames(bytes);
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
