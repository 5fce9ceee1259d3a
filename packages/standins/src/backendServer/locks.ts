/**
 * Row locks with deadlock detection.
 */
import {serverSqlStates, SqlError} from './sqlError.js';

/** A wait longer than this ends with 40P01, so that no lock wait lasts for ever. */
export const maximumLockWaitMs = 2000;

/** A transaction as the lock table sees it. */
export type LockOwner = {
	waitsFor?: string;
	readonly heldKeys: Set<string>;
};

type Waiter = {readonly owner: LockOwner; readonly grant: () => void};

/** Exclusive locks by key; waiters are served in order of arrival. */
export class LockTable {
	private readonly holders = new Map<string, LockOwner>();
	private readonly waiters = new Map<string, Waiter[]>();

	/** Takes a lock if it is free or already owned. */
	tryAcquire(owner: LockOwner, key: string): boolean {
		const holder = this.holders.get(key);
		if (holder !== undefined && holder !== owner) {
			return false;
		}

		this.holders.set(key, owner);
		owner.heldKeys.add(key);
		return true;
	}

	/**
	 * Waits for a lock.
	 * @throws SqlError 40P01 on a deadlock or after the longest wait; the signal's reason when it aborts
	 */
	async acquire(owner: LockOwner, key: string, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		if (this.tryAcquire(owner, key)) {
			return;
		}

		if (this.wouldDeadlock(owner, key)) {
			throw new SqlError(serverSqlStates.deadlock, 'deadlock detected');
		}

		owner.waitsFor = key;
		try {
			await this.wait(owner, key, signal);
		} finally {
			owner.waitsFor = undefined;
		}
	}

	/** Releases all locks of a transaction and grants them to the first waiters. */
	releaseAll(owner: LockOwner): void {
		const keys = [...owner.heldKeys];
		owner.heldKeys.clear();
		for (const key of keys) {
			this.passOn(key);
		}
	}

	private async wait(owner: LockOwner, key: string, signal: AbortSignal): Promise<void> {
		const {promise, resolve, reject} = withResolvers();
		const waiter: Waiter = {owner, grant: resolve};
		const queue = this.waiters.get(key) ?? [];
		queue.push(waiter);
		this.waiters.set(key, queue);
		const abort = () => {
			reject(signal.reason as Error);
		};

		const timer = setTimeout(() => {
			reject(new SqlError(serverSqlStates.deadlock, `lock wait exceeded ${maximumLockWaitMs} ms`));
		}, maximumLockWaitMs);
		signal.addEventListener('abort', abort, {once: true});
		try {
			await promise;
		} catch (error) {
			this.leave(key, waiter);
			throw error;
		} finally {
			clearTimeout(timer);
			signal.removeEventListener('abort', abort);
		}
	}

	/** Takes a waiter out; if the lock was granted at the same moment, its owner releases it with its others. */
	private leave(key: string, waiter: Waiter): void {
		const queue = this.waiters.get(key);
		const index = queue?.indexOf(waiter) ?? -1;
		if (index !== -1) {
			queue!.splice(index, 1);
		}
	}

	private passOn(key: string): void {
		const next = this.waiters.get(key)?.shift();
		if (!next) {
			this.holders.delete(key);
			this.waiters.delete(key);
			return;
		}

		this.holders.set(key, next.owner);
		next.owner.heldKeys.add(key);
		next.grant();
	}

	/** Follows the chain of waits from the holder of a lock. */
	private wouldDeadlock(owner: LockOwner, key: string): boolean {
		const seen = new Set<LockOwner>();
		let holder = this.holders.get(key);
		while (holder && !seen.has(holder)) {
			if (holder === owner) {
				return true;
			}

			seen.add(holder);
			holder = holder.waitsFor === undefined ? undefined : this.holders.get(holder.waitsFor);
		}

		return false;
	}
}

/** A promise with the functions that settle it; Node 20 lacks `Promise.withResolvers`. */
export function withResolvers(): {readonly promise: Promise<void>; readonly resolve: () => void; readonly reject: (reason: Error) => void} {
	let resolve!: () => void;
	let reject!: (reason: Error) => void;
	const promise = new Promise<void>((onResolve, onReject) => {
		resolve = onResolve;
		reject = onReject;
	});
	return {promise, resolve, reject};
}
