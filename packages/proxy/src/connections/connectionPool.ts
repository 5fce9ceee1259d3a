import {type Clock, type Logger, type RandomSource} from '@crocusloom/model';
import {
	type BackendDialer, type BackendServer, ConnectionError, type ConnectionFailure,
} from '../ports.js';
import {type SessionParameters} from '../sessions/sessionParameters.js';
import {type ConnectionShare} from './connectionShare.js';
import {DialBackoff} from './dialBackoff.js';
import {IdleLimits} from './idleLimits.js';
import {PooledConnection} from './pooledConnection.js';

/** Time in which a backend server must accept a connection. A new connection also waits for a slot of the server. */
const dialTimeoutMs = 700;
/** Maximum number of connections that are opened concurrently, because each takes a slot of the backend server. */
const maximumConcurrentDials = 2;

type Waiter = {
	readonly parameters: SessionParameters;
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: unknown) => void;
};

export type PoolPorts = {
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Called when a connection becomes available for new work. */
	readonly onAvailable: () => void;
	/** Called after each attempt to open a connection, with the failure, or with undefined on success. */
	readonly onDialResult: (failure: ConnectionFailure | undefined) => void;
	/** Called when a connection ended that this proxy had not closed. */
	readonly onConnectionLost: () => void;
};

/** Pool of the connections from this proxy to one backend server. */
export class ConnectionPool {
	private readonly idle: PooledConnection[] = [];
	private readonly waiters: Waiter[] = [];
	private readonly connections = new Set<PooledConnection>();
	private pendingDials = 0;
	/** Number of connections that were ever opened. */
	private openedCount = 0;
	private reservedCount = 0;
	private inUseCount = 0;
	private readonly backoff: DialBackoff;
	private readonly idleLimits: IdleLimits;
	private isClosed = false;

	constructor(private server: BackendServer, private share: ConnectionShare, private readonly ports: PoolPorts) {
		this.backoff = new DialBackoff(ports);
		this.idleLimits = new IdleLimits(ports.clock);
	}

	get openCount(): number {
		return this.connections.size;
	}

	get idleCount(): number {
		return this.idle.length;
	}

	/** Applies a changed server entry or share. */
	configure(server: BackendServer, share: ConnectionShare): void {
		this.server = server;
		this.share = share;
	}

	/** Records the number of open connections of all hosts together, as reported by the server. */
	recordServerConnections(count: number): void {
		this.idleLimits.recordServerConnections(count);
	}

	/** True if a unit of work may start, because a connection is idle or may be opened for it. */
	mayReserve(): boolean {
		return this.inUseCount + this.reservedCount < Math.max(1, this.currentLimit());
	}

	/** Reserves a connection for a unit of work; `acquire` must follow. */
	reserve(): void {
		this.reservedCount++;
	}

	/**
	 * Acquires the connection for a reserved unit of work.
	 * @param parameters - parameters of the session; an idle connection that already has them is preferred
	 * @throws ConnectionError if no connection can be opened
	 */
	async acquire(parameters: SessionParameters): Promise<PooledConnection> {
		this.reservedCount--;
		this.inUseCount++;
		const idleConnection = this.takeIdle(parameters);
		if (idleConnection) {
			return idleConnection;
		}

		try {
			return await this.waitForConnection(parameters);
		} catch (error) {
			this.inUseCount--;
			throw error;
		}
	}

	/** Releases a connection to the pool. It must be outside a transaction or closed. */
	release(connection: PooledConnection): void {
		this.inUseCount--;
		if (connection.isOpen && !this.isClosed && !connection.keepsTooMuch) {
			this.makeAvailable(connection);
		} else {
			connection.close();
			this.dialForWaiters();
		}

		this.ports.onAvailable();
	}

	/**
	 * Opens connections for waiting work whose attempts were delayed by a backoff, and closes surplus idle connections.
	 * @param warmConnections - connections to keep open ahead of demand, unless connections are scarce
	 */
	maintain(warmConnections: number): void {
		this.dialForWaiters();
		if (!this.share.isScarce && this.connections.size + this.pendingDials < warmConnections && this.canDial()) {
			void this.dial();
		}

		this.closeSurplusIdle();
	}

	/** Opens no further connections and closes the idle ones; those in use are closed when they are released. */
	retire(): void {
		this.isClosed = true;
		while (this.idle[0]) {
			this.idle.shift()!.close();
		}

		this.failWaiters(this.closedError());
	}

	/** Closes the pool and all connections. Requests in flight fail. */
	close(): void {
		this.retire();
		this.closeAll();
	}

