import {type Socket} from 'node:net';
import {sqlStates, type Clock} from '@crocusloom/model';
import {FrameReader, type Frame} from '@crocusloom/wire';
import {refusal} from './errors.js';
import {type CallerLimits} from './types.js';

/** Unread frames above this pause the socket, so that a pipelining caller cannot take all memory. */
const maximumQueuedBytes = 256 * 1024;
/** Time that a caller has to read the last message. */
const lingerMs = 1000;
/** Bytes that a caller may send before it is authenticated. */
const maximumEarlyBytes = 64 * 1024;
/** PostgreSQL's own limit for startup packets. */
const maximumStartupBytes = 10_000;

/** A caller's socket: whole frames in, buffers out, both bounded. */
export class CallerChannel {
	readonly closed = new AbortController();
	private readonly reader: FrameReader;
	private frames: Frame[] = [];
	private nextIndex = 0;
	private queuedBytes = 0;
	/** Bytes received before authentication; undefined afterwards. */
	private earlyBytes: number | undefined = 0;
	private startup: Buffer | undefined = Buffer.alloc(0);
	private ended = false;
	private isEnding = false;
	/** Channel of the TLS layer on top of this socket. */
	private upper: CallerChannel | undefined;
	private error: Error | undefined;
	private wake: (() => void) | undefined;
	private wakeWriter: (() => void) | undefined;

	/**
	 * @param socket - connected socket; the channel owns it
	 * @param peer - whom to name in failures
	 */
	constructor(readonly socket: Socket, readonly peer: string, private readonly limits: CallerLimits, private readonly clock: Clock) {
		this.reader = new FrameReader(peer, limits.maximumFrameBytes);
		socket.on('data', this.onData);
		socket.on('end', this.onEnd);
		socket.on('error', this.onEnd);
		socket.on('close', this.onClose);
		socket.on('drain', this.onDrain);
	}

	/** True when frames wait that the session has not taken. */
	get hasInput(): boolean {
		return this.nextIndex < this.frames.length || this.reader.bufferedBytes > 0;
	}

	/** Gives the socket up, for a TLS layer on top of it. The caller must have sent nothing further in the clear. */
	detach(): Socket {
		if (this.startup === undefined || this.startup.length > 0) {
			throw refusal('startup', this.peer, sqlStates.protocolViolation, 'data was sent in the clear behind SSLRequest');
		}

		this.socket.off('data', this.onData);
		this.socket.off('end', this.onEnd);
		this.socket.off('drain', this.onDrain);
		return this.socket;
	}

	/** Lets the channel of a TLS layer end the connection. */
	layer(upper: CallerChannel): void {
		this.upper = upper;
	}

	/**
	 * Reads a packet without type byte.
	 * @returns the packet behind its length, or undefined at the end of the stream
	 */
	async readStartupPacket(): Promise<Buffer | undefined> {
		for (;;) {
			const packet = this.takeStartupPacket();
			if (packet ?? this.ended) {
				return packet;
			}

			await this.input();
		}
	}

	/** Treats all further input as frames. */
	startFrames(): void {
		const rest = this.startup;
		this.startup = undefined;
		if (rest && rest.length > 0) {
			this.onData(rest);
		}
	}

	/**
	 * Reads the next frame; `take` saves the wait when one is there.
	 * @returns the frame, or undefined at the end of the stream
	 */
	async next(): Promise<Frame | undefined> {
		for (;;) {
			const frame = this.take();
			if (frame) {
				return frame;
			}

			if (this.error) {
				throw this.error;
			}

			if (this.ended) {
				return undefined;
			}

			await this.input();
		}
	}

	/**
	 * Writes buffers in one go.
	 * @returns a promise when the caller must read before more is sent
	 * @throws FailureError when the caller does not read in time or is gone
	 */
	write(buffers: readonly Buffer[]): Promise<void> | void {
		if (this.isEnding || this.socket.destroyed) {
			return undefined;
		}

		if (buffers.length === 1) {
			this.socket.write(buffers[0]!);
		} else {
			this.socket.cork();
			for (const buffer of buffers) {
				this.socket.write(buffer);
			}

			this.socket.uncork();
		}

		return this.socket.writableNeedDrain ? this.waitForDrain() : undefined;
	}

