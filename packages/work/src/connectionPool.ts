import {
	FailureError, type BackendConnection, type BackendDialer, type Clock, type RandomSource,
} from '@crocusloom/model';
import {Backoff} from './backoff.js';
import {dialWithin} from './dialWithin.js';

/** Connections of a database's limit that stay free for monitors. */
const monitorConnections = 4;
/** Proxies that may hold a database at the same time while the membership changes. */
const simultaneousHolders = 2;
/** Connections that are being opened at a time; more would slow the server down for running statements. */
const maximumOpening = 2;
/** Longest random pause before each connection of the warm-up, so that holders that start together spread their logins. */
const warmUpJitterMs = 200;

/**
 * Computes how many connections one holder may open.
 * @param connectionLimit - connections that the database accepts
 */
export function connectionBudget(connectionLimit: number): number {
	return Math.max(1, Math.floor((connectionLimit - monitorConnections) / simultaneousHolders));
}

export type PoolTarget = {readonly database: string; readonly address: string; readonly port: number; readonly budget: number};

/** A connection with its one reader, which lasts as long as the connection. */
export type PooledConnection = {
	readonly connection: BackendConnection;
	readonly answers: AsyncIterator<Buffer, undefined>;
};

type Waiter = {
	readonly resolve: (pooled: PooledConnection) => void;
	readonly reject: (error: FailureError) => void;
};

type PoolPorts = {readonly dialer: BackendDialer; readonly clock: Clock; readonly random: RandomSource};

/**
 * Connections to one database. `leased + idle + opening` never exceeds the budget.
 * A user first reserves a place, so that a slot is never granted to work that then waits behind open transactions.
 */
export class ConnectionPool {
	private readonly idle: PooledConnection[] = [];
	private readonly waiters: Waiter[] = [];
	private readonly stop = new AbortController();
	private leased = 0;
	/** Places promised to users that have no connection yet. */
	private reserved = 0;
	private keepsIdle = true;
	private opening = 0;
	private readonly backoff: Backoff;

	/**
	 * @param target - database and budget
	 * @param ports - dialer, clock and random source
	 * @param onAvailable - called when a connection may have become available
	 */
	constructor(private target: PoolTarget, private readonly ports: PoolPorts, private readonly onAvailable: () => void = () => undefined) {
		this.backoff = new Backoff(ports.clock, ports.random);
	}

	get openCount(): number {
		return this.leased + this.idle.length + this.opening;
	}

	get budget(): number {
		return this.target.budget;
	}

	/** Connections that another unit of work could still get. */
	get availableCount(): number {
		return this.target.budget - this.leased - this.reserved;
	}

	/** Promises a connection to a user, who must call `acquire`, `take` with success, or `cancelReservation`. */
	reserve(): void {
		this.reserved++;
	}

	cancelReservation(): void {
		this.reserved--;
		this.onAvailable();
	}

	/** Keeps or closes idle connections; a host that no longer holds the database keeps none. */
	keepIdle(keepsIdle: boolean): void {
		this.keepsIdle = keepsIdle;
		if (!keepsIdle) {
			this.closeIdle();
		}
	}

	/** Takes the place of the target; connections to another address are closed when they come back. */
	configure(target: PoolTarget): void {
		const moved = target.address !== this.target.address || target.port !== this.target.port;
		this.target = target;
		if (moved) {
			this.closeIdle();
			this.backoff.reset();
		}

		while (this.openCount > target.budget && this.idle.length > 0) {
			this.idle.pop()!.connection.close();
		}

		this.onAvailable();
	}

	/**
	 * Takes an idle connection without waiting, in exchange for a reservation.
	 */
	take(): PooledConnection | undefined {
		for (;;) {
			const pooled = this.idle.pop();
			if (!pooled) {
				return undefined;
			}

			if (!pooled.connection.closed.aborted) {
				this.lease();
				return pooled;
			}
		}
	}

