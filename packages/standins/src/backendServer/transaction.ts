import {type LockOwner} from './locks.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {Overlay, type Tables} from './tables.js';

/** An explicit transaction, or the implicit one of statements outside an explicit one. */
export class Transaction implements LockOwner {
	awaitedKey?: string;
	readonly heldKeys = new Set<string>();
	readonly overlay: Overlay;
	/** True after an error, until ROLLBACK or ROLLBACK TO SAVEPOINT. */
	hasFailed = false;
	/** Set when the server aborts the transaction; reported to the client once. */
	abortError?: SqlError;
	private readonly savepoints: Array<{readonly name: string; readonly snapshot: ReturnType<Overlay['createSnapshot']>}> = [];
	private readonly abortController = new AbortController();

	/**
	 * @param isExplicit - started by BEGIN
	 * @param isReadOnly - started by BEGIN READ ONLY
	 */
	constructor(tables: Tables, readonly isExplicit: boolean, readonly isReadOnly: boolean) {
		this.overlay = new Overlay(tables);
	}

	/** Signal that aborts when the server aborts the transaction. */
	get signal(): AbortSignal {
		return this.abortController.signal;
	}

	/** Aborts the transaction on behalf of the server, and cancels its running statement. */
	abort(error: SqlError): void {
		this.abortError = error;
		this.hasFailed = true;
		this.abortController.abort(error);
	}

	createSavepoint(name: string): void {
		this.savepoints.push({name, snapshot: this.overlay.createSnapshot()});
	}

	releaseSavepoint(name: string): void {
		this.savepoints.length = this.findSavepoint(name);
	}

	rollbackToSavepoint(name: string): void {
		const index = this.findSavepoint(name);
		this.overlay.restore(this.savepoints[index]!.snapshot);
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
