import {
	FailureError, toFailure, type Dispatcher, type ExchangeOptions, type ExchangeResult, type FrameSink, type UnitOfWork, type WorkIntent,
} from '@crocusloom/model';
import {type TransactionStatus} from './types.js';

type SessionExchangeOptions = Pick<ExchangeOptions, 'preparedStatements' | 'mayCommit' | 'signal'>;

/** Open unit of work of a session, if there is one, and the transaction status that the caller sees. */
export class SessionUnitOfWork {
	status: TransactionStatus = 'I';
	private openUnit: UnitOfWork | undefined;
	/** Whether an exchange runs, and whether it is the first one of its unit of work. */
	private runningExchange: 'none' | 'first' | 'later' = 'none';
	private firstExchangeCancel = new AbortController();
	/** Unit of work in which the first exchange is attempted; undefined before it is open. */
	private attemptedUnit: UnitOfWork | undefined;
	private isCancelRequested = false;

	constructor(private readonly dispatcher: Dispatcher) {}

	/** True if a unit of work is open. */
	get isOpen(): boolean {
		return this.openUnit !== undefined;
	}

	/** True if the caller has requested to cancel the running exchange or the last one. */
	get wasCancelRequested(): boolean {
		return this.isCancelRequested;
	}

	/** True if a system failure ended the transaction and the caller has not sent ROLLBACK since. */
	get hasLostTransaction(): boolean {
		return this.status === 'E' && this.openUnit === undefined;
	}

	/**
	 * Runs one exchange in the open unit of work or in a new one. The unit of work ends when no transaction is open any more.
	 * @throws FailureError `notRun` or `unknown`, after which no unit of work is open. Every error other than `notRun` counts as `unknown`,
	 * apart from those of `createIntent`, which is called before anything is sent
	 */
	async run(frames: Buffer, sink: FrameSink, options: SessionExchangeOptions, createIntent: () => WorkIntent): Promise<ExchangeResult> {
		this.isCancelRequested = false;
		const runExchange = this.prepareExchange(frames, sink, options, createIntent);
		try {
			const result = await runExchange();
			this.status = result.transactionStatus;
			if (this.status === 'I') {
				this.release();
			}

			return result;
		} catch (error) {
			this.release();
			throw toOutcomeError(error);
		} finally {
			this.runningExchange = 'none';
			this.attemptedUnit = undefined;
		}
	}

	/**
	 * Requests that the backend server cancel the running exchange. Does nothing between exchanges. The server ignores a request that
	 * arrives before the statement does, so each further request of the caller is passed on as well.
	 */
	cancel(): void {
		if (this.runningExchange === 'none') {
			return;
		}

		this.isCancelRequested = true;
		if (this.runningExchange === 'later') {
			this.openUnit?.cancel();
		} else if (this.firstExchangeCancel.signal.aborted) {
			this.attemptedUnit?.cancel();
		} else {
			this.firstExchangeCancel.abort();
		}
	}

	/**
	 * Ends the unit of work.
	 * @param status - transaction status that the caller sees afterwards
	 */
	endWithStatus(status: 'I' | 'E'): void {
		this.release();
		this.status = status;
	}

	/** Ends the unit of work, which rolls back an open transaction, and returns to the idle status. */
	rollBack(): void {
		this.endWithStatus('I');
	}

	/** Ends the unit of work, which rolls back an open transaction. Does not change the status. */
	release(): void {
		const {openUnit} = this;
		this.openUnit = undefined;
		openUnit?.release();
	}

	/** Chooses the unit of work for an exchange. Sends nothing before the returned function is called. */
	private prepareExchange(frames: Buffer, sink: FrameSink, options: SessionExchangeOptions, createIntent: () => WorkIntent): () => Promise<ExchangeResult> {
		const {openUnit} = this;
		if (openUnit) {
			return async () => this.runOnOpenUnit(openUnit, frames, sink, options);
		}

		const intent = createIntent();
		return async () => this.dispatchFirst(frames, sink, options, intent);
	}

	private async runOnOpenUnit(unit: UnitOfWork, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		this.runningExchange = 'later';
		return unit.exchange(frames, sink, options);
	}

	private async dispatchFirst(frames: Buffer, sink: FrameSink, options: ExchangeOptions, intent: WorkIntent): Promise<ExchangeResult> {
		this.runningExchange = 'first';
		this.firstExchangeCancel = new AbortController();
		const {work, result} = await this.dispatcher.dispatch(intent, frames, sink, {
			...options,
			cancelSignal: this.firstExchangeCancel.signal,
			onOpen: unit => {
				this.attemptedUnit = unit;
			},
		});
		this.openUnit = work;
		return result;
	}
}

/** Converts an error to a failure of kind `notRun` or `unknown`. An error of another kind is `unknown`, because it may have occurred after the first byte was sent. */
function toOutcomeError(error: unknown): FailureError {
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
