import {
	childSignal, FailureError, holdsPosition, type ExchangeOptions, type ExchangeResult, type FrameSink, type GroupView, type LogPosition,
	type PreparedStatement, type Span, type StatementMode, type FailureStep, type WaitResult, type UnitOfWork, type WorkRequest,
} from '@crocusloom/model';
import {ResponseReader} from './responseReader.js';
import {type PooledConnection} from './connectionPool.js';
import {countReadyForQueryRequests} from './frameScan.js';
import {type HeldDatabase} from './heldDatabase.js';
import {type AbortableWork} from './lossDetector.js';
import {rollBack} from './rollBack.js';
import {StallGuard} from './stallGuard.js';
import {queryMessage} from './startup.js';
import {type SlotGrant} from './rankState.js';

/** Maximum wait for a majority before the outcome of a commit is reported as unknown. */
export const majorityWaitMs = 5000;
/** Number of withheld bytes above which an exchange fails, to bound memory. */
const maximumWithheldBytes = 4 * 1024 * 1024;
/** Number of prepared statements above which a connection is closed on release, to bound the memory of the server. */
const maximumPreparedStatements = 1000;
/** A connection is also replaced once the messages that prepared its statements have more bytes, because the server keeps their texts. */
const maximumPreparedBytes = 16 * 1024 * 1024;
/** SQLSTATE codes that show that the prepared statements of the server differ from the recorded ones. */
const preparedStatementSqlStates: ReadonlySet<string> = new Set(['26000', '42P05']);

const positionQuery = queryMessage('SELECT * FROM crocusloom_position()');

/** A unit of work at a database that this process holds. */
export class LocalWork implements UnitOfWork, AbortableWork {
	private readonly span: Span;
	private pooled: PooledConnection | undefined;
	private transactionStatus: 'I' | 'T' | 'E' = 'I';
	/** True if the connection must not be used by another unit of work. */
	private isConnectionDirty = false;
	private isCancelled = false;
	private isRunning = false;
	private isReleased = false;
	/** Reason of the loss of the database, if it was lost while this unit of work used it. */
	private lossReason: string | undefined;
	private abortMajorityWait: (() => void) | undefined;

	constructor(private readonly held: HeldDatabase, private readonly request: WorkRequest) {
		this.span = held.ports.tracer.start('holder', request.traceparent, {database: request.database, rank: request.rank});
	}

	get mode(): StatementMode {
		return this.request.mode;
	}

	async exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		if (this.isReleased || this.isRunning) {
			throw this.notRunError('the unit of work was released or runs another exchange');
		}

		this.isRunning = true;
		this.isCancelled = options.cancelSignal?.aborted ?? false;
		const cancelOnAbort = () => {
			this.cancel();
		};

