import {type Clock} from '@crocusloom/model';
import {type SlotGrant} from '@crocusloom/work';
import {type Backend} from '../servers/backend.js';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {ConnectionError} from '../ports.js';
import {rankOf} from '../sessions/routeTable.js';
import {
	type AccessMode, type Answer, type BackendCommand, type PreparedStatement,
} from './statement.js';
import {remainingMs, type StatementExecution} from './statementExecution.js';
import {withTimeout} from './withTimeout.js';

/** Time in which a server must set up a session on a connection. It needs no slot for that, so a longer silence is that of the connection. */
const setupTimeoutMs = 500;

/** Steps of a statement at a backend server: slot, connection, session and command. None of them outlasts the deadline of the statement. */
export class BackendAccess {
	constructor(private readonly clock: Clock) {}

	/**
	 * Waits for a slot and does work in it.
	 * @param isInTransaction - true if the work has a connection already; otherwise a connection is reserved with the slot
	 */
	async withSlot<T>(execution: StatementExecution, backend: Backend, isInTransaction: boolean, work: () => Promise<T>): Promise<T> {
		const grant = await this.admit(execution, backend, isInTransaction);
		try {
			return await work();
		} finally {
			grant.release();
		}
	}

	/** Acquires the connection that was reserved with the slot. One that becomes available after the deadline returns to the pool. */
	async acquireConnection(execution: StatementExecution, backend: Backend): Promise<PooledConnection> {
		const startedMs = this.clock.nowMs();
		const pendingConnection = backend.pool.acquire(execution.context.parameters);
		const connection = await this.withDeadline(execution, pendingConnection, () => {
			void pendingConnection.then(lateConnection => {
				backend.pool.release(lateConnection);
			}, () => undefined);
		});
		execution.connectionNumber = connection.number;
		execution.waitedMs += this.clock.nowMs() - startedMs;
		return connection;
	}

	/** Sets up the session on a connection, which is closed if it is silent, so that its slot and its place in the pool become free. */
	async setUpSession(execution: StatementExecution, connection: PooledConnection, prepared: PreparedStatement | undefined): Promise<void> {
		const timeoutMs = Math.max(1, Math.min(setupTimeoutMs, remainingMs(execution, this.clock)));
		await withTimeout(connection.syncSession(execution.context.parameters, prepared), timeoutMs, () => {
			connection.close();
			return new ConnectionError({kind: 'unreachable', message: `the session was not set up within ${Math.round(timeoutMs)} ms`}, 'execute', connection.serverId);
		});
	}

	/** Runs a command and closes the connection at the deadline, because a late answer could be taken for that of the next command. */
	async run(execution: StatementExecution, connection: PooledConnection, command: BackendCommand, mode: AccessMode): Promise<Answer> {
		const {backend, minimumPosition: targetPosition} = execution.target!;
		// Servers accept the condition for reads and for the beginning of transactions only.
		const minimumPosition = mode === 'read' ? targetPosition : undefined;
		const statementClass = `${rankOf(execution.context.route)} ${mode}`;
		return this.withDeadline(execution, backend.run(connection, command, statementClass, minimumPosition), () => {
			connection.close();
		});
	}

	/**
	 * Waits for work until the deadline of a statement.
	 * @throws ConnectionError if the deadline passes
	 */
	async withDeadline<T>(execution: StatementExecution, work: Promise<T>, onTimeout: () => void): Promise<T> {
		return withTimeout(work, Math.max(1, remainingMs(execution, this.clock)), () => {
			onTimeout();
			return new ConnectionError({kind: 'unreachable', message: 'the time limit of the statement has passed'}, 'execute', execution.target?.backend.id ?? '-');
		});
	}

	private async admit(execution: StatementExecution, backend: Backend, isInTransaction: boolean): Promise<SlotGrant> {
		const startedMs = this.clock.nowMs();
		const {route, callerKey} = execution.context;
		const grant = await backend.acquireSlot({
			rank: rankOf(route), callerKey, isInTransaction, waitLimitMs: Math.max(1, remainingMs(execution, this.clock)),
		});
		execution.waitedMs += this.clock.nowMs() - startedMs;
		return grant;
	}
}
