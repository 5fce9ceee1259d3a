import {FailureError, errorMessageOf, type NotRunReason} from '@crocusloom/model';
import {type SlotGrant} from '@crocusloom/work';
import {type Backend} from './backend.js';
import {type Lead} from './leadProof.js';
import {type PooledConnection} from './pooledConnection.js';
import {ConnectionError} from './ports.js';
import {rankOf} from './routeTable.js';
import {
	type AccessMode, type Answer, type AnswerError, type BackendCommand, errorAnswer, isNotRun,
} from './statement.js';
import {
	type Attempt, Refusal, retryPauseMs, type SearchPorts, TargetSearch,
} from './targetSearch.js';
import {withinLimit} from './withinLimit.js';
import {
	type DataWork, type OpenTransaction, type Target, type WorkContext, type WorkResult,
} from './work.js';

/** Attempts at one statement before its last error is given to the caller. */
const maximumAttempts = 5;
/** Time in which a server must roll a transaction back; after it the connection is ended, which does the same. */
const rollbackLimitMs = 1000;

/** Refusals of a queue after which another server is tried. */
const reasonsToMove: ReadonlySet<NotRunReason> = new Set(['unreachable', 'leaving']);

/** Runs statements at backend servers: places, admits, forwards and, where nothing was run, tries again. */
export class StatementRunner {
	private readonly search: TargetSearch;

	constructor(private readonly ports: SearchPorts) {
		this.search = new TargetSearch(ports);
	}

	/** Runs a single statement outside any transaction. */
	async runSingle(context: WorkContext, work: DataWork): Promise<WorkResult> {
		return this.retry(context, work.mode === 'write', async attempt => this.trySingle(attempt, work));
	}

	/**
	 * Begins a transaction on a connection of its own.
	 * @returns the open transaction, or the answer that refuses it
	 */
	async begin(context: WorkContext, readOnly: boolean): Promise<OpenTransaction | WorkResult> {
		let opened: OpenTransaction | undefined;
		const result = await this.retry(context, false, async attempt => {
			opened = await this.tryBegin(attempt, readOnly);
			return {rows: [], state: 'open'};
		});
		return opened ?? result;
	}

	/**
	 * Runs a statement of an open transaction.
	 * @param hasWritten - whether the transaction has written, so that a lost commit is in doubt
	 */
	async runInTransaction(context: WorkContext, transaction: OpenTransaction, work: DataWork, hasWritten: boolean): Promise<WorkResult> {
		const {backend, connection} = transaction;
		const attempt = this.newAttempt(context);
		attempt.target = {backend, lead: undefined, minimumPosition: undefined};
		attempt.count = 1;
		const isCommit = work.command.kind === 'commit';
		try {
			const grant = await this.admit(attempt, backend, true);
			try {
				await connection.align(context.values, work.prepared);
				attempt.isWriteSent = isCommit && hasWritten;
				const answer = await this.runWithin(attempt, connection, work.command, work.mode);
				const isCurrent = isCommit || await this.limit(attempt, transaction.isCurrent, () => undefined);
				return resultOf(attempt, isCurrent ? answer : this.endStale(connection));
			} finally {
				grant.release();
			}
		} catch (error) {
			return resultOf(attempt, this.failInTransaction(attempt, connection, error));
		}
	}

	/** Ends a transaction that its session is done with, and gives its connection back. */
	async release({backend, connection}: OpenTransaction): Promise<void> {
		if (connection.isOpen && connection.isInTransaction) {
			const timer = setTimeout(() => {
				connection.close();
			}, rollbackLimitMs);
			try {
				const answer = await backend.run(connection, {kind: 'rollback'}, 'rollback');
				if (answer.state !== 'idle') {
					connection.close();
				}
			} catch {
				// The connection has ended, and with it the transaction.
			} finally {
				clearTimeout(timer);
			}
		}

		backend.pool.giveBack(connection);
	}

	private endStale(connection: PooledConnection): Answer {
		connection.close();
		return errorAnswer('aborted', 'the primary was replaced; the transaction is rolled back', 'failed');
	}

	private failInTransaction(attempt: Attempt, connection: PooledConnection, error: unknown): Answer {
		connection.close();
		const reason = errorMessageOf(error);
		return attempt.isWriteSent
			? errorAnswer('inDoubt', `the commit was sent and not answered: ${reason}`, 'idle')
			: errorAnswer('aborted', `the transaction is rolled back: ${reason}`, 'failed');
	}

