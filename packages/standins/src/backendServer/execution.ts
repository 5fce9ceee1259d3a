/**
 * What every statement needs while it runs.
 */
import {
	valueAt, type Node,
} from './ast.js';
import {type Database} from './database.js';
import {type Row, type Scope} from './expressions.js';
import {type Slot} from './slots.js';
import {type Transaction} from './transaction.js';
import {type Value} from './values.js';

/** Surroundings of a running statement. */
export type Execution = {
	readonly database: Database;
	readonly transaction: Transaction;
	readonly parameters: readonly Value[];
	/** Absent for statements that take none. */
	readonly slot?: Slot;
	readonly signal: AbortSignal;
};

/** Scope of expressions of a statement. */
export function scopeOf(execution: Execution, row?: Row): Scope {
	return {row, parameters: execution.parameters, callFunction: () => undefined};
}

/** Takes a lock, and gives the slot up if it has to wait. */
export async function lock({database, transaction, slot, signal}: Execution, key: string): Promise<void> {
	if (database.locks.tryAcquire(transaction, key)) {
		return;
	}

	const wait = async () => database.locks.acquire(transaction, key, signal);
	await (slot ? slot.yieldWhile(wait) : wait());
	signal.throwIfAborted();
}

/** Key of a row's lock. */
export function rowLockKey(table: string, id: number): string {
	return `row ${table} ${id}`;
}

/** Expressions of a RETURNING clause as select targets. */
export function returningOf(body: Node): readonly Node[] | undefined {
	return valueAt(body, 'returningClause', 'exprs') as readonly Node[] | undefined;
}
