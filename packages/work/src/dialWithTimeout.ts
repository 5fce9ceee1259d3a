import {type BackendConnection, type BackendDialer, type Clock} from '@crocusloom/model';
import {type PoolTarget} from './connectionPool.js';

/** Timeout of a connection attempt. The statement that waits for the connection holds a slot meanwhile. */
const dialTimeoutMs = 1000;

/**
 * Opens a connection to a database, with a timeout.
 * @param poolClosed - aborts the attempt when the pool is closed
 * @throws the error of the dialer, or an error that states that the attempt was aborted
 */
export async function dialWithTimeout(
	{dialer, clock}: {readonly dialer: BackendDialer; readonly clock: Clock},
	target: PoolTarget,
	poolClosed: AbortSignal,
): Promise<BackendConnection> {
	const attemptController = new AbortController();
	const timerController = new AbortController();
	const abort = () => {
		attemptController.abort(new Error('the connection attempt timed out or was aborted'));
	};

	poolClosed.addEventListener('abort', abort, {once: true});
	void clock.sleep(dialTimeoutMs, timerController.signal).then(abort, () => undefined);
	try {
		return await dialer.dial(target.database, target.address, target.port, attemptController.signal);
	} finally {
		poolClosed.removeEventListener('abort', abort);
		timerController.abort();
	}
}
