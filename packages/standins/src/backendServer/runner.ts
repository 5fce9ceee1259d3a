/**
 * Runs the statements of one connection: slots, service time and transactions.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {textAt, type Statement} from './ast.js';
import {type Counters} from './counters.js';
import {type Database} from './database.js';
import {createTable, dropTables} from './definitions.js';
import {type Execution} from './execution.js';
import {type Faults} from './faults.js';
import {type Result} from './result.js';
import {select} from './selects.js';
import {SessionSettings} from './sessionSettings.js';
import {type Slot, type SlotQueue} from './slots.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	endsTransaction, hasReadOnlyOption, isRollback, isWrite, kindOf,
} from './statements.js';
import {type Transaction} from './transaction.js';
import {type Value} from './values.js';
import {deleteRows, insert, update} from './writes.js';

/** Parts of the server that all connections share. */
export type ServerParts = {
	readonly database: Database;
	readonly slots: SlotQueue;
	readonly faults: Faults;
	readonly counters: Counters;
};

type Handler = (body: Statement['body'], execution: Execution) => Promise<Result> | Result;

const handlers: Readonly<Record<string, Handler>> = {
	SelectStmt: select,
	InsertStmt: insert,
	UpdateStmt: update,
	DeleteStmt: deleteRows,
	CreateStmt: (body, {transaction}) => createTable(body, transaction.overlay),
	DropStmt: (body, {transaction}) => dropTables(body, transaction.overlay),
};

export class StatementRunner {
	private transaction?: Transaction;
	private running?: AbortController;
	/** Abort by the server that was reported last. */
	private lastAbort?: SqlError;
	private readonly settings = new SessionSettings();

	constructor(private readonly parts: ServerParts) {}

	/** Status of the transaction for ReadyForQuery. */
	get status(): 'I' | 'T' | 'E' {
		if (!this.transaction?.isExplicit) {
			return 'I';
		}

		return this.transaction.hasFailed ? 'E' : 'T';
	}

	/** Transaction that a Describe looks at. */
	get current(): Transaction {
		this.transaction ??= this.parts.database.begin(false, false);
		return this.transaction;
	}

	/**
	 * Runs a statement.
	 * @throws SqlError as the caller shall see it; the transaction has then failed
	 */
	async run(statement: Statement, parameters: readonly Value[]): Promise<Result> {
		const controller = new AbortController();
		this.running = controller;
		try {
			this.requireUsable(statement);
			return await this.withSlot(statement, controller, async slot => this.execute(statement, parameters, controller.signal, slot));
		} catch (error) {
			this.fail();
			throw controller.signal.aborted ? controller.signal.reason as Error : error;
		} finally {
			this.running = undefined;
		}
	}

	/** Ends the implicit transaction, at Sync or at the end of a simple query. @throws SqlError if the commit is refused */
	endImplicit(): void {
		const {transaction} = this;
		if (!transaction || transaction.isExplicit) {
			return;
		}

		this.transaction = undefined;
		if (transaction.hasFailed && !transaction.abortError) {
			this.parts.database.rollback(transaction);
			return;
		}

		this.parts.database.commit(transaction);
	}

	/** Marks the transaction as failed after an error outside `run`. */
	fail(): void {
		const {transaction} = this;
		if (!transaction) {
			return;
		}

		transaction.hasFailed = true;
		if (!transaction.isExplicit) {
			this.transaction = undefined;
			this.parts.database.rollback(transaction);
		}
	}

	/** Cancels the running statement. @returns false if none runs */
	cancel(error = new SqlError(serverSqlStates.queryCanceled, 'canceling statement due to user request')): boolean {
		this.running?.abort(error);
		return this.running !== undefined;
	}

	/** Rolls back what is open when the connection ends. */
	close(): void {
		this.cancel(new SqlError('57P01', 'the connection was closed'));
		if (this.transaction) {
			this.parts.database.rollback(this.transaction);
			this.transaction = undefined;
		}
	}

	/** Refuses statements of a failed transaction; an abort by the server is reported once, also to COMMIT. */
	private requireUsable(statement: Statement): void {
		const {transaction} = this;
		if (!transaction?.hasFailed) {
			return;
		}

		if (transaction.abortError && this.lastAbort !== transaction.abortError && !isRollback(statement)) {
			this.lastAbort = transaction.abortError;
			if (statement.tag === 'TransactionStmt' && statement.body.kind === 'TRANS_STMT_COMMIT') {
				this.transaction = undefined;
			}

			throw transaction.abortError;
		}

		if (statement.tag !== 'TransactionStmt' || statement.body.kind === 'TRANS_STMT_SAVEPOINT' || (transaction.abortError && !endsTransaction(statement))) {
			throw new SqlError(serverSqlStates.failedTransaction, 'current transaction is aborted, commands ignored until end of transaction block');
		}
	}