	/** Repeats an attempt until it is answered, runs out of time, or may have been run. */
	private async retry(context: WorkContext, isWrite: boolean, run: (attempt: Attempt) => Promise<Answer>): Promise<WorkResult> {
		const attempt = this.newAttempt(context);
		for (;;) {
			attempt.count++;
			try {
				const answer = await run(attempt);
				if (!answer.error || !this.mayRepeat(attempt, answer.error, isWrite)) {
					return resultOf(attempt, answer);
				}

				attempt.excluded.add(attempt.target!.backend);
				await this.noteAnswerError(attempt, answer.error);
			} catch (error) {
				const refusal = this.refusalFor(attempt, error, isWrite);
				if (refusal) {
					return resultOf(attempt, refusal);
				}
			}
		}
	}

	private mayRepeat(attempt: Attempt, error: AnswerError, isWrite: boolean): boolean {
		const mayRun = isNotRun(error) || (!isWrite && error.kind === 'failed');
		return mayRun && attempt.count < maximumAttempts && this.leftMs(attempt) > retryPauseMs;
	}

	private async noteAnswerError(attempt: Attempt, error: AnswerError): Promise<void> {
		const {target, context} = attempt;
		if (error.kind === 'notPrimary' && target?.lead) {
			this.ports.viewOf(context.route.service)?.doubtLead(target.lead, 'it refused work as a replica');
		}

		if (target?.lead !== undefined || error.kind === 'stale') {
			await this.ports.clock.sleep(retryPauseMs);
		}
	}

