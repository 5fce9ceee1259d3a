import {type BackoffLimits} from './backoff.js';

/** Time within which a change must be in force on every host. */
export const changeBoundMs = 7000;

/** Time until a snapshot begins to arrive, and longest pause within it. */
export const storeResponseTimeoutMs = 2000;
/** Time from the start of a watch until it is renewed, because it may lose events without an error; also the timeout of its first response. */
export const watchSessionDurationMs = 2000;
/** Longest interval between attempts of a watcher that fail at once. 820 watchers on one store make 1,171 calls a second, of the 2,000 that it takes. */
export const maximumWatcherRetryMs = 1400;
export const watcherBackoff: BackoffLimits = {baseMs: 700, maximumMs: maximumWatcherRetryMs};
/** Longest random delay before a retry after a timeout, which spreads the retries of hosts. */
export const maximumJitterMs = 150;
/** Time for the snapshot that follows a failed attempt. */
const snapshotAllowanceMs = 200;

/** Interval at which the revisions of peers are checked. Equals the interval of the heartbeats that carry them. */
export const revisionCheckIntervalMs = 500;
/** Timeout of a request for the changes that a peer has. */
export const pullTimeoutMs = 1000;

/**
 * Returns the longest time until a watcher notices a change, counted from the change or from the return of the store. In the worst
 * case a watch reports no events from its start, and the response of its successor, which tells that events are missing, is lost. No
 * further call can be lost with the same connections, because each call opens its own. The time that a large snapshot takes to arrive
 * over a slow link is not included.
 */
export function longestNoticeMs(): number {
	return Math.max((2 * watchSessionDurationMs) + maximumJitterMs, storeResponseTimeoutMs + maximumJitterMs, watcherBackoff.maximumMs) + snapshotAllowanceMs;
}

/**
 * Returns the longest time until all hosts have a change that a watcher has. Most hosts are notified at once, by the watcher or by a host
 * that was notified before. The others are heartbeat partners of a notified host; in the worst case the first peer that they ask for the
 * change does not answer.
 */
export function longestPropagationMs(): number {
	const heartbeatIntervalMs = revisionCheckIntervalMs;
	return heartbeatIntervalMs + revisionCheckIntervalMs + pullTimeoutMs + revisionCheckIntervalMs;
}
