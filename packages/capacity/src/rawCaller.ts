import {once} from 'node:events';
import net from 'node:net';
import {
	backendTypes, buildFrame, cString, readErrorField, type Frame, FrameReader, frontendTypes, readDataRow,
} from '@crocusloom/wire';

export type CallerTarget = {readonly host: string; readonly port: number; readonly database: string; readonly application: string};

const protocolVersion = 196_608;

/** Values of the rows of an answer, as text. */
export type Rows = ReadonlyArray<ReadonlyArray<string | null>>;

type Pending = {
	readonly rows: Array<ReadonlyArray<string | null>>;
	error?: string;
	readonly resolve: (rows: Rows) => void;
	readonly reject: (error: Error) => void;
};

/** A caller with little state of its own, so that thousands fit beside the proxies on one machine. */
export class RawCaller {
	/** Connects without a password. @throws Error if the proxy refuses */
	static async connect({host, port, database, application}: CallerTarget): Promise<RawCaller> {
		const socket = net.connect({host, port, noDelay: true});
		await once(socket, 'connect');
		const caller = new RawCaller(socket);
		await caller.send(startupMessage(database, application));
		return caller;
	}

	private pending?: Pending;
	private readonly reader = new FrameReader('proxy');

	private constructor(private readonly socket: net.Socket) {
		socket.on('data', (chunk: Buffer) => {
			for (const frame of this.reader.push(chunk)) {
				this.take(frame);
			}
		});
		socket.on('error', error => {
			this.fail(error);
		});
		socket.on('close', () => {
			this.fail(new Error('the proxy closed the connection'));
		});
	}

	get busy(): boolean {
		return this.pending !== undefined;
	}

	/** Runs a simple query. @throws Error with the message of the proxy or the backend server */
	async query(sql: string): Promise<Rows> {
		return this.send(buildFrame(frontendTypes.query, cString(sql)));
	}

	/** Parses named statements with one Sync at the end. */
	async prepare(statements: ReadonlyArray<{readonly name: string; readonly sql: string}>): Promise<void> {
		const noParameterTypes = Buffer.alloc(2);
		const frames = statements.map(({name, sql}) => buildFrame(frontendTypes.parse, Buffer.concat([cString(name), cString(sql), noParameterTypes])));
		await this.send(Buffer.concat([...frames, buildFrame(frontendTypes.sync, Buffer.alloc(0))]));
	}

	close(): void {
		this.socket.destroy();
	}

	private async send(bytes: Buffer): Promise<Rows> {
		return new Promise((resolve, reject) => {
			this.pending = {rows: [], resolve, reject};
			this.socket.write(bytes);
		});
	}

	private take({type, bytes}: Frame): void {
		if (type === backendTypes.dataRow) {
			this.pending?.rows.push(readDataRow(bytes));
		} else if (type === backendTypes.errorResponse && this.pending) {
			this.pending.error = readErrorField(bytes, 'M') ?? 'error without a message';
		} else if (type === backendTypes.readyForQuery) {
			this.finish();
		}
	}

	private finish(): void {
		const {pending} = this;
		this.pending = undefined;
		if (pending?.error === undefined) {
			pending?.resolve(pending.rows);
		} else {
			pending.reject(new Error(pending.error));
		}
	}

	private fail(error: Error): void {
		this.pending?.reject(this.pending.error === undefined ? error : new Error(this.pending.error));
		this.pending = undefined;
	}
}

function startupMessage(database: string, application: string): Buffer {
	const parameters = ['user', 'demo', 'database', database, 'application_name', application];
	const body = Buffer.concat([...parameters.map(text => cString(text)), Buffer.alloc(1)]);
	const head = Buffer.alloc(8);
	head.writeInt32BE(head.length + body.length, 0);
	head.writeInt32BE(protocolVersion, 4);
	return Buffer.concat([head, body]);
}

/** Opens callers, a limited number at a time. */
export async function openCallers(target: CallerTarget, count: number): Promise<readonly RawCaller[]> {
	const atOnce = 100;
	const callers: RawCaller[] = [];
	while (callers.length < count) {
		const batch = Array.from({length: Math.min(atOnce, count - callers.length)}, async () => RawCaller.connect(target));
		callers.push(...await Promise.all(batch));
	}

	return callers;
}
