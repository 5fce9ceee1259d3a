import {
	FailureError, toFailure, type Dispatcher, type ExchangeOptions, type ExchangeResult, type FrameSink, type UnitOfWork, type WorkIntent,
} from '@crocusloom/model';
import {type TransactionStatus} from './types.js';

/** The unit of work that a session has open, and its transaction status. */
export class CallerWork {
	status: TransactionStatus = 'I';
	private work: UnitOfWork | undefined;
	private running: 'no' | 'first' | 'later' = 'no';
	private cancelling = new AbortController();

	constructor(private readonly dispatcher: Dispatcher) {}

	get isOpen(): boolean {
		return this.work !== undefined;
	}

	/** True when the transaction ended by a failure of the system that the caller has not answered with ROLLBACK yet. */
	get isLost(): boolean {
		return this.status === 'E' && this.work === undefined;
	}

	/**
	 * Runs one exchange, on the open unit of work or on a new one, and ends the unit with its transaction.
	 * @throws FailureError `notRun` or `unknown`, the latter for every error that does not say that nothing ran; the unit of work is over then
	 */
	async run(frames: Buffer, sink: FrameSink, options: Pick<ExchangeOptions, 'preparedStatements' | 'mayCommit' | 'signal'>, intent: () => WorkIntent): Promise<ExchangeResult> {
		try {
			const result = this.work ? await this.runLater(this.work, frames, sink, options) : await this.runFirst(frames, sink, options, intent());
			this.status = result.transactionStatus;
			if (this.status === 'I') {
				this.release();
			}

			return result;
		} catch (error) {
			this.release();
			throw notRunOrUnknown(error);
		} finally {
			this.running = 'no';
		}
	}

	/** Asks the backend server to cancel the running exchange; nothing is done between exchanges. */
	cancel(): void {
		if (this.running === 'later') {
			this.work?.cancel();
		} else if (this.running === 'first') {
			this.cancelling.abort();
			this.cancelling = new AbortController();
		}
	}

	/** Ends the unit of work; the caller sees the status from now on. */
	fail(status: 'I' | 'E'): void {
		this.release();
		this.status = status;
	}

	/** Rolls the unit of work back. */
	abandon(): void {
		this.fail('I');
	}

	/** Ends the unit of work; an open transaction is rolled back. */
	release(): void {
		const {work} = this;
		this.work = undefined;
		work?.release();
	}

	private async runLater(work: UnitOfWork, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		this.running = 'later';
		return work.exchange(frames, sink, options);
	}

	private async runFirst(frames: Buffer, sink: FrameSink, options: ExchangeOptions, intent: WorkIntent): Promise<ExchangeResult> {
		this.running = 'first';
		const {work, result} = await this.dispatcher.dispatch(intent, frames, sink, {...options, cancelSignal: this.cancelling.signal});
		this.work = work;
		return result;
	}
}

/** Only `notRun` says that nothing ran; a fault of any other kind may have come after the first byte. */
function notRunOrUnknown(error: unknown): FailureError {
	if (error instanceof FailureError && (error.failure.kind === 'notRun' || error.failure.kind === 'unknown')) {
		return error;
	}

	const {step, peer, message} = toFailure(error, text => ({
		kind: 'unknown', step: 'forward', peer: 'dispatcher', message: text,
	}));
	return new FailureError({
		kind: 'unknown', step, peer, message,
	}, {cause: error});
}
