/**
 * A database: tables, log, terms and transactions. Term changes and commits are synchronous, so that a commit either takes
 * effect entirely before a fence or fails.
 */
import {EventEmitter} from 'node:events';
import {holdsPosition, type LogPosition, type WaitResult} from '@crocusloom/model';
import {Log, type LogRecord} from './log.js';
import {LockTable, withResolvers} from './locks.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {Tables} from './tables.js';
import {Transaction} from './transaction.js';

/** Role and terms of a database, as the control API and the functions of section 7 of the design report them. */
export type DatabaseState = {
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly fenceOwner: string;
	readonly followsTerm: number;
	/** Address of the primary from which a replica pulls records. */
	readonly primaryAddress?: string;
};

/** Tables, log, locks and terms of one server. Emits `log` when the log changes and `state` when the role or a term changes. */
// eslint-disable-next-line unicorn/prefer-event-target -- an EventTarget would need an event object for each record
export class Database extends EventEmitter<{log: []; state: []}> {
	readonly tables = new Tables();
	readonly log = new Log();
	readonly locks = new LockTable();
	private currentState: DatabaseState = {
		role: 'replica', fencedTerm: 0, fenceOwner: '', followsTerm: 0,
	};

	private readonly transactions = new Set<Transaction>();
	/** True from a start without data until the database becomes the primary or has rebuilt its data from a primary. */
	private isStateMissing = true;

	constructor() {
		super();
		this.setMaxListeners(0);
	}

	get state(): DatabaseState {
		return this.currentState;
	}

	get position(): LogPosition {
		return this.log.position;
	}

	/** State as `crocusloom_status` reports it: the fenced term is 0 while the database is rebuilding. */
	get reportedState(): DatabaseState {
		return this.isRebuilding ? {...this.currentState, fencedTerm: 0} : this.currentState;
	}

	/** True while a database that started empty has not applied all records that the primary held when it began to follow. */
	get isRebuilding(): boolean {
		return this.isStateMissing && this.currentState.followsTerm > 0;
	}

	/** True for a primary that is not fenced at a higher term than its own. */
	get isWritable(): boolean {
		return this.currentState.role === 'primary' && this.currentState.fencedTerm === this.currentState.followsTerm;
	}

	/** Starts as a replica in a new group, in which no earlier state can have been lost. */
	startAsReplica(primaryAddress: string): void {
		this.isStateMissing = false;
		this.follow(1, primaryAddress);
	}

	/** Ends the rebuild. Called when the log holds all records that the primary held when this database began to follow it. */
	finishRebuild(): void {
		if (this.isStateMissing) {
			this.isStateMissing = false;
			this.emit('state');
		}
	}

	/** @throws SqlError 57P03 while the database is rebuilding and queries would return incomplete results */
	requireRebuilt(): void {
		if (this.isRebuilding) {
			throw new SqlError(serverSqlStates.cannotConnectNow, 'the database restarted without data and is still rebuilding it');
		}
	}

	/** Starts as the primary of term 1. */
	startAsPrimary(): void {
		this.fence(1, 'initial');
		this.promote(1, 'initial');
	}

	beginTransaction(isExplicit: boolean, isReadOnly: boolean): Transaction {
		const transaction = new Transaction(this.tables, isExplicit, isReadOnly);
		this.transactions.add(transaction);
		return transaction;
	}

	/** @throws SqlError 25006 if the database does not accept writes */
	requireWritable(): void {
		if (!this.isWritable) {
			const reason = this.currentState.role === 'primary' ? 'the primary is fenced' : 'the database is a replica';
			throw new SqlError(serverSqlStates.readOnly, `cannot execute a write: ${reason}`);
		}
	}

	/**
	 * Commits a transaction: applies its writes to the tables and appends their record to the log.
	 * @throws SqlError 25006 or the abort error of the transaction if the database was fenced before
	 */
	commit(transaction: Transaction): void {
		try {
			if (transaction.abortError) {
				throw transaction.abortError;
			}

			if (transaction.overlay.isEmpty) {
				return;
			}

			this.requireWritable();
			const changes = transaction.overlay.changes();
			this.tables.apply(changes);
			this.log.append(this.currentState.followsTerm, changes);
			this.emit('log');
		} finally {
			this.endTransaction(transaction);
		}
	}

	rollback(transaction: Transaction): void {
		this.endTransaction(transaction);
	}

