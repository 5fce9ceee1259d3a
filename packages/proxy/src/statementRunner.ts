import {
	FailureError, errorMessageOf, formatPosition, type Logger, type Metrics, type NotRunReason,
} from '@crocusloom/model';
import {type SlotGrant} from '@crocusloom/work';
import {type Backend} from './backend.js';
import {type CommitConfirmation} from './commitConfirmation.js';
import {type KnownPrimary} from './leadershipProver.js';
import {type PooledConnection} from './pooledConnection.js';
import {ConnectionError} from './ports.js';
import {rankOf} from './routeTable.js';
import {
	type AccessMode, type Answer, type AnswerError, type BackendCommand, errorAnswer, isNotRun, type PreparedStatement,
} from './statement.js';
import {
	leavingPrimaryGraceMs, type StatementExecution, Refusal, retryDelayMs, type SearchPorts, TargetSearch,
} from './targetSearch.js';
import {withTimeout} from './withTimeout.js';
import {
	type DataWork, type OpenTransaction, type Target, type WorkContext, type WorkResult,
} from './work.js';

/** Maximum number of attempts to run a statement. The caller gets the error of the last one. */
const maximumAttempts = 5;
/** Time in which a server must roll back a transaction. After that the connection is closed, which also rolls the transaction back. */
const rollbackTimeoutMs = 1000;
/** Time in which a server must set up a session on a connection. It needs no slot for that, so a longer silence is that of the connection. */
const setupTimeoutMs = 500;
/** Time for the confirmation of a commit that was acknowledged just before the deadline of its statement. */
const minimumConfirmationMs = 200;

/** Refusal reasons of the admission queue after which another server is tried. */
const retryElsewhereReasons: ReadonlySet<NotRunReason> = new Set(['unreachable', 'leaving']);

export type RunnerPorts = SearchPorts & {readonly log: Logger; readonly metrics: Metrics};

/** Runs statements at backend servers: chooses a server, waits for admission, forwards the statement and retries it if nothing ran. */
export class StatementRunner {
	private readonly targetSearch: TargetSearch;

	constructor(private readonly ports: RunnerPorts) {
		this.targetSearch = new TargetSearch(ports);
	}

	/** Runs a single statement outside any transaction. */
	async runSingle(context: WorkContext, work: DataWork): Promise<WorkResult> {
		return this.runWithRetries(context, work.mode === 'write', async execution => this.trySingle(execution, work));
	}

	/**
	 * Begins a transaction on a dedicated connection.
	 * @returns the open transaction, or the result with the error answer
	 */
	async begin(context: WorkContext, readOnly: boolean): Promise<OpenTransaction | WorkResult> {
		let openTransaction: OpenTransaction | undefined;
		const result = await this.runWithRetries(context, false, async execution => {
			openTransaction = await this.tryBegin(execution, readOnly);
			return {rows: [], state: 'open'};
		});
		return openTransaction ?? result;
	}

	/**
	 * Runs a statement of an open transaction.
	 * @param hasWritten - true if the transaction has written, in which case an unanswered commit is in doubt
	 */
	async runInTransaction(context: WorkContext, transaction: OpenTransaction, work: DataWork, hasWritten: boolean): Promise<WorkResult> {
		const {backend, connection} = transaction;
		const execution = this.newExecution(context);
		execution.target = {backend, primary: undefined, minimumPosition: undefined};
		execution.view = transaction.view;
		execution.attemptCount = 1;
		const isCommit = work.command.kind === 'commit';
		try {
			let answerAtPrimary: Answer;
			const grant = await this.admit(execution, backend, true);
			try {
				await this.setUpSession(execution, connection, work.prepared);
				execution.isWriteSent = isCommit && hasWritten;
				const answer = await this.runWithDeadline(execution, connection, work.command, work.mode);
				const isPrimaryProven = isCommit || await this.withDeadline(execution, transaction.isPrimaryProven, () => undefined);
				answerAtPrimary = isPrimaryProven ? answer : this.abortForReplacedPrimary(connection);
			} finally {
				grant.release();
			}

			return resultOf(execution, execution.isWriteSent ? await this.confirmWrite(execution, answerAtPrimary) : answerAtPrimary);
		} catch (error) {
			return resultOf(execution, this.abortAfterError(execution, connection, error));
		}
	}

