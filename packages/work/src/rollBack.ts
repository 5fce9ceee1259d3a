import {type WorkRequest} from '@crocusloom/model';
import {ResponseReader} from './responseReader.js';
import {type PooledConnection} from './connectionPool.js';
import {type HeldDatabase} from './heldDatabase.js';
import {queryMessage} from './startup.js';

/** Timeout of a rollback. On timeout the connection is closed, which rolls back the transaction as well. */
const rollbackTimeoutMs = 1000;

const rollbackQuery = queryMessage('ROLLBACK');

/**
 * Rolls back the transaction that a released unit of work left open, and returns the connection to the pool.
 * If the rollback fails, the connection is closed.
 */
export async function rollBack(held: HeldDatabase, pooled: PooledConnection, request: WorkRequest): Promise<void> {
	const timeoutController = new AbortController();
	const timerController = new AbortController();
	const expire = () => {
		timeoutController.abort();
		pooled.connection.close();
	};

	void held.ports.clock.sleep(rollbackTimeoutMs, timerController.signal).then(expire, () => undefined);
	const isRolledBack = await runRollback(held, pooled, request, timeoutController.signal);
	timerController.abort();
	if (isRolledBack) {
		held.pool.release(pooled);
	} else {
		held.pool.discard(pooled);
	}
}

async function runRollback(held: HeldDatabase, pooled: PooledConnection, request: WorkRequest, signal: AbortSignal): Promise<boolean> {
	try {
		const grant = await held.queue.acquire({
			rank: request.rank, callerKey: request.callerKey, isInTransaction: true, waitLimitMs: rollbackTimeoutMs,
		}, signal);
		try {
			pooled.connection.write(rollbackQuery);
			const reader = new ResponseReader({readyCount: 1, insertedParseCount: 0, hasPositionQuery: false});
			while (!reader.isDone) {
				const {done, value: chunk} = await pooled.responses.next();
				if (done) {
					return false;
				}

				reader.push(chunk);
			}

			return reader.transactionStatus === 'I';
		} finally {
			grant.release();
		}
	} catch {
		return false;
	}
}