	/** Decides what an error that is no answer means: a refusal, an unknown outcome, or (undefined) another attempt. */
	private refusalFor(attempt: Attempt, error: unknown, isWrite: boolean): Answer | undefined {
		const message = errorMessageOf(error);
		if (isWrite && attempt.isWriteSent) {
			return errorAnswer('inDoubt', `the write was sent and not answered: ${message}`, 'idle');
		}

		if (error instanceof Refusal && error.isFinal) {
			return errorAnswer(error.error.kind, error.error.message, 'idle');
		}

		if (error instanceof FailureError && error.failure.kind === 'notRun' && !reasonsToMove.has(error.failure.reason)) {
			const {retryAfterMs} = error.failure;
			return errorAnswer('overloaded', `${message}${retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`}`, 'idle');
		}

		if (attempt.target) {
			attempt.excluded.add(attempt.target.backend);
		}

		if (attempt.count >= maximumAttempts || this.leftMs(attempt) <= retryPauseMs) {
			return errorAnswer('overloaded', `not run: ${message}`, 'idle');
		}

		return undefined;
	}

	private async trySingle(attempt: Attempt, work: DataWork): Promise<Answer> {
		const target = await this.search.targetFor(attempt, work.mode === 'write');
		const {answer, isCurrent} = await this.runOnce(attempt, target, work);
		await this.requireProof(attempt, target, answer, isCurrent);
		return answer;
	}

	/** Runs the statement, and asks for a proof of the lead behind it. Slot and connection are free again before the proof is in. */
	private async runOnce(attempt: Attempt, target: Target, work: DataWork): Promise<{readonly answer: Answer; readonly isCurrent: Promise<boolean>}> {
		const {backend, lead} = target;
		const grant = await this.admit(attempt, backend, false);
		try {
			const connection = await this.takeConnection(attempt, backend);
			try {
				await connection.align(attempt.context.values, work.prepared);
				attempt.isWriteSent = work.mode === 'write';
				const running = this.runWithin(attempt, connection, work.command, work.mode);
				const isCurrent = lead && work.mode === 'read' ? this.proofOf(attempt, lead, connection) : Promise.resolve(true);
				const answer = await running;
				this.checkSingle(answer, connection, work);
				if (answer.error && isNotRun(answer.error)) {
					attempt.isWriteSent = false;
				}

				return {answer, isCurrent};
			} finally {
				backend.pool.giveBack(connection);
			}
		} finally {
			grant.release();
		}
	}

	private async tryBegin(attempt: Attempt, readOnly: boolean): Promise<OpenTransaction> {
		const target = await this.search.targetFor(attempt, !readOnly);
		const grant = await this.admit(attempt, target.backend, false);
		try {
			const connection = await this.takeConnection(attempt, target.backend);
			try {
				await connection.align(attempt.context.values, undefined);
				// The question goes first: its failure must not become part of the transaction.
				const isCurrent = target.lead ? this.proofOf(attempt, target.lead, connection) : Promise.resolve(true);
				const answer = await this.runWithin(attempt, connection, {kind: 'begin', readOnly}, 'read');
				if (answer.state !== 'open') {
					await this.noteAnswerError(attempt, answer.error ?? {kind: 'other', message: 'no transaction was begun'});
					throw new Refusal(answer.error ?? {kind: 'other', message: 'no transaction was begun'});
				}

				return {backend: target.backend, connection, isCurrent};
			} catch (error) {
				connection.close();
				target.backend.pool.giveBack(connection);
				throw error;
			}
		} finally {
			grant.release();
		}
	}

	/** A result counts only with the server's digest, and a single statement leaves no transaction open. */
	private checkSingle(answer: Answer, connection: PooledConnection, work: DataWork): void {
		if ((!answer.error && answer.digest === undefined) || answer.state !== 'idle') {
			connection.close();
			throw new ConnectionError({kind: 'protocol', message: `unexpected answer to a ${work.mode}`}, 'execute', connection.server);
		}

		if (answer.error?.kind === 'unknownPrepared' && work.prepared) {
			connection.forgetPrepared(work.prepared);
		}
	}

	private async requireProof(attempt: Attempt, target: Target, answer: Answer, proof: Promise<boolean>): Promise<void> {
		if (answer.error !== undefined || !target.lead) {
			return;
		}

		if (answer.position && answer.position.term > target.lead.term) {
			this.ports.viewOf(attempt.context.route.service)?.doubtLead(target.lead, 'it answered from a newer term');
		}

		if (!await proof) {
			throw new Refusal({kind: 'overloaded', message: `it is not proven that ${target.backend.id} leads term ${target.lead.term}`});
		}
	}

	private async proofOf(attempt: Attempt, lead: Lead, carrier: PooledConnection): Promise<boolean> {
		const view = this.ports.viewOf(attempt.context.route.service);
		const outcome = await view?.prove(lead, carrier);
		return outcome?.kind === 'leads';
	}

	private async admit(attempt: Attempt, backend: Backend, inTransaction: boolean): Promise<SlotGrant> {
		const startedMs = this.ports.clock.nowMs();
		const {route, callerKey} = attempt.context;
		const grant = await backend.acquireSlot({
			rank: rankOf(route), callerKey, inTransaction, waitLimitMs: Math.max(1, this.leftMs(attempt)),
		});
		attempt.waitedMs += this.ports.clock.nowMs() - startedMs;
		return grant;
	}

	/** Takes the connection that came with the slot; one that arrives too late goes back to the pool. */
	private async takeConnection(attempt: Attempt, backend: Backend): Promise<PooledConnection> {
		const startedMs = this.ports.clock.nowMs();
		const taking = backend.pool.take(attempt.context.values);
		const connection = await this.limit(attempt, taking, () => {
			void taking.then(late => {
				backend.pool.giveBack(late);
			}, () => undefined);
		});
		attempt.waitedMs += this.ports.clock.nowMs() - startedMs;
		return connection;
	}

	/** Runs a command; at the time limit the connection is ended, because its answer can no longer be told apart. */
	private async runWithin(attempt: Attempt, connection: PooledConnection, command: BackendCommand, mode: AccessMode): Promise<Answer> {
		const {backend, minimumPosition} = attempt.target!;
		const kind = `${rankOf(attempt.context.route)} ${mode}`;
		return this.limit(attempt, backend.run(connection, command, kind, minimumPosition), () => {
			connection.close();
		});
	}

	private async limit<T>(attempt: Attempt, work: Promise<T>, onTimeout: () => void): Promise<T> {
		return withinLimit(work, Math.max(1, this.leftMs(attempt)), () => {
			onTimeout();
			return new ConnectionError({kind: 'unreachable', message: 'the time limit of the statement has passed'}, 'execute', attempt.target?.backend.id ?? '-');
		});
	}

	private leftMs(attempt: Attempt): number {
		return attempt.deadlineMs - this.ports.clock.nowMs();
	}

	private newAttempt(context: WorkContext): Attempt {
		return {
			context,
			deadlineMs: this.ports.clock.nowMs() + context.route.timeoutMs,
			excluded: new Set(),
			count: 0,
			waitedMs: 0,
			target: undefined,
			isWriteSent: false,
		};
	}
}

function resultOf(attempt: Attempt, answer: Answer): WorkResult {
	return {
		answer,
		server: attempt.target?.backend.id,
		leadTerm: attempt.target?.lead?.term,
		minimumPosition: attempt.target?.minimumPosition,
		attempts: attempt.count,
		waitedMs: attempt.waitedMs,
	};
}

/** Tells a failed `begin` from an open transaction. */
export function isRefused(result: OpenTransaction | WorkResult): result is WorkResult {
	return 'answer' in result;
}