	/**
	 * Fences the database at a term, which aborts its writing transactions.
	 * @returns true if the term is above the fenced one, or equal to it with the same owner; false while the database is
	 * rebuilding
	 */
	fence(term: number, owner: string): boolean {
		const {fencedTerm, fenceOwner} = this.currentState;
		if (this.isRebuilding || term < fencedTerm || (term === fencedTerm && owner !== fenceOwner)) {
			return false;
		}

		if (term > fencedTerm) {
			this.updateState({fencedTerm: term, fenceOwner: owner});
			this.abortWritingTransactions();
		}

		return true;
	}

	/** Becomes the primary of a term. @returns false while rebuilding, or unless fenced at exactly this term by this owner */
	promote(term: number, owner: string): boolean {
		const {fencedTerm, fenceOwner, role, followsTerm} = this.currentState;
		if (this.isRebuilding || term !== fencedTerm || owner !== fenceOwner || term === 0) {
			return false;
		}

		if (role === 'primary' && followsTerm === term) {
			return true;
		}

		this.isStateMissing = false;
		this.log.append(term, []);
		this.updateState({role: 'primary', followsTerm: term, primaryAddress: undefined});
		this.emit('log');
		return true;
	}

	/** Becomes a replica of the primary of a term. @returns false if fenced at a higher term, or if itself the primary of the term */
	follow(term: number, primaryAddress: string): boolean {
		const {fencedTerm, fenceOwner, role, followsTerm} = this.currentState;
		if (term < fencedTerm || (role === 'primary' && followsTerm === term)) {
			return false;
		}

		this.updateState({
			role: 'replica', fencedTerm: term, fenceOwner: term > fencedTerm ? '' : fenceOwner, followsTerm: term, primaryAddress,
		});
		this.abortWritingTransactions();
		return true;
	}

	/**
	 * Waits until this database, as primary or replica of the term of the position, holds the position.
	 * @returns `superseded` if the database is fenced at a higher term, `timeout` if the time runs out
	 * @throws the reason of the signal when it aborts
	 */
	async waitForPosition(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		const {promise, resolve} = withResolvers();
		let result = this.checkPosition(position);
		if (result !== undefined) {
			return result;
		}

		const checkAgain = () => {
			result = this.checkPosition(position);
			if (result !== undefined) {
				resolve();
			}
		};

		const timer = setTimeout(resolve, timeoutMs);
		this.on('log', checkAgain);
		this.on('state', checkAgain);
		signal.addEventListener('abort', resolve, {once: true});
		await promise;
		clearTimeout(timer);
		this.off('log', checkAgain);
		this.off('state', checkAgain);
		signal.removeEventListener('abort', resolve);
		signal.throwIfAborted();
		return result ?? 'timeout';
	}

	/** Discards the records after a position and rebuilds the tables from the remaining ones. */
	truncate(position: LogPosition): void {
		if (!this.log.truncate(position)) {
			return;
		}

		this.tables.clear();
		for (const record of this.log) {
			this.tables.apply(record.changes);
		}

		this.emit('log');
	}

	/** Applies a record received from the primary and appends it to the log. */
	applyRecord(record: LogRecord): void {
		this.tables.apply(record.changes);
		this.log.appendReceived(record);
		this.emit('log');
	}

	private checkPosition(position: LogPosition): WaitResult | undefined {
		if (this.currentState.fencedTerm > position.term) {
			return 'superseded';
		}

		const isReached = !this.isStateMissing && this.currentState.followsTerm === position.term && holdsPosition(this.position, position);
		return isReached ? 'reached' : undefined;
	}

	private updateState(change: Partial<DatabaseState>): void {
		this.currentState = {...this.currentState, ...change};
		this.emit('state');
	}

	/** Aborts all transactions that may write. Read-only transactions continue. */
	private abortWritingTransactions(): void {
		for (const transaction of this.transactions) {
			if (!transaction.isReadOnly) {
				this.abortTransaction(transaction);
			}
		}
	}

	private abortTransaction(transaction: Transaction): void {
		// An implicit transaction has had no effect and can be retried at another server (25006). An explicit one must be
		// repeated from its start (40001).
		if (transaction.isExplicit) {
			transaction.abort(new SqlError(serverSqlStates.serialization, 'transaction aborted: the primary was fenced'));
		} else if (!transaction.overlay.isEmpty || transaction.awaitedKey !== undefined) {
			transaction.abort(new SqlError(serverSqlStates.readOnly, 'cannot execute a write: the primary was fenced'));
		} else {
			return;
		}

		this.endTransaction(transaction);
	}

	private endTransaction(transaction: Transaction): void {
		this.transactions.delete(transaction);
		this.locks.releaseAll(transaction);
	}
}
