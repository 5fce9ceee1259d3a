import {type Clock, type Logger, type RandomSource} from '@crocusloom/model';
import {type ConnectionShare} from './connectionShare.js';
import {PooledConnection} from './pooledConnection.js';
import {
	type BackendDialer, type BackendServer, ConnectionError, type ConnectionFailure,
} from './ports.js';
import {type SessionValues} from './sessionValues.js';

/** Time in which a backend server must accept a connection; a new one also waits for a slot there. */
const dialLimitMs = 700;
/** Dials at the same time; a new connection takes a slot of the backend server. */
const maximumDials = 2;
/** Pause after the server refused a connection because of its limit, while this host holds less than its own share. */
const ownLimitPauseMs = 200;
/** The same while it holds its own share or more; others need the connections. */
const lentLimitPauseMs = 2500;
/** The same where connections are scarce and idle ones are closed soon. */
const scarceLimitPauseMs = 150;
/** Pause after a failed dial, so that a dead server is not flooded with attempts. */
const failurePauseMs = 100;
/** An idle connection above the own share is closed after this time, so that other hosts can use it. */
const spareIdleMs = 1000;
/** The same for each connection where they are scarce and the server has few left, or it is not known how many. */
const crowdedIdleMs = 400;
/** The same when it has next to none left; others are being refused. */
const fullIdleMs = 50;
/** Shares of the server's limit from which on it counts as crowded and as full. */
const crowdedShare = 0.85;
const fullShare = 0.95;
/** Age above which the number of open connections that the server reported says nothing any more. */
const reportedLimitMs = 3000;

type Waiter = {
	readonly values: SessionValues;
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: unknown) => void;
};

export type PoolPorts = {
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Called when a connection became available to new work. */
	readonly onAvailable: () => void;
	/** Called with each failed dial, and with undefined after a successful one. */
	readonly onDial: (failure: ConnectionFailure | undefined) => void;
};

/** The connections of this proxy to one backend server. */
export class ConnectionPool {
	private readonly idle: PooledConnection[] = [];
	private readonly waiters: Waiter[] = [];
	private readonly all = new Set<PooledConnection>();
	private dials = 0;
	private reserved = 0;
	private inUse = 0;
	private noDialBeforeMs = 0;
	/** True if the last attempt was refused because the server is at its limit. */
	private isAtServerLimit = false;
	private isClosed = false;
	/** Connections of all hosts together, as the server reported them last. */
	private reported: {readonly count: number; readonly atMs: number} | undefined;
	/** Failed attempts since the last success; only the first is logged. */
	private failedDials = 0;

	constructor(private server: BackendServer, private share: ConnectionShare, private readonly ports: PoolPorts) {}

	get openCount(): number {
		return this.all.size;
	}

	get idleCount(): number {
		return this.idle.length;
	}

	/** Puts a changed entry or share in force. */
	configure(server: BackendServer, share: ConnectionShare): void {
		this.server = server;
		this.share = share;
	}

	/** Takes over how many connections of all hosts together the server has open. */
	noteServerConnections(count: number): void {
		this.reported = {count, atMs: this.ports.clock.nowMs()};
	}

	/** A unit of work may start if a connection is idle or may be opened for it. */
	mayReserve(): boolean {
		return this.inUse + this.reserved < Math.max(1, this.currentLimit());
	}

	reserve(): void {
		this.reserved++;
	}

	/**
	 * Takes a connection for a reserved unit of work.
	 * @param values - values of the session; a connection that has them already is preferred
	 * @throws ConnectionError if none can be opened
	 */
	async take(values: SessionValues): Promise<PooledConnection> {
		this.reserved--;
		this.inUse++;
		const idle = this.takeIdle(values);
		if (idle) {
			return idle;
		}

		try {
			return await this.wait(values);
		} catch (error) {
			this.inUse--;
			throw error;
		}
	}

	/** Gives a connection back; it must be outside any transaction. */
	giveBack(connection: PooledConnection): void {
		this.inUse--;
		if (connection.isOpen && !this.isClosed) {
			this.offer(connection);
		} else {
			connection.close();
			this.dialForWaiters();
		}

		this.ports.onAvailable();
	}

	/** Opens connections ahead of need, up to `count` where they are not scarce, and for those that wait since a pause began. */
	maintain(count: number): void {
		this.dialForWaiters();
		if (!this.share.isScarce && this.all.size + this.dials < count && this.mayDial()) {
			void this.dial();
		}

		this.closeSpare();
	}

	/** Ends all connections; requests in flight fail. */
	close(): void {
		this.isClosed = true;
		for (const connection of this.all) {
			connection.close();
		}

		this.failWaiters(new ConnectionError({kind: 'closed', message: 'the backend server is no longer used'}, 'connect', this.server.id));
	}

	/** Ends all connections, because the server cannot be reached on them; new ones may be opened. */
	closeAll(): void {
		for (const connection of this.all) {
			connection.close();
		}
	}

