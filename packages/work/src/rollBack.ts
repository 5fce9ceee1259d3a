import {type WorkRequest} from '@crocusloom/model';
import {AnswerReader} from './answerReader.js';
import {type PooledConnection} from './connectionPool.js';
import {type HeldDatabase} from './heldDatabase.js';
import {queryMessage} from './startup.js';

/** Time after which a rollback that is not answered ends with closing the connection, which rolls back as well. */
const rollbackTimeoutMs = 1000;

const rollbackQuery = queryMessage('ROLLBACK');

/**
 * Rolls back the transaction that a released unit of work left open, and gives the connection back.
 * The connection is closed when that fails.
 */
export async function rollBack(held: HeldDatabase, pooled: PooledConnection, request: WorkRequest): Promise<void> {
	const limit = new AbortController();
	const finished = new AbortController();
	const expire = () => {
		limit.abort();
		pooled.connection.close();
	};

	void held.ports.clock.sleep(rollbackTimeoutMs, finished.signal).then(expire, () => undefined);
	const isClean = await runRollback(held, pooled, request, limit.signal);
	finished.abort();
	if (isClean) {
		held.pool.giveBack(pooled);
	} else {
		held.pool.discard(pooled);
	}
}

async function runRollback(held: HeldDatabase, pooled: PooledConnection, request: WorkRequest, signal: AbortSignal): Promise<boolean> {
	try {
		const grant = await held.queue.acquire({
			rank: request.rank, callerKey: request.callerKey, inTransaction: true, waitLimitMs: rollbackTimeoutMs,
		}, signal);
		try {
			pooled.connection.write(rollbackQuery);
			const reader = new AnswerReader({readyCount: 1, extraParses: 0, withPosition: false});
			while (!reader.isDone) {
				const {done, value: chunk} = await pooled.answers.next();
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
