import {sqlStates} from '@crocusloom/model';
import {frontend, type Frame} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';
import {callerSqlStates, refusal} from './errors.js';
import {type CallerLimits} from './types.js';

/** What a caller sent up to the point where it waits for an answer. */
export type CollectedExchange
	= | {readonly kind: 'query'; readonly frame: Buffer}
		/** Ended by Sync, or by Flush when `isFlush`. */
		| {readonly kind: 'extended'; readonly frames: readonly Frame[]; readonly isFlush: boolean}
		| {readonly kind: 'functionCall'}
		| {readonly kind: 'end'};

const extendedTypes: ReadonlySet<number> = new Set([frontend.parse, frontend.bind, frontend.describe, frontend.execute, frontend.close]);
/** Left over by a caller whose COPY failed; the protocol says that they are ignored. */
const ignoredTypes: ReadonlySet<number> = new Set([frontend.copyData, frontend.copyDone, frontend.copyFail]);

/** Collects frames into exchanges. */
export class ExchangeCollector {
	/** True while nothing of an exchange has come. */
	isIdle = false;
	private frames: Frame[] = [];
	private sizeBytes = 0;
	private isSkipping = false;

	private readonly endings: Readonly<Record<number, (frame: Frame) => CollectedExchange | undefined>> = {
		[frontend.query]: frame => {
			this.requireNothingCollected();
			return {kind: 'query', frame: frame.bytes};
		},
		[frontend.functionCall]: () => {
			this.requireNothingCollected();
			return {kind: 'functionCall'};
		},
		[frontend.sync]: () => {
			this.isSkipping = false;
			return {kind: 'extended', frames: this.frames, isFlush: false};
		},
		[frontend.flush]: () => this.frames.length === 0 ? undefined : {kind: 'extended', frames: this.frames, isFlush: true},
		[frontend.terminate]: () => ({kind: 'end'}),
	};

	constructor(private readonly channel: CallerChannel, private readonly limits: CallerLimits) {}

	/** After an error in an exchange that ended in Flush, messages are skipped until Sync. */
	skipUntilSync(): void {
		this.isSkipping = true;
	}

	/**
	 * Waits for the next exchange.
	 * @throws FailureError when the caller breaks the protocol or the bounds; the connection must be closed then
	 */
	async collect(): Promise<CollectedExchange> {
		for (;;) {
			const frame = this.channel.take() ?? await this.wait();
			const exchange = frame ? this.accept(frame) : {kind: 'end'} as const;
			if (exchange) {
				this.frames = [];
				this.sizeBytes = 0;
				return exchange;
			}
		}
	}

	private async wait(): Promise<Frame | undefined> {
		this.isIdle = this.frames.length === 0;
		try {
			return await this.channel.next();
		} finally {
			this.isIdle = false;
		}
	}

	private accept(frame: Frame): CollectedExchange | undefined {
		if (extendedTypes.has(frame.type)) {
			this.keep(frame);
			return undefined;
		}

		if (this.isSkipping && frame.type !== frontend.sync && frame.type !== frontend.terminate) {
			return undefined;
		}

		if (ignoredTypes.has(frame.type)) {
			return undefined;
		}

		const ending = this.endings[frame.type];
		if (!ending) {
			throw refusal('forward', this.channel.peer, sqlStates.protocolViolation, `unexpected message type ${frame.type}`);
		}

		return ending(frame);
	}

	private keep(frame: Frame): void {
		if (this.isSkipping) {
			return;
		}

		this.sizeBytes += frame.bytes.length;
		if (this.sizeBytes > this.limits.maximumExchangeBytes) {
			throw refusal('forward', this.channel.peer, callerSqlStates.programLimitExceeded, `messages up to Sync are above the limit of ${this.limits.maximumExchangeBytes} bytes`);
		}

		this.frames.push(frame);
	}

	private requireNothingCollected(): void {
		if (this.frames.length > 0) {
			throw refusal('forward', this.channel.peer, sqlStates.protocolViolation, 'Sync was expected before the next query');
		}
	}
}