	/** Closes idle connections that other proxies may need. */
	private closeSpare(): void {
		const nowMs = this.ports.clock.nowMs();
		const usedShare = this.share.isScarce ? this.usedShare() : 0;
		const kept = usedShare >= crowdedShare ? 0 : this.share.own;
		const limitMs = usedShare >= fullShare ? fullIdleMs : (usedShare >= crowdedShare ? crowdedIdleMs : spareIdleMs);
		while (this.all.size > kept && this.idle[0] && nowMs - this.idle[0].idleSinceMs > limitMs) {
			this.idle.shift()!.close();
		}
	}

	/** Share of the server's limit that all hosts use. Without a recent report the server counts as crowded. */
	private usedShare(): number {
		const {reported} = this;
		const isKnown = reported !== undefined && this.ports.clock.nowMs() - reported.atMs <= reportedLimitMs;
		return isKnown ? reported.count / this.share.serverLimit : crowdedShare;
	}

	/** While the server is at its limit, work has to share the connections that are open. */
	private currentLimit(): number {
		const isPausing = this.isAtServerLimit && this.ports.clock.nowMs() < this.noDialBeforeMs;
		return isPausing ? Math.min(this.share.most, this.all.size) : this.share.most;
	}

	private takeIdle(values: SessionValues): PooledConnection | undefined {
		const matching = this.idle.findLastIndex(connection => connection.hasValues(values));
		const [found] = this.idle.splice(matching === -1 ? this.idle.length - 1 : matching, 1);
		return found;
	}

	private async wait(values: SessionValues): Promise<PooledConnection> {
		return new Promise((resolve, reject) => {
			this.waiters.push({values, resolve, reject});
			this.dialForWaiters();
		});
	}

	private offer(connection: PooledConnection): void {
		const waiter = this.waiters.shift();
		if (waiter) {
			waiter.resolve(connection);
			return;
		}

		connection.idleSinceMs = this.ports.clock.nowMs();
		this.idle.push(connection);
	}

	private mayDial(): boolean {
		return !this.isClosed
			&& this.dials < maximumDials
			&& this.all.size + this.dials < this.currentLimit()
			&& this.ports.clock.nowMs() >= this.noDialBeforeMs;
	}

	private dialForWaiters(): void {
		if (this.waiters.length === 0) {
			return;
		}

		while (this.dials < this.waiters.length && this.mayDial()) {
			void this.dial();
		}

		if (this.dials === 0 && this.all.size === 0 && !this.isAtServerLimit) {
			this.failWaiters(new ConnectionError({kind: 'unreachable', message: 'no connection, and the last attempt failed a moment ago'}, 'connect', this.server.id));
		}
	}

	private async dial(): Promise<void> {
		this.dials++;
		try {
			const connection = await this.ports.dialer.dial(this.server, dialLimitMs);
			this.dials--;
			this.adopt(new PooledConnection(connection, this.server.id));
		} catch (error) {
			this.dials--;
			this.noteFailedDial(error);
		}
	}

	private adopt(connection: PooledConnection): void {
		if (this.isClosed) {
			connection.close();
			return;
		}

		this.all.add(connection);
		this.isAtServerLimit = false;
		this.failedDials = 0;
		connection.connection.onClose(() => {
			this.forget(connection);
		});
		this.ports.onDial(undefined);
		this.offer(connection);
		this.ports.onAvailable();
		this.dialForWaiters();
	}

	private forget(connection: PooledConnection): void {
		this.all.delete(connection);
		const index = this.idle.indexOf(connection);
		if (index !== -1) {
			this.idle.splice(index, 1);
		}
	}

	private noteFailedDial(error: unknown): void {
		const failure: ConnectionFailure = error instanceof ConnectionError ? error.failure : {kind: 'protocol', message: String(error)};
		const {clock, random, log, onDial} = this.ports;
		this.isAtServerLimit = failure.kind === 'connectionLimit';
		this.noDialBeforeMs = clock.nowMs() + (this.isAtServerLimit ? this.limitPauseMs() * (0.5 + (random.next() / 2)) : failurePauseMs);

		this.failedDials++;
		if (this.failedDials === 1 || this.isAtServerLimit) {
			log.warn({
				server: this.server.id, failure: failure.kind, reason: failure.message, openConnections: this.all.size, waiting: this.waiters.length,
			}, 'a connection to a backend server could not be opened');
		}

		onDial(failure);
		if (this.all.size === 0 && this.dials === 0 && !this.isAtServerLimit) {
			this.failWaiters(error);
		}
	}

	private limitPauseMs(): number {
		if (this.share.isScarce) {
			return scarceLimitPauseMs;
		}

		return this.all.size < this.share.own ? ownLimitPauseMs : lentLimitPauseMs;
	}

	private failWaiters(error: unknown): void {
		for (const waiter of this.waiters.splice(0)) {
			waiter.reject(error);
		}
	}
}
