/**
 * The open loop of one worker: arrivals follow their schedule whatever the answers do.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {poissonArrivals, seededNumbers, type RandomNumbers} from './arrivals.js';
import {errorKind, outcomeOf} from './outcome.js';
import {RankRecorder, recordMs, timeHistogram} from './recorder.js';
import {SessionPool} from './sessionPool.js';
import {
	type InsertLog, type RankLoad, type RateSegment, type WorkerSpec,
} from './types.js';

type Lane = {
	readonly load: RankLoad;
	readonly pool: SessionPool;
	/** Replaced when the warm-up is over. */
	recorder: RankRecorder;
	readonly next: RandomNumbers;
};

/** A request waits this many times its target for a free connection before its caller gives up. */
const patienceOfTarget = 2;
/** Requests of one rank that may be waiting or running in one worker. */
const maximumOutstanding = 4000;
/** Time of the load before the measured one. */
export const warmUpMs = 1500;
/** Time that running requests get to end after the last arrival. */
const drainLimitMs = 5500;
/** Rows that point reads choose from; the tool inserts them before the run. */
export const seededRows = 200;

export const insertText = 'insert into bench_orders (id, subject) values ($1, $2)';
export const readText = 'select id, content from bench_boards where id = $1';

export class LoadRun {
	readonly ownLag = timeHistogram();
	readonly writeTimesMs: number[] = [];
	readonly inserts: {readonly [K in keyof InsertLog]: string[]} = {acknowledged: [], notRun: [], unknown: []};
	peakOutstanding = 0;
	private readonly lanes: readonly Lane[];
	private readonly pools: readonly SessionPool[];
	private readonly outstanding = new Map<Lane, number>();
	private insertCount = 0;
	private startMs = 0;

	constructor(private readonly spec: WorkerSpec) {
		const shared = spec.variant === 'baseline' ? this.pool(spec.sharedConnections, 'baseline') : undefined;
		this.lanes = spec.loads.map((load, index) => ({
			load,
			pool: shared ?? this.pool(load.connections, load.rank),
			recorder: new RankRecorder(load),
			next: seededNumbers(spec.seed, (spec.worker * spec.loads.length) + index),
		}));
		this.pools = [...new Set(this.lanes.map(({pool}) => pool))];
	}

	get recorders(): readonly RankRecorder[] {
		return this.lanes.map(({recorder}) => recorder);
	}

	async open(): Promise<void> {
		await Promise.all(this.pools.map(async pool => pool.open()));
	}

	/** Generates the warm-up and then the load, waits for the answers and closes all sessions. @param onStart - called when the warm-up is over */
	async run(onStart: () => void): Promise<void> {
		this.startMs = performance.now();
		await this.warmUp();
		onStart();
		this.startMs = performance.now();
		await Promise.all(this.lanes.map(async lane => this.runLane(lane, lane.load.segments, this.spec.durationMs)));
		const untilMs = performance.now() + drainLimitMs;
		while (performance.now() < untilMs && [...this.outstanding.values()].some(count => count > 0)) {
			await sleep(10);
		}

		for (const pool of this.pools) {
			pool.close();
		}

		// Closed connections end what was still running; its outcomes are recorded in the next turns.
		await sleep(10);
	}

	/** Offers the rates of the start for a while without recording, so that cold code and empty pools are not measured. */
	private async warmUp(): Promise<void> {
		await Promise.all(this.lanes.map(async lane => this.runLane(lane, lane.load.segments.slice(0, 1), warmUpMs)));
		for (const lane of this.lanes) {
			lane.recorder = new RankRecorder(lane.load);
		}

		this.ownLag.reset();
		this.writeTimesMs.length = 0;
	}

	private async runLane(lane: Lane, segments: readonly RateSegment[], durationMs: number): Promise<void> {
		for (const scheduledMs of poissonArrivals(segments, durationMs, lane.next)) {
			const waitMs = scheduledMs - this.nowMs();
			if (waitMs > 0) {
				await sleep(waitMs);
			}

			recordMs(this.ownLag, this.nowMs() - scheduledMs);
			void this.request(lane, scheduledMs);
		}

		const restMs = durationMs - this.nowMs();
		await sleep(Math.max(0, restMs));
	}

	private async request(lane: Lane, scheduledMs: number): Promise<void> {
		const {recorder} = lane;
		recorder.arrived(scheduledMs);
		const isWrite = lane.next() < lane.load.writeShare;
		const row = Math.floor(lane.next() * seededRows);
		const id = isWrite ? `${this.spec.worker}-${lane.load.rank}-${this.insertCount++}` : undefined;
		const count = (this.outstanding.get(lane) ?? 0) + 1;
		this.outstanding.set(lane, count);
		this.peakOutstanding = Math.max(this.peakOutstanding, count);
		await (count > maximumOutstanding ? this.refuse(recorder, id, 'more requests outstanding than the tool allows') : this.send({...lane, recorder}, scheduledMs, id, row));
		this.outstanding.set(lane, this.outstanding.get(lane)! - 1);
	}

	private async refuse(recorder: RankRecorder, id: string | undefined, reason: string): Promise<void> {
		recorder.ended('notSent', reason);
		this.note('notRun', id);
	}

	private async send(lane: Lane, scheduledMs: number, id: string | undefined, row: number): Promise<void> {
		const {startMs} = this;
		const session = await lane.pool.acquire(lane.load.targetMs * patienceOfTarget);
		if (!session) {
			await this.refuse(lane.recorder, id, 'no connection was free in time');
			return;
		}

		try {
			await (id === undefined ? session.query(readText, [row]) : session.query(insertText, [id, lane.load.rank]));
			lane.recorder.completed(scheduledMs, performance.now() - startMs);
			this.note('acknowledged', id);
		} catch (error) {
			const outcome = outcomeOf(error) as Exclude<ReturnType<typeof outcomeOf>, 'completed'>;
			lane.recorder.ended(outcome, errorKind(error));
			this.note(outcome === 'notRun' || outcome === 'notSent' ? 'notRun' : 'unknown', id);
		} finally {
			lane.pool.release(session);
		}
	}

	private note(list: keyof InsertLog, id: string | undefined): void {
		if (id === undefined) {
			return;
		}

		this.inserts[list].push(id);
		if (list === 'acknowledged') {
			this.writeTimesMs.push(performance.timeOrigin + performance.now());
		}
	}

	private pool(count: number, application: string): SessionPool {
		const {endpoints, database, user, password, token, worker} = this.spec;
		return new SessionPool(count, {
			endpoints, first: worker, database, application, user, password, token,
		});
	}

	private nowMs(): number {
		return performance.now() - this.startMs;
	}
}
