/**
 * Leases: keys attached to one are deleted when it ends.
 */
import {type Store} from './store.js';

type Lease = {readonly ttlSeconds: number; timer: NodeJS.Timeout};

export class Leases {
	private readonly leases = new Map<string, Lease>();
	private lastId = 1000;

	constructor(private readonly store: Store) {}

	has(id: string): boolean {
		return this.leases.has(id);
	}

	/** @returns id of the new lease */
	grant(ttlSeconds: number, wantedId = '0'): string {
		this.lastId++;
		const id = wantedId === '0' ? String(this.lastId) : wantedId;
		this.leases.set(id, {ttlSeconds, timer: this.schedule(id, ttlSeconds)});
		return id;
	}

	/** @returns remaining seconds, 0 if the lease has ended */
	keepAlive(id: string): number {
		const lease = this.leases.get(id);
		if (!lease) {
			return 0;
		}

		clearTimeout(lease.timer);
		lease.timer = this.schedule(id, lease.ttlSeconds);
		return lease.ttlSeconds;
	}

	/** Ends a lease and deletes its keys. @returns false if there is none */
	revoke(id: string): boolean {
		const lease = this.leases.get(id);
		if (!lease) {
			return false;
		}

		clearTimeout(lease.timer);
		this.leases.delete(id);
		const attached = this.store.range({key: '', end: '\0'}).filter(entry => entry.lease === id);
		this.store.apply(attached.map(entry => ({kind: 'delete', range: {key: entry.key}})));
		return true;
	}

	stop(): void {
		for (const {timer} of this.leases.values()) {
			clearTimeout(timer);
		}
	}

	private schedule(id: string, ttlSeconds: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.revoke(id);
		}, ttlSeconds * 1000);
	}
}
