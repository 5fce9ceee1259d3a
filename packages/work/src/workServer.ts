import {createServer, type AddressInfo, type Server} from 'node:net';
import {toFailure, type Failure, type UnitOfWork} from '@crocusloom/model';
import {
	messageTypes, isExchangeHeader, packMessage, unpackMessage, type ExchangeHeader, type Trailer,
} from './channelMessages.js';
import {FrameSocket} from './frameSocket.js';
import {frameLengthAt} from './frameScan.js';
import {type Holder} from './holder.js';

/** Serves the work channels through which other proxies run units of work at the databases that this process holds. */
export class WorkServer {
	private readonly server: Server;
	private readonly sessions = new Set<ChannelSession>();

	/**
	 * @param holder - opens the units of work
	 * @param host - name of this host, for failures
	 */
	constructor(private readonly holder: Holder, private readonly host: string) {
		this.server = createServer(socket => {
			void this.serve(new FrameSocket(socket, 'work channel'));
		});
	}

	/** Number of open channels. */
	get channelCount(): number {
		return this.sessions.size;
	}

	/**
	 * Starts listening for channels.
	 * @returns the port, which is assigned by the system if `port` is 0
	 */
	async listen(address: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, address, () => {
				this.server.off('error', reject);
				resolve((this.server.address() as AddressInfo).port);
			});
		});
	}

	/** Stops listening and closes all channels. */
	close(): void {
		this.server.close();
		for (const session of this.sessions) {
			session.close();
		}
	}

	private async serve(socket: FrameSocket): Promise<void> {
		const session = new ChannelSession(socket, this.holder, this.host);
		this.sessions.add(session);
		await session.run();
		this.sessions.delete(session);
	}
}

/** Server side of one channel. Processes messages in order and runs one unit of work at a time. */
class ChannelSession {
	private readonly channelClosed: AbortSignal;
	private work: UnitOfWork | undefined;
	private header: ExchangeHeader | undefined;
	private frames: Buffer[] = [];
	private remainingFramesBytes = 0;
	private isRunning = false;

	constructor(private readonly socket: FrameSocket, private readonly holder: Holder, private readonly host: string) {
		this.channelClosed = socket.closed;
	}

	/** Processes messages until the channel closes, and then releases the unit of work if one is open. */
	async run(): Promise<void> {
		try {
			for (;;) {
				const {done, value: chunk} = await this.socket.next();
				if (done) {
					return;
				}

				this.receive(chunk);
			}
		} catch {
			// The channel of a peer that violates the protocol is closed.
		} finally {
			this.close();
		}
	}

	close(): void {
		this.socket.close();
		this.releaseWork();
	}

	private receive(chunk: Buffer): void {
		let offset = 0;
		while (offset < chunk.length) {
			if (this.remainingFramesBytes > 0) {
				const end = Math.min(chunk.length, offset + this.remainingFramesBytes);
				this.receiveFrames(chunk.subarray(offset, end));
				offset = end;
				continue;
			}

			const end = offset + frameLengthAt(chunk, offset);
			this.handleMessage(chunk.subarray(offset, end));
			offset = end;
		}
	}

	private handleMessage(message: Buffer): void {
		switch (message[0]!) {
			case messageTypes.exchange: {
				this.startExchange(unpackMessage<ExchangeHeader>(message));
				return;
			}

			case messageTypes.cancel: {
				this.work?.cancel();
				return;
			}

			case messageTypes.release: {
				this.releaseWork();
				return;
			}

			default: {
				throw new Error(`message type ${message[0]} is not expected on a work channel`);
			}
		}
	}

	private startExchange(header: ExchangeHeader): void {
		if (this.isRunning || !isExchangeHeader(header)) {
			throw new Error('an exchange was sent while another one was running, or its header is invalid');
		}

		this.header = header;
		this.remainingFramesBytes = header.framesBytes;
	}

	private receiveFrames(bytes: Buffer): void {
		this.frames.push(bytes);
		this.remainingFramesBytes -= bytes.length;
		if (this.remainingFramesBytes === 0) {
			const frames = this.frames.length === 1 ? bytes : Buffer.concat(this.frames);
			this.frames = [];
			void this.runExchange(this.header!, frames);
		}
	}

	private async runExchange(header: ExchangeHeader, frames: Buffer): Promise<void> {
		this.isRunning = true;
		const trailer = await this.execute(header, frames);
		this.isRunning = false;
		void this.socket.write(packMessage(messageTypes.trailer, trailer));
	}

	private async execute(header: ExchangeHeader, frames: Buffer): Promise<Trailer> {
		try {
			if (header.request) {
				this.releaseWork();
				this.work = this.holder.openSync(header.request);
			}

			if (!this.work) {
				return {failure: this.createFailure('notRun', 'no unit of work is open')};
			}

			const {mayCommit, preparedStatements} = header;
			const sink = (bytes: Buffer): Promise<void> | undefined => this.socket.writeCorked(bytes);
			const result = await this.work.exchange(frames, sink, {mayCommit, preparedStatements, signal: this.channelClosed});
			return {result};
		} catch (error) {
			return {failure: toFailure(error, message => this.createFailure('unknown', message))};
		}
	}

	private createFailure(kind: 'notRun' | 'unknown', message: string): Failure {
		const base = {step: 'execute', peer: this.host, message} as const;
		return kind === 'notRun' ? {kind, reason: 'limit', ...base} : {kind, ...base};
	}

	private releaseWork(): void {
		this.work?.release();
		this.work = undefined;
	}
}
