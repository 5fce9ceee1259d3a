import {createServer, type AddressInfo, type Server} from 'node:net';
import {toFailure, type Failure, type UnitOfWork} from '@crocusloom/model';
import {
	channelTypes, isExchangeHeader, packMessage, unpackMessage, type ExchangeHeader, type Trailer,
} from './channelMessages.js';
import {FrameSocket} from './frameSocket.js';
import {frameLengthAt} from './frameWalk.js';
import {type Holder} from './holder.js';

/** Serves the work channels by which other proxies use the databases that this process holds. */
export class WorkServer {
	private readonly server: Server;
	private readonly sessions = new Set<ChannelSession>();

	/**
	 * @param holder - runs the units of work
	 * @param host - name of this host, for failures
	 */
	constructor(private readonly holder: Holder, private readonly host: string) {
		this.server = createServer(socket => {
			void this.serve(new FrameSocket(socket, 'work channel'));
		});
	}

	/** Channels that are open. */
	get channelCount(): number {
		return this.sessions.size;
	}

	/**
	 * Listens for channels.
	 * @returns the port in use
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

	/** Stops listening and ends all channels. */
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

/** One channel: reads messages in order and runs one unit of work at a time. */
class ChannelSession {
	private readonly exchangeSignal: AbortSignal;
	private work: UnitOfWork | undefined;
	private header: ExchangeHeader | undefined;
	private frames: Buffer[] = [];
	private missingBytes = 0;
	private isRunning = false;

	constructor(private readonly socket: FrameSocket, private readonly holder: Holder, private readonly host: string) {
		this.exchangeSignal = socket.closed;
	}

	/** Reads until the channel ends; a unit of work that is open then is released. */
	async run(): Promise<void> {
		try {
			for (;;) {
				const {done, value: chunk} = await this.socket.next();
				if (done) {
					return;
				}

				this.take(chunk);
			}
		} catch {
			// A peer that breaks the channel's rules loses the channel.
		} finally {
			this.close();
		}
	}

	close(): void {
		this.socket.close();
		this.releaseWork();
	}

	private take(chunk: Buffer): void {
		let offset = 0;
		while (offset < chunk.length) {
			if (this.missingBytes > 0) {
				const end = Math.min(chunk.length, offset + this.missingBytes);
				this.takeFrames(chunk.subarray(offset, end));
				offset = end;
				continue;
			}

			const end = offset + frameLengthAt(chunk, offset);
			this.takeMessage(chunk.subarray(offset, end));
			offset = end;
		}
	}

	private takeMessage(message: Buffer): void {
		switch (message[0]!) {
			case channelTypes.exchange: {
				this.startHeader(unpackMessage<ExchangeHeader>(message));
				return;
			}

			case channelTypes.cancel: {
				this.work?.cancel();
				return;
			}

			case channelTypes.release: {
				this.releaseWork();
				return;
			}

			default: {
				throw new Error(`message type ${message[0]} is not expected on a work channel`);
			}
		}
	}

	private startHeader(header: ExchangeHeader): void {
		if (this.isRunning || !isExchangeHeader(header)) {
			throw new Error('an exchange was sent out of turn or has an impossible header');
		}

		this.header = header;
		this.missingBytes = header.framesBytes;
	}

	private takeFrames(bytes: Buffer): void {
		this.frames.push(bytes);
		this.missingBytes -= bytes.length;
		if (this.missingBytes === 0) {
			const frames = this.frames.length === 1 ? bytes : Buffer.concat(this.frames);
			this.frames = [];
			void this.exchange(this.header!, frames);
		}
	}

	private async exchange(header: ExchangeHeader, frames: Buffer): Promise<void> {
		this.isRunning = true;
		const trailer = await this.execute(header, frames);
		this.isRunning = false;
		void this.socket.write(packMessage(channelTypes.trailer, trailer));
	}

	private async execute(header: ExchangeHeader, frames: Buffer): Promise<Trailer> {
		try {
			if (header.request) {
				this.releaseWork();
				this.work = this.holder.openNow(header.request);
			}

			if (!this.work) {
				return {failure: this.failure('notRun', 'no unit of work is open')};
			}

			const {mayCommit, preparedStatements} = header;
			const sink = (bytes: Buffer): Promise<void> | undefined => this.socket.writeTogether(bytes);
			const result = await this.work.exchange(frames, sink, {mayCommit, preparedStatements, signal: this.exchangeSignal});
			return {result};
		} catch (error) {
			return {failure: toFailure(error, message => this.failure('unknown', message))};
		}
	}

	private failure(kind: 'notRun' | 'unknown', message: string): Failure {
		const base = {step: 'execute', peer: this.host, message} as const;
		return kind === 'notRun' ? {kind, reason: 'limit', ...base} : {kind, ...base};
	}

	private releaseWork(): void {
		this.work?.release();
		this.work = undefined;
	}
}