		options.cancelSignal?.addEventListener('abort', cancelOnAbort, {once: true});
		try {
			return await this.runWithSlot(frames, sink, options);
		} finally {
			options.cancelSignal?.removeEventListener('abort', cancelOnAbort);
			this.isRunning = false;
			if (this.isReleased) {
				this.releaseConnection();
			}
		}
	}

	cancel(): void {
		if (!this.isRunning) {
			return;
		}

		this.isCancelled = true;
		if (this.pooled) {
			this.isConnectionDirty = true;
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
			this.isConnectionDirty = true;
			this.pooled?.connection.close();
		} else {
			this.releaseConnection();
		}
	}

	/** Closes the connection. A running exchange then fails as `unknown`, and one that was not sent yet as `notRun`. */
	abort(reason: string): void {
		this.lossReason = reason;
		this.isConnectionDirty = true;
		this.pooled?.connection.close();
		this.abortMajorityWait?.();
	}

	private async runWithSlot(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		const {held, request} = this;
		const {clock, metrics} = held.ports;
		const isFirstExchange = this.pooled === undefined;
		const freshness = isFirstExchange ? held.waitForFreshness(request, options.signal) : undefined;
		if (freshness) {
			await freshness;
		}

		const grantOrWait = held.queue.acquire({
			rank: request.rank, callerKey: request.callerKey, isInTransaction: !isFirstExchange, waitLimitMs: request.waitLimitMs,
		}, options.signal);
		const grant = grantOrWait instanceof Promise ? await grantOrWait : grantOrWait;
		const response = await this.runInSlot(grant, frames, sink, options);
		metrics.observeMs('slot_wait_ms', grant.waitMs, held.metricLabels);
		metrics.observeMs('statement_run_ms', response.runMs, held.metricLabels);
		await this.waitForAcknowledgement(response.reader, options);
		const withheld = response.reader.takeWithheld();
		await this.sendToCaller(sink, [...response.unsent, ...withheld], new StallGuard(clock));
		const {transactionStatus, sqlState, position} = response.reader;
		return {
			transactionStatus, sqlState, position, database: held.name, waitMs: grant.waitMs, runMs: response.runMs,
		};
	}

	private async runInSlot(grant: SlotGrant, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<FinishedResponse> {
		try {
			const pooled = this.pooled ?? await this.acquireConnection(options.signal);
			return await this.runOnConnection(pooled, frames, sink, options);
		} finally {
			grant.release();
		}
	}

	/** Acquires a connection. The requirements are checked again, because they may have changed during the wait for the slot. */
	private async acquireConnection(signal: AbortSignal): Promise<PooledConnection> {
		const {pool} = this.held;
		try {
			this.held.checkRequirements(this.request);
		} catch (error) {
			pool.cancelReservation();
			throw error;
		}

		this.pooled = pool.takeIdle() ?? await pool.acquire(signal);
		this.held.lossDetector.add(this);
		return this.pooled;
	}

	private async runOnConnection(pooled: PooledConnection, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<FinishedResponse> {
		const {connection} = pooled;
		const readyCount = countReadyForQueryRequests(frames);
		if (this.isReleased || this.isCancelled || options.signal.aborted || connection.closed.aborted || readyCount === 0) {
			throw this.notRunError('the exchange was aborted before it was sent');
		}

		const missingStatements = (options.preparedStatements ?? []).filter(({name}) => !connection.preparedStatements.has(name));
		const hasPositionQuery = options.mayCommit || this.request.mode === 'read';
		const reader = new ResponseReader({readyCount, insertedParseCount: missingStatements.length, hasPositionQuery});
		const {clock, tracer} = this.held.ports;
		const span = tracer.start('backend', this.span.traceparent, {database: this.held.name});
		const startedMs = clock.nowMs();
		const closeOnAbort = () => {
			connection.close();
		};

		options.signal.addEventListener('abort', closeOnAbort, {once: true});
		try {
			connection.write(joinRequest(missingStatements, frames, hasPositionQuery));
			const unsent = await this.readResponse(pooled, reader, sink);
			span.end();
			return {reader, unsent, runMs: clock.nowMs() - startedMs};
		} catch (error) {
			this.isConnectionDirty = true;
			connection.close();
			span.end(String(error));
			throw error;
		} finally {
			options.signal.removeEventListener('abort', closeOnAbort);
			this.recordPrepared(pooled, reader, missingStatements);
		}
	}

	/**
	 * Reads the response to its end and sends all but the last parts to the caller.
	 * @returns the last parts, which are sent together with the withheld frames
	 */
	private async readResponse(pooled: PooledConnection, reader: ResponseReader, sink: FrameSink): Promise<readonly Buffer[]> {
		const stallGuard = new StallGuard(this.held.ports.clock);
		for (;;) {
			const {done, value: chunk} = await pooled.responses.next();
			if (done) {
				throw this.unknownOutcomeError('execute', this.lossReason ?? reader.fatalMessage ?? 'the connection was closed before the response was complete');
			}

			const parts = reader.push(chunk);
			if (reader.isDone) {
				this.transactionStatus = reader.transactionStatus;
				return parts;
			}

			if (reader.withheldBytes > maximumWithheldBytes) {
				throw this.unknownOutcomeError('execute', `more than ${maximumWithheldBytes} bytes follow a commit in one exchange`);
			}

			await this.sendToCaller(sink, parts, stallGuard);
		}
	}

	private async sendToCaller(sink: FrameSink, parts: readonly Buffer[], stallGuard: StallGuard): Promise<void> {
		if (parts.length === 0) {
			return;
		}

		const ready = sink(joinParts(parts));
		if (ready && !await stallGuard.wait(ready)) {
			throw this.unknownOutcomeError('forward', 'the caller stopped reading the response');
		}
	}

	private recordPrepared(pooled: PooledConnection, reader: ResponseReader, missingStatements: readonly PreparedStatement[]): void {
		const {connection} = pooled;
		for (const {name, parseFrame} of missingStatements.slice(0, reader.succeededParseCount)) {
			connection.preparedStatements.add(name);
			pooled.preparedBytes += parseFrame.length;
		}

		const hasTooManyStatements = connection.preparedStatements.size > maximumPreparedStatements || pooled.preparedBytes > maximumPreparedBytes;
		this.isConnectionDirty ||= hasTooManyStatements || preparedStatementSqlStates.has(reader.sqlState ?? '');
	}

	/**
	 * Waits until a majority holds the position that the exchange wrote or may have read.
	 * @throws FailureError `unknown` if no majority confirms the position
	 */
	private async waitForAcknowledgement(reader: ResponseReader, options: ExchangeOptions): Promise<void> {
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

			const waitResult = await this.waitForMajority(view, position, options.signal);
			if (waitResult === 'reached') {
				return;
			}

			throw this.unknownOutcomeError('acknowledge', waitResult === 'superseded' ? 'the primary was replaced' : 'no majority confirmed the position in time');
		} catch (error) {
			this.isConnectionDirty = true;
			throw error instanceof FailureError && error.failure.kind === 'unknown' ? error : this.unknownOutcomeError('acknowledge', this.lossReason ?? String(error));
		}
	}

	/** Waits for a majority. The loss of the database aborts the wait. */
	private async waitForMajority(view: GroupView, position: LogPosition, signal: AbortSignal): Promise<WaitResult> {
		if (this.lossReason !== undefined) {
			throw this.unknownOutcomeError('acknowledge', this.lossReason);
		}

		const waitController = childSignal(signal);
		this.abortMajorityWait = () => {
			waitController.abort(new Error('the database was lost'));
		};

		try {
			return await view.waitForMajority(position, majorityWaitMs, waitController.signal);
		} finally {
			this.abortMajorityWait = undefined;
			waitController.release();
		}
	}

	/**
	 * Checks whether the response may lack a position. In a failed transaction block the server refuses the position query, and
	 * nothing was committed unless an earlier command of the exchange committed.
	 * @throws FailureError `unknown` if the position is missing for another reason
	 */
	private checkMissingPosition(reader: ResponseReader, options: ExchangeOptions): void {
		const isPositionExpected = options.mayCommit || this.request.mode === 'read';
		const isPositionQueryRefused = reader.transactionStatus === 'E' && !reader.mayHaveCommittedEarly;
		if (isPositionExpected && !isPositionQueryRefused) {
			this.isConnectionDirty = true;
			throw this.unknownOutcomeError('acknowledge', 'the database did not report its position');
		}
	}

	private releaseConnection(): void {
		const {pooled} = this;
		this.pooled = undefined;
		this.held.lossDetector.remove(this);
		if (!pooled) {
			return;
		}

		if (this.isConnectionDirty) {
			this.held.pool.discard(pooled);
		} else if (this.transactionStatus === 'I') {
			this.held.pool.release(pooled);
		} else {
			void rollBack(this.held, pooled, this.request);
		}
	}

	private notRunError(message: string): FailureError {
		return this.held.notRunError('limit', message);
	}

	private unknownOutcomeError(step: FailureStep, message: string): FailureError {
		return new FailureError({
			kind: 'unknown', step, peer: this.held.name, message,
		});
	}
}

type FinishedResponse = {readonly reader: ResponseReader; readonly unsent: readonly Buffer[]; readonly runMs: number};

function joinRequest(missingStatements: readonly PreparedStatement[], frames: Buffer, hasPositionQuery: boolean): Buffer {
	if (missingStatements.length === 0 && !hasPositionQuery) {
		return frames;
	}

	const parses = missingStatements.map(({parseFrame}) => parseFrame);
	return Buffer.concat(hasPositionQuery ? [...parses, frames, positionQuery] : [...parses, frames]);
}

function joinParts(parts: readonly Buffer[]): Buffer {
	return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}

/**
 * Returns whether a majority holds a position. The terms have to be equal, because a majority that held a position is known to
 * keep it only as long as the term lasts.
 */
function isHeldByMajority(majority: LogPosition, position: LogPosition): boolean {
	return majority.term === position.term && holdsPosition(majority, position);
}
