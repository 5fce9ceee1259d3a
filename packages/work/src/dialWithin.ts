import {type BackendConnection, type BackendDialer, type Clock} from '@crocusloom/model';
import {type PoolTarget} from './connectionPool.js';

/** Time after which an attempt to connect is given up; the statement that waits for it holds a slot meanwhile. */
const dialTimeoutMs = 1000;

/**
 * Opens a connection within the time limit.
 * @param stop - ends the attempt when the pool is closed
 * @throws the dialer's error, or the reason why the attempt was given up
 */
export async function dialWithin(
	{dialer, clock}: {readonly dialer: BackendDialer; readonly clock: Clock},
	target: PoolTarget,
	stop: AbortSignal,
): Promise<BackendConnection> {
	const attempt = new AbortController();
	const finished = new AbortController();
	const abort = () => {
		attempt.abort(new Error('the attempt to connect was given up'));
	};

	stop.addEventListener('abort', abort, {once: true});
	void clock.sleep(dialTimeoutMs, finished.signal).then(abort, () => undefined);
	try {
		return await dialer.dial(target.database, target.address, target.port, attempt.signal);
	} finally {
		stop.removeEventListener('abort', abort);
		finished.abort();
	}
}
