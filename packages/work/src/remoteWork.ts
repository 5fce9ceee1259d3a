import {
	FailureError, type ExchangeOptions, type ExchangeResult, type FrameSink, type Span, type Tracer, type UnitOfWork, type WorkRequest,
} from '@crocusloom/model';
import {
	cancelMessage, channelTypes, isTrailer, maximumExchangeBytes, packMessage, releaseMessage, unpackMessage, type Trailer,
} from './channelMessages.js';
import {type FrameSocket} from './frameSocket.js';
import {frameLengthAt} from './frameWalk.js';

/** A unit of work at a peer, over one channel. */
export class RemoteWork implements UnitOfWork {
	private readonly span: Span;
	private isOpen = false;
	private isRunning = false;
	private isReleased = false;

	private readonly host: string;

	/**
	 * @param channel - used by this unit of work alone until it is given back
	 * @param request - sent with the first exchange
	 * @param peer - host name of the holder, and the tracer for the hop to it
	 * @param giveBack - takes the channel when it can serve another unit of work
	 */
	constructor(
		private readonly channel: FrameSocket,
		private readonly request: WorkRequest,
		{host, tracer}: {readonly host: string; readonly tracer: Tracer},
		private readonly giveBack: () => void,
	) {
		this.host = host;
		this.span = tracer.start('work channel', request.traceparent, {host, database: request.database});
	}

	async exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		if (this.isReleased || this.isRunning || options.signal.aborted || frames.length > maximumExchangeBytes) {
			throw this.notRun('limit', 'the exchange is too large, or its unit of work has ended or runs another one');
		}

		if (this.channel.closed.aborted) {
			throw this.notRun('unreachable', 'the work channel ended before the exchange');
		}

		if (options.cancelSignal?.aborted) {
			throw this.notRun('limit', 'the caller cancelled the exchange before it was sent');
		}

		this.isRunning = true;
		const abort = () => {
			this.channel.close();
		};

		const cancel = () => {
			this.cancel();
		};

		options.signal.addEventListener('abort', abort, {once: true});
		options.cancelSignal?.addEventListener('abort', cancel, {once: true});
		try {
			this.send(frames, options);
			return await this.readAnswer(sink);
		} catch (error) {
			this.closeUnlessAnswered(error);
			throw error;
		} finally {
			this.isRunning = false;
			options.signal.removeEventListener('abort', abort);
			options.cancelSignal?.removeEventListener('abort', cancel);
		}
	}

	cancel(): void {
		if (this.isRunning) {
			void this.channel.write(cancelMessage);
		}
	}

	release(): void {
		if (this.isReleased) {
			return;
		}

		this.isReleased = true;
		this.span.end();
		if (this.isRunning) {
			this.channel.close();
			return;
		}

		if (this.isOpen) {
			void this.channel.write(releaseMessage);
		}

		this.giveBack();
	}

	/** Sends header and frames in one write. */
	private send(frames: Buffer, {mayCommit, preparedStatements = []}: ExchangeOptions): void {
		const request = this.isOpen ? undefined : {...this.request, traceparent: this.span.traceparent};
		const header = packMessage(channelTypes.exchange, {
			request, mayCommit, preparedStatements, framesBytes: frames.length,
		});
		this.isOpen = true;
		void this.channel.write(Buffer.concat([header, frames]));
	}

	private async readAnswer(sink: FrameSink): Promise<ExchangeResult> {
		for (;;) {
			const {done, value: chunk} = await this.channel.next();
			if (done) {
				throw this.unknown('the work channel ended before the answer was complete');
			}

			const trailerOffset = findTrailer(chunk);
			if (trailerOffset > 0) {
				const ready = sink(chunk.subarray(0, trailerOffset));
				if (ready) {
					await ready;
				}
			}

			if (trailerOffset < chunk.length) {
				return this.readTrailer(chunk.subarray(trailerOffset));
			}
		}
	}

	private readTrailer(message: Buffer): ExchangeResult {
		let trailer: Trailer;
		try {
			trailer = unpackMessage<Trailer>(message);
		} catch (error) {
			throw this.unknown(String(error));
		}

		if (!isTrailer(trailer)) {
			throw this.unknown('the trailer of the answer has an impossible shape');
		}

		if ('failure' in trailer) {
			throw new RemoteFailure(trailer.failure);
		}

		return trailer.result;
	}

	/** A failure that the holder reported leaves the channel in order; any other one does not. */
	private closeUnlessAnswered(error: unknown): void {
		if (!(error instanceof RemoteFailure)) {
			this.channel.close();
		}
	}

	private notRun(reason: 'limit' | 'unreachable', message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason, step: 'peer', peer: this.host, message,
		});
	}

	private unknown(message: string): FailureError {
		return new FailureError({
			kind: 'unknown', step: 'peer', peer: this.host, message,
		});
	}
}

/** A failure that the holder reported in a trailer. */
class RemoteFailure extends FailureError {}

/** Offset of the trailer in bytes cut at frame boundaries; the length of the bytes when there is none. */
function findTrailer(chunk: Buffer): number {
	let offset = 0;
	while (offset < chunk.length && chunk[offset] !== channelTypes.trailer) {
		offset += frameLengthAt(chunk, offset);
	}

	return offset;
}
