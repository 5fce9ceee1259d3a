import {
	childSignal, FailureError, holdsPosition, type ExchangeOptions, type ExchangeResult, type FrameSink, type GroupView, type LogPosition,
	type PreparedStatement, type Span, type StatementMode, type FailureStep, type WaitResult, type UnitOfWork, type WorkRequest,
} from '@crocusloom/model';
import {AnswerReader} from './answerReader.js';
import {type PooledConnection} from './connectionPool.js';
import {countReadyRequests} from './frameWalk.js';
import {type HeldDatabase} from './heldDatabase.js';
import {type EndableWork} from './lossWatch.js';
import {rollBack} from './rollBack.js';
import {StallGuard} from './stallGuard.js';
import {queryMessage} from './startup.js';
import {type SlotGrant} from './rankState.js';

/** Longest wait for a majority before a commit's outcome is reported as unknown. */
export const majorityWaitMs = 5000;
/** Withheld bytes above which an exchange is given up, so that memory stays bounded. */
const maximumWithheldBytes = 4 * 1024 * 1024;
/** Prepared statements above which a connection is closed on release, so that the server's memory stays bounded. */
const maximumPreparedStatements = 1000;
/** SQLSTATEs by which the server's prepared statements turn out to differ from those recorded. */
const preparedStatementErrors: ReadonlySet<string> = new Set(['26000', '42P05']);

const positionQuery = queryMessage('SELECT * FROM crocusloom_position()');

/** A unit of work at a database that this process holds. */
export class LocalWork implements UnitOfWork, EndableWork {
	private readonly span: Span;
	private pooled: PooledConnection | undefined;
	private transactionStatus: 'I' | 'T' | 'E' = 'I';
	/** True when the connection must not be used by another unit of work. */
	private isPoisoned = false;
	private isCancelled = false;
	private isRunning = false;
	private isReleased = false;
	/** Why the database was given up while this unit of work used it. */
	private lossReason: string | undefined;
	private endMajorityWait: (() => void) | undefined;

	constructor(private readonly held: HeldDatabase, private readonly request: WorkRequest) {
		this.span = held.ports.tracer.start('holder', request.traceparent, {database: request.database, rank: request.rank});
	}

	get mode(): StatementMode {
		return this.request.mode;
	}

	async exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		if (this.isReleased || this.isRunning) {
			throw this.notRun('the unit of work is released or runs another exchange');
		}

		this.isRunning = true;
		this.isCancelled = options.cancelSignal?.aborted ?? false;
		const cancel = () => {
			this.cancel();
		};