	/** Rolls back a transaction that is still open and releases its connection to the pool. */
	async releaseTransaction({backend, connection}: OpenTransaction): Promise<void> {
		if (connection.isOpen && connection.isInTransaction) {
			const timer = setTimeout(() => {
				connection.close();
			}, rollbackTimeoutMs);
			try {
				const answer = await backend.run(connection, {kind: 'rollback'}, 'rollback');
				if (answer.state !== 'idle') {
					connection.close();
				}
			} catch {
				// The connection is closed, which ended the transaction.
			} finally {
				clearTimeout(timer);
			}
		}

		backend.pool.release(connection);
	}

	private abortForReplacedPrimary(connection: PooledConnection): Answer {
		connection.close();
		return errorAnswer('aborted', 'the primary was replaced; the transaction is rolled back', 'failed');
	}

	private abortAfterError(execution: StatementExecution, connection: PooledConnection, error: unknown): Answer {
		connection.close();
		const reason = errorMessageOf(error);
		return execution.isWriteSent
			? errorAnswer('inDoubt', `the commit was sent and not answered: ${reason}`, 'idle')
			: errorAnswer('aborted', `the transaction is rolled back: ${reason}`, 'failed');
	}

	/** Repeats the attempt until it is answered, the deadline is too close, or the statement may have run. */
	private async runWithRetries(context: WorkContext, isWrite: boolean, run: (execution: StatementExecution) => Promise<Answer>): Promise<WorkResult> {
		const execution = this.newExecution(context);
		for (;;) {
			execution.attemptCount++;
			try {
				const answer = await run(execution);
				if (!answer.error || !this.mayRetry(execution, answer.error, isWrite)) {
					return resultOf(execution, answer);
				}

				execution.excludedBackends.add(execution.target!.backend);
				await this.handleAnswerError(execution, answer.error);
			} catch (error) {
				const finalAnswer = this.finalAnswerFor(execution, error, isWrite);
				if (finalAnswer) {
					return resultOf(execution, finalAnswer);
				}
			}
		}
	}

	private mayRetry(execution: StatementExecution, error: AnswerError, isWrite: boolean): boolean {
		const isRetryable = isNotRun(error) || (!isWrite && error.kind === 'failed');
		return isRetryable && execution.attemptCount < maximumAttempts && this.remainingMs(execution) > retryDelayMs;
	}

	/**
	 * Prepares a retry after an error answer: invalidates a primary that refused work as a replica, and waits if the work
	 * requires the primary or a replica lacked a position.
	 */
	private async handleAnswerError(execution: StatementExecution, error: AnswerError): Promise<void> {
		const {target, context} = execution;
		if (error.kind === 'notPrimary' && target?.primary) {
			this.ports.viewOf(context.route.service)?.invalidatePrimary(target.primary, 'the server refused work as a replica');
		}

		if (target?.primary !== undefined || error.kind === 'stale') {
			await this.ports.clock.sleep(retryDelayMs);
		}
	}

