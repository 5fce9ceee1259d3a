import {type Socket} from 'node:net';
import {sqlStates, type Clock} from '@crocusloom/model';
import {FrameReader, type Frame} from '@crocusloom/wire';
import {protocolError} from './errors.js';
import {type CallerLimits} from './types.js';

/** The socket is paused when this many bytes of frames are queued, so that a pipelining caller cannot exhaust memory. */
const maximumQueuedBytes = 256 * 1024;
/** Time between the final message and the destruction of the socket, in which the caller can read the message. */
const lingerMs = 1000;
/** Maximum number of bytes that a caller may send before it is authenticated. */
const maximumPreAuthenticationBytes = 64 * 1024;
/** Maximum size of a startup packet, as in PostgreSQL. */
const maximumStartupBytes = 10_000;

/** Connection to a caller. Reads whole frames and writes buffers, with bounds on the memory that both directions use. */
export class CallerChannel {
	/** Aborts when the socket is closed. */
	readonly closeController = new AbortController();
	private readonly reader: FrameReader;
	private queuedFrames: Frame[] = [];
	private nextFrameIndex = 0;
	private queuedBytes = 0;
	/** Number of bytes received before authentication; undefined once the limit no longer applies. */
	private preAuthenticationBytes: number | undefined = 0;
	/** Unread bytes of the startup phase; undefined once the input consists of frames. */
	private startupBuffer: Buffer | undefined = Buffer.alloc(0);
	private isInputEnded = false;
	private isEnding = false;
	/** Channel of the TLS socket on top of this one. */
	private tlsChannel: CallerChannel | undefined;
	private inputError: Error | undefined;
	private wakeReader: (() => void) | undefined;
	private wakeWriter: (() => void) | undefined;

	/**
	 * @param socket - connected socket, which the channel owns
	 * @param peer - address of the caller, for error messages
	 */
	constructor(readonly socket: Socket, readonly peer: string, private readonly limits: CallerLimits, private readonly clock: Clock) {
		this.reader = new FrameReader(peer, limits.maximumFrameBytes);
		socket.on('data', this.onData);
		socket.on('end', this.onEnd);
		socket.on('error', this.onEnd);
		socket.on('close', this.onClose);
		socket.on('drain', this.onDrain);
	}

	/** True if received data has not been read by the session yet. */
	get hasBufferedInput(): boolean {
		return this.nextFrameIndex < this.queuedFrames.length || this.reader.bufferedBytes > 0;
	}

	/**
	 * Detaches the socket so that a TLS socket can be created on top of it.
	 * @throws FailureError `protocol` if the caller sent unencrypted data after SSLRequest, which an attacker could have injected
	 */
	detachSocket(): Socket {
		if (this.startupBuffer === undefined || this.startupBuffer.length > 0) {
			throw protocolError('startup', this.peer, sqlStates.protocolViolation, 'received unencrypted data after SSLRequest');
		}

		this.socket.off('data', this.onData);
		this.socket.off('end', this.onEnd);
		this.socket.off('drain', this.onDrain);
		return this.socket;
	}

	/** Sets the channel of the TLS socket, through which the connection is ended from now on. */
	setTlsChannel(tlsChannel: CallerChannel): void {
		this.tlsChannel = tlsChannel;
	}

	/**
	 * Reads a startup packet, which has no type byte.
	 * @returns the packet without its length field, or undefined at the end of the stream
	 */
	async readStartupPacket(): Promise<Buffer | undefined> {
		for (;;) {
			const packet = this.takeStartupPacket();
			if (packet ?? this.isInputEnded) {
				return packet;
			}

			await this.waitForInput();
		}
	}

	/** Ends the startup phase: all further input is read as frames. */
	startFrameMode(): void {
		const remainder = this.startupBuffer;
		this.startupBuffer = undefined;
		if (remainder && remainder.length > 0) {
			this.onData(remainder);
		}
	}

	/**
	 * Waits for the next frame. `takeFrame` returns a queued frame without a promise.
	 * @returns the frame, or undefined at the end of the stream
	 */
	async readFrame(): Promise<Frame | undefined> {
		for (;;) {
			const frame = this.takeFrame();
			if (frame) {
				return frame;
			}

			if (this.inputError) {
				throw this.inputError;
			}

			if (this.isInputEnded) {
				return undefined;
			}

			await this.waitForInput();
		}
	}

	/**
	 * Writes the buffers together.
	 * @returns a promise if the socket's write buffer is full, which resolves when it has drained
	 * @throws FailureError if the caller does not read in time or has disconnected
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

	/** Sends a final message, if given, and closes the connection. Bytes that the caller does not read in time are discarded. */
	end(finalMessage?: Buffer): void {
		if (this.tlsChannel) {
			this.tlsChannel.end(finalMessage);
			return;
		}

		if (this.closeController.signal.aborted || this.socket.destroyed || this.isEnding) {
			return;
		}

		this.isEnding = true;
		this.isInputEnded = true;
		this.notifyReader();
		if (finalMessage) {
			this.socket.write(finalMessage);
		}

		this.socket.end();
		void this.destroyAfterLinger();
	}

