import {
	type Clock, comparePositions, type DatabaseControl, type DatabaseStatus, holdsPosition, type LogPosition, zeroPosition,
} from '@crocusloom/model';
import {hasState, type Observation} from './confirmation.js';
import {databaseFailure, withTimeLimit} from './timeLimit.js';
import {
	callLimitMs, pollIntervalMs, suspectAfterMs, waitRetryMs, waitSliceMs,
} from './timing.js';

/** What is known of a position in its term at one database; both stay true once they are. */
export type HeldVerdict = 'held' | 'superseded' | 'open';

/**
 * Watches one database: polls its status and runs one position wait at a time for all that wait on it.
 */
export class DatabaseWatch {
	private observation?: Observation;
	/** Highest position of each of the last terms that the database was seen to hold while it stood at that term. */
	private readonly heldInTerm = new Map<number, LogPosition>();
	private highestFencedTerm = 0;
	private lostStateAtMs?: number;
	private readonly wanted = new Set<LogPosition>();
	private isWaiting = false;

	constructor(
		readonly control: DatabaseControl,
		private readonly clock: Clock,
		private readonly onObservation: () => void,
		private readonly signal: AbortSignal,
	) {}

	get database(): string {
		return this.control.database;
	}

	/** Newest status by the time of the question. */
	get latest(): Observation | undefined {
		return this.observation;
	}

	/** Milliseconds since the database last answered. */
	get silentMs(): number {
		return this.observation ? this.clock.nowMs() - this.observation.answeredAtMs : Number.POSITIVE_INFINITY;
	}

	get reachable(): boolean {
		return this.silentMs < suspectAfterMs;
	}

	/** Time of the first answer of the present run of answers without state; undefined while the database has state. */
	get statelessSinceMs(): number | undefined {
		return this.lostStateAtMs;
	}

	/** Polls the status until the watch's signal aborts. */
	async poll(): Promise<void> {
		while (!this.signal.aborted) {
			const startedAtMs = this.clock.nowMs();
			await this.askOrIgnore();
			const remainingMs = Math.max(1, startedAtMs + pollIntervalMs - this.clock.nowMs());
			await this.pause(remainingMs);
		}
	}

	/**
	 * Asks for the status now.
	 * @throws FailureError when the database does not answer
	 */
	async ask(signal: AbortSignal): Promise<Observation> {
		const askedAtMs = this.clock.nowMs();
		const status = await this.limited('monitor', callLimitMs, signal, async limited => this.control.status(limited));
		return this.note(status, askedAtMs);
	}

	/** Takes a status that came with the answer to another call. */
	note(status: DatabaseStatus, askedAtMs: number): Observation {
		const observation = {status, askedAtMs, answeredAtMs: this.clock.nowMs()};
		if (!this.observation || askedAtMs >= this.observation.askedAtMs) {
			this.observation = observation;
		}

		this.highestFencedTerm = Math.max(this.highestFencedTerm, status.fencedTerm);
		this.noteState(observation);
		this.onObservation();
		return observation;
	}

	/** What is known of a position in its own term. */
	verdict(position: LogPosition): HeldVerdict {
		const held = this.heldInTerm.get(position.term);
		if (held && holdsPosition(held, position)) {
			return 'held';
		}

		return this.highestFencedTerm > position.term ? 'superseded' : 'open';
	}

	/** Tells whether the database has everything up to a position, in whatever term it stands. */
	holds(position: LogPosition): boolean {
		const latest = this.observation?.status.position ?? zeroPosition;
		return holdsPosition(latest, position) || this.verdict(position) === 'held';
	}

	/** Keeps a position wait running until the position is no longer wanted. */
	want(position: LogPosition): void {
		this.wanted.add(position);
		if (!this.isWaiting) {
			this.isWaiting = true;
			void this.runWaits();
		}
	}

	unwant(position: LogPosition): void {
		this.wanted.delete(position);
	}

	private noteState({status, answeredAtMs}: Observation): void {
		if (!hasState(status)) {
			this.lostStateAtMs ??= answeredAtMs;
			// What the database held before it lost its state does not answer reads any more.
			this.heldInTerm.clear();
			return;
		}

		this.lostStateAtMs = undefined;
		if (status.fencedTerm === status.position.term) {
			this.noteHeld(status.position);
		}
	}

	private noteHeld(position: LogPosition): void {
		const held = this.heldInTerm.get(position.term);
		if (held && holdsPosition(held, position)) {
			return;
		}

		this.heldInTerm.set(position.term, position);
		this.forgetOldTerms(position.term);
	}

	private forgetOldTerms(newestTerm: number): void {
		for (const term of this.heldInTerm.keys()) {
			if (term < newestTerm - keptTerms) {
				this.heldInTerm.delete(term);
			}
		}
	}

	private async runWaits(): Promise<void> {
		let takeHighest = true;
		for (let target = this.nextTarget(takeHighest); target && !this.signal.aborted; target = this.nextTarget(takeHighest)) {
			takeHighest = await this.runWait(target);
		}

		this.isWaiting = false;
	}

	/** The highest wanted position settles the lower ones with it; after a time-out the lowest is tried instead. */
	private nextTarget(takeHighest: boolean): LogPosition | undefined {
		const open = [...this.wanted].filter(position => !this.holds(position)).toSorted(comparePositions);
		return takeHighest ? open.at(-1) : open[0];
	}

	/** Runs one wait. A database that does not know the term yet, or stands at a later one, is asked where it is instead. */
	private async runWait(target: LogPosition): Promise<boolean> {
		try {
			const answer = await this.limited('acknowledge', waitSliceMs + callLimitMs, this.signal, async signal => this.control.waitForPosition(target, waitSliceMs, signal));
			if (answer === 'reached') {
				this.highestFencedTerm = Math.max(this.highestFencedTerm, target.term);
				this.noteHeld(target);
				this.onObservation();
				return true;
			}

			const {status} = await this.ask(this.signal);
			if (answer === 'superseded' && !holdsPosition(status.position, target)) {
				await this.pause(waitRetryMs);
			}

			return false;
		} catch {
			await this.pause(waitRetryMs);
			return true;
		}
	}

	/** A lost answer must not end the polling, whatever limit the control itself has. */
	private async limited<T>(step: 'monitor' | 'acknowledge', limitMs: number, signal: AbortSignal, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
		const failure = databaseFailure(step, this.database, `no answer within ${limitMs} ms`);
		return withTimeLimit({
			clock: this.clock, limitMs, signal, failure,
		}, run);
	}

	private async askOrIgnore(): Promise<void> {
		try {
			await this.ask(this.signal);
		} catch {
			// The silence is visible in silentMs.
		}
	}

	private async pause(durationMs: number): Promise<void> {
		try {
			await this.clock.sleep(durationMs, this.signal);
		} catch {
			// The loops end by the signal.
		}
	}
}

/** Earlier terms for which held positions are kept; waits are far shorter than two promotions. */
const keptTerms = 4;
