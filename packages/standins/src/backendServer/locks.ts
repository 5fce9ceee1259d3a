/**
 * Row locks with deadlock detection.
 */
import {serverSqlStates, SqlError} from './sqlError.js';

/** Timeout of lock waits. A longer wait fails with 40P01, so that no statement waits forever. */
export const maximumLockWaitMs = 2000;

/** Lock state of a transaction. */
export type LockOwner = {
	/** Key of the lock that the owner waits for. */
	awaitedKey?: string;
	/** Keys of the locks that the owner holds. */
	readonly heldKeys: Set<string>;
};

type Waiter = {readonly owner: LockOwner; readonly grant: () => void};

/** Exclusive locks by key. Waiters get a lock in order of arrival. */
export class LockTable {
	private readonly holders = new Map<string, LockOwner>();
	private readonly waiters = new Map<string, Waiter[]>();

	/** Acquires a lock without waiting. @returns false if another owner holds it */
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
	 * Acquires a lock, and waits while another owner holds it.
	 * @throws SqlError 40P01 on a deadlock or timeout; the reason of the signal when it aborts
	 */
	async acquire(owner: LockOwner, key: string, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		if (this.tryAcquire(owner, key)) {
			return;
		}

		if (this.wouldDeadlock(owner, key)) {
			throw new SqlError(serverSqlStates.deadlock, 'deadlock detected');
		}

		owner.awaitedKey = key;
		try {
			await this.waitForGrant(owner, key, signal);
		} finally {
			owner.awaitedKey = undefined;
		}
	}

	/** Releases all locks of an owner and grants each to its first waiter. */
	releaseAll(owner: LockOwner): void {
		const keys = [...owner.heldKeys];
		owner.heldKeys.clear();
		for (const key of keys) {
			this.grantToNextWaiter(key);
		}
	}

	private async waitForGrant(owner: LockOwner, key: string, signal: AbortSignal): Promise<void> {
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
			this.removeWaiter(key, waiter);
			throw error;
		} finally {
			clearTimeout(timer);
			signal.removeEventListener('abort', abort);
		}
	}

	/** Removes a waiter from its queue. If the lock has just been granted, its owner releases it with its other locks. */
	private removeWaiter(key: string, waiter: Waiter): void {
		const queue = this.waiters.get(key);
		const index = queue?.indexOf(waiter) ?? -1;
		if (index !== -1) {
			queue!.splice(index, 1);
		}
	}

	private grantToNextWaiter(key: string): void {
		const nextWaiter = this.waiters.get(key)?.shift();
		if (!nextWaiter) {
			this.holders.delete(key);
			this.waiters.delete(key);
			return;
		}

		this.holders.set(key, nextWaiter.owner);
		nextWaiter.owner.heldKeys.add(key);
		nextWaiter.grant();
	}

	/** Checks whether the holder of a lock waits, directly or through other transactions, for the owner. */
	private wouldDeadlock(owner: LockOwner, key: string): boolean {
		const visited = new Set<LockOwner>();
		let holder = this.holders.get(key);
		while (holder && !visited.has(holder)) {
			if (holder === owner) {
				return true;
			}

			visited.add(holder);
			holder = holder.awaitedKey === undefined ? undefined : this.holders.get(holder.awaitedKey);
		}

		return false;
	}
}

/** Creates a promise with the functions that settle it. Node.js 20 has no `Promise.withResolvers`. */
export function withResolvers(): {readonly promise: Promise<void>; readonly resolve: () => void; readonly reject: (reason: Error) => void} {
	let resolve!: () => void;
	let reject!: (reason: Error) => void;
	const promise = new Promise<void>((onResolve, onReject) => {
		resolve = onResolve;
		reject = onReject;
	});
	return {promise, resolve, reject};
}
