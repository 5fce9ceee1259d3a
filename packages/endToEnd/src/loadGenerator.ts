/**
 * Runs sessions that write and read through changing proxies and record the results.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerEndpoint} from '@crocusloom/standins';
import {
	CallerSession, attemptOutcomeOf, UnansweredError, maxFailoverMs,
} from './callerSession.js';
import {checkHistory} from './history.js';
import {pollUntil} from './poll.js';
import {SeededRandom} from './random.js';
import {
	type Attempt, type HistoryRow, type Operation, type WriteOperation,
} from './types.js';

export type LoadGeneratorOptions = {
	readonly seed: number;
	readonly database: string;
	readonly application: string;
	/** Returns the proxies that sessions connect to. Called for each new connection. */
	readonly callerEndpoints: () => readonly CallerEndpoint[];
	/** Number of sessions. They cycle through four kinds: with or without session token, with or without idempotency keys. */
	readonly sessionCount?: number;
};

const defaultSessionCount = 8;
/** Pause between two requests of a session. Limits the load. */
const requestPauseMs = 20;
/** Probability that a session connects to a randomly chosen proxy before a request. */
const reconnectProbability = 0.15;
const readProbability = 0.4;
const transactionProbability = 0.25;
/** Number of attempts after which a session gives up a request. */
const maxAttempts = 100;
let nextRunNumber = 0;

/** Generates a steady load of reads and writes and records its history. */
export class LoadGenerator {
	private readonly operations: Operation[] = [];
	private readonly stopController = new AbortController();
	private readonly runId = `${process.pid}_${nextRunNumber++}`;
	private readonly sessionTasks: Array<Promise<void>> = [];
	private nextId = 1;
	private readonly acknowledgedTimesMs: number[] = [];
	private readonly acknowledgedStartTimesMs: number[] = [];

	constructor(private readonly options: LoadGeneratorOptions) {}

	/** Creates one table per session and starts the sessions. */
	async start(): Promise<void> {
		const caller = this.createSession(true);
		for (const session of this.sessionIds()) {
			await this.queryWithRetries(caller, `create table if not exists ${this.tableName(session)} (attempt int, request int, part int)`);
		}

		caller.close();
		this.sessionTasks.push(...this.sessionIds().map(async session => this.runSession(session)));
	}

	/** Counts the acknowledged writes that began at or after a time. @param sinceMs - time on the clock of `performance.now()` */
	countAcknowledgedSince(sinceMs: number): number {
		return this.acknowledgedStartTimesMs.filter(startMs => startMs >= sinceMs).length;
	}

	/** Times of all acknowledgements, on the clock of `performance.now()`. */
	get acknowledgementTimesMs(): readonly number[] {
		return this.acknowledgedTimesMs;
	}

	/** Waits until the given number of new writes is acknowledged. @throws Error after {@link maxFailoverMs} */
	async waitForAcknowledgedWrites(count = 10): Promise<void> {
		const sinceMs = performance.now();
		await pollUntil(`${count} acknowledged writes`, () => this.countAcknowledgedSince(sinceMs) >= count, maxFailoverMs);
	}

	/** Stops the sessions, reads all rows from the primary and checks the history. @returns one line per violation */
	async finish(): Promise<readonly string[]> {
		this.stopController.abort();
		await Promise.all(this.sessionTasks);
		const caller = this.createSession(true);
		const finalRows: HistoryRow[] = [];
		for (const session of this.sessionIds()) {
			finalRows.push(...await this.queryWithRetries(caller, `select attempt, request, part from ${this.tableName(session)}`, 'primary') as readonly HistoryRow[]);
		}

		caller.close();
		return checkHistory({operations: this.operations, finalRows});
	}

	private sessionIds(): readonly number[] {
		return Array.from({length: this.options.sessionCount ?? defaultSessionCount}, (_, index) => index);
	}

	private tableName(session: number): string {
		return `history_${this.runId}_${session}`;
	}

	private createSession(sendsSessionToken: boolean): CallerSession {
		const {database, application} = this.options;
		return new CallerSession({database, application, sendsSessionToken});
	}