		options.cancelSignal?.addEventListener('abort', cancel, {once: true});
		try {
			return await this.runWithSlot(frames, sink, options);
		} finally {
			options.cancelSignal?.removeEventListener('abort', cancel);
			this.isRunning = false;
			if (this.isReleased) {
				this.finish();
			}
		}
	}

	cancel(): void {
		if (!this.isRunning) {
			return;
		}

		this.isCancelled = true;
		if (this.pooled) {
			this.isPoisoned = true;
			this.pooled.connection.cancel();
		}
	}

	release(): void {
		if (this.isReleased) {
			return;
		}

		this.isReleased = true;
		this.span.end();
		if (this.isRunning) {
			this.isPoisoned = true;
			this.pooled?.connection.close();
		} else {
			this.finish();
		}
	}

	/** The connection's end makes a running exchange fail as unknown; one that was not sent yet fails as not run. */
	end(reason: string): void {
		this.lossReason = reason;
		this.isPoisoned = true;
		this.pooled?.connection.close();
		this.endMajorityWait?.();
	}

	private async runWithSlot(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		const {held, request} = this;
		const {clock, metrics} = held.ports;
		const isFirst = this.pooled === undefined;
		const freshness = isFirst ? held.awaitFreshness(request, options.signal) : undefined;
		if (freshness) {
			await freshness;
		}

		const granted = held.queue.acquire({
			rank: request.rank, callerKey: request.callerKey, inTransaction: !isFirst, waitLimitMs: request.waitLimitMs,
		}, options.signal);
		const grant = granted instanceof Promise ? await granted : granted;
		const answer = await this.runInSlot(grant, frames, sink, options);
		metrics.observeMs('slot_wait_ms', grant.waitMs, held.metricLabels);
		metrics.observeMs('statement_run_ms', answer.runMs, held.metricLabels);
		await this.acknowledge(answer.reader, options);
		const withheld = answer.reader.takeWithheld();
		await this.send(sink, [...answer.unsent, ...withheld], new StallGuard(clock));
		const {transactionStatus, sqlState, position} = answer.reader;
		return {
			transactionStatus, sqlState, position, database: held.name, waitMs: grant.waitMs, runMs: answer.runMs,
		};
	}

	private async runInSlot(grant: SlotGrant, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<FinishedAnswer> {
		try {
			const pooled = this.pooled ?? await this.connect(options.signal);
			return await this.forward(pooled, frames, sink, options);
		} finally {
			grant.release();
		}
	}

	/** Takes a connection; the demands are checked again, because the wait for the slot took time. */
	private async connect(signal: AbortSignal): Promise<PooledConnection> {
		const {pool} = this.held;
		try {
			this.held.checkDemands(this.request);
		} catch (error) {
			pool.cancelReservation();
			throw error;
		}

		this.pooled = pool.take() ?? await pool.acquire(signal);
		this.held.losses.add(this);
		return this.pooled;
	}

	private async forward(pooled: PooledConnection, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<FinishedAnswer> {
		const {connection} = pooled;
		const readyCount = countReadyRequests(frames);
		if (this.isReleased || this.isCancelled || options.signal.aborted || connection.closed.aborted || readyCount === 0) {
			throw this.notRun('the exchange ended before it was sent');
		}

		const missing = (options.preparedStatements ?? []).filter(({name}) => !connection.preparedStatements.has(name));
		const withPosition = options.mayCommit || this.request.mode === 'read';
		const reader = new AnswerReader({readyCount, extraParses: missing.length, withPosition});
		const {clock, tracer} = this.held.ports;
		const span = tracer.start('backend', this.span.traceparent, {database: this.held.name});
		const startedMs = clock.nowMs();
		const abort = () => {
			connection.close();
		};

		options.signal.addEventListener('abort', abort, {once: true});
		try {
			connection.write(joinRequest(missing, frames, withPosition));
			const unsent = await this.readAnswer(pooled, reader, sink);
			span.end();
			return {reader, unsent, runMs: clock.nowMs() - startedMs};
		} catch (error) {
			this.isPoisoned = true;
			connection.close();
			span.end(String(error));
			throw error;
		} finally {
			options.signal.removeEventListener('abort', abort);
			this.notePrepared(pooled, reader, missing);
		}
	}

	/** Reads to the end of the answer. The last parts are returned, so that they can be sent with the withheld ones. */
	private async readAnswer(pooled: PooledConnection, reader: AnswerReader, sink: FrameSink): Promise<readonly Buffer[]> {
		const guard = new StallGuard(this.held.ports.clock);
		for (;;) {
			const {done, value: chunk} = await pooled.answers.next();
			if (done) {
				throw this.unknown('execute', this.lossReason ?? reader.fatalMessage ?? 'the connection ended before the answer was complete');
			}

			const parts = reader.push(chunk);
			if (reader.isDone) {
				this.transactionStatus = reader.transactionStatus;
				return parts;
			}

			if (reader.withheldBytes > maximumWithheldBytes) {
				throw this.unknown('execute', `more than ${maximumWithheldBytes} bytes follow a commit in one exchange`);
			}

			await this.send(sink, parts, guard);
		}
	}

	private async send(sink: FrameSink, parts: readonly Buffer[], guard: StallGuard): Promise<void> {
		if (parts.length === 0) {
			return;
		}

		const ready = sink(joinParts(parts));
		if (ready && !await guard.wait(ready)) {
			throw this.unknown('forward', 'the caller stopped reading its answer');
		}
	}

	private notePrepared({connection}: PooledConnection, reader: AnswerReader, missing: readonly PreparedStatement[]): void {
		for (const {name} of missing.slice(0, reader.parsedCount)) {
			connection.preparedStatements.add(name);
		}

		this.isPoisoned ||= connection.preparedStatements.size > maximumPreparedStatements || preparedStatementErrors.has(reader.sqlState ?? '');
	}

	/**
	 * Waits until a majority holds what the exchange wrote or may have seen.
	 * @throws FailureError `unknown` when it does not
	 */
	private async acknowledge(reader: AnswerReader, options: ExchangeOptions): Promise<void> {
		const {position} = reader;
		if (!position) {
			this.checkMissingPosition(reader, options);
			return;
		}

		if (this.held.acknowledgement === 'primary') {
			return;
		}

		try {
			const view = this.held.view();
			if (isHeldByMajority(view.state().majorityPosition, position)) {
				return;
			}

			const answer = await this.waitForMajority(view, position, options.signal);
			if (answer === 'reached') {
				return;
			}

			throw this.unknown('acknowledge', answer === 'superseded' ? 'the primary was replaced' : 'no majority confirmed the position in time');
		} catch (error) {
			this.isPoisoned = true;
			throw error instanceof FailureError && error.failure.kind === 'unknown' ? error : this.unknown('acknowledge', this.lossReason ?? String(error));
		}
	}

	/** The wait ends with the loss of the database. */
	private async waitForMajority(view: GroupView, position: LogPosition, signal: AbortSignal): Promise<WaitResult> {
		if (this.lossReason !== undefined) {
			throw this.unknown('acknowledge', this.lossReason);
		}

		const ending = childSignal(signal);
		this.endMajorityWait = () => {
			ending.abort(new Error('the database was lost'));
		};

		try {
			return await view.waitForMajority(position, majorityWaitMs, ending.signal);
		} finally {
			this.endMajorityWait = undefined;
			ending.release();
		}
	}

	/** A failed transaction block refuses the position query; then nothing was committed, unless a commit came before. */
	private checkMissingPosition(reader: AnswerReader, options: ExchangeOptions): void {
		const isExpected = options.mayCommit || this.request.mode === 'read';
		const isRefused = reader.transactionStatus === 'E' && !reader.isSealed;
		if (isExpected && !isRefused) {
			this.isPoisoned = true;
			throw this.unknown('acknowledge', 'the database did not report its position');
		}
	}

	private finish(): void {
		const {pooled} = this;
		this.pooled = undefined;
		this.held.losses.remove(this);
		if (!pooled) {
			return;
		}

		if (this.isPoisoned) {
			this.held.pool.discard(pooled);
		} else if (this.transactionStatus === 'I') {
			this.held.pool.giveBack(pooled);
		} else {
			void rollBack(this.held, pooled, this.request);
		}
	}

	private notRun(message: string): FailureError {
		return this.held.refusal('limit', message);
	}

	private unknown(step: FailureStep, message: string): FailureError {
		return new FailureError({
			kind: 'unknown', step, peer: this.held.name, message,
		});
	}
}

type FinishedAnswer = {readonly reader: AnswerReader; readonly unsent: readonly Buffer[]; readonly runMs: number};

function joinRequest(missing: readonly PreparedStatement[], frames: Buffer, withPosition: boolean): Buffer {
	if (missing.length === 0 && !withPosition) {
		return frames;
	}

	const parses = missing.map(({parseFrame}) => parseFrame);
	return Buffer.concat(withPosition ? [...parses, frames, positionQuery] : [...parses, frames]);
}

function joinParts(parts: readonly Buffer[]): Buffer {
	return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}

/** A majority that once held a position of a term holds it as long as that term lasts. */
function isHeldByMajority(majority: LogPosition, position: LogPosition): boolean {
	return majority.term === position.term && holdsPosition(majority, position);
}
