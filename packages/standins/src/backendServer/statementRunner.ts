/**
 * Execution of the statements of a connection, with slots, service time and transactions.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {textAt, type Statement} from './ast.js';
import {type Counters} from './counters.js';
import {type Database} from './database.js';
import {createTable, dropTables} from './definitions.js';
import {type ExecutionContext} from './executionContext.js';
import {type Faults} from './faults.js';
import {type StatementResult} from './result.js';
import {select} from './selects.js';
import {SessionSettings} from './sessionSettings.js';
import {type Slot, type SlotQueue} from './slots.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	endsTransaction, hasReadOnlyOption, isRollback, isWrite, statementKind,
} from './statements.js';
import {type Transaction} from './transaction.js';
import {type Value} from './values.js';
import {deleteRows, insert, update} from './writes.js';

/** Components of the server that all connections share. */
export type ServerComponents = {
	readonly database: Database;
	readonly slots: SlotQueue;
	readonly faults: Faults;
	readonly counters: Counters;
};

type Handler = (body: Statement['body'], execution: ExecutionContext) => Promise<StatementResult> | StatementResult;

const handlers: Readonly<Record<string, Handler>> = {
	SelectStmt: select,
	InsertStmt: insert,
	UpdateStmt: update,
	DeleteStmt: deleteRows,
	CreateStmt: (body, {transaction}) => createTable(body, transaction.overlay),
	DropStmt: (body, {transaction}) => dropTables(body, transaction.overlay),
};

/** Runs the statements of a connection in its explicit or implicit transaction. */
export class StatementRunner {
	private transaction?: Transaction;
	private runningController?: AbortController;
	/** Last abort by the server that was reported to the client. */
	private reportedAbort?: SqlError;
	private readonly sessionSettings = new SessionSettings();

	constructor(private readonly components: ServerComponents) {}

	/** Transaction status for ReadyForQuery. */
	get transactionStatus(): 'I' | 'T' | 'E' {
		if (!this.transaction?.isExplicit) {
			return 'I';
		}

		return this.transaction.hasFailed ? 'E' : 'T';
	}

	/** Open transaction; begins an implicit one if there is none. */
	get currentTransaction(): Transaction {
		this.transaction ??= this.components.database.beginTransaction(false, false);
		return this.transaction;
	}

	/**
	 * Runs a statement.
	 * @throws SqlError to report to the client, after marking the transaction as failed
	 */
	async run(statement: Statement, parameters: readonly Value[]): Promise<StatementResult> {
		const controller = new AbortController();
		this.runningController = controller;
		try {
			this.requireUsableTransaction(statement);
			return await this.withSlot(statement, controller, async slot => this.executeStatement(statement, parameters, controller.signal, slot));
		} catch (error) {
			this.failTransaction();
			throw controller.signal.aborted ? controller.signal.reason as Error : error;
		} finally {
			this.runningController = undefined;
		}
	}

	/** Ends the implicit transaction, at Sync or at the end of a simple query. @throws SqlError if the commit fails */
	endImplicitTransaction(): void {
		const {transaction} = this;
		if (!transaction || transaction.isExplicit) {
			return;
		}

		this.transaction = undefined;
		if (transaction.hasFailed && !transaction.abortError) {
			this.components.database.rollback(transaction);
			return;
		}

		this.components.database.commit(transaction);
	}

	/** Marks the transaction as failed after an error outside `run`. */
	failTransaction(): void {
		const {transaction} = this;
		if (!transaction) {
			return;
		}

		transaction.hasFailed = true;
		if (!transaction.isExplicit) {
			this.transaction = undefined;
			this.components.database.rollback(transaction);
		}
	}

	/** Cancels the running statement. @returns false if none is running */
	cancel(error = new SqlError(serverSqlStates.queryCanceled, 'canceling statement due to user request')): boolean {
		this.runningController?.abort(error);
		return this.runningController !== undefined;
	}

	/** Cancels the running statement and rolls back the open transaction when the connection closes. */
	close(): void {
		this.cancel(new SqlError('57P01', 'the connection was closed'));
		if (this.transaction) {
			this.components.database.rollback(this.transaction);
			this.transaction = undefined;
		}
	}

	/** Rejects statements of a failed transaction. An abort by the server is reported once, also to COMMIT. */
	private requireUsableTransaction(statement: Statement): void {
		const {transaction} = this;
		if (!transaction?.hasFailed) {
			return;
		}

		if (transaction.abortError && this.reportedAbort !== transaction.abortError && !isRollback(statement)) {
			this.reportedAbort = transaction.abortError;
			if (statement.tag === 'TransactionStmt' && statement.body.kind === 'TRANS_STMT_COMMIT') {
				this.transaction = undefined;
			}

			throw transaction.abortError;
		}

		if (statement.tag !== 'TransactionStmt' || statement.body.kind === 'TRANS_STMT_SAVEPOINT' || (transaction.abortError && !endsTransaction(statement))) {
			throw new SqlError(serverSqlStates.failedTransaction, 'current transaction is aborted, commands ignored until end of transaction block');
		}
	}

