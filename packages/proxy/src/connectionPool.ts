import {type Clock, type Logger, type RandomSource} from '@crocusloom/model';
import {type ConnectionShare} from './connectionShare.js';
import {PooledConnection} from './pooledConnection.js';
import {
	type BackendDialer, type BackendServer, ConnectionError, type ConnectionFailure,
} from './ports.js';
import {type SessionParameters} from './sessionParameters.js';

/** Time in which a backend server must accept a connection. A new connection also waits for a slot of the server. */
const dialTimeoutMs = 700;
/** Maximum number of connections that are opened concurrently, because each takes a slot of the backend server. */
const maximumConcurrentDials = 2;
/** Backoff after the server refused a connection because of its limit, while this host holds less than its guaranteed share. */
const guaranteedShareBackoffMs = 200;
/** Backoff at the server's limit while this host holds its guaranteed share or more. Longer, because other hosts need the connections. */
const borrowedShareBackoffMs = 2500;
/** Backoff at the server's limit if connections are scarce. Shorter, because idle connections are then closed soon. */
const scarceBackoffMs = 150;
/** Backoff after any other failed attempt, so that an unreachable server is not flooded with attempts. */
const failedDialBackoffMs = 100;
/** Idle time after which a connection above the guaranteed share is closed, so that other hosts can use it. */
const surplusIdleTimeoutMs = 1000;
/** Idle timeout of all connections if they are scarce and the server has few left or has not reported its usage recently. */
const crowdedIdleTimeoutMs = 400;
/** Idle timeout of all connections if they are scarce and the server has almost none left, so that it refuses other hosts. */
const fullIdleTimeoutMs = 50;
/** Fraction of the server's limit from which on the server counts as crowded. */
const crowdedThreshold = 0.85;
/** Fraction of the server's limit from which on the server counts as full. */
const fullThreshold = 0.95;
/** Age after which the number of open connections that the server reported is no longer used. */
const serverReportMaxAgeMs = 3000;

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
	private reservedCount = 0;
	private inUseCount = 0;
	private nextDialMs = 0;
	/** True if the last attempt was refused because the server is at its connection limit. */
	private isAtServerLimit = false;
	private isClosed = false;
	/** Open connections of all hosts together, as last reported by the server. */
	private serverReport: {readonly count: number; readonly atMs: number} | undefined;
	/** Failed attempts since the last success. Only the first is logged, but each refusal at the server's limit is. */
	private failedDials = 0;

	constructor(private server: BackendServer, private share: ConnectionShare, private readonly ports: PoolPorts) {}

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
		this.serverReport = {count, atMs: this.ports.clock.nowMs()};
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
		if (connection.isOpen && !this.isClosed) {
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
		const usedFraction = this.share.isScarce ? this.usedFraction() : 0;
		const keptCount = usedFraction >= crowdedThreshold ? 0 : this.share.guaranteed;
		const idleTimeoutMs = usedFraction >= fullThreshold ? fullIdleTimeoutMs : (usedFraction >= crowdedThreshold ? crowdedIdleTimeoutMs : surplusIdleTimeoutMs);
		while (this.connections.size > keptCount && this.idle[0] && nowMs - this.idle[0].idleSinceMs > idleTimeoutMs) {
			this.idle.shift()!.close();
		}
	}

	/** Returns the fraction of the server's limit that all hosts use. Without a recent report the server counts as crowded. */
	private usedFraction(): number {
		const {serverReport} = this;
		const isKnown = serverReport !== undefined && this.ports.clock.nowMs() - serverReport.atMs <= serverReportMaxAgeMs;
		return isKnown ? serverReport.count / this.share.serverLimit : crowdedThreshold;
	}

	/** Returns the connection limit of the pool. During the backoff at the server's limit, only the open connections are available. */
	private currentLimit(): number {
		const isPausing = this.isAtServerLimit && this.ports.clock.nowMs() < this.nextDialMs;
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
			&& this.ports.clock.nowMs() >= this.nextDialMs;
	}

	private dialForWaiters(): void {
		if (this.waiters.length === 0) {
			return;
		}

		while (this.pendingDials < this.waiters.length && this.canDial()) {
			void this.dial();
		}

		if (this.pendingDials === 0 && this.connections.size === 0 && !this.isAtServerLimit) {
			this.failWaiters(new ConnectionError({kind: 'unreachable', message: 'no connection, and the last attempt failed a moment ago'}, 'connect', this.server.id));
		}
	}

	private async dial(): Promise<void> {
		this.pendingDials++;
		try {
			const connection = await this.ports.dialer.dial(this.server, dialTimeoutMs);
			this.pendingDials--;
			this.addConnection(new PooledConnection(connection, this.server.id, this.ports.clock.nowMs()));
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
		this.isAtServerLimit = false;
		this.failedDials = 0;
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
		const {clock, random, log, onDialResult} = this.ports;
		this.isAtServerLimit = failure.kind === 'connectionLimit';
		this.nextDialMs = clock.nowMs() + (this.isAtServerLimit ? this.serverLimitBackoffMs() * (0.5 + (random.next() / 2)) : failedDialBackoffMs);

		this.failedDials++;
		if (this.failedDials === 1 || this.isAtServerLimit) {
			log.warn({
				server: this.server.id, failure: failure.kind, reason: failure.message, openConnections: this.connections.size, waiting: this.waiters.length,
			}, 'a connection to a backend server could not be opened');
		}

		onDialResult(failure);
		if (this.connections.size === 0 && this.pendingDials === 0 && !this.isAtServerLimit) {
			this.failWaiters(error);
		}
	}

	private serverLimitBackoffMs(): number {
		if (this.share.isScarce) {
			return scarceBackoffMs;
		}

		return this.connections.size < this.share.guaranteed ? guaranteedShareBackoffMs : borrowedShareBackoffMs;
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
