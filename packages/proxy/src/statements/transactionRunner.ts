import {errorMessageOf} from '@crocusloom/model';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {UnsendableRequestError} from '../ports.js';
import {type Answer, errorAnswer} from './statement.js';
import {newExecution, resultOf, type StatementExecution} from './statementExecution.js';
import {requireNewWorkAccepted, type StatementSteps} from './statementSteps.js';
import {Refusal} from './targetSearch.js';
import {
	type DataWork, type OpenTransaction, type Target, type WorkContext, type WorkResult,
} from './work.js';

/** Time in which a server must roll back a transaction. After that the connection is closed, which also rolls the transaction back. */
const rollbackTimeoutMs = 1000;

/** Runs transactions, each on a dedicated connection. */
export class TransactionRunner {
	constructor(private readonly steps: StatementSteps) {}

	/**
	 * Begins a transaction.
	 * @returns the open transaction, or the result with the error answer
	 */
	async begin(context: WorkContext, readOnly: boolean): Promise<OpenTransaction | WorkResult> {
		let openTransaction: OpenTransaction | undefined;
		const result = await this.steps.retries.run(context, false, async execution => {
			openTransaction = await this.attemptBegin(execution, readOnly);
			return {rows: [], state: 'open'};
		});
		return openTransaction ?? result;
	}

	/**
	 * Runs a statement of an open transaction.
	 * @param hasWritten - true if the transaction has written, in which case an unanswered commit is in doubt
	 */
	async run(context: WorkContext, transaction: OpenTransaction, work: DataWork, hasWritten: boolean): Promise<WorkResult> {
		const {access, clock, writeConfirmer} = this.steps;
		const {backend, connection, view} = transaction;
		const target: Target = {backend, primary: undefined, minimumPosition: undefined};
		const execution: StatementExecution = {
			...newExecution(context, clock.nowMs()), target, view, connectionNumber: connection.number, attemptCount: 1,
		};
		try {
			const answer = await access.withSlot(execution, backend, true, async () => this.runOnConnection(execution, transaction, work, hasWritten));
			return resultOf(execution, execution.isWriteSent ? await writeConfirmer.confirm(execution, answer) : answer);
		} catch (error) {
			return resultOf(execution, abortAfterError(execution, connection, error));
		}
	}

	/** Rolls back a transaction that is still open and releases its connection to the pool. */
	async release(transaction: OpenTransaction): Promise<void> {
		const {backend, connection} = transaction;
		if (connection.isOpen && connection.isInTransaction) {
			await rollBack(transaction);
		}

		backend.pool.release(connection);
	}

	private async runOnConnection(execution: StatementExecution, {connection, isPrimaryProven}: OpenTransaction, work: DataWork, hasWritten: boolean): Promise<Answer> {
		const {access} = this.steps;
		const isCommit = work.command.kind === 'commit';
		await access.setUpSession(execution, connection, work.prepared);
		execution.isWriteSent = isCommit && hasWritten;
		const answer = await access.run(execution, connection, work.command, work.mode);
		if (answer.error?.kind === 'unknownPrepared') {
			return errorAnswer('aborted', 'the server no longer has the prepared statement; the transaction is rolled back', 'failed');
		}

		const mayAnswer = isCommit || await access.withDeadline(execution, isPrimaryProven, () => undefined);
		return mayAnswer ? answer : abortForReplacedPrimary(connection);
	}

	private async attemptBegin(execution: StatementExecution, readOnly: boolean): Promise<OpenTransaction> {
		const {access, targetSearch} = this.steps;
		const target = await targetSearch.findTarget(execution, !readOnly);
		const {backend} = target;
		return access.withSlot(execution, backend, false, async () => {
			const connection = await access.acquireConnection(execution, backend);
			try {
				return await this.beginOnConnection(execution, target, connection, readOnly);
			} catch (error) {
				connection.close();
				backend.pool.release(connection);
				throw error;
			}
		});
	}

	private async beginOnConnection(execution: StatementExecution, {backend, primary}: Target, connection: PooledConnection, readOnly: boolean): Promise<OpenTransaction> {
		const {access, proofs, retries} = this.steps;
		await access.setUpSession(execution, connection, undefined);
		requireNewWorkAccepted(backend);
		// The status command of the proof is sent before BEGIN, so that its failure does not fail the transaction.
		const isPrimaryProven = primary ? proofs.prove(execution, primary, connection) : Promise.resolve(true);
		const answer = await access.run(execution, connection, {kind: 'begin', readOnly}, 'read');
		if (answer.state !== 'open') {
			const error = answer.error ?? {kind: 'other', message: 'no transaction was begun'};
			await retries.handleAnswerError(execution, error);
			throw new Refusal(error);
		}

		return {
			view: execution.view, backend, connection, isPrimaryProven,
		};
	}
}

/** Rolls back a transaction. Closes its connection, which also ends the transaction, if the server does not in time. */
async function rollBack({backend, connection}: OpenTransaction): Promise<void> {
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

function abortForReplacedPrimary(connection: PooledConnection): Answer {
	connection.close();
	return errorAnswer('aborted', 'the primary was replaced; the transaction is rolled back', 'failed');
}

function abortAfterError(execution: StatementExecution, connection: PooledConnection, error: unknown): Answer {
	connection.close();
	const reason = errorMessageOf(error);
	if (error instanceof UnsendableRequestError) {
		return errorAnswer('malformed', reason, 'failed');
	}

	return execution.isWriteSent
		? errorAnswer('inDoubt', `the commit was sent and not answered: ${reason}`, 'idle')
		: errorAnswer('aborted', `the transaction is rolled back: ${reason}`, 'failed');
}
