/** Time between two status questions to one database. */
export const pollIntervalMs = 200;
/** A database that has not answered for this long counts as unreachable, and a primary is suspected. */
export const suspectAfterMs = 600;
/** Time limit of one control call; shorter than `suspectAfterMs`, so that a lost answer is noticed within one suspicion. */
export const callLimitMs = 300;
/** Longest time for which one position wait occupies the monitor connection; status questions queue behind it. */
export const waitSliceMs = 25;
/** Pause after a position wait that failed at once. */
export const waitRetryMs = 20;
/** Calls for the commit position that arrive while a probe runs share the next probe, which starts after this. */
export const probeWindowMs = 2;
/** Time limit of one probe of the commit position. */
export const probeLimitMs = 400;
/** Period at which every monitor sends its state to its peers even if nothing changed. */
export const publishIntervalMs = 500;
/** Time limit of one `group.commitPosition` call to a peer; leaves time for a second peer. */
export const peerProbeLimitMs = 600;
/** Time between two checks for the need of a promotion. */
export const promotionCheckIntervalMs = 100;
/** Each place in the order of the group's monitors delays the start of a promotion by this. */
export const rankDelayMs = 400;
/** Largest random addition to the delay before a promotion. */
export const promotionJitterMs = 100;
/** Time given to further databases to answer a fence call after a majority has, so that the best candidate is known. */
export const fenceGraceMs = 50;
/** Longest wait of a planned change for a replica to catch up with the fenced primary. */
export const catchUpLimitMs = 500;
/** Time between two planned attempts when the first could not move the primary. */
export const plannedRetryMs = 5000;
/** A primary whose replicas have received nothing for this long, although it has more, is replaced by one of them. */
export const replicationStallMs = 1000;
/** Time after a change of primary in which stalled replication is no reason for another one. */
export const replicationStallRetryMs = 10_000;
/** First and longest pause before a control connection is dialled again. */
export const reconnectFirstMs = 50;
export const reconnectLongestMs = 1000;
/**
 * Time for which a host goes on monitoring a group of which it holds no database any more. A COMMIT at a draining host was
 * answered "unknown" because its monitor had ended first.
 */
export const monitorLingerMs = 15_000;
