import {sqlStates} from '@crocusloom/model';
import {frontendTypes, type Frame} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';
import {callerSqlStates, protocolError} from './errors.js';
import {type CallerLimits} from './types.js';

/** Messages of a caller up to the one after which it waits for a response. */
export type CollectedExchange
	= | {readonly kind: 'query'; readonly frame: Buffer}
		/** Messages of the extended protocol, ended by Sync, or by Flush if `isFlush`. */
		| {readonly kind: 'extended'; readonly frames: readonly Frame[]; readonly isFlush: boolean}
		| {readonly kind: 'functionCall'}
		| {readonly kind: 'end'};

const extendedQueryTypes: ReadonlySet<number> = new Set([frontendTypes.parse, frontendTypes.bind, frontendTypes.describe, frontendTypes.execute, frontendTypes.close]);
/** Messages that a caller may still send after its COPY failed. The protocol requires them to be ignored. */
const ignoredTypes: ReadonlySet<number> = new Set([frontendTypes.copyData, frontendTypes.copyDone, frontendTypes.copyFail]);

/** Maximum number of messages of one exchange, because the objects for a short message take many times its bytes. */
const maximumExchangeMessages = 100_000;

/** Groups the frames of a caller into exchanges. */
export class ExchangeCollector {
	/** True while waiting for the first frame of an exchange. */
	isWaitingForExchange = false;
	private frames: Frame[] = [];
	private collectedBytes = 0;
	private isSkipping = false;

	/** Handlers of the messages that can end an exchange, by message type. Undefined means that the exchange continues. */
	private readonly endHandlers: Readonly<Record<number, (frame: Frame) => CollectedExchange | undefined>> = {
		[frontendTypes.query]: frame => {
			this.requireEmptyExchange();
			return {kind: 'query', frame: frame.bytes};
		},
		[frontendTypes.functionCall]: () => {
			this.requireEmptyExchange();
			return {kind: 'functionCall'};
		},
		[frontendTypes.sync]: () => {
			this.isSkipping = false;
			return {kind: 'extended', frames: this.frames, isFlush: false};
		},
		[frontendTypes.flush]: () => this.frames.length === 0 ? undefined : {kind: 'extended', frames: this.frames, isFlush: true},
		[frontendTypes.terminate]: () => ({kind: 'end'}),
	};

	constructor(private readonly channel: CallerChannel, private readonly limits: CallerLimits) {}

	/** Skips all messages until Sync, as the protocol requires after an error in an exchange that ended with Flush. */
	skipUntilSync(): void {
		this.isSkipping = true;
	}

	/**
	 * Waits for the next exchange.
	 * @throws FailureError if the caller violates the protocol or a limit, after which the connection must be closed
	 */
	async collect(): Promise<CollectedExchange> {
		for (;;) {
			const frame = this.channel.takeFrame() ?? await this.waitForFrame();
			const exchange = frame ? this.handleFrame(frame) : {kind: 'end'} as const;
			if (exchange) {
				this.frames = [];
				this.collectedBytes = 0;
				return exchange;
			}
		}
	}

	private async waitForFrame(): Promise<Frame | undefined> {
		this.isWaitingForExchange = this.frames.length === 0;
		try {
			return await this.channel.readFrame();
		} finally {
			this.isWaitingForExchange = false;
		}
	}

	private handleFrame(frame: Frame): CollectedExchange | undefined {
		if (extendedQueryTypes.has(frame.type)) {
			this.collectFrame(frame);
			return undefined;
		}

		if (this.isSkipping && frame.type !== frontendTypes.sync && frame.type !== frontendTypes.terminate) {
			return undefined;
		}

		if (ignoredTypes.has(frame.type)) {
			return undefined;
		}

		const endHandler = this.endHandlers[frame.type];
		if (!endHandler) {
			throw protocolError('forward', this.channel.peer, sqlStates.protocolViolation, `unexpected message type ${frame.type}`);
		}

		return endHandler(frame);
	}

	private collectFrame(frame: Frame): void {
		if (this.isSkipping) {
			return;
		}

		this.collectedBytes += frame.bytes.length;
		if (this.collectedBytes > this.limits.maximumExchangeBytes) {
			throw protocolError('forward', this.channel.peer, callerSqlStates.programLimitExceeded, `messages up to Sync exceed the limit of ${this.limits.maximumExchangeBytes} bytes`);
		}

		if (this.frames.length >= maximumExchangeMessages) {
			throw protocolError('forward', this.channel.peer, callerSqlStates.programLimitExceeded, `messages up to Sync exceed the limit of ${maximumExchangeMessages}`);
		}

		this.frames.push(frame);
	}

	private requireEmptyExchange(): void {
		if (this.frames.length > 0) {
			throw protocolError('forward', this.channel.peer, sqlStates.protocolViolation, 'expected Sync before the next query');
		}
	}
}
