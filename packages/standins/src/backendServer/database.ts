/**
 * A database: tables, log, terms and transactions. All changes of terms and all commits are synchronous, so that a commit
 * takes effect either wholly before or not at all after a fence.
 */
import {EventEmitter} from 'node:events';
import {holdsPosition, type LogPosition, type WaitResult} from '@crocusloom/model';
import {Log, type LogRecord} from './log.js';
import {LockTable, withResolvers} from './locks.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {Tables} from './tables.js';
import {Transaction} from './transaction.js';

/** What the functions of section 7 of the design report. */
export type DatabaseState = {
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly fenceOwner: string;
	readonly followsTerm: number;
	/** Address of the primary that a replica pulls from. */
	readonly primaryAddress?: string;
};

// eslint-disable-next-line unicorn/prefer-event-target -- an EventTarget would need an event object for each record
export class Database extends EventEmitter<{log: []; state: []}> {
	readonly tables = new Tables();
	readonly log = new Log();
	readonly locks = new LockTable();
	private current: DatabaseState = {
		role: 'replica', fencedTerm: 0, fenceOwner: '', followsTerm: 0,
	};

	private readonly transactions = new Set<Transaction>();
	/** True from a start without state until the database leads or has rebuilt its state from a primary. */
	private lacksState = true;

	constructor() {
		super();
		this.setMaxListeners(0);
	}

	get state(): DatabaseState {
		return this.current;
	}

	get position(): LogPosition {
		return this.log.position;
	}

	/** State as crocusloom_status shows it: fenced term 0 while the database rebuilds what it lost. */
	get reportedState(): DatabaseState {
		return this.isRebuilding ? {...this.current, fencedTerm: 0} : this.current;
	}

	/** True while a database that started empty has not replayed what the primary held when it began to follow. */
	get isRebuilding(): boolean {
		return this.lacksState && this.current.followsTerm > 0;
	}

	/** True for a primary that no fence of a higher term has reached. */
	get isWritable(): boolean {
		return this.current.role === 'primary' && this.current.fencedTerm === this.current.followsTerm;
	}

	/** Starts as a replica of a new group's first primary, so that there is no state that it could have lost. */
	startAsReplica(primaryAddress: string): void {
		this.lacksState = false;
		this.follow(1, primaryAddress);
	}

	/** Notes that the log holds all that the primary held when this database began to follow it. */
	finishRebuild(): void {
		if (this.lacksState) {
			this.lacksState = false;
			this.emit('state');
		}
	}

	/** @throws SqlError 57P03 while the database lacks the state that answers need */
	requireState(): void {
		if (this.isRebuilding) {
			throw new SqlError(serverSqlStates.cannotConnectNow, 'the database restarted empty and rebuilds its state');
		}
	}

	/** Starts as the primary of the first term. */
	startAsPrimary(): void {
		this.fence(1, 'initial');
		this.promote(1, 'initial');
	}

	begin(isExplicit: boolean, isReadOnly: boolean): Transaction {
		const transaction = new Transaction(this.tables, isExplicit, isReadOnly);
		this.transactions.add(transaction);
		return transaction;
	}

	/** @throws SqlError 25006 unless the database accepts writes */
	requireWritable(): void {
		if (!this.isWritable) {
			const reason = this.current.role === 'primary' ? 'the primary is fenced' : 'the database is a replica';
			throw new SqlError(serverSqlStates.readOnly, `cannot execute a write: ${reason}`);
		}
	}

	/**
	 * Makes the writes of a transaction visible and appends their record.
	 * @throws SqlError 25006 or the abort error if a fence came first
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
			this.log.append(this.current.followsTerm, changes);
			this.emit('log');
		} finally {
			this.end(transaction);
		}
	}

	rollback(transaction: Transaction): void {
		this.end(transaction);
	}

	/** Accepts a term above the fenced one, or the same term of the same owner; none while the state is rebuilt. */
	fence(term: number, owner: string): boolean {
		const {fencedTerm, fenceOwner} = this.current;
		if (this.isRebuilding || term < fencedTerm || (term === fencedTerm && owner !== fenceOwner)) {
			return false;
		}

		if (term > fencedTerm) {
			this.change({fencedTerm: term, fenceOwner: owner});
			this.abortTransactions();
		}

		return true;
	}

