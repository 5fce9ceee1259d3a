/**
 * Leases of the key-value store. When a lease expires or is revoked, the keys attached to it are deleted.
 */
import {type Store} from './store.js';

type Lease = {readonly ttlSeconds: number; timer: NodeJS.Timeout};

/** Grants, renews and expires leases. */
export class Leases {
	private readonly leases = new Map<string, Lease>();
	private lastId = 1000;

	constructor(private readonly store: Store) {}

	has(id: string): boolean {
		return this.leases.has(id);
	}

	/**
	 * Creates a lease.
	 * @param requestedId - id of the lease; '0' assigns one
	 * @returns id of the new lease
	 */
	grant(ttlSeconds: number, requestedId = '0'): string {
		this.lastId++;
		const id = requestedId === '0' ? String(this.lastId) : requestedId;
		this.leases.set(id, {ttlSeconds, timer: this.scheduleExpiry(id, ttlSeconds)});
		return id;
	}

	/** Renews a lease. @returns its time to live in seconds; 0 if the lease does not exist */
	keepAlive(id: string): number {
		const lease = this.leases.get(id);
		if (!lease) {
			return 0;
		}

		clearTimeout(lease.timer);
		lease.timer = this.scheduleExpiry(id, lease.ttlSeconds);
		return lease.ttlSeconds;
	}

	/** Revokes a lease and deletes its keys. @returns false if the lease does not exist */
	revoke(id: string): boolean {
		const lease = this.leases.get(id);
		if (!lease) {
			return false;
		}

		clearTimeout(lease.timer);
		this.leases.delete(id);
		const attachedEntries = this.store.range({key: '', end: '\0'}).filter(entry => entry.lease === id);
		this.store.apply(attachedEntries.map(entry => ({kind: 'delete', range: {key: entry.key}})));
		return true;
	}

	/** Cancels all expiry timers. */
	stop(): void {
		for (const {timer} of this.leases.values()) {
			clearTimeout(timer);
		}
	}

	private scheduleExpiry(id: string, ttlSeconds: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.revoke(id);
		}, ttlSeconds * 1000);
	}
}
