/** Interval of status polls to one database. */
export const pollIntervalMs = 200;
/** A database that has not responded for this long counts as unreachable. An unreachable primary is suspected to have failed. */
export const unreachableAfterMs = 600;
/** Timeout of one control call. Shorter than `unreachableAfterMs`, so that a call with a lost response ends before the database counts as unreachable. */
export const callTimeoutMs = 300;
/** Timeout of one position wait. Status polls on the same monitor connection queue behind it. */
export const positionWaitTimeoutMs = 25;
/** Delay before the next position wait if the last one failed or was superseded. */
export const positionWaitRetryMs = 20;
/** Delay of the next commit position probe while another one runs. Calls that arrive in this time share the probe. */
export const probeBatchWindowMs = 2;
/** Timeout of one commit position probe. */
export const probeTimeoutMs = 400;
/** Interval at which a host sends the states of its groups to its peers even if nothing has changed. */
export const publishIntervalMs = 500;
/** Timeout of one `group.commitPosition` call. It leaves time to call a second peer. */
export const peerProbeTimeoutMs = 600;
/** Interval at which a promoter checks whether a promotion is needed. */
export const promotionCheckIntervalMs = 100;
/** Delay before a promotion per promotion rank, so that the monitors of a group start one after the other. */
export const promotionRankDelayMs = 400;
/** Maximum random addition to the delay before a promotion. */
export const promotionJitterMs = 100;
/** Time for which responses of further databases are awaited after a majority has responded, so that the best candidate is found. */
export const fenceGracePeriodMs = 50;
/** Maximum time for which a planned promotion waits for a replica to catch up with the fenced primary. */
export const catchUpTimeoutMs = 500;
/** Minimum time between two attempts at a planned promotion. */
export const plannedPromotionRetryMs = 5000;
/** A primary is replaced if its replicas are behind it and have received nothing for this long. */
export const replicationStallMs = 1000;
/** Time after a change of primary during which stalled replication does not trigger another promotion. */
export const replicationStallCooldownMs = 10_000;
/** Initial backoff before a monitor connection is dialed again. */
export const reconnectInitialBackoffMs = 50;
/** Maximum backoff before a monitor connection is dialed again. */
export const reconnectMaximumBackoffMs = 1000;
/**
 * Time for which a host continues to monitor a group after it no longer holds any of its databases. Without this delay, a
 * COMMIT at a draining host was answered "unknown" because the monitor had already stopped.
 */
export const monitorStopDelayMs = 15_000;
/** Time for the hosts to learn of a change of the databases before a term of the new list is taken. A host that learns later answers commits as unknown. */
export const listChangeDelayMs = 1500;
/** Interval at which a monitor checks whether a change of the databases is in force. */
export const listChangeCheckIntervalMs = 500;
/** Maximum wait for the majorities to hold the commits of a change of the databases. */
export const listChangeWaitMs = 1000;
/** Maximum age of the data of the databases that form the majorities before a term of a new list of databases is taken. */
export const listChangeMaximumAgeMs = 1000;