	/** Removes the limit on the total input before authentication; called once the caller is authenticated. */
	removePreAuthenticationLimit(): void {
		this.preAuthenticationBytes = undefined;
	}

	/** Returns the next frame if one is queued. */
	takeFrame(): Frame | undefined {
		const frame = this.queuedFrames[this.nextFrameIndex];
		if (!frame) {
			return undefined;
		}

		this.nextFrameIndex++;
		this.queuedBytes -= frame.bytes.length;
		if (this.nextFrameIndex === this.queuedFrames.length) {
			this.queuedFrames = [];
			this.nextFrameIndex = 0;
		}

		if (this.socket.isPaused() && this.queuedBytes < maximumQueuedBytes) {
			this.socket.resume();
		}

		return frame;
	}

	private async destroyAfterLinger(): Promise<void> {
		try {
			await this.clock.sleep(lingerMs, this.closeController.signal);
			this.socket.destroy();
		} catch {
			// The socket was closed in the meantime.
		}
	}

	private takeStartupPacket(): Buffer | undefined {
		const bytes = this.startupBuffer!;
		if (bytes.length < 4) {
			return undefined;
		}

		const lengthBytes = bytes.readInt32BE(0);
		if (lengthBytes < 8 || lengthBytes > maximumStartupBytes) {
			throw protocolError('startup', this.peer, sqlStates.protocolViolation, `startup packet length ${lengthBytes} is invalid`);
		}

		if (bytes.length < lengthBytes) {
			return undefined;
		}

		this.startupBuffer = bytes.subarray(lengthBytes);
		return bytes.subarray(4, lengthBytes);
	}

	private async waitForInput(): Promise<void> {
		return new Promise(resolve => {
			this.wakeReader = resolve;
		});
	}

	private async waitForDrain(): Promise<void> {
		const timerController = new AbortController();
		const drained = new Promise<'drained'>(resolve => {
			this.wakeWriter = () => {
				resolve('drained');
			};
		});
		const timedOut = this.clock.sleep(this.limits.writeStallTimeoutMs, timerController.signal).then(() => 'timedOut' as const, () => 'drained' as const);
		const outcome = await Promise.race([drained, timedOut]);
		timerController.abort();
		if (outcome === 'timedOut') {
			this.socket.destroy();
			throw protocolError('forward', this.peer, sqlStates.adminShutdown, `the caller did not read its response for ${this.limits.writeStallTimeoutMs} ms`);
		}

		if (this.socket.destroyed) {
			throw protocolError('forward', this.peer, sqlStates.adminShutdown, 'the caller closed its connection');
		}
	}

	private readonly onData = (chunk: Buffer): void => {
		if (this.startupBuffer) {
			this.startupBuffer = this.startupBuffer.length === 0 ? chunk : Buffer.concat([this.startupBuffer, chunk]);
			if (this.startupBuffer.length > 2 * maximumStartupBytes) {
				this.socket.pause();
			}
		} else {
			this.queueFrames(chunk);
		}

		this.notifyReader();
	};

	private queueFrames(chunk: Buffer): void {
		if (this.inputError) {
			return;
		}

		if (this.preAuthenticationBytes !== undefined) {
			this.preAuthenticationBytes += chunk.length;
			if (this.preAuthenticationBytes > maximumPreAuthenticationBytes) {
				this.inputError = protocolError('authentication', this.peer, sqlStates.protocolViolation, `more than ${maximumPreAuthenticationBytes} bytes were sent before authentication`);
				this.socket.pause();
				return;
			}
		}

		try {
			for (const frame of this.reader.push(chunk)) {
				this.queuedFrames.push(frame);
				this.queuedBytes += frame.bytes.length;
			}
		} catch (error) {
			this.inputError = error as Error;
			this.socket.pause();
			return;
		}

		if (this.queuedBytes >= maximumQueuedBytes) {
			this.socket.pause();
		}
	}

	private readonly onEnd = (): void => {
		this.isInputEnded = true;
		this.notifyReader();
	};

	private readonly onClose = (): void => {
		this.isInputEnded = true;
		this.closeController.abort();
		this.notifyReader();
		this.onDrain();
	};

	private readonly onDrain = (): void => {
		const {wakeWriter} = this;
		this.wakeWriter = undefined;
		wakeWriter?.();
	};

	private notifyReader(): void {
		const {wakeReader} = this;
		this.wakeReader = undefined;
		wakeReader?.();
	}
}