	/**
	 * Takes an idle connection or opens one, in exchange for a reservation.
	 * @throws FailureError `notRun` when none can be had
	 */
	async acquire(signal: AbortSignal): Promise<PooledConnection> {
		const pooled = this.take();
		if (pooled) {
			return pooled;
		}

		if (this.stop.signal.aborted || this.backoff.isBlocked) {
			this.cancelReservation();
			throw this.unreachable('connections failed and the next attempt is not due yet');
		}

		return new Promise((resolve, reject) => {
			const abort = () => {
				this.removeWaiter(waiter);
				this.cancelReservation();
				reject(this.unreachable('the caller gave up waiting for a connection'));
			};

			const waiter: Waiter = {
				resolve(given) {
					signal.removeEventListener('abort', abort);
					resolve(given);
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

	/** Gives a connection back that is outside a transaction and whose answers were all read. */
	giveBack(pooled: PooledConnection): void {
		this.leased--;
		const isWanted = this.keepsIdle || this.waiters.length > 0;
		if (pooled.connection.closed.aborted || this.stop.signal.aborted || this.openCount >= this.target.budget || !isWanted) {
			pooled.connection.close();
		} else {
			this.offer(pooled);
		}

		this.openForWaiters();
		this.onAvailable();
	}

	/** Closes a connection that must not be used again. */
	discard(pooled: PooledConnection): void {
		this.leased--;
		pooled.connection.close();
		this.openForWaiters();
		this.onAvailable();
	}

	/** Opens connections ahead of need, each after a random pause. */
	async warmUp(count: number): Promise<void> {
		const goal = Math.min(count, this.target.budget);
		while (this.openCount < goal && !this.stop.signal.aborted) {
			try {
				await this.ports.clock.sleep((0.05 + this.ports.random.next()) * warmUpJitterMs, this.stop.signal);
			} catch {
				return;
			}

			if (this.openCount >= goal || this.backoff.isBlocked) {
				return;
			}

			if (this.opening < maximumOpening) {
				await this.open();
			}
		}
	}

	/** Closes idle connections and refuses those who wait for one, because the database does not answer. */
	dropAll(reason: string): void {
		this.closeIdle();
		this.rejectWaiters(reason);
		this.onAvailable();
	}

	close(): void {
		this.stop.abort();
		this.closeIdle();
		this.rejectWaiters('the pool is closed');
	}

	private closeIdle(): void {
		for (const pooled of this.idle.splice(0)) {
			pooled.connection.close();
		}
	}

	private lease(): void {
		this.leased++;
		this.reserved--;
	}

	private offer(pooled: PooledConnection): void {
		const waiter = this.waiters.shift();
		if (waiter) {
			this.lease();
			waiter.resolve(pooled);
			return;
		}

		this.idle.push(pooled);
	}

	private openForWaiters(): void {
		while (this.opening < maximumOpening && this.opening < this.waiters.length && this.openCount < this.target.budget) {
			if (this.backoff.isBlocked) {
				this.rejectWaiters('connections failed and the next attempt is not due yet');
				return;
			}

			void this.open();
		}
	}

	private async open(): Promise<void> {
		const {target} = this;
		this.opening++;
		try {
			const connection = await dialWithin(this.ports, target, this.stop.signal);
			this.opening--;
			this.backoff.reset();
			this.admit(target, connection);
		} catch (error) {
			this.opening--;
			this.backoff.noteFailure();
			this.rejectWaiters(String(error));
		}

		this.openForWaiters();
		this.onAvailable();
	}

	private admit(target: PoolTarget, connection: BackendConnection): void {
		const moved = target.address !== this.target.address || target.port !== this.target.port;
		if (moved || this.stop.signal.aborted || this.openCount >= this.target.budget) {
			connection.close();
			return;
		}

		const answers = connection.read()[Symbol.asyncIterator]() as PooledConnection['answers'];
		const pooled = {connection, answers};
		connection.closed.addEventListener('abort', () => {
			this.forget(pooled);
		}, {once: true});
		this.offer(pooled);
	}

	/** Drops a connection that ended while idle. */
	private forget(pooled: PooledConnection): void {
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
			this.reserved--;
			waiter.reject(this.unreachable(message));
		}
	}

	private unreachable(message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason: 'unreachable', step: 'connect', peer: this.target.database, message,
		});
	}
}
