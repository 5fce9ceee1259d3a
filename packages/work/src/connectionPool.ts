import {
	FailureError, type BackendConnection, type BackendDialer, type Clock, type RandomSource,
} from '@crocusloom/model';
import {Backoff} from './backoff.js';
import {dialWithTimeout} from './dialWithTimeout.js';

/** Number of connections of each database that are reserved for monitors. */
const reservedForMonitors = 4;
/** Number of proxies that may hold a database at the same time while the membership changes. */
const concurrentHolders = 2;
/** Maximum number of connections that are opened at a time. More would slow down running statements at the server. */
const maximumConcurrentDials = 2;
/** Upper bound of the random pause before each warm-up connection, which spreads the logins of holders that start together. */
const warmUpJitterMs = 200;

/**
 * Computes the maximum number of connections that one holder may open.
 * @param connectionLimit - number of connections that the database accepts
 */
export function connectionBudget(connectionLimit: number): number {
	return Math.max(1, Math.floor((connectionLimit - reservedForMonitors) / concurrentHolders));
}

export type PoolTarget = {readonly database: string; readonly address: string; readonly port: number; readonly budget: number};

/** A connection with its only response iterator, which lasts as long as the connection. */
export type PooledConnection = {
	readonly connection: BackendConnection;
	readonly responses: AsyncIterator<Buffer, undefined>;
	/** Size of the messages that prepared the statements on this connection. */
	preparedBytes: number;
};

type Waiter = {
	readonly resolve: (pooled: PooledConnection) => void;
	readonly reject: (error: FailureError) => void;
};

type PoolPorts = {readonly dialer: BackendDialer; readonly clock: Clock; readonly random: RandomSource};

/**
 * Pool of connections to one database. The number of leased, idle and opening connections never exceeds the budget.
 * A connection is reserved before it is acquired, so that a slot is never granted to work that then waits behind open transactions.
 */
export class ConnectionPool {
	private readonly idle: PooledConnection[] = [];
	private readonly waiters: Waiter[] = [];
	private readonly closeController = new AbortController();
	private leasedCount = 0;
	/** Number of reservations that were not exchanged for a connection yet. */
	private reservedCount = 0;
	private shouldKeepIdle = true;
	private openingCount = 0;
	private readonly backoff: Backoff;

	/**
	 * @param target - address of the database, and connection budget
	 * @param ports - dialer, clock and random source
	 * @param onAvailable - called when a connection may have become available
	 */
	constructor(private target: PoolTarget, private readonly ports: PoolPorts, private readonly onAvailable: () => void = () => undefined) {
		this.backoff = new Backoff(ports.clock, ports.random);
	}

	get openCount(): number {
		return this.leasedCount + this.idle.length + this.openingCount;
	}

	get budget(): number {
		return this.target.budget;
	}

	/** Number of connections that can still be reserved. */
	get availableCount(): number {
		return this.target.budget - this.leasedCount - this.reservedCount;
	}

	/** Reserves a connection. The reservation ends with `acquire`, with a successful `takeIdle`, or with `cancelReservation`. */
	reserve(): void {
		this.reservedCount++;
	}

	cancelReservation(): void {
		this.reservedCount--;
		this.onAvailable();
	}

	/** Sets whether idle connections are kept. A host that no longer holds the database keeps none. */
	setKeepIdle(shouldKeepIdle: boolean): void {
		this.shouldKeepIdle = shouldKeepIdle;
		if (!shouldKeepIdle) {
			this.closeIdle();
		}
	}

	/** Replaces the target. If the address changed, idle connections are closed. */
	configure(target: PoolTarget): void {
		const hasMoved = target.address !== this.target.address || target.port !== this.target.port;
		this.target = target;
		if (hasMoved) {
			this.closeIdle();
			this.backoff.reset();
		}

		while (this.openCount > target.budget && this.idle.length > 0) {
			this.idle.pop()!.connection.close();
		}

		this.onAvailable();
	}

	/**
	 * Takes an idle connection in exchange for a reservation, without waiting.
	 * @returns undefined if no connection is idle, in which case the reservation remains
	 */
	takeIdle(): PooledConnection | undefined {
		for (;;) {
			const pooled = this.idle.pop();
			if (!pooled) {
				return undefined;
			}

			if (!pooled.connection.closed.aborted) {
				this.convertReservation();
				return pooled;
			}
		}
	}