	/** Becomes the primary if still fenced at the term by the owner. */
	promote(term: number, owner: string): boolean {
		const {fencedTerm, fenceOwner, role, followsTerm} = this.current;
		if (this.isRebuilding || term !== fencedTerm || owner !== fenceOwner || term === 0) {
			return false;
		}

		if (role === 'primary' && followsTerm === term) {
			return true;
		}

		this.lacksState = false;
		this.log.append(term, []);
		this.change({role: 'primary', followsTerm: term, primaryAddress: undefined});
		this.emit('log');
		return true;
	}

	/** Follows the primary of a term unless fenced at a higher one or itself that primary. */
	follow(term: number, primaryAddress: string): boolean {
		const {fencedTerm, fenceOwner, role, followsTerm} = this.current;
		if (term < fencedTerm || (role === 'primary' && followsTerm === term)) {
			return false;
		}

		this.change({
			role: 'replica', fencedTerm: term, fenceOwner: term > fencedTerm ? '' : fenceOwner, followsTerm: term, primaryAddress,
		});
		this.abortTransactions();
		return true;
	}

	/** Waits until this database follows or leads the position's term and holds the position. */
	async waitForPosition(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		const {promise, resolve} = withResolvers();
		let answer = this.answerWait(position);
		if (answer !== undefined) {
			return answer;
		}

		const check = () => {
			answer = this.answerWait(position);
			if (answer !== undefined) {
				resolve();
			}
		};

		const timer = setTimeout(resolve, timeoutMs);
		this.on('log', check);
		this.on('state', check);
		signal.addEventListener('abort', resolve, {once: true});
		await promise;
		clearTimeout(timer);
		this.off('log', check);
		this.off('state', check);
		signal.removeEventListener('abort', resolve);
		signal.throwIfAborted();
		return answer ?? 'timeout';
	}

	/** Discards the records behind a position and rebuilds the tables from those that stay. */
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

	/** Applies a record pulled from the primary. */
	applyRecord(record: LogRecord): void {
		this.tables.apply(record.changes);
		this.log.push(record);
		this.emit('log');
	}

	private answerWait(position: LogPosition): WaitResult | undefined {
		if (this.current.fencedTerm > position.term) {
			return 'superseded';
		}

		const isReached = !this.lacksState && this.current.followsTerm === position.term && holdsPosition(this.position, position);
		return isReached ? 'reached' : undefined;
	}

	private change(change: Partial<DatabaseState>): void {
		this.current = {...this.current, ...change};
		this.emit('state');
	}

	/** Aborts what could still write; read-only transactions continue. */
	private abortTransactions(): void {
		for (const transaction of this.transactions) {
			if (!transaction.isReadOnly) {
				this.abortTransaction(transaction);
			}
		}
	}

	private abortTransaction(transaction: Transaction): void {
		// An implicit transaction has had no effect and may be run elsewhere; an explicit one must be repeated from its start.
		if (transaction.isExplicit) {
			transaction.abort(new SqlError(serverSqlStates.serialization, 'transaction aborted: the primary was fenced'));
		} else if (!transaction.overlay.isEmpty || transaction.waitsFor !== undefined) {
			transaction.abort(new SqlError(serverSqlStates.readOnly, 'cannot execute a write: the primary was fenced'));
		} else {
			return;
		}

		this.end(transaction);
	}

	private end(transaction: Transaction): void {
		this.transactions.delete(transaction);
		this.locks.releaseAll(transaction);
	}
}
