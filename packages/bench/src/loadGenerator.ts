/**
 * Open-loop load generator of one worker: requests start at their scheduled arrival, independent of earlier responses.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {poissonArrivals, seededRandom, type RandomSource} from './arrivals.js';
import {classifyError, errorReason} from './outcome.js';
import {createTimeHistogram, RankRecorder, recordMs} from './recorder.js';
import {SessionPool} from './sessionPool.js';
import {
	type InsertLog, type RankLoad, type RateSegment, type WorkerSpec,
} from './types.js';

/** Load, connection pool, recorder and random source of one rank. */
type RankGenerator = {
	readonly load: RankLoad;
	readonly pool: SessionPool;
	/** Replaced at the end of the warm-up. */
	recorder: RankRecorder;
	readonly random: RandomSource;
};

/** Maximum wait for a free connection, as a multiple of the rank's latency target. */
const waitLimitPerTarget = 2;
/** Maximum number of waiting and running requests of one rank in one worker. */
const maxOutstandingPerRank = 4000;
/** Duration of the unmeasured load before the measured load. */
export const warmUpMs = 1500;
/** Maximum time to wait for outstanding requests after the last arrival. */
const drainTimeoutMs = 5500;
/** Number of rows that point reads select from; the tool inserts them before the run. */
export const boardCount = 200;

export const insertStatement = 'insert into bench_orders (id, subject) values ($1, $2)';
export const readStatement = 'select id, content from bench_boards where id = $1';

/** Generates the load of one worker and records its outcomes. */
export class LoadGenerator {
	/** Delay between the scheduled and the actual start of requests. */
	readonly schedulingLag = createTimeHistogram();
	readonly writeTimesMs: number[] = [];
	readonly inserts: {readonly [K in keyof InsertLog]: string[]} = {acknowledged: [], notRun: [], unknown: []};
	peakOutstanding = 0;
	private readonly rankGenerators: readonly RankGenerator[];
	private readonly pools: readonly SessionPool[];
	private readonly outstanding = new Map<RankGenerator, number>();
	private insertCount = 0;
	private startMs = 0;

	constructor(private readonly spec: WorkerSpec) {
		const shared = spec.variant === 'baseline' ? this.createPool(spec.sharedConnections, 'baseline') : undefined;
		this.rankGenerators = spec.loads.map((load, index) => ({
			load,
			pool: shared ?? this.createPool(load.connections, load.rank),
			recorder: new RankRecorder(load),
			random: seededRandom(spec.seed, (spec.worker * spec.loads.length) + index),
		}));
		this.pools = [...new Set(this.rankGenerators.map(({pool}) => pool))];
	}

	get recorders(): readonly RankRecorder[] {
		return this.rankGenerators.map(({recorder}) => recorder);
	}

	/** Opens all connections. */
	async open(): Promise<void> {
		await Promise.all(this.pools.map(async pool => pool.open()));
	}

	/** Runs the warm-up and the load, waits for outstanding requests and closes all sessions. @param onStart - called at the end of the warm-up */
	async run(onStart: () => void): Promise<void> {
		this.startMs = performance.now();
		await this.warmUp();
		onStart();
		this.startMs = performance.now();
		await Promise.all(this.rankGenerators.map(async generator => this.runRank(generator, generator.load.segments, this.spec.durationMs)));
		const drainDeadlineMs = performance.now() + drainTimeoutMs;
		while (performance.now() < drainDeadlineMs && [...this.outstanding.values()].some(count => count > 0)) {
			await sleep(10);
		}

		for (const pool of this.pools) {
			pool.close();
		}

		// Closing the connections fails the requests still running. Their outcomes are recorded in later turns of the event loop.
		await sleep(10);
	}

	/**
	 * Runs the load at the initial rates and discards its measurements, so that unoptimized code and empty pools are not measured.
	 * The inserts stay recorded for the insert check.
	 */
	private async warmUp(): Promise<void> {
		await Promise.all(this.rankGenerators.map(async generator => this.runRank(generator, generator.load.segments.slice(0, 1), warmUpMs)));
		for (const generator of this.rankGenerators) {
			generator.recorder = new RankRecorder(generator.load);
		}

		this.schedulingLag.reset();
		this.writeTimesMs.length = 0;
	}

	private async runRank(generator: RankGenerator, segments: readonly RateSegment[], durationMs: number): Promise<void> {
		for (const scheduledMs of poissonArrivals(segments, durationMs, generator.random)) {
			const waitMs = scheduledMs - this.nowMs();
			if (waitMs > 0) {
				await sleep(waitMs);
			}

			recordMs(this.schedulingLag, this.nowMs() - scheduledMs);
			void this.issueRequest(generator, scheduledMs);
		}

		const remainingMs = durationMs - this.nowMs();
		await sleep(Math.max(0, remainingMs));
	}

	private async issueRequest(generator: RankGenerator, scheduledMs: number): Promise<void> {
		const {recorder} = generator;
		recorder.recordArrival(scheduledMs);
		const isWrite = generator.random() < generator.load.writeShare;
		const row = Math.floor(generator.random() * boardCount);
		const id = isWrite ? `${this.spec.worker}-${generator.load.rank}-${this.insertCount++}` : undefined;
		const outstandingCount = (this.outstanding.get(generator) ?? 0) + 1;
		this.outstanding.set(generator, outstandingCount);
		this.peakOutstanding = Math.max(this.peakOutstanding, outstandingCount);
		await (outstandingCount > maxOutstandingPerRank
			? this.recordNotSent(recorder, id, 'more requests outstanding than the tool allows')
			: this.executeRequest({...generator, recorder}, scheduledMs, id, row));
		this.outstanding.set(generator, this.outstanding.get(generator)! - 1);
	}

	private async recordNotSent(recorder: RankRecorder, id: string | undefined, reason: string): Promise<void> {
		recorder.recordFailure('notSent', reason);
		this.recordInsert('notRun', id);
	}

	private async executeRequest(generator: RankGenerator, scheduledMs: number, id: string | undefined, row: number): Promise<void> {
		const {startMs} = this;
		const session = await generator.pool.acquire(generator.load.targetMs * waitLimitPerTarget);
		if (!session) {
			await this.recordNotSent(generator.recorder, id, 'no connection was free in time');
			return;
		}

		try {
			await (id === undefined ? session.query(readStatement, [row]) : session.query(insertStatement, [id, generator.load.rank]));
			generator.recorder.recordCompletion(scheduledMs, performance.now() - startMs);
			this.recordInsert('acknowledged', id);
		} catch (error) {
			const outcome = classifyError(error) as Exclude<ReturnType<typeof classifyError>, 'completed'>;
			generator.recorder.recordFailure(outcome, errorReason(error));
			this.recordInsert(outcome === 'notRun' || outcome === 'notSent' ? 'notRun' : 'unknown', id);
		} finally {
			generator.pool.release(session);
		}
	}

	private recordInsert(list: keyof InsertLog, id: string | undefined): void {
		if (id === undefined) {
			return;
		}

		this.inserts[list].push(id);
		if (list === 'acknowledged') {
			this.writeTimesMs.push(performance.timeOrigin + performance.now());
		}
	}

	private createPool(count: number, application: string): SessionPool {
		const {endpoints, database, user, password, token, worker} = this.spec;
		return new SessionPool(count, {
			endpoints, firstEndpointIndex: worker, database, application, user, password, token,
		});
	}

	private nowMs(): number {
		return performance.now() - this.startMs;
	}
}
