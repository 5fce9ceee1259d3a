/**
 * Context of a running statement, and helpers that use it.
 */
import {
	valueAt, type Node,
} from './ast.js';
import {type Database} from './database.js';
import {type Row, type Scope} from './expressions.js';
import {type Slot} from './slots.js';
import {type Transaction} from './transaction.js';
import {type Value} from './values.js';

/** Database, transaction, parameters and cancellation of a running statement. */
export type ExecutionContext = {
	readonly database: Database;
	readonly transaction: Transaction;
	readonly parameters: readonly Value[];
	/** Absent for statements that run without a slot. */
	readonly slot?: Slot;
	readonly signal: AbortSignal;
};

/** Creates the scope in which the expressions of a statement are evaluated. */
export function createScope(execution: ExecutionContext, row?: Row): Scope {
	return {row, parameters: execution.parameters, callFunction: () => undefined};
}

/**
 * Acquires a lock, and releases the statement slot while it waits.
 * @throws SqlError 40P01 on a deadlock or lock wait timeout; the reason of the signal when it aborts
 */
export async function acquireLock({database, transaction, slot, signal}: ExecutionContext, key: string): Promise<void> {
	if (database.locks.tryAcquire(transaction, key)) {
		return;
	}

	const wait = async () => database.locks.acquire(transaction, key, signal);
	await (slot ? slot.yieldWhile(wait) : wait());
	signal.throwIfAborted();
}

/** Lock key of a row. */
export function rowLockKey(table: string, id: number): string {
	return `row ${table} ${id}`;
}

/** Targets of a RETURNING clause; undefined if there is none. */
export function returningTargets(body: Node): readonly Node[] | undefined {
	return valueAt(body, 'returningClause', 'exprs') as readonly Node[] | undefined;
}
