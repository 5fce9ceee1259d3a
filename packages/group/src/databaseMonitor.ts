import {
	type Clock, comparePositions, type DatabaseControl, type DatabaseStatus, holdsPosition, type LogPosition, zeroPosition,
} from '@crocusloom/model';
import {hasState, type StatusObservation} from './confirmation.js';
import {peerFailure, withTimeout} from './timeout.js';
import {
	callTimeoutMs, pollIntervalMs, unreachableAfterMs, positionWaitRetryMs, positionWaitTimeoutMs,
} from './timing.js';

/**
 * Whether one database holds a position within the position's term. `superseded` means that the database was fenced at a
 * higher term. Once a position is held or superseded, it never becomes pending again.
 */
export type PositionStatus = 'held' | 'superseded' | 'pending';

/** Polls the status of one database and runs its position waits, one at a time for all callers. */
export class DatabaseMonitor {
	private observation?: StatusObservation;
	/** Highest position of each recent term that the database was observed to hold while it was fenced at that term. */
	private readonly heldPositionByTerm = new Map<number, LogPosition>();
	private highestFencedTerm = 0;
	private firstStatelessResponseAtMs?: number;
	private readonly awaitedPositions = new Set<LogPosition>();
	private isWaitLoopRunning = false;

	constructor(
		readonly control: DatabaseControl,
		private readonly clock: Clock,
		private readonly onObservation: () => void,
		private readonly signal: AbortSignal,
	) {}

	get database(): string {
		return this.control.database;
	}

	/** Observation with the latest request time. */
	get latestObservation(): StatusObservation | undefined {
		return this.observation;
	}

	/** Milliseconds since the database last responded. */
	get silentMs(): number {
		return this.observation ? this.clock.nowMs() - this.observation.receivedAtMs : Number.POSITIVE_INFINITY;
	}

	get isReachable(): boolean {
		return this.silentMs < unreachableAfterMs;
	}

	/** Time of the first response since which every response has been without state. Undefined while the database has state. */
	get statelessSinceMs(): number | undefined {
		return this.firstStatelessResponseAtMs;
	}

	/** Polls the status periodically until the signal aborts. */
	async pollPeriodically(): Promise<void> {
		while (!this.signal.aborted) {
			const startedAtMs = this.clock.nowMs();
			await this.tryPollStatus();
			const remainingMs = Math.max(1, startedAtMs + pollIntervalMs - this.clock.nowMs());
			await this.sleepIgnoringAbort(remainingMs);
		}
	}

	/**
	 * Polls the status once.
	 * @throws FailureError `peer` if the database does not respond
	 */
	async pollStatus(signal: AbortSignal): Promise<StatusObservation> {
		const requestedAtMs = this.clock.nowMs();
		const status = await this.callWithTimeout('monitor', callTimeoutMs, signal, async callSignal => this.control.status(callSignal));
		return this.recordStatus(status, requestedAtMs);
	}

	/** Records a status, which may also come with the response to another control call. */
	recordStatus(status: DatabaseStatus, requestedAtMs: number): StatusObservation {
		const observation = {status, requestedAtMs, receivedAtMs: this.clock.nowMs()};
		if (!this.observation || requestedAtMs >= this.observation.requestedAtMs) {
			this.observation = observation;
		}

		this.highestFencedTerm = Math.max(this.highestFencedTerm, status.fencedTerm);
		this.updateHeldPositions(observation);
		this.onObservation();
		return observation;
	}

	/** Returns whether the database holds a position within the position's term. */
	positionStatus(position: LogPosition): PositionStatus {
		const heldPosition = this.heldPositionByTerm.get(position.term);
		if (heldPosition && holdsPosition(heldPosition, position)) {
			return 'held';
		}

		return this.highestFencedTerm > position.term ? 'superseded' : 'pending';
	}

	/** Checks whether the database holds all records up to a position, whatever its term is now. */
	holds(position: LogPosition): boolean {
		const latestPosition = this.observation?.status.position ?? zeroPosition;
		return holdsPosition(latestPosition, position) || this.positionStatus(position) === 'held';
	}