	/**
	 * Takes an idle connection, or waits for one to be opened or released, in exchange for a reservation.
	 * @throws FailureError `notRun` if no connection becomes available
	 */
	async acquire(signal: AbortSignal): Promise<PooledConnection> {
		const pooled = this.takeIdle();
		if (pooled) {
			return pooled;
		}

		if (this.closeController.signal.aborted || this.backoff.isBlocked) {
			this.cancelReservation();
			throw this.unreachableError('recent connection attempts failed and the next attempt is not due yet');
		}

		return new Promise((resolve, reject) => {
			const abort = () => {
				this.removeWaiter(waiter);
				this.cancelReservation();
				reject(this.unreachableError('the caller cancelled while waiting for a connection'));
			};

			const waiter: Waiter = {
				resolve(connection) {
					signal.removeEventListener('abort', abort);
					resolve(connection);
				},
				reject(error) {
					signal.removeEventListener('abort', abort);
					reject(error);
				},
			};
			if (signal.aborted) {
				abort();
				return;
			}

			signal.addEventListener('abort', abort, {once: true});
			this.waiters.push(waiter);
			this.openForWaiters();
		});
	}

	/** Returns a connection that has no open transaction and no unread response. */
	release(pooled: PooledConnection): void {
		this.leasedCount--;
		const isNeeded = this.shouldKeepIdle || this.waiters.length > 0;
		if (pooled.connection.closed.aborted || this.closeController.signal.aborted || this.openCount >= this.target.budget || !isNeeded) {
			pooled.connection.close();
		} else {
			this.offer(pooled);
		}

		this.openForWaiters();
		this.onAvailable();
	}

	/** Closes a leased connection that must not be reused. */
	discard(pooled: PooledConnection): void {
		this.leasedCount--;
		pooled.connection.close();
		this.openForWaiters();
		this.onAvailable();
	}

	/** Opens connections in advance, each after a random pause. */
	async warmUp(count: number): Promise<void> {
		const targetCount = Math.min(count, this.target.budget);
		while (this.openCount < targetCount && !this.closeController.signal.aborted) {
			try {
				await this.ports.clock.sleep((0.05 + this.ports.random.next()) * warmUpJitterMs, this.closeController.signal);
			} catch {
				return;
			}

			if (this.openCount >= targetCount || this.backoff.isBlocked) {
				return;
			}

			if (this.openingCount < maximumConcurrentDials) {
				await this.openConnection();
			}
		}
	}

	/** Closes idle connections and rejects waiters, because the database does not answer. */
	dropIdleAndWaiters(reason: string): void {
		this.closeIdle();
		this.rejectWaiters(reason);
		this.onAvailable();
	}

	close(): void {
		this.closeController.abort();
		this.closeIdle();
		this.rejectWaiters('the pool is closed');
	}

	private closeIdle(): void {
		for (const pooled of this.idle.splice(0)) {
			pooled.connection.close();
		}
	}

	private convertReservation(): void {
		this.leasedCount++;
		this.reservedCount--;
	}

	private offer(pooled: PooledConnection): void {
		const waiter = this.waiters.shift();
		if (waiter) {
			this.convertReservation();
			waiter.resolve(pooled);
			return;
		}

		this.idle.push(pooled);
	}

	private openForWaiters(): void {
		while (this.openingCount < maximumConcurrentDials && this.openingCount < this.waiters.length && this.openCount < this.target.budget) {
			if (this.backoff.isBlocked) {
				this.rejectWaiters('recent connection attempts failed and the next attempt is not due yet');
				return;
			}

			void this.openConnection();
		}
	}

	private async openConnection(): Promise<void> {
		const {target} = this;
		this.openingCount++;
		try {
			const connection = await dialWithTimeout(this.ports, target, this.closeController.signal);
			this.openingCount--;
			this.backoff.reset();
			this.addOpened(target, connection);
		} catch (error) {
			this.openingCount--;
			this.backoff.recordFailure();
			this.rejectWaiters(String(error));
		}

		this.openForWaiters();
		this.onAvailable();
	}

	private addOpened(target: PoolTarget, connection: BackendConnection): void {
		const hasMoved = target.address !== this.target.address || target.port !== this.target.port;
		if (hasMoved || this.closeController.signal.aborted || this.openCount >= this.target.budget) {
			connection.close();
			return;
		}

		const responses = connection.read()[Symbol.asyncIterator]() as PooledConnection['responses'];
		const pooled: PooledConnection = {connection, responses, preparedBytes: 0};
		connection.closed.addEventListener('abort', () => {
			this.removeIdle(pooled);
		}, {once: true});
		this.offer(pooled);
	}

	/** Removes a connection that was closed while idle. */
	private removeIdle(pooled: PooledConnection): void {
		const index = this.idle.indexOf(pooled);
		if (index !== -1) {
			this.idle.splice(index, 1);
			this.onAvailable();
		}
	}

	private removeWaiter(waiter: Waiter): void {
		const index = this.waiters.indexOf(waiter);
		if (index !== -1) {
			this.waiters.splice(index, 1);
		}
	}

	private rejectWaiters(message: string): void {
		for (const waiter of this.waiters.splice(0)) {
			this.reservedCount--;
			waiter.reject(this.unreachableError(message));
		}
	}

	private unreachableError(message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason: 'unreachable', step: 'connect', peer: this.target.database, message,
		});
	}
}