	private async withSlot(statement: Statement, controller: AbortController, run: (slot?: Slot) => Promise<StatementResult>): Promise<StatementResult> {
		const kind = statementKind(statement);
		this.components.counters.countStatement(kind);
		if (kind === 'control') {
			return run();
		}

		const slot = await this.components.slots.acquire(controller.signal);
		try {
			const serviceMs = this.serviceTimeMs(statement);
			if (serviceMs > 0) {
				await sleep(serviceMs, undefined, {signal: controller.signal});
			}

			return await run(slot);
		} finally {
			slot.release();
		}
	}

	/** Service time of a statement. Transaction control and settings occupy a slot but take no time. */
	private serviceTimeMs(statement: Statement): number {
		const kind = statementKind(statement);
		if (kind === 'transaction' || kind === 'setting') {
			return 0;
		}

		const {serviceMs, writeServiceMs} = this.components.faults.settings;
		return isWrite(statement) ? writeServiceMs : serviceMs;
	}

	private async executeStatement(statement: Statement, parameters: readonly Value[], signal: AbortSignal, slot?: Slot): Promise<StatementResult> {
		const {tag, body} = statement;
		if (tag === 'TransactionStmt') {
			return this.controlTransaction(body);
		}

		if (statementKind(statement) === 'setting') {
			return this.sessionSettings.run(statement);
		}

		const handler = handlers[tag];
		if (!handler) {
			throw new SqlError(serverSqlStates.featureNotSupported, `statements of kind ${tag} are not supported`);
		}

		if (statementKind(statement) !== 'control') {
			this.components.database.requireRebuilt();
		}

		const transaction = this.currentTransaction;
		this.requireWriteAllowed(statement, transaction);
		const onTransactionAbort = () => {
			this.runningController?.abort(transaction.abortError);
		};

		transaction.signal.addEventListener('abort', onTransactionAbort, {once: true});
		try {
			return await handler(body, {
				database: this.components.database, transaction, parameters, signal, slot,
			});
		} finally {
			transaction.signal.removeEventListener('abort', onTransactionAbort);
		}
	}

	private requireWriteAllowed(statement: Statement, transaction: Transaction): void {
		if (!isWrite(statement)) {
			return;
		}

		this.components.database.requireWritable();
		if (transaction.isReadOnly) {
			throw new SqlError(serverSqlStates.readOnly, 'cannot execute a write in a read-only transaction');
		}
	}

	private controlTransaction(body: Statement['body']): StatementResult {
		const kind = textAt(body, 'kind');
		if (kind === 'TRANS_STMT_BEGIN' || kind === 'TRANS_STMT_START') {
			return this.begin(body);
		}

		if (kind === 'TRANS_STMT_COMMIT') {
			return {rows: [], commandTag: this.commit() ? 'COMMIT' : 'ROLLBACK'};
		}

		if (kind === 'TRANS_STMT_ROLLBACK') {
			this.rollback();
			return {rows: [], commandTag: 'ROLLBACK'};
		}

		return this.controlSavepoint(kind, textAt(body, 'savepoint_name'));
	}

	private begin(body: Statement['body']): StatementResult {
		if (!this.transaction?.isExplicit) {
			this.endImplicitTransaction();
			this.transaction = this.components.database.beginTransaction(true, hasReadOnlyOption(body));
		}

		return {rows: [], commandTag: 'BEGIN'};
	}

	/** Commits the transaction. @returns false if it had failed and was rolled back instead */
	private commit(): boolean {
		const {transaction} = this;
		this.transaction = undefined;
		if (!transaction) {
			return true;
		}

		if (transaction.hasFailed) {
			this.components.database.rollback(transaction);
			return false;
		}

		this.components.database.commit(transaction);
		return true;
	}

	private rollback(): void {
		if (this.transaction) {
			this.components.database.rollback(this.transaction);
			this.transaction = undefined;
		}
	}

	private controlSavepoint(kind: string, name: string): StatementResult {
		const {transaction} = this;
		if (!transaction?.isExplicit) {
			throw new SqlError(serverSqlStates.noActiveTransaction, 'savepoints can only be used in transaction blocks');
		}

		if (kind === 'TRANS_STMT_SAVEPOINT') {
			transaction.createSavepoint(name);
			return {rows: [], commandTag: 'SAVEPOINT'};
		}

		if (kind === 'TRANS_STMT_RELEASE') {
			transaction.releaseSavepoint(name);
			return {rows: [], commandTag: 'RELEASE'};
		}

		if (kind === 'TRANS_STMT_ROLLBACK_TO') {
			transaction.rollbackToSavepoint(name);
			return {rows: [], commandTag: 'ROLLBACK'};
		}

		throw new SqlError(serverSqlStates.featureNotSupported, 'two-phase commit is not supported');
	}
}
