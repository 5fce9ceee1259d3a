/**
 * Input and results of a load run, and the messages between the tool and its worker processes.
 */

export type Endpoint = {readonly name: string; readonly host: string; readonly port: number};

/** Arrival rate, in arrivals per second, from `fromMs` after the start of the load until the next segment. */
export type RateSegment = {readonly fromMs: number; readonly ratePerSecond: number};

/** Load of one rank that one worker process generates. */
export type RankLoad = {
	readonly rank: string;
	readonly targetMs: number;
	/** Fraction of arrivals that insert a row; the others are point reads. */
	readonly writeShare: number;
	/** Segments in chronological order; the first starts at 0. */
	readonly segments: readonly RateSegment[];
	/** Size of this rank's connection pool; ignored by the baseline, where all ranks share one pool. */
	readonly connections: number;
};

export type Variant = 'crocusloom' | 'baseline';

/** Configuration of one worker process. */
export type WorkerSpec = {
	readonly worker: number;
	readonly seed: number;
	readonly variant: Variant;
	readonly database: string;
	readonly endpoints: readonly Endpoint[];
	readonly user: string;
	readonly password: string;
	/** Initial session token of all sessions; absent for the baseline. */
	readonly token?: string;
	readonly loads: readonly RankLoad[];
	readonly durationMs: number;
	/** Size of the connection pool that all ranks share; used by the baseline only. */
	readonly sharedConnections: number;
	/** Number of concurrent read-your-writes checkers. */
	readonly checkers: number;
};

/**
 * Outcome of a request.
 * - `completed`: the request succeeded.
 * - `notRun`: the system reported that the statement did not run.
 * - `notSent`: no connection became free before the caller's timeout.
 * - `unknown`: the system reported an unknown outcome, or the connection closed before the response.
 * - `lost`: no response arrived before the request timeout.
 * - `failed`: any other error.
 */
export type Outcome = 'completed' | 'notRun' | 'notSent' | 'unknown' | 'lost' | 'failed';

export const outcomes: readonly Outcome[] = ['completed', 'notRun', 'notSent', 'unknown', 'lost', 'failed'];

/** Measurements of one rank. Each series has one value per bucket of `bucketMs`. */
export type RankResult = {
	readonly rank: string;
	readonly targetMs: number;
	readonly scheduled: number;
	readonly counts: Readonly<Record<Outcome, number>>;
	/** Latencies of completed requests in microseconds, as a compressed, Base64-encoded histogram. */
	readonly histogram: string;
	readonly scheduledSeries: readonly number[];
	/** Requests completed within the target, counted in the bucket of their scheduled arrival. */
	readonly withinTargetSeries: readonly number[];
	/** Completed requests, counted in the bucket of their completion. */
	readonly completedSeries: readonly number[];
	/** Number of requests that did not complete, by error reason. */
	readonly errors: Readonly<Record<string, number>>;
};

/** Ids of attempted inserts by their outcome for the caller. */
export type InsertLog = {
	readonly acknowledged: readonly string[];
	/** Inserts that were reported as not run or were never sent. */
	readonly notRun: readonly string[];
	/** Inserts with any other outcome. */
	readonly unknown: readonly string[];
};

export type ReadYourWritesResult = {readonly readsChecked: number; readonly violations: readonly string[]};

export type WorkerResult = {
	readonly ranks: readonly RankResult[];
	readonly inserts: InsertLog;
	/** Times of acknowledged inserts, in milliseconds since the epoch. */
	readonly writeTimesMs: readonly number[];
	readonly readYourWrites: ReadYourWritesResult;
	/** Delay between the scheduled and the actual start of requests in this worker, in microseconds, as a compressed, Base64-encoded histogram. */
	readonly ownLag: string;
	/** Highest number of outstanding requests of one rank. */
	readonly peakOutstanding: number;
	/** User and system CPU time during the measured load, as a fraction of one core. */
	readonly cpuShare: number;
};

/** Bucket width of the time series, in milliseconds. */
export const bucketMs = 100;

/** Message from the tool to a worker process. `startAtMs` is in milliseconds since the epoch. */
export type WorkerCommand = {readonly kind: 'prepare'; readonly spec: WorkerSpec} | {readonly kind: 'go'; readonly startAtMs: number};
/** Message from a worker process to the tool. */
export type WorkerReply = {readonly kind: 'ready'} | {readonly kind: 'result'; readonly result: WorkerResult} | {readonly kind: 'failed'; readonly message: string};