	/** Starts position waits for a position, which are repeated until the database holds it or `removeAwaitedPosition` is called. */
	addAwaitedPosition(position: LogPosition): void {
		this.awaitedPositions.add(position);
		if (!this.isWaitLoopRunning) {
			this.isWaitLoopRunning = true;
			void this.runPositionWaits();
		}
	}

	removeAwaitedPosition(position: LogPosition): void {
		this.awaitedPositions.delete(position);
	}

	private updateHeldPositions({status, requestedAtMs, receivedAtMs}: StatusObservation): void {
		if (!hasState(status)) {
			this.firstStatelessResponseAtMs ??= receivedAtMs;
			// The database can no longer serve reads at the positions that it held before it lost its state.
			this.heldPositionByTerm.clear();
			return;
		}

		// A status from before the loss may arrive after one from after it.
		if (requestedAtMs < (this.firstStatelessResponseAtMs ?? 0)) {
			return;
		}

		this.firstStatelessResponseAtMs = undefined;
		if (status.fencedTerm === status.position.term) {
			this.recordHeldPosition(status.position);
		}
	}

	private recordHeldPosition(position: LogPosition): void {
		const heldPosition = this.heldPositionByTerm.get(position.term);
		if (heldPosition && holdsPosition(heldPosition, position)) {
			return;
		}

		this.heldPositionByTerm.set(position.term, position);
		this.discardOldTerms(position.term);
	}

	private discardOldTerms(newestTerm: number): void {
		for (const term of this.heldPositionByTerm.keys()) {
			if (term < newestTerm - retainedTerms) {
				this.heldPositionByTerm.delete(term);
			}
		}
	}

	private async runPositionWaits(): Promise<void> {
		let isHighestNext = true;
		for (let target = this.chooseTarget(isHighestNext); target && !this.signal.aborted; target = this.chooseTarget(isHighestNext)) {
			isHighestNext = await this.runPositionWait(target);
		}

		this.isWaitLoopRunning = false;
	}

	/** Chooses the highest awaited position, because it settles the lower ones as well, or the lowest after a timeout. */
	private chooseTarget(isHighestNext: boolean): LogPosition | undefined {
		const pendingPositions = [...this.awaitedPositions].filter(position => !this.holds(position)).toSorted(comparePositions);
		return isHighestNext ? pendingPositions.at(-1) : pendingPositions[0];
	}

	/**
	 * Runs one position wait. If the database has not reached the term yet or is past it, its status is polled.
	 * @returns true if the next wait is for the highest awaited position, false if it is for the lowest
	 */
	private async runPositionWait(target: LogPosition): Promise<boolean> {
		try {
			const result = await this.callWithTimeout(
				'acknowledge',
				positionWaitTimeoutMs + callTimeoutMs,
				this.signal,
				async signal => this.control.waitForPosition(target, positionWaitTimeoutMs, signal),
			);
			if (result === 'reached') {
				this.highestFencedTerm = Math.max(this.highestFencedTerm, target.term);
				this.recordHeldPosition(target);
				this.onObservation();
				return true;
			}

			const {status} = await this.pollStatus(this.signal);
			if (result === 'superseded' && !holdsPosition(status.position, target)) {
				await this.sleepIgnoringAbort(positionWaitRetryMs);
			}

			return false;
		} catch {
			await this.sleepIgnoringAbort(positionWaitRetryMs);
			return true;
		}
	}

	/** Applies a timeout to a control call, so that a lost response does not stop the polling, whatever timeout the control has. */
	private async callWithTimeout<T>(step: 'monitor' | 'acknowledge', timeoutMs: number, signal: AbortSignal, run: (signal: AbortSignal) => Promise<T>): Promise<T> {
		const failure = peerFailure(step, this.database, `no answer within ${timeoutMs} ms`);
		return withTimeout({
			clock: this.clock, timeoutMs, signal, failure,
		}, run);
	}

	private async tryPollStatus(): Promise<void> {
		try {
			await this.pollStatus(this.signal);
		} catch {
			// A missing response shows in `silentMs`.
		}
	}

	private async sleepIgnoringAbort(durationMs: number): Promise<void> {
		try {
			await this.clock.sleep(durationMs, this.signal);
		} catch {
			// The calling loop checks the signal.
		}
	}
}

/** Number of earlier terms whose held positions are kept. A position wait is far shorter than the time of two promotions. */
const retainedTerms = 4;