	private async withSlot(statement: Statement, controller: AbortController, run: (slot?: Slot) => Promise<Result>): Promise<Result> {
		const kind = kindOf(statement);
		this.parts.counters.statement(kind);
		if (kind === 'control') {
			return run();
		}

		const slot = await this.parts.slots.acquire(controller.signal);
		try {
			const serviceMs = this.serviceMs(statement);
			if (serviceMs > 0) {
				await sleep(serviceMs, undefined, {signal: controller.signal});
			}

			return await run(slot);
		} finally {
			slot.release();
		}
	}

	/** Transaction control and settings occupy a slot but take no service time. */
	private serviceMs(statement: Statement): number {
		const kind = kindOf(statement);
		if (kind === 'transaction' || kind === 'setting') {
			return 0;
		}

		const {serviceMs, writeServiceMs} = this.parts.faults.settings;
		return isWrite(statement) ? writeServiceMs : serviceMs;
	}

	private async execute(statement: Statement, parameters: readonly Value[], signal: AbortSignal, slot?: Slot): Promise<Result> {
		const {tag, body} = statement;
		if (tag === 'TransactionStmt') {
			return this.controlTransaction(body);
		}

		if (kindOf(statement) === 'setting') {
			return this.settings.run(statement);
		}

		const handler = handlers[tag];
		if (!handler) {
			throw new SqlError(serverSqlStates.featureNotSupported, `statements of kind ${tag} are not supported`);
		}

		if (kindOf(statement) !== 'control') {
			this.parts.database.requireState();
		}

		const transaction = this.current;
		this.requireWriteAllowed(statement, transaction);
		const forward = () => {
			this.running?.abort(transaction.abortError);
		};

		transaction.signal.addEventListener('abort', forward, {once: true});
		try {
			return await handler(body, {
				database: this.parts.database, transaction, parameters, signal, slot,
			});
		} finally {
			transaction.signal.removeEventListener('abort', forward);
		}
	}

	private requireWriteAllowed(statement: Statement, transaction: Transaction): void {
		if (!isWrite(statement)) {
			return;
		}

		this.parts.database.requireWritable();
		if (transaction.isReadOnly) {
			throw new SqlError(serverSqlStates.readOnly, 'cannot execute a write in a read-only transaction');
		}
	}

	private controlTransaction(body: Statement['body']): Result {
		const kind = textAt(body, 'kind');
		if (kind === 'TRANS_STMT_BEGIN' || kind === 'TRANS_STMT_START') {
			return this.begin(body);
		}

		if (kind === 'TRANS_STMT_COMMIT') {
			return {rows: [], tag: this.commit() ? 'COMMIT' : 'ROLLBACK'};
		}

		if (kind === 'TRANS_STMT_ROLLBACK') {
			this.rollback();
			return {rows: [], tag: 'ROLLBACK'};
		}

		return this.controlSavepoint(kind, textAt(body, 'savepoint_name'));
	}

	private begin(body: Statement['body']): Result {
		if (!this.transaction?.isExplicit) {
			this.endImplicit();
			this.transaction = this.parts.database.begin(true, hasReadOnlyOption(body));
		}

		return {rows: [], tag: 'BEGIN'};
	}

	/** @returns false if a failed transaction was rolled back instead */
	private commit(): boolean {
		const {transaction} = this;
		this.transaction = undefined;
		if (!transaction) {
			return true;
		}

		if (transaction.hasFailed) {
			this.parts.database.rollback(transaction);
			return false;
		}

		this.parts.database.commit(transaction);
		return true;
	}

	private rollback(): void {
		if (this.transaction) {
			this.parts.database.rollback(this.transaction);
			this.transaction = undefined;
		}
	}

	private controlSavepoint(kind: string, name: string): Result {
		const {transaction} = this;
		if (!transaction?.isExplicit) {
			throw new SqlError(serverSqlStates.noActiveTransaction, 'savepoints can only be used in transaction blocks');
		}

		if (kind === 'TRANS_STMT_SAVEPOINT') {
			transaction.savepoint(name);
			return {rows: [], tag: 'SAVEPOINT'};
		}

		if (kind === 'TRANS_STMT_RELEASE') {
			transaction.releaseSavepoint(name);
			return {rows: [], tag: 'RELEASE'};
		}

		if (kind === 'TRANS_STMT_ROLLBACK_TO') {
			transaction.rollbackTo(name);
			return {rows: [], tag: 'ROLLBACK'};
		}

		throw new SqlError(serverSqlStates.featureNotSupported, 'two-phase commit is not supported');
	}
}