	/** Runs a SQL text, which has to be safe to repeat, until it succeeds. @throws the last error after {@link maxAttempts} retries */
	private async queryWithRetries(caller: CallerSession, text: string, freshness?: string): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
		for (let attempt = 0; ; attempt++) {
			try {
				if (!caller.isConnected) {
					await caller.connect(this.options.callerEndpoints()[attempt % this.options.callerEndpoints().length]!);
				}

				if (freshness !== undefined) {
					await caller.query(`set crocusloom.freshness = '${freshness}'`);
				}

				const {rows} = await caller.query(text);
				return rows;
			} catch (error) {
				if (attempt >= maxAttempts) {
					throw error;
				}

				await sleep(100);
			}
		}
	}

	private async runSession(session: number): Promise<void> {
		const random = new SeededRandom((this.options.seed * 1000) + session);
		const caller = this.createSession(session % 2 === 0);
		const usesIdempotencyKeys = session % 4 < 2;
		while (!this.stopController.signal.aborted) {
			await sleep(requestPauseMs);
			if ((!caller.isConnected || random.next() < reconnectProbability) && !await this.connectToRandomProxy(caller, random)) {
				continue;
			}

			const operationDraw = random.next();
			await (operationDraw < readProbability
				? this.read(caller, session, random)
				: this.write(caller, {
					session, random, rowCount: operationDraw < readProbability + transactionProbability ? 2 : 1, usesIdempotencyKeys,
				}));
		}

		caller.close();
	}

	private async connectToRandomProxy(caller: CallerSession, random: SeededRandom): Promise<boolean> {
		try {
			await caller.connect(random.pick(this.options.callerEndpoints()));
			return true;
		} catch {
			return false;
		}
	}

	private async read(caller: CallerSession, session: number, random: SeededRandom): Promise<void> {
		const request = this.nextId++;
		const targetSession = random.next() < 0.7 ? session : random.pick(this.sessionIds());
		try {
			const {rows} = await caller.query(`select ${request} as answered, attempt, request, part from ${this.tableName(targetSession)}`);
			this.operations.push({
				kind: 'read', session, request, targetSession,
				answeredRequests: rows.map(({answered}) => Number(answered)),
				rows: rows as unknown as readonly HistoryRow[],
			});
		} catch (error) {
			this.recordUnanswered(error, session, request);
		}
	}

	private async write(caller: CallerSession, {session, random, rowCount, usesIdempotencyKeys}: {
		readonly session: number; readonly random: SeededRandom; readonly rowCount: 1 | 2; readonly usesIdempotencyKeys: boolean;
	}): Promise<void> {
		const request = this.nextId++;
		const startMs = performance.now();
		const attempts: Attempt[] = [];
		let acknowledgedAttempt: number | undefined;
		// Without a key only `notRun` is safe to retry. The key of a transaction prevents a second run but has no stored answer to replay.
		const retriesUnknown = usesIdempotencyKeys && rowCount === 1;
		for (let isDone = false; !isDone && attempts.length < maxAttempts;) {
			if (!caller.isConnected && !await this.connectToRandomProxy(caller, random)) {
				await sleep(requestPauseMs);
				if (this.stopController.signal.aborted) {
					break;
				}

				continue;
			}

			const attemptId = this.nextId++;
			const {outcome, answeredAttempt} = await this.attemptWrite(caller, {
				session, request, attemptId, rowCount, key: usesIdempotencyKeys ? `${this.runId}_${request}` : undefined,
			});
			attempts.push({id: attemptId, outcome});
			acknowledgedAttempt = answeredAttempt;
			isDone = outcome === 'completed' || outcome === 'failed' || (outcome === 'unknown' && !retriesUnknown) || this.stopController.signal.aborted;
			if (!isDone) {
				await sleep(requestPauseMs);
			}
		}

		this.recordWrite({
			kind: 'write', session, request, rowCount, attempts, acknowledgedAttempt,
		}, startMs);
	}

	private recordWrite(write: WriteOperation, startMs: number): void {
		this.operations.push(write);
		if (write.acknowledgedAttempt !== undefined) {
			this.acknowledgedStartTimesMs.push(startMs);
			this.acknowledgedTimesMs.push(performance.now());
		}
	}

	private async attemptWrite(caller: CallerSession, {session, request, attemptId, rowCount, key}: {
		readonly session: number; readonly request: number; readonly attemptId: number; readonly rowCount: 1 | 2; readonly key: string | undefined;
	}): Promise<{readonly outcome: Attempt['outcome']; readonly answeredAttempt?: number}> {
		const insert = (part: number) => `insert into ${this.tableName(session)} (attempt, request, part) values (${attemptId}, ${request}, ${part}) returning attempt`;
		try {
			if (key !== undefined) {
				await caller.query(`set crocusloom.idempotency_key = '${key}'`);
			}

			if (rowCount === 1) {
				const {rows} = await caller.query(insert(1));
				return {outcome: 'completed', answeredAttempt: Number(rows[0]?.attempt)};
			}

			await caller.query('begin');
			await caller.query(insert(1));
			await caller.query(insert(2));
			const {command} = await caller.query('commit');
			// PostgreSQL answers the COMMIT of an aborted transaction with the command tag ROLLBACK.
			return command === 'COMMIT' ? {outcome: 'completed', answeredAttempt: attemptId} : {outcome: 'failed'};
		} catch (error) {
			this.recordUnanswered(error, session, request);
			// Closing the connection abandons a transaction that is still open.
			caller.close();
			return {outcome: attemptOutcomeOf(error)};
		}
	}

	private recordUnanswered(error: unknown, session: number, request: number): void {
		if (error instanceof UnansweredError) {
			this.operations.push({
				kind: 'unanswered', session, request, waitMs: maxFailoverMs,
			});
		}
	}
}
