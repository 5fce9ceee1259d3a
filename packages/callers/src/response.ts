import {
	backendTypes, frameHeaderBytes, FrameReader, type Frame,
} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';

/** Number of buffered response bytes at which they are written. A smaller response is written at once when the exchange ends. */
const flushThresholdBytes = 32 * 1024;
const readyForQueryBytes = 6;

/** Expected response to one message. */
export type ExpectedResponse
	/** Response that the proxy inserts at this position. */
	= | {readonly kind: 'local'; readonly frames: Buffer}
	/** Response of the backend server that is sent on to the caller. It is complete after a frame of one of the types in `endTypes`. */
		| {readonly kind: 'forward'; readonly endTypes: ReadonlySet<number>}
	/** Response of the backend server to a message that the proxy added. The caller does not receive it. */
		| {readonly kind: 'hidden'; readonly endTypes: ReadonlySet<number>};

/** Frames that a backend server may send at any time: NoticeResponse, ParameterStatus and NotificationResponse. */
const asynchronousFrameTypes: ReadonlySet<number> = new Set([backendTypes.noticeResponse, backendTypes.parameterStatus, 'A'.codePointAt(0)!]);

/** Edits the response of a backend server: inserts the responses of the proxy, and removes those to messages that the proxy added. */
export class ResponseEditor {
	private readonly reader: FrameReader;
	private nextIndex = 0;
	private errorIndex: number | undefined;

	/** @param expectedResponses - expected responses, in the order of the messages */
	constructor(private readonly expectedResponses: readonly ExpectedResponse[], peer: string) {
		// Rows of a backend server may have any size.
		this.reader = new FrameReader(peer, 0x7F_FF_FF_FF);
	}

	/** Returns true if no error occurred before this response. */
	precedesError(response: ExpectedResponse): boolean {
		return this.expectedResponses.indexOf(response) < (this.errorIndex ?? this.expectedResponses.length);
	}

	/** Edits a chunk of the response. */
	editChunk(chunk: Buffer): Buffer {
		const output: Buffer[] = [];
		for (const frame of this.reader.push(chunk)) {
			this.editFrame(frame, output);
		}

		return output.length === 1 ? output[0]! : Buffer.concat(output);
	}

	private editFrame(frame: Frame, output: Buffer[]): void {
		if (asynchronousFrameTypes.has(frame.type)) {
			output.push(frame.bytes);
			return;
		}

		if (frame.type === backendTypes.errorResponse) {
			// After an error, the backend server skips all messages up to Sync.
			this.errorIndex ??= this.nextIndex;
			this.nextIndex = this.expectedResponses.length;
			output.push(frame.bytes);
			return;
		}

		this.emitLocalResponses(output);
		const expectedResponse = frame.type === backendTypes.readyForQuery ? undefined : this.expectedResponses[this.nextIndex];
		if (expectedResponse?.kind !== 'hidden') {
			output.push(frame.bytes);
		}

		if (expectedResponse && expectedResponse.kind !== 'local' && expectedResponse.endTypes.has(frame.type)) {
			this.nextIndex++;
		}
	}

	private emitLocalResponses(output: Buffer[]): void {
		for (let expectedResponse = this.expectedResponses[this.nextIndex]; expectedResponse?.kind === 'local'; expectedResponse = this.expectedResponses[this.nextIndex]) {
			output.push(expectedResponse.frames);
			this.nextIndex++;
		}
	}
}

/** Writes the response to one exchange to the caller. The last chunk is held back until the exchange has ended, so that frames can be inserted before ReadyForQuery. */
export class ResponseWriter {
	private pendingBuffers: Buffer[] = [];
	private pendingBytes = 0;

	constructor(private readonly channel: CallerChannel, private readonly editor: ResponseEditor | undefined) {}

	/** Receives a chunk of the response, which ends at a frame boundary. */
	readonly sink = (chunk: Buffer): Promise<void> | void => {
		const frames = this.editor ? this.editor.editChunk(chunk) : chunk;
		if (frames.length === 0) {
			return undefined;
		}

		const flushed = this.pendingBytes >= flushThresholdBytes ? this.flush() : undefined;
		this.pendingBuffers.push(frames);
		this.pendingBytes += frames.length;
		return flushed;
	};

	/**
	 * Writes the remaining frames, and replaces the ReadyForQuery of the backend server.
	 * @param finalFrames - frames that end the response
	 */
	finish(finalFrames: readonly Buffer[]): Promise<void> | void {
		const lastBuffer = this.pendingBuffers.at(-1);
		const isUnchanged = finalFrames.length === 1 && lastBuffer?.subarray(-readyForQueryBytes).equals(finalFrames[0]!);
		if (!isUnchanged) {
			this.removeReadyForQuery();
			this.pendingBuffers.push(...finalFrames);
		}

		return this.pendingBuffers.length > 0 ? this.flush() : undefined;
	}

	/** Discards the frames that have not been written, because the outcome is unknown. */
	discard(): void {
		this.pendingBuffers = [];
		this.pendingBytes = 0;
	}

	/** Removes ReadyForQuery, which is at the end of the last buffer because chunks consist of whole frames. */
	private removeReadyForQuery(): void {
		const lastBuffer = this.pendingBuffers.at(-1);
		const start = (lastBuffer?.length ?? 0) - readyForQueryBytes;
		if (lastBuffer && start >= 0 && lastBuffer[start] === backendTypes.readyForQuery && lastBuffer.readInt32BE(start + 1) === readyForQueryBytes - 1) {
			this.pendingBuffers[this.pendingBuffers.length - 1] = lastBuffer.subarray(0, start);
		}
	}

	private flush(): Promise<void> | void {
		const buffers = this.pendingBuffers;
		this.pendingBuffers = [];
		this.pendingBytes = 0;
		return this.channel.write(buffers);
	}
}

/** Keeps the response to one exchange in memory, up to a size limit. */
export class CapturedResponse {
	private readonly chunks: Buffer[] = [];
	private receivedBytes = 0;

	constructor(private readonly maximumBytes: number) {}

	/** True if the response exceeded the limit and is incomplete. */
	get isTooLarge(): boolean {
		return this.receivedBytes > this.maximumBytes;
	}

	readonly sink = (chunk: Buffer): void => {
		this.receivedBytes += chunk.length;
		if (this.receivedBytes <= this.maximumBytes) {
			this.chunks.push(Buffer.from(chunk));
		}
	};

	/** Returns the frames of the response without ReadyForQuery. */
	frames(): readonly Frame[] {
		const reader = new FrameReader('answer', this.maximumBytes + frameHeaderBytes);
		return reader.push(Buffer.concat(this.chunks)).filter(({type}) => type !== backendTypes.readyForQuery);
	}
}
