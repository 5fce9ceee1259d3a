import {type Clock} from '@crocusloom/model';
import {type ConnectionPool} from '../connections/connectionPool.js';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {type BackendDialer, type BackendServer, ConnectionError} from '../ports.js';
import {noParameters} from '../sessions/sessionParameters.js';
import {type BackendCommand, type ServerStatus} from '../statements/statement.js';
import {withTimeout} from '../statements/withTimeout.js';

export type ControlCommandPorts = {
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly pool: ConnectionPool;
	/** Returns the discovery entry of the server at present. */
	readonly server: () => BackendServer;
	/** Called after each answer with the status, or with undefined if the answer has none, and the time at which the connection was opened. */
	readonly onAnswer: (status: ServerStatus | undefined, openedMs: number) => void;
};

/** Runs control commands at one backend server, which are answered with its status. */
export class ControlCommands {
	constructor(private readonly ports: ControlCommandPorts) {}

	/**
	 * Runs a command on a connection of the pool.
	 * @param timeoutMs - time after which the connection is closed, because it may be dead
	 * @returns the status, or undefined if the answer is an error or malformed
	 * @throws ConnectionError if the server does not answer in time
	 */
	async run(command: BackendCommand, timeoutMs: number): Promise<ServerStatus | undefined> {
		const {pool} = this.ports;
		const connection = await this.acquire(timeoutMs);
		try {
			const answer = await this.withConnectionTimeout(connection.backendConnection.run({command}), timeoutMs, () => {
				connection.close();
			});
			return this.recordAnswer(connection.backendConnection.readStatus(answer), connection.openedMs);
		} finally {
			pool.release(connection);
		}
	}

	/**
	 * Runs a command on a connection of its own, for work that still runs while the pool opens no connections any more.
	 * @throws ConnectionError if the server does not answer in time
	 */
	async runOnNewConnection(command: BackendCommand, timeoutMs: number): Promise<ServerStatus | undefined> {
		const connection = await this.ports.dialer.dial(this.ports.server(), timeoutMs);
		try {
			const answer = await this.withConnectionTimeout(connection.run({command}), timeoutMs, () => undefined);
			return this.recordAnswer(connection.readStatus(answer), this.ports.clock.nowMs());
		} finally {
			connection.close();
		}
	}

	/**
	 * Requests the status on a connection that is in use by a caller's work, pipelined behind the commands sent so far. The
	 * connection stays open after a timeout.
	 * @throws ConnectionError if the server does not answer in time
	 */
	async requestStatusOn({backendConnection, openedMs}: PooledConnection, timeoutMs: number): Promise<ServerStatus | undefined> {
		const answer = await this.withConnectionTimeout(backendConnection.run({command: {kind: 'status'}}), timeoutMs, () => undefined);
		return this.recordAnswer(backendConnection.readStatus(answer), openedMs);
	}

	/** Acquires a connection of the pool. One that becomes available after the timeout returns to the pool. */
	private async acquire(timeoutMs: number): Promise<PooledConnection> {
		const {pool} = this.ports;
		pool.reserve();
		const pendingConnection = pool.acquire(noParameters);
		return this.withConnectionTimeout(pendingConnection, timeoutMs, () => {
			void pendingConnection.then(lateConnection => {
				pool.release(lateConnection);
			}, () => undefined);
		});
	}

	private recordAnswer(status: ServerStatus | undefined, openedMs: number): ServerStatus | undefined {
		this.ports.onAnswer(status, openedMs);
		return status;
	}

	private async withConnectionTimeout<T>(work: Promise<T>, timeoutMs: number, onTimeout: () => void): Promise<T> {
		return withTimeout(work, timeoutMs, () => {
			onTimeout();
			return new ConnectionError({kind: 'unreachable', message: `no answer within ${timeoutMs} ms`}, 'execute', this.ports.server().id);
		});
	}
}
