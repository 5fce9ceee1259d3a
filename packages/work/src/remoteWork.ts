import {
	FailureError, type ExchangeOptions, type ExchangeResult, type FrameSink, type Span, type Tracer, type UnitOfWork, type WorkRequest,
} from '@crocusloom/model';
import {
	cancelMessage, messageTypes, isTrailer, maximumExchangeBytes, packMessage, releaseMessage, unpackMessage, type Trailer,
} from './channelMessages.js';
import {type FrameSocket} from './frameSocket.js';
import {frameLengthAt} from './frameScan.js';

/** A unit of work at a peer, which uses one work channel. */
export class RemoteWork implements UnitOfWork {
	private readonly span: Span;
	private isOpen = false;
	private isRunning = false;
	private isReleased = false;

	private readonly host: string;

	/**
	 * @param channel - channel that only this unit of work uses until it is returned
	 * @param request - request that is sent with the first exchange
	 * @param peer - host name of the holder, and the tracer of the hop to it
	 * @param returnChannel - returns the channel to the pool; called when the channel can serve another unit of work
	 */
	constructor(
		private readonly channel: FrameSocket,
		private readonly request: WorkRequest,
		{host, tracer}: {readonly host: string; readonly tracer: Tracer},
		private readonly returnChannel: () => void,
	) {
		this.host = host;
		this.span = tracer.start('work channel', request.traceparent, {host, database: request.database});
	}

	async exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		if (this.isReleased || this.isRunning || options.signal.aborted || frames.length > maximumExchangeBytes) {
			throw this.notRunError('limit', 'the exchange is too large, or its unit of work was released or runs another exchange');
		}

		if (this.channel.closed.aborted) {
			throw this.notRunError('unreachable', 'the work channel was closed before the exchange was sent');
		}

		if (options.cancelSignal?.aborted) {
			throw this.notRunError('limit', 'the caller cancelled the exchange before it was sent');
		}

		this.isRunning = true;
		const closeOnAbort = () => {
			this.channel.close();
		};

		const cancelOnAbort = () => {
			this.cancel();
		};

		options.signal.addEventListener('abort', closeOnAbort, {once: true});
		options.cancelSignal?.addEventListener('abort', cancelOnAbort, {once: true});
		try {
			this.send(frames, options);
			return await this.readResponse(sink);
		} catch (error) {
			this.closeUnlessReportedByHolder(error);
			throw error;
		} finally {
			this.isRunning = false;
			options.signal.removeEventListener('abort', closeOnAbort);
			options.cancelSignal?.removeEventListener('abort', cancelOnAbort);
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

		this.returnChannel();
	}

	/** Sends the header and the frames in one write. */
	private send(frames: Buffer, {mayCommit, preparedStatements = []}: ExchangeOptions): void {
		const request = this.isOpen ? undefined : {...this.request, traceparent: this.span.traceparent};
		const header = packMessage(messageTypes.exchange, {
			request, mayCommit, preparedStatements, framesBytes: frames.length,
		});
		this.isOpen = true;
		void this.channel.write(Buffer.concat([header, frames]));
	}

	private async readResponse(sink: FrameSink): Promise<ExchangeResult> {
		for (;;) {
			const {done, value: chunk} = await this.channel.next();
			if (done) {
				throw this.unknownOutcomeError('the work channel ended before the answer was complete');
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
			throw this.unknownOutcomeError(String(error));
		}

		if (!isTrailer(trailer)) {
			throw this.unknownOutcomeError('the trailer of the response is malformed');
		}

		if ('failure' in trailer) {
			throw new RemoteFailureError(trailer.failure);
		}

		return trailer.result;
	}

	/** Closes the channel, unless the holder reported the failure in a trailer, after which the channel is reusable. */
	private closeUnlessReportedByHolder(error: unknown): void {
		if (!(error instanceof RemoteFailureError)) {
			this.channel.close();
		}
	}

	private notRunError(reason: 'limit' | 'unreachable', message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason, step: 'peer', peer: this.host, message,
		});
	}

	private unknownOutcomeError(message: string): FailureError {
		return new FailureError({
			kind: 'unknown', step: 'peer', peer: this.host, message,
		});
	}
}

/** A failure that the holder reported in a trailer. */
class RemoteFailureError extends FailureError {}

/** Returns the offset of the trailer in a chunk of whole frames, or the length of the chunk if it contains none. */
function findTrailer(chunk: Buffer): number {
	let offset = 0;
	while (offset < chunk.length && chunk[offset] !== messageTypes.trailer) {
		offset += frameLengthAt(chunk, offset);
	}

	return offset;
}
