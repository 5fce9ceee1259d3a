/**
 * What a run consists of and what comes out of it.
 */

export type Endpoint = {readonly name: string; readonly host: string; readonly port: number};

/** Arrival rate from a moment of the run on, in arrivals per second. */
export type RateSegment = {readonly fromMs: number; readonly ratePerSecond: number};

/** Work of one rank as one worker process generates it. */
export type RankLoad = {
	readonly rank: string;
	readonly targetMs: number;
	/** Share of arrivals that insert a row; the others are point reads. */
	readonly writeShare: number;
	/** Segments in order of time; the first starts at 0. */
	readonly segments: readonly RateSegment[];
	/** Connections of this rank; the baseline shares one pool among all ranks. */
	readonly connections: number;
};

export type Variant = 'crocusloom' | 'baseline';

/** What one worker process does. */
export type WorkerSpec = {
	readonly worker: number;
	readonly seed: number;
	readonly variant: Variant;
	readonly database: string;
	readonly endpoints: readonly Endpoint[];
	readonly user: string;
	readonly password: string;
	/** Session token that sessions start with; absent for the baseline. */
	readonly token?: string;
	readonly loads: readonly RankLoad[];
	readonly durationMs: number;
	/** Connections shared by all ranks; only for the baseline. */
	readonly sharedConnections: number;
	/** Sessions that check read-your-writes. */
	readonly checkers: number;
};

/**
 * End of a request. `notRun`: the system reported so. `notSent`: no connection was free while the caller waited.
 * `unknown`: the system or a closed connection left it open. `lost`: no answer within the limit. `failed`: any other error.
 */
export type Outcome = 'completed' | 'notRun' | 'notSent' | 'unknown' | 'lost' | 'failed';

export const outcomes: readonly Outcome[] = ['completed', 'notRun', 'notSent', 'unknown', 'lost', 'failed'];

/** Measurements of one rank; series have one value for each `bucketMs`. */
export type RankResult = {
	readonly rank: string;
	readonly targetMs: number;
	readonly scheduled: number;
	readonly counts: Readonly<Record<Outcome, number>>;
	/** Latencies of completed requests in microseconds, as a compressed histogram. */
	readonly histogram: string;
	readonly scheduledSeries: readonly number[];
	/** Requests completed within the target, by their scheduled arrival. */
	readonly withinTargetSeries: readonly number[];
	/** Completed requests by the time of their completion. */
	readonly completedSeries: readonly number[];
	/** Counts of error messages of other outcomes than completed. */
	readonly errors: Readonly<Record<string, number>>;
};

export type InsertLog = {
	readonly acknowledged: readonly string[];
	/** Ids of inserts that were reported as not run, or never sent. */
	readonly notRun: readonly string[];
	readonly unknown: readonly string[];
};

export type CheckResult = {readonly readsChecked: number; readonly violations: readonly string[]};

export type WorkerResult = {
	readonly ranks: readonly RankResult[];
	readonly inserts: InsertLog;
	/** Times of acknowledged inserts, in milliseconds of the epoch. */
	readonly writeTimesMs: readonly number[];
	readonly readYourWrites: CheckResult;
	/** Delay between scheduled arrival and its handling by this tool, in microseconds, as a compressed histogram. */
	readonly ownLag: string;
	readonly peakOutstanding: number;
	/** User and system time that the worker used during the run, as a share of one core. */
	readonly cpuShare: number;
};

/** Width of the buckets of series. */
export const bucketMs = 100;

/** Messages between the tool and its workers. */
export type ToWorker = {readonly kind: 'prepare'; readonly spec: WorkerSpec} | {readonly kind: 'go'; readonly startAtMs: number};
export type FromWorker = {readonly kind: 'ready'} | {readonly kind: 'result'; readonly result: WorkerResult} | {readonly kind: 'failed'; readonly message: string};
