import {
	backend, frameHeaderBytes, FrameReader, type Frame,
} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';

/** Answer bytes that are gathered before they are written; an answer below this is written in one go. */
const flushBytes = 32 * 1024;
const readyForQueryBytes = 6;

/** One thing that the caller expects an answer to. */
export type ExpectedAnswer
	/** Answered by the proxy in this place. */
	= | {readonly kind: 'local'; readonly frames: Buffer}
	/** Answered by the backend server; `ends` are the frame types that complete the answer. */
		| {readonly kind: 'forward'; readonly ends: ReadonlySet<number>}
	/** Answered by the backend server, but not asked for by the caller. */
		| {readonly kind: 'hidden'; readonly ends: ReadonlySet<number>};

const asynchronousFrames: ReadonlySet<number> = new Set([backend.noticeResponse, backend.parameterStatus, 'A'.codePointAt(0)!]);

/** Puts the proxy's own answers into a backend server's answer and takes out those that the caller did not ask for. */
export class AnswerEditor {
	private readonly reader: FrameReader;
	private next = 0;
	private errorAt: number | undefined;

	/** @param expected - answers in the order of the requests */
	constructor(private readonly expected: readonly ExpectedAnswer[], peer: string) {
		// Answers of a backend server may have rows of any size.
		this.reader = new FrameReader(peer, 0x7F_FF_FF_FF);
	}

	/** True when the answer came before any error. */
	isAnswered(answer: ExpectedAnswer): boolean {
		return this.expected.indexOf(answer) < (this.errorAt ?? this.expected.length);
	}

	/** Edits a part of the answer. */
	edit(chunk: Buffer): Buffer {
		const output: Buffer[] = [];
		for (const frame of this.reader.push(chunk)) {
			this.editFrame(frame, output);
		}

		return output.length === 1 ? output[0]! : Buffer.concat(output);
	}

	private editFrame(frame: Frame, output: Buffer[]): void {
		if (asynchronousFrames.has(frame.type)) {
			output.push(frame.bytes);
			return;
		}

		if (frame.type === backend.errorResponse) {
			// Everything up to Sync is skipped after an error.
			this.errorAt ??= this.next;
			this.next = this.expected.length;
			output.push(frame.bytes);
			return;
		}

		this.emitLocal(output);
		const current = frame.type === backend.readyForQuery ? undefined : this.expected[this.next];
		if (current?.kind !== 'hidden') {
			output.push(frame.bytes);
		}

		if (current && current.kind !== 'local' && current.ends.has(frame.type)) {
			this.next++;
		}
	}

	private emitLocal(output: Buffer[]): void {
		for (let current = this.expected[this.next]; current?.kind === 'local'; current = this.expected[this.next]) {
			output.push(current.frames);
			this.next++;
		}
	}
}

/** Gathers the answer to one exchange and sends it on, holding back the last part until the exchange has ended. */
export class Answer {
	private pending: Buffer[] = [];
	private pendingBytes = 0;

	constructor(private readonly channel: CallerChannel, private readonly editor: AnswerEditor | undefined) {}

	/** Takes a part of the answer, cut at frame boundaries. */
	readonly sink = (chunk: Buffer): Promise<void> | void => {
		const frames = this.editor ? this.editor.edit(chunk) : chunk;
		if (frames.length === 0) {
			return undefined;
		}

		const flushed = this.pendingBytes >= flushBytes ? this.flush() : undefined;
		this.pending.push(frames);
		this.pendingBytes += frames.length;
		return flushed;
	};

	/**
	 * Sends what is left, with other frames in the place of the backend server's ReadyForQuery.
	 * @param last - frames that end the answer
	 */
	finish(last: readonly Buffer[]): Promise<void> | void {
		const part = this.pending.at(-1);
		const isUnchanged = last.length === 1 && part?.subarray(-readyForQueryBytes).equals(last[0]!);
		if (!isUnchanged) {
			this.cutReadyForQuery();
			this.pending.push(...last);
		}

		return this.pending.length > 0 ? this.flush() : undefined;
	}

	/** Drops what has not been sent, because the outcome is no longer known. */
	discard(): void {
		this.pending = [];
		this.pendingBytes = 0;
	}

	/** The answer is always complete frames, so ReadyForQuery is the end of the last part. */
	private cutReadyForQuery(): void {
		const part = this.pending.at(-1);
		const start = (part?.length ?? 0) - readyForQueryBytes;
		if (part && start >= 0 && part[start] === backend.readyForQuery && part.readInt32BE(start + 1) === readyForQueryBytes - 1) {
			this.pending[this.pending.length - 1] = part.subarray(0, start);
		}
	}

	private flush(): Promise<void> | void {
		const buffers = this.pending;
		this.pending = [];
		this.pendingBytes = 0;
		return this.channel.write(buffers);
	}
}

/** Gathers an answer within the proxy. */
export class CapturedAnswer {
	private readonly parts: Buffer[] = [];
	private sizeBytes = 0;

	constructor(private readonly maximumBytes: number) {}

	get isTooLarge(): boolean {
		return this.sizeBytes > this.maximumBytes;
	}

	readonly sink = (chunk: Buffer): void => {
		this.sizeBytes += chunk.length;
		if (this.sizeBytes <= this.maximumBytes) {
			this.parts.push(Buffer.from(chunk));
		}
	};

	/** Whole frames of the answer without ReadyForQuery. */
	frames(): readonly Frame[] {
		const reader = new FrameReader('answer', this.maximumBytes + frameHeaderBytes);
		return reader.push(Buffer.concat(this.parts)).filter(({type}) => type !== backend.readyForQuery);
	}
}