	/**
	 * Returns the answer for an error that was thrown during an attempt: a refusal or, if a write may have run, `inDoubt`.
	 * Returns undefined if the statement is to be retried.
	 */
	private finalAnswerFor(execution: StatementExecution, error: unknown, isWrite: boolean): Answer | undefined {
		const message = errorMessageOf(error);
		if (isWrite && execution.isWriteSent) {
			return errorAnswer('inDoubt', `the write was sent and not answered: ${message}`, 'idle');
		}

		if (error instanceof Refusal && error.isFinal) {
			return errorAnswer(error.error.kind, error.error.message, 'idle');
		}

		if (error instanceof FailureError && error.failure.kind === 'notRun' && !retryElsewhereReasons.has(error.failure.reason)) {
			const {retryAfterMs} = error.failure;
			return errorAnswer('overloaded', `${message}${retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`}`, 'idle');
		}

		if (execution.target) {
			execution.excludedBackends.add(execution.target.backend);
		}

		if (execution.attemptCount >= maximumAttempts || this.remainingMs(execution) <= retryDelayMs) {
			return errorAnswer('overloaded', `not run: ${message}`, 'idle');
		}

		return undefined;
	}

	private async trySingle(execution: StatementExecution, work: DataWork): Promise<Answer> {
		const target = await this.targetSearch.findTarget(execution, work.mode === 'write');
		const {answer, isPrimaryProven} = await this.runAtTarget(execution, target, work);
		await this.requireProof(execution, target, answer, isPrimaryProven);
		return work.mode === 'write' ? this.confirmWrite(execution, answer) : answer;
	}

	/** Turns a success of a write into "in doubt" if a promotion under way may lose the commit. */
	private async confirmWrite(execution: StatementExecution, answer: Answer): Promise<Answer> {
		if (answer.error) {
			return answer;
		}

		const {clock, log, metrics} = this.ports;
		const {route, requestId} = execution.context;
		const startedMs = clock.nowMs();
		const confirmation = await this.confirmCommit(execution, answer);
		metrics.count('commit_confirmations', {outcome: confirmation.kind === 'confirmed' && confirmation.wasKnown ? 'known' : confirmation.kind});
		if (confirmation.kind === 'confirmed') {
			return answer;
		}

		const {reason} = confirmation;
		const position = answer.position && formatPosition(answer.position);
		log.warn({
			requestId, service: route.service, server: execution.target?.backend.id, position, reason, tookMs: Math.round(clock.nowMs() - startedMs),
		}, 'an acknowledged commit may be lost in a promotion, so that its outcome is unknown');
		return errorAnswer('inDoubt', `the commit may be lost in a promotion: ${reason}`, 'idle');
	}

	private async confirmCommit(execution: StatementExecution, {position}: Answer): Promise<CommitConfirmation> {
		const {view, target} = execution;
		if (!view || !target || !position) {
			return {kind: 'unconfirmed', reason: 'the server gave no position'};
		}

		return view.confirmCommit({position, primary: target.backend}, Math.max(minimumConfirmationMs, this.remainingMs(execution)));
	}

	/**
	 * Runs the statement and, for reads that require the primary, starts a proof that the primary still leads. Releases the
	 * slot and the connection without waiting for the proof.
	 */
	private async runAtTarget(execution: StatementExecution, target: Target, work: DataWork): Promise<{readonly answer: Answer; readonly isPrimaryProven: Promise<boolean>}> {
		const {backend, primary} = target;
		const grant = await this.admit(execution, backend, false);
		try {
			const connection = await this.acquireConnection(execution, backend);
			try {
				await this.setUpSession(execution, connection, work.prepared);
				requireNewWorkAccepted(backend);
				execution.isWriteSent = work.mode === 'write';
				const pendingAnswer = this.runWithDeadline(execution, connection, work.command, work.mode);
				const isPrimaryProven = primary && work.mode === 'read' ? this.provePrimary(execution, primary, connection) : Promise.resolve(true);
				const answer = await pendingAnswer;
				this.validateSingleAnswer(answer, connection, work);
				if (answer.error && isNotRun(answer.error)) {
					execution.isWriteSent = false;
				}

				return {answer, isPrimaryProven};
			} finally {
				backend.pool.release(connection);
			}
		} finally {
			grant.release();
		}
	}

	private async tryBegin(execution: StatementExecution, readOnly: boolean): Promise<OpenTransaction> {
		const target = await this.targetSearch.findTarget(execution, !readOnly);
		const grant = await this.admit(execution, target.backend, false);
		try {
			const connection = await this.acquireConnection(execution, target.backend);
			try {
				await this.setUpSession(execution, connection, undefined);
				requireNewWorkAccepted(target.backend);
				// The status command of the proof is sent before BEGIN, so that its failure does not fail the transaction.
				const isPrimaryProven = target.primary ? this.provePrimary(execution, target.primary, connection) : Promise.resolve(true);
				const answer = await this.runWithDeadline(execution, connection, {kind: 'begin', readOnly}, 'read');
				if (answer.state !== 'open') {
					await this.handleAnswerError(execution, answer.error ?? {kind: 'other', message: 'no transaction was begun'});
					throw new Refusal(answer.error ?? {kind: 'other', message: 'no transaction was begun'});
				}

				return {
					view: execution.view, backend: target.backend, connection, isPrimaryProven,
				};
			} catch (error) {
				connection.close();
				target.backend.pool.release(connection);
				throw error;
			}
		} finally {
			grant.release();
		}
	}

	/**
	 * Checks the answer to a statement outside a transaction: a success must have a digest, and no transaction may be open.
	 * @throws ConnectionError if the answer is unexpected; the connection is then closed
	 */
	private validateSingleAnswer(answer: Answer, connection: PooledConnection, work: DataWork): void {
		if ((!answer.error && answer.digest === undefined) || answer.state !== 'idle') {
			connection.close();
			throw new ConnectionError({kind: 'protocol', message: `unexpected answer to a ${work.mode}`}, 'execute', connection.serverId);
		}

		if (answer.error?.kind === 'unknownPrepared' && work.prepared) {
			connection.forgetPrepared(work.prepared);
		}
	}

	private async requireProof(execution: StatementExecution, target: Target, answer: Answer, isPrimaryProven: Promise<boolean>): Promise<void> {
		if (answer.error !== undefined || !target.primary) {
			return;
		}

		if (answer.position && answer.position.term > target.primary.term) {
			this.ports.viewOf(execution.context.route.service)?.invalidatePrimary(target.primary, 'the server answered from a newer term');
		}

		if (!await isPrimaryProven) {
			throw new Refusal({kind: 'overloaded', message: `it is not proven that ${target.backend.id} leads term ${target.primary.term}`});
		}
	}

	private async provePrimary(execution: StatementExecution, primary: KnownPrimary, heldConnection: PooledConnection): Promise<boolean> {
		const view = this.ports.viewOf(execution.context.route.service);
		const outcome = await view?.prove(primary, heldConnection);
		return outcome?.kind === 'leads';
	}

	private async admit(execution: StatementExecution, backend: Backend, inTransaction: boolean): Promise<SlotGrant> {
		const startedMs = this.ports.clock.nowMs();
		const {route, callerKey} = execution.context;
		const grant = await backend.acquireSlot({
			rank: rankOf(route), callerKey, isInTransaction: inTransaction, waitLimitMs: Math.max(1, this.remainingMs(execution)),
		});
		execution.waitedMs += this.ports.clock.nowMs() - startedMs;
		return grant;
	}

	/** Acquires the connection that was reserved with the slot. One that becomes available after the deadline returns to the pool. */
	private async acquireConnection(execution: StatementExecution, backend: Backend): Promise<PooledConnection> {
		const startedMs = this.ports.clock.nowMs();
		const pendingConnection = backend.pool.acquire(execution.context.parameters);
		const connection = await this.withDeadline(execution, pendingConnection, () => {
			void pendingConnection.then(lateConnection => {
				backend.pool.release(lateConnection);
			}, () => undefined);
		});
		execution.waitedMs += this.ports.clock.nowMs() - startedMs;
		return connection;
	}

	/** Sets up the session on a connection, which is closed if it is silent, so that its slot and its place in the pool become free. */
	private async setUpSession(execution: StatementExecution, connection: PooledConnection, prepared: PreparedStatement | undefined): Promise<void> {
		const timeoutMs = Math.max(1, Math.min(setupTimeoutMs, this.remainingMs(execution)));
		await withTimeout(connection.syncSession(execution.context.parameters, prepared), timeoutMs, () => {
			connection.close();
			return new ConnectionError({kind: 'unreachable', message: `the session was not set up within ${Math.round(timeoutMs)} ms`}, 'execute', connection.serverId);
		});
	}

	/** Runs a command and closes the connection at the deadline, because a late answer could be taken for that of the next command. */
	private async runWithDeadline(execution: StatementExecution, connection: PooledConnection, command: BackendCommand, mode: AccessMode): Promise<Answer> {
		const {backend, minimumPosition} = execution.target!;
		const statementClass = `${rankOf(execution.context.route)} ${mode}`;
		return this.withDeadline(execution, backend.run(connection, command, statementClass, minimumPosition), () => {
			connection.close();
		});
	}

	private async withDeadline<T>(execution: StatementExecution, work: Promise<T>, onTimeout: () => void): Promise<T> {
		return withTimeout(work, Math.max(1, this.remainingMs(execution)), () => {
			onTimeout();
			return new ConnectionError({kind: 'unreachable', message: 'the time limit of the statement has passed'}, 'execute', execution.target?.backend.id ?? '-');
		});
	}

	private remainingMs(execution: StatementExecution): number {
		return execution.deadlineMs - this.ports.clock.nowMs();
	}

	private newExecution(context: WorkContext): StatementExecution {
		return {
			context,
			deadlineMs: this.ports.clock.nowMs() + context.route.timeoutMs,
			excludedBackends: new Set(),
			attemptCount: 0,
			waitedMs: 0,
			target: undefined,
			view: undefined,
			isWriteSent: false,
		};
	}
}

/**
 * Checks that a server still takes new work. The waits for a slot and a connection may have lasted until its grace time was over.
 * @throws Refusal if the server is no longer listed or has been leaving for longer than the grace time
 */
function requireNewWorkAccepted(backend: Backend): void {
	if (backend.isRetired || backend.leavingForMs > leavingPrimaryGraceMs) {
		throw new Refusal({kind: 'overloaded', message: `${backend.id} is leaving and takes no new work`});
	}
}

function resultOf(execution: StatementExecution, answer: Answer): WorkResult {
	return {
		answer,
		server: execution.target?.backend.id,
		leadTerm: execution.target?.primary?.term,
		minimumPosition: execution.target?.minimumPosition,
		attempts: execution.attemptCount,
		waitedMs: execution.waitedMs,
	};
}

/** Checks whether `begin` was refused. */
export function isRefused(result: OpenTransaction | WorkResult): result is WorkResult {
	return 'answer' in result;
}

