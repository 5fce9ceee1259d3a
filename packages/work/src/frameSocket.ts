import {type Socket} from 'node:net';
import {FrameReader} from '@crocusloom/wire';

/** Received bytes that are kept before the socket is paused. */
const highWaterBytes = 256 * 1024;

type Waiter = (result: IteratorResult<Buffer, undefined>) => void;

const ended: IteratorResult<Buffer, undefined> = {done: true, value: undefined};

/** A socket whose received bytes are cut at frame boundaries, with back-pressure by pausing it. */
export class FrameSocket {
	readonly closed: AbortSignal;
	private readonly closing = new AbortController();
	private readonly reader: FrameReader;
	private readonly chunks: Buffer[] = [];
	private queuedBytes = 0;
	private waiter: Waiter | undefined;

	/**
	 * @param socket - connected socket; this object owns it
	 * @param peer - whom to name in a failure
	 */
	constructor(private readonly socket: Socket, peer: string) {
		this.closed = this.closing.signal;
		this.reader = new FrameReader(peer);
		socket.setNoDelay(true);
		socket.on('data', (chunk: Buffer) => {
			this.take(chunk);
		});
		// Every error is followed by close.
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.end();
		});
		socket.on('end', () => {
			socket.destroy();
		});
	}

	/** Whole frames in the order received; done when the connection has ended. */
	async next(): Promise<IteratorResult<Buffer, undefined>> {
		const chunk = this.chunks.shift();
		if (chunk) {
			this.queuedBytes -= chunk.length;
			this.resumeIfLow();
			return {done: false, value: chunk};
		}

		if (this.closed.aborted) {
			return ended;
		}

		return new Promise(resolve => {
			this.waiter = resolve;
		});
	}

	/**
	 * Writes bytes.
	 * @returns a promise when the peer reads slower than this side writes; it resolves on drain or close
	 */
	write(bytes: Buffer): Promise<void> | undefined {
		if (this.closed.aborted || this.socket.write(bytes)) {
			return undefined;
		}

		return this.drained();
	}

	/** Writes bytes together with those written until the tasks that can run now are done, so that they share one packet. */
	writeTogether(bytes: Buffer): Promise<void> | undefined {
		this.socket.cork();
		process.nextTick(() => {
			this.socket.uncork();
		});
		return this.write(bytes);
	}

	close(): void {
		this.socket.destroy();
		this.end();
	}

	private async drained(): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				this.socket.off('drain', finish);
				this.closed.removeEventListener('abort', finish);
				resolve();
			};

			this.socket.on('drain', finish);
			this.closed.addEventListener('abort', finish);
		});
	}

	private take(chunk: Buffer): void {
		let frames;
		try {
			frames = this.reader.push(chunk);
		} catch {
			this.close();
			return;
		}

		if (frames.length === 0) {
			return;
		}

		// Frames of one push are contiguous in one buffer, so that one view covers them without a copy.
		const first = frames[0]!.bytes;
		const last = frames.at(-1)!.bytes;
		const sizeBytes = last.byteOffset + last.length - first.byteOffset;
		this.give(Buffer.from(first.buffer, first.byteOffset, sizeBytes));
	}

	private give(bytes: Buffer): void {
		const {waiter} = this;
		if (waiter) {
			this.waiter = undefined;
			waiter({done: false, value: bytes});
			return;
		}

		this.chunks.push(bytes);
		this.queuedBytes += bytes.length;
		if (this.queuedBytes >= highWaterBytes) {
			this.socket.pause();
		}
	}

	private resumeIfLow(): void {
		if (this.queuedBytes < highWaterBytes && this.socket.isPaused()) {
			this.socket.resume();
		}
	}

	private end(): void {
		if (this.closed.aborted) {
			return;
		}

		this.closing.abort();
		this.waiter?.(ended);
		this.waiter = undefined;
	}
}