	/** Sends a last message and closes; bytes that the caller does not read in time are dropped. */
	end(last?: Buffer): void {
		if (this.upper) {
			this.upper.end(last);
			return;
		}

		if (this.closed.signal.aborted || this.socket.destroyed || this.isEnding) {
			return;
		}

		this.isEnding = true;
		this.ended = true;
		this.notify();
		if (last) {
			this.socket.write(last);
		}

		this.socket.end();
		void this.destroyLater();
	}

	/** Lifts the bound on input that holds before authentication. */
	acceptLargeFrames(): void {
		this.earlyBytes = undefined;
	}

	/** Gives the next frame if it is there. */
	take(): Frame | undefined {
		const frame = this.frames[this.nextIndex];
		if (!frame) {
			return undefined;
		}

		this.nextIndex++;
		this.queuedBytes -= frame.bytes.length;
		if (this.nextIndex === this.frames.length) {
			this.frames = [];
			this.nextIndex = 0;
		}

		if (this.socket.isPaused() && this.queuedBytes < maximumQueuedBytes) {
			this.socket.resume();
		}

		return frame;
	}

	private async destroyLater(): Promise<void> {
		try {
			await this.clock.sleep(lingerMs, this.closed.signal);
			this.socket.destroy();
		} catch {
			// The socket closed by itself.
		}
	}

	private takeStartupPacket(): Buffer | undefined {
		const bytes = this.startup!;
		if (bytes.length < 4) {
			return undefined;
		}

		const lengthBytes = bytes.readInt32BE(0);
		if (lengthBytes < 8 || lengthBytes > maximumStartupBytes) {
			throw refusal('startup', this.peer, sqlStates.protocolViolation, `startup packet length ${lengthBytes} is invalid`);
		}

		if (bytes.length < lengthBytes) {
			return undefined;
		}

		this.startup = bytes.subarray(lengthBytes);
		return bytes.subarray(4, lengthBytes);
	}

	private async input(): Promise<void> {
		return new Promise(resolve => {
			this.wake = resolve;
		});
	}

	private async waitForDrain(): Promise<void> {
		const timer = new AbortController();
		const drained = new Promise<'drained'>(resolve => {
			this.wakeWriter = () => {
				resolve('drained');
			};
		});
		const late = this.clock.sleep(this.limits.stalledCallerMs, timer.signal).then(() => 'late' as const, () => 'drained' as const);
		const outcome = await Promise.race([drained, late]);
		timer.abort();
		if (outcome === 'late') {
			this.socket.destroy();
			throw refusal('forward', this.peer, sqlStates.adminShutdown, `the caller read nothing for ${this.limits.stalledCallerMs} ms`);
		}

		if (this.socket.destroyed) {
			throw refusal('forward', this.peer, sqlStates.adminShutdown, 'the caller closed its connection');
		}
	}

	private readonly onData = (chunk: Buffer): void => {
		if (this.startup) {
			this.startup = this.startup.length === 0 ? chunk : Buffer.concat([this.startup, chunk]);
			if (this.startup.length > 2 * maximumStartupBytes) {
				this.socket.pause();
			}
		} else {
			this.queueFrames(chunk);
		}

		this.notify();
	};

	private queueFrames(chunk: Buffer): void {
		if (this.error) {
			return;
		}

		if (this.earlyBytes !== undefined) {
			this.earlyBytes += chunk.length;
			if (this.earlyBytes > maximumEarlyBytes) {
				this.error = refusal('authentication', this.peer, sqlStates.protocolViolation, `more than ${maximumEarlyBytes} bytes were sent before authentication`);
				this.socket.pause();
				return;
			}
		}

		try {
			for (const frame of this.reader.push(chunk)) {
				this.frames.push(frame);
				this.queuedBytes += frame.bytes.length;
			}
		} catch (error) {
			this.error = error as Error;
			this.socket.pause();
			return;
		}

		if (this.queuedBytes >= maximumQueuedBytes) {
			this.socket.pause();
		}
	}

	private readonly onEnd = (): void => {
		this.ended = true;
		this.notify();
	};

	private readonly onClose = (): void => {
		this.ended = true;
		this.closed.abort();
		this.notify();
		this.onDrain();
	};

	private readonly onDrain = (): void => {
		const {wakeWriter} = this;
		this.wakeWriter = undefined;
		wakeWriter?.();
	};

	private notify(): void {
		const {wake} = this;
		this.wake = undefined;
		wake?.();
	}
}
