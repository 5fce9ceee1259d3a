import {connect, type Socket} from 'node:net';
import {
	backendTypes, buildFrame, cString, FrameReader, frontendTypes, readErrorField,
} from '@crocusloom/wire';
import {waitUntil} from './harness.js';

/** Builds a StartupMessage of protocol 3.0. */
export function startupPacket(parameters: Readonly<Record<string, string>>): Buffer {
	const body = Buffer.concat([...Object.entries(parameters).flat().map(text => cString(text)), Buffer.of(0)]);
	const header = Buffer.alloc(8);
	header.writeInt32BE(8 + body.length, 0);
	header.writeInt32BE(196_608, 4);
	return Buffer.concat([header, body]);
}

export function queryFrame(text: string): Buffer {
	return buildFrame(frontendTypes.query, cString(text));
}

/** Builds Parse, Bind, Describe and Execute of a text without parameters, followed by Sync or Flush. */
export function extendedFrames(name: string, text: string, end: 'sync' | 'flush'): Buffer {
	return Buffer.concat([
		buildFrame(frontendTypes.parse, Buffer.concat([cString(name), cString(text), Buffer.alloc(2)])),
		bindFrames(name),
		buildFrame(frontendTypes[end], Buffer.alloc(0)),
	]);
}

/** Builds Bind, Describe and Execute of a prepared statement. */
export function bindFrames(name: string): Buffer {
	return Buffer.concat([
		buildFrame(frontendTypes.bind, Buffer.concat([cString(''), cString(name), Buffer.alloc(6)])),
		buildFrame(frontendTypes.describe, Buffer.from('P\0')),
		buildFrame(frontendTypes.execute, Buffer.concat([cString(''), Buffer.alloc(4)])),
	]);
}

/** Sends bytes on a new connection. Returns the SQLSTATEs of the errors and the number of exchanges that have ended. */
export async function sendFrames(port: number, startup: Buffer, frames: Buffer, expectedEnds: number): Promise<{readonly codes: ReadonlyArray<string | undefined>; readonly ends: number}> {
	const codes: Array<string | undefined> = [];
	let ends = 0;
	const reader = new FrameReader('test');
	const socket = connect(port, '127.0.0.1');
	let isClosed = false;
	socket.on('close', () => {
		isClosed = true;
	});
	socket.on('data', chunk => {
		for (const {type, bytes} of reader.push(chunk)) {
			ends += type === backendTypes.readyForQuery ? 1 : 0;
			if (type === backendTypes.errorResponse) {
				codes.push(readErrorField(bytes, 'C'));
			}
		}
	});
	socket.write(Buffer.concat([startup, frames]));
	await waitUntil(() => isClosed || ends >= expectedEnds);
	socket.destroy();
	return {codes, ends};
}

/** Caller without a driver. It always has one INSERT without an answer: it sends the next one as soon as it reads ReadyForQuery. */
export class InsertingCaller {
	/** Values of the INSERTs that were confirmed. */
	readonly confirmedValues: string[] = [];
	/** SQLSTATEs of the errors received. */
	readonly errorCodes: string[] = [];
	/** Error of the connection, for example a reset. */
	connectionError: Error | undefined;
	/** Value of the INSERT that has no ReadyForQuery yet. */
	unconfirmedValue: string | undefined;
	/** Resolves when the connection is closed. */
	readonly closed: Promise<void>;
	private readonly socket: Socket;
	private readonly reader = new FrameReader('caller');
	private statementCount = 0;
	private isPaused = false;

	constructor(port: number, private readonly name: string) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.write(startupPacket({user: 'desk', database: 'app'}));
		this.socket.on('data', chunk => {
			for (const {type, bytes} of this.reader.push(chunk)) {
				this.handleFrame(type, bytes);
			}
		});
		this.socket.on('error', error => {
			this.connectionError = error;
		});
		this.closed = new Promise(resolve => {
			this.socket.on('close', () => {
				resolve();
			});
		});
	}

	/** Sends no further statement until `resume`. */
	pause(): void {
		this.isPaused = true;
	}

	/** Sends the next statement. */
	resume(): void {
		this.isPaused = false;
		this.sendNext();
	}

	private handleFrame(type: number, bytes: Buffer): void {
		if (type === backendTypes.errorResponse) {
			this.errorCodes.push(readErrorField(bytes, 'C')!);
		} else if (type === backendTypes.readyForQuery) {
			this.handleReady();
		}
	}

	private handleReady(): void {
		if (this.unconfirmedValue !== undefined) {
			this.confirmedValues.push(this.unconfirmedValue);
			this.unconfirmedValue = undefined;
		}

		if (!this.isPaused) {
			this.sendNext();
		}
	}

	private sendNext(): void {
		this.unconfirmedValue = `${this.name}x${this.statementCount++}`;
		this.socket.write(queryFrame(`INSERT INTO t VALUES ('${this.unconfirmedValue}')`));
	}
}
