/**
 * Sessions that write and read through changing proxies and record what they saw.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerEndpoint} from '@crocusloom/standins';
import {
	CallerSession, outcomeOfError, UnansweredError, failoverBoundMs,
} from './callerSession.js';
import {checkHistory} from './history.js';
import {pollUntil} from './poll.js';
import {SeededRandom} from './random.js';
import {
	type Attempt, type HistoryRow, type Operation, type WriteOperation,
} from './types.js';

export type LoadOptions = {
	readonly seed: number;
	readonly database: string;
	readonly application: string;
	/** Proxies that sessions connect to; asked again for each connection. */
	readonly callers: () => readonly CallerEndpoint[];
	/** Four kinds take turns: with and without token, with and without idempotency keys. */
	readonly sessionCount?: number;
};

const defaultSessionCount = 8;
/** Pause between two requests of a session, in milliseconds; bounds the load. */
const requestPauseMs = 20;
/** Share of requests before which a session moves to another proxy. */
const moveShare = 0.15;
const readShare = 0.4;
const transactionShare = 0.25;
/** Attempts at one request until a session gives it up. */
const maximumAttempts = 100;
let runCount = 0;

/** A steady load with a history. */
export class Load {
	private readonly operations: Operation[] = [];
	private readonly stopping = new AbortController();
	private readonly run = `${process.pid}_${runCount++}`;
	private readonly tasks: Array<Promise<void>> = [];
	private nextNumber = 1;
	private readonly acknowledgedAtMs: number[] = [];
	private readonly startedAtMs: number[] = [];

	constructor(private readonly options: LoadOptions) {}

	/** Creates the tables and starts the sessions. */
	async start(): Promise<void> {
		const caller = this.session(true);
		for (const session of this.sessionNumbers()) {
			await this.persist(caller, `create table if not exists ${this.table(session)} (attempt int, request int, part int)`);
		}

		caller.close();
		this.tasks.push(...this.sessionNumbers().map(async session => this.runSession(session)));
	}

	/** Number of writes that were begun after the time and acknowledged. @param sinceMs - by `performance.now()` */
	acknowledgedSince(sinceMs: number): number {
		return this.startedAtMs.filter(startMs => startMs >= sinceMs).length;
	}

	/** Times of all acknowledgements, by `performance.now()`. */
	get acknowledgements(): readonly number[] {
		return this.acknowledgedAtMs;
	}

	/** Waits until further writes were acknowledged. @throws Error after the stated bound of a failover */
	async untilServed(count = 10): Promise<void> {
		const sinceMs = performance.now();
		await pollUntil(`${count} acknowledged writes`, () => this.acknowledgedSince(sinceMs) >= count, failoverBoundMs);
	}

	/** Stops the sessions, reads all rows at the primary and checks the history. @returns violations */
	async finish(): Promise<readonly string[]> {
		this.stopping.abort();
		await Promise.all(this.tasks);
		const caller = this.session(true);
		const finalRows: HistoryRow[] = [];
		for (const session of this.sessionNumbers()) {
			finalRows.push(...await this.persist(caller, `select attempt, request, part from ${this.table(session)}`, 'primary') as readonly HistoryRow[]);
		}

		caller.close();
		return checkHistory({operations: this.operations, finalRows});
	}

	private sessionNumbers(): readonly number[] {
		return Array.from({length: this.options.sessionCount ?? defaultSessionCount}, (_, index) => index);
	}

	private table(session: number): string {
		return `history_${this.run}_${session}`;
	}

	private session(usesToken: boolean): CallerSession {
		const {database, application} = this.options;
		return new CallerSession({database, application, usesToken});
	}