	/** Closes all connections, because the server is unreachable. New connections may be opened. */
	closeAll(): void {
		for (const connection of this.connections) {
			connection.close();
		}
	}

	/** Closes idle connections that other proxies may need. */
	private closeSurplusIdle(): void {
		const nowMs = this.ports.clock.nowMs();
		const {keptCount, timeoutMs} = this.idleLimits.limitFor(this.share);
		while (this.connections.size > keptCount && this.idle[0] && nowMs - this.idle[0].idleSinceMs > timeoutMs) {
			this.idle.shift()!.close();
		}
	}

	/** Returns the connection limit of the pool. During the backoff at the server's limit, only the open connections are available. */
	private currentLimit(): number {
		const isPausing = this.backoff.isAtServerLimit && this.backoff.isWaiting;
		return isPausing ? Math.min(this.share.maximum, this.connections.size) : this.share.maximum;
	}

	private takeIdle(parameters: SessionParameters): PooledConnection | undefined {
		const matchingIndex = this.idle.findLastIndex(connection => connection.hasParameters(parameters));
		const [idleConnection] = this.idle.splice(matchingIndex === -1 ? this.idle.length - 1 : matchingIndex, 1);
		return idleConnection;
	}

	private async waitForConnection(parameters: SessionParameters): Promise<PooledConnection> {
		if (this.isClosed) {
			throw this.closedError();
		}

		return new Promise((resolve, reject) => {
			this.waiters.push({parameters, resolve, reject});
			this.dialForWaiters();
		});
	}

	private makeAvailable(connection: PooledConnection): void {
		const waiter = this.waiters.shift();
		if (waiter) {
			waiter.resolve(connection);
			return;
		}

		connection.idleSinceMs = this.ports.clock.nowMs();
		this.idle.push(connection);
	}

	private canDial(): boolean {
		return !this.isClosed
			&& this.pendingDials < maximumConcurrentDials
			&& this.connections.size + this.pendingDials < this.currentLimit()
			&& !this.backoff.isWaiting;
	}

	private dialForWaiters(): void {
		if (this.waiters.length === 0) {
			return;
		}

		while (this.pendingDials < this.waiters.length && this.canDial()) {
			void this.dial();
		}

		if (this.pendingDials === 0 && this.connections.size === 0 && !this.backoff.isAtServerLimit) {
			this.failWaiters(new ConnectionError({kind: 'unreachable', message: 'no connection, and the last attempt failed a moment ago'}, 'connect', this.server.id));
		}
	}

	private async dial(): Promise<void> {
		this.pendingDials++;
		try {
			const connection = await this.ports.dialer.dial(this.server, dialTimeoutMs);
			this.pendingDials--;
			this.openedCount++;
			this.addConnection(new PooledConnection(connection, this.server.id, this.ports.clock.nowMs(), this.openedCount));
		} catch (error) {
			this.pendingDials--;
			this.handleDialFailure(error);
		}
	}

	private addConnection(connection: PooledConnection): void {
		if (this.isClosed) {
			connection.close();
			return;
		}

		this.connections.add(connection);
		this.backoff.recordSuccess();
		connection.backendConnection.onClose(() => {
			this.removeConnection(connection);
			if (!connection.isClosedHere) {
				this.ports.onConnectionLost();
			}
		});
		this.ports.onDialResult(undefined);
		this.makeAvailable(connection);
		this.ports.onAvailable();
		this.dialForWaiters();
	}

	private removeConnection(connection: PooledConnection): void {
		this.connections.delete(connection);
		const index = this.idle.indexOf(connection);
		if (index !== -1) {
			this.idle.splice(index, 1);
		}
	}

	private handleDialFailure(error: unknown): void {
		const failure: ConnectionFailure = error instanceof ConnectionError ? error.failure : {kind: 'protocol', message: String(error)};
		if (this.backoff.recordFailure(failure, this.share, this.connections.size)) {
			this.ports.log.warn({
				server: this.server.id, failure: failure.kind, reason: failure.message, openConnections: this.connections.size, waiting: this.waiters.length,
			}, 'a connection to a backend server could not be opened');
		}

		this.ports.onDialResult(failure);
		if (this.connections.size === 0 && this.pendingDials === 0 && !this.backoff.isAtServerLimit) {
			this.failWaiters(error);
		}
	}

	private closedError(): ConnectionError {
		return new ConnectionError({kind: 'closed', message: 'the backend server is no longer used'}, 'connect', this.server.id);
	}

	private failWaiters(error: unknown): void {
		for (const waiter of this.waiters.splice(0)) {
			waiter.reject(error);
		}
	}
}
