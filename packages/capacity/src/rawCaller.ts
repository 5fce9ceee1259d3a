import {once} from 'node:events';
import net from 'node:net';
import {
	backendTypes, buildFrame, cString, readErrorField, type Frame, FrameReader, frontendTypes, readDataRow,
} from '@crocusloom/wire';

export type CallerTarget = {readonly host: string; readonly port: number; readonly database: string; readonly application: string};

const protocolVersion = 196_608;

/** Rows of a query result, with their values as text. */
export type QueryRows = ReadonlyArray<ReadonlyArray<string | null>>;

type PendingQuery = {
	readonly rows: Array<ReadonlyArray<string | null>>;
	error?: string;
	readonly resolve: (rows: QueryRows) => void;
	readonly reject: (error: Error) => void;
};

/** A minimal PostgreSQL client with little memory, so that thousands of callers fit on one machine together with the proxies. */
export class RawCaller {
	/** Connects without a password. @throws Error if the proxy refuses the connection */
	static async connect({host, port, database, application}: CallerTarget): Promise<RawCaller> {
		const socket = net.connect({host, port, noDelay: true});
		await once(socket, 'connect');
		const caller = new RawCaller(socket);
		await caller.send(createStartupMessage(database, application));
		return caller;
	}

	private pendingQuery?: PendingQuery;
	private readonly reader = new FrameReader('proxy');

	private constructor(private readonly socket: net.Socket) {
		socket.on('data', (chunk: Buffer) => {
			for (const frame of this.reader.push(chunk)) {
				this.handleFrame(frame);
			}
		});
		socket.on('error', error => {
			this.rejectPending(error);
		});
		socket.on('close', () => {
			this.rejectPending(new Error('the proxy closed the connection'));
		});
	}

	get isBusy(): boolean {
		return this.pendingQuery !== undefined;
	}

	/** Runs a query with the simple protocol. @throws Error with the message of the proxy or the backend server */
	async query(sql: string): Promise<QueryRows> {
		return this.send(buildFrame(frontendTypes.query, cString(sql)));
	}

	/** Prepares named statements with one Parse message each and a single Sync at the end. */
	async prepare(statements: ReadonlyArray<{readonly name: string; readonly sql: string}>): Promise<void> {
		const noParameterTypes = Buffer.alloc(2);
		const frames = statements.map(({name, sql}) => buildFrame(frontendTypes.parse, Buffer.concat([cString(name), cString(sql), noParameterTypes])));
		await this.send(Buffer.concat([...frames, buildFrame(frontendTypes.sync, Buffer.alloc(0))]));
	}

	close(): void {
		this.socket.destroy();
	}

	private async send(bytes: Buffer): Promise<QueryRows> {
		return new Promise((resolve, reject) => {
			this.pendingQuery = {rows: [], resolve, reject};
			this.socket.write(bytes);
		});
	}

	private handleFrame({type, bytes}: Frame): void {
		if (type === backendTypes.dataRow) {
			this.pendingQuery?.rows.push(readDataRow(bytes));
		} else if (type === backendTypes.errorResponse && this.pendingQuery) {
			this.pendingQuery.error = readErrorField(bytes, 'M') ?? 'error without a message';
		} else if (type === backendTypes.readyForQuery) {
			this.settlePending();
		}
	}

	private settlePending(): void {
		const {pendingQuery} = this;
		this.pendingQuery = undefined;
		if (pendingQuery?.error === undefined) {
			pendingQuery?.resolve(pendingQuery.rows);
		} else {
			pendingQuery.reject(new Error(pendingQuery.error));
		}
	}

	private rejectPending(error: Error): void {
		this.pendingQuery?.reject(this.pendingQuery.error === undefined ? error : new Error(this.pendingQuery.error));
		this.pendingQuery = undefined;
	}
}

function createStartupMessage(database: string, application: string): Buffer {
	const parameters = ['user', 'demo', 'database', database, 'application_name', application];
	const body = Buffer.concat([...parameters.map(text => cString(text)), Buffer.alloc(1)]);
	const header = Buffer.alloc(8);
	header.writeInt32BE(header.length + body.length, 0);
	header.writeInt32BE(protocolVersion, 4);
	return Buffer.concat([header, body]);
}

/** Opens callers, at most 100 at the same time. */
export async function openCallers(target: CallerTarget, count: number): Promise<readonly RawCaller[]> {
	const maxConcurrentConnects = 100;
	const callers: RawCaller[] = [];
	while (callers.length < count) {
		const batch = Array.from({length: Math.min(maxConcurrentConnects, count - callers.length)}, async () => RawCaller.connect(target));
		callers.push(...await Promise.all(batch));
	}

	return callers;
}
