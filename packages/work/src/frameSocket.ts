import {type Socket} from 'node:net';
import {FrameReader} from '@crocusloom/wire';

/** Number of buffered bytes at which the socket is paused. */
const highWaterMarkBytes = 256 * 1024;

/** Idle time before the kernel sends keep-alive probes. A statement may run for hours without traffic, so silence alone ends nothing. */
export const keepAliveDelayMs = 10_000;

type Waiter = (result: IteratorResult<Buffer, undefined>) => void;

const endOfStream: IteratorResult<Buffer, undefined> = {done: true, value: undefined};

/** A socket that delivers received bytes in chunks of whole frames, and is paused for backpressure. */
export class FrameSocket {
	readonly closed: AbortSignal;
	private readonly closeController = new AbortController();
	private readonly reader: FrameReader;
	private readonly chunks: Buffer[] = [];
	private queuedBytes = 0;
	private waiter: Waiter | undefined;

	/**
	 * @param socket - connected socket, which this object then owns
	 * @param peer - name of the other end, for failures
	 */
	constructor(private readonly socket: Socket, peer: string) {
		this.closed = this.closeController.signal;
		this.reader = new FrameReader(peer);
		socket.setNoDelay(true);
		socket.setKeepAlive(true, keepAliveDelayMs);
		socket.on('data', (chunk: Buffer) => {
			this.receive(chunk);
		});
		// Every error event is followed by a close event.
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.markClosed();
		});
		socket.on('end', () => {
			socket.destroy();
		});
	}

	/** Returns the next chunk of whole frames in the order received. Done when the connection is closed and all chunks were read. */
	async next(): Promise<IteratorResult<Buffer, undefined>> {
		const chunk = this.chunks.shift();
		if (chunk) {
			this.queuedBytes -= chunk.length;
			this.resumeIfLow();
			return {done: false, value: chunk};
		}

		if (this.closed.aborted) {
			return endOfStream;
		}

		return new Promise(resolve => {
			this.waiter = resolve;
		});
	}

	/**
	 * Writes bytes.
	 * @returns undefined if more can be written at once, otherwise a promise that resolves when the socket drains or closes
	 */
	write(bytes: Buffer): Promise<void> | undefined {
		if (this.closed.aborted || this.socket.write(bytes)) {
			return undefined;
		}

		return this.waitForDrain();
	}

	/** Writes bytes with the socket corked until the next tick, so that writes of the same tick share one packet. */
	writeCorked(bytes: Buffer): Promise<void> | undefined {
		this.socket.cork();
		process.nextTick(() => {
			this.socket.uncork();
		});
		return this.write(bytes);
	}

	close(): void {
		this.socket.destroy();
		this.markClosed();
	}

	private async waitForDrain(): Promise<void> {
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

	private receive(chunk: Buffer): void {
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

		// The frames of one push are contiguous in one buffer, so one view covers them without a copy.
		const first = frames[0]!.bytes;
		const last = frames.at(-1)!.bytes;
		const sizeBytes = last.byteOffset + last.length - first.byteOffset;
		this.deliver(Buffer.from(first.buffer, first.byteOffset, sizeBytes));
	}

	private deliver(bytes: Buffer): void {
		const {waiter} = this;
		if (waiter) {
			this.waiter = undefined;
			waiter({done: false, value: bytes});
			return;
		}

		this.chunks.push(bytes);
		this.queuedBytes += bytes.length;
		if (this.queuedBytes >= highWaterMarkBytes) {
			this.socket.pause();
		}
	}

	private resumeIfLow(): void {
		if (this.queuedBytes < highWaterMarkBytes && this.socket.isPaused()) {
			this.socket.resume();
		}
	}

	private markClosed(): void {
		if (this.closed.aborted) {
			return;
		}

		this.closeController.abort();
		this.waiter?.(endOfStream);
		this.waiter = undefined;
	}
}
