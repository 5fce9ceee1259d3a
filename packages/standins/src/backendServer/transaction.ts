import {type LockOwner} from './locks.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {Overlay, type Tables} from './tables.js';

/** A transaction; statements outside an explicit one run in an implicit one each. */
export class Transaction implements LockOwner {
	waitsFor?: string;
	readonly heldKeys = new Set<string>();
	readonly overlay: Overlay;
	/** True after an error, until ROLLBACK. */
	hasFailed = false;
	/** Set when the server aborted the transaction; reported to the caller once. */
	abortError?: SqlError;
	private readonly savepoints: Array<{readonly name: string; readonly saved: ReturnType<Overlay['save']>}> = [];
	private readonly controller = new AbortController();

	/**
	 * @param isExplicit - started by BEGIN
	 * @param isReadOnly - started by BEGIN READ ONLY
	 */
	constructor(tables: Tables, readonly isExplicit: boolean, readonly isReadOnly: boolean) {
		this.overlay = new Overlay(tables);
	}

	/** Aborts when the server aborts the transaction. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	abort(error: SqlError): void {
		this.abortError = error;
		this.hasFailed = true;
		this.controller.abort(error);
	}

	savepoint(name: string): void {
		this.savepoints.push({name, saved: this.overlay.save()});
	}

	releaseSavepoint(name: string): void {
		this.savepoints.length = this.findSavepoint(name);
	}

	rollbackTo(name: string): void {
		const index = this.findSavepoint(name);
		this.overlay.restore(this.savepoints[index]!.saved);
		this.savepoints.length = index + 1;
		this.hasFailed = false;
	}

	private findSavepoint(name: string): number {
		const index = this.savepoints.findLastIndex(savepoint => savepoint.name === name);
		if (index === -1) {
			throw new SqlError(serverSqlStates.noSuchSavepoint, `savepoint "${name}" does not exist`);
		}

		return index;
	}
}