	/** Repeats a text that may run more than once until it succeeds. */
	private async persist(caller: CallerSession, text: string, freshness?: string): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
		for (let attempt = 0; ; attempt++) {
			try {
				if (!caller.isConnected) {
					await caller.connect(this.options.callers()[attempt % this.options.callers().length]!);
				}

				if (freshness !== undefined) {
					await caller.query(`set crocusloom.freshness = '${freshness}'`);
				}

				const {rows} = await caller.query(text);
				return rows;
			} catch (error) {
				if (attempt >= maximumAttempts) {
					throw error;
				}

				await sleep(100);
			}
		}
	}

	private async runSession(session: number): Promise<void> {
		const random = new SeededRandom((this.options.seed * 1000) + session);
		const caller = this.session(session % 2 === 0);
		const usesKeys = session % 4 < 2;
		while (!this.stopping.signal.aborted) {
			await sleep(requestPauseMs);
			if ((!caller.isConnected || random.next() < moveShare) && !await this.move(caller, random)) {
				continue;
			}

			const choice = random.next();
			await (choice < readShare
				? this.read(caller, session, random)
				: this.write(caller, {
					session, random, rowCount: choice < readShare + transactionShare ? 2 : 1, usesKeys,
				}));
		}

		caller.close();
	}

	private async move(caller: CallerSession, random: SeededRandom): Promise<boolean> {
		try {
			await caller.connect(random.pick(this.options.callers()));
			return true;
		} catch {
			return false;
		}
	}

	private async read(caller: CallerSession, session: number, random: SeededRandom): Promise<void> {
		const request = this.nextNumber++;
		const subject = random.next() < 0.7 ? session : random.pick(this.sessionNumbers());
		try {
			const {rows} = await caller.query(`select ${request} as answered, attempt, request, part from ${this.table(subject)}`);
			this.operations.push({
				kind: 'read', session, request, subject,
				answeredRequests: rows.map(({answered}) => Number(answered)),
				rows: rows as unknown as readonly HistoryRow[],
			});
		} catch (error) {
			this.noteUnanswered(error, session, request);
		}
	}

	private async write(caller: CallerSession, {session, random, rowCount, usesKeys}: {
		readonly session: number; readonly random: SeededRandom; readonly rowCount: 1 | 2; readonly usesKeys: boolean;
	}): Promise<void> {
		const request = this.nextNumber++;
		const startMs = performance.now();
		const attempts: Attempt[] = [];
		let acknowledged: number | undefined;
		// Without a key only "not run" is repeated; a transaction's key guards against a second run and has no answer to replay.
		const repeatsUnknown = usesKeys && rowCount === 1;
		for (let isDone = false; !isDone && attempts.length < maximumAttempts;) {
			if (!caller.isConnected && !await this.move(caller, random)) {
				await sleep(requestPauseMs);
				if (this.stopping.signal.aborted) {
					break;
				}

				continue;
			}

			const number = this.nextNumber++;
			const {outcome, answered} = await this.attempt(caller, {
				session, request, number, rowCount, key: usesKeys ? `${this.run}_${request}` : undefined,
			});
			attempts.push({number, outcome});
			acknowledged = answered;
			isDone = outcome === 'completed' || outcome === 'failed' || (outcome === 'unknown' && !repeatsUnknown) || this.stopping.signal.aborted;
			if (!isDone) {
				await sleep(requestPauseMs);
			}
		}

		this.record({
			kind: 'write', session, request, rowCount, attempts, acknowledged,
		}, startMs);
	}

	private record(write: WriteOperation, startMs: number): void {
		this.operations.push(write);
		if (write.acknowledged !== undefined) {
			this.startedAtMs.push(startMs);
			this.acknowledgedAtMs.push(performance.now());
		}
	}

	private async attempt(caller: CallerSession, {session, request, number, rowCount, key}: {
		readonly session: number; readonly request: number; readonly number: number; readonly rowCount: 1 | 2; readonly key: string | undefined;
	}): Promise<{readonly outcome: Attempt['outcome']; readonly answered?: number}> {
		const insert = (part: number) => `insert into ${this.table(session)} (attempt, request, part) values (${number}, ${request}, ${part}) returning attempt`;
		try {
			if (key !== undefined) {
				await caller.query(`set crocusloom.idempotency_key = '${key}'`);
			}

			if (rowCount === 1) {
				const {rows} = await caller.query(insert(1));
				return {outcome: 'completed', answered: Number(rows[0]?.attempt)};
			}

			await caller.query('begin');
			await caller.query(insert(1));
			await caller.query(insert(2));
			const {command} = await caller.query('commit');
			// A server answers the COMMIT of an aborted transaction with the tag ROLLBACK.
			return command === 'COMMIT' ? {outcome: 'completed', answered: number} : {outcome: 'failed'};
		} catch (error) {
			this.noteUnanswered(error, session, request);
			// What is left of a transaction is given up with the connection.
			caller.close();
			return {outcome: outcomeOfError(error)};
		}
	}

	private noteUnanswered(error: unknown, session: number, request: number): void {
		if (error instanceof UnansweredError) {
			this.operations.push({
				kind: 'unanswered', session, request, waitMs: failoverBoundMs,
			});
		}
	}
}
