import {type Clock} from '@crocusloom/model';
import {SlotLimit} from './slotLimit.js';

/** Mean run time that is assumed until the first statement has run. */
const initialRunMs = 20;
/** Weight of the newest run time in the exponential moving average. */
const runMeanWeight = 0.1;
/** Number of pause lengths by which, at a congested server, each rank from the third on pauses longer than the rank above it. */
const lessUrgentPauseFactor = 2;

export type BackendLoadPorts = {
	readonly clock: Clock;
	/** Called when the limit on the slots that this proxy uses has changed. */
	readonly onLimitChange: () => void;
	/** Called when a pause has ended. */
	readonly onPauseEnd: () => void;
};

/** Load that this proxy puts on one backend server: commands in flight, their run times, and the limit that follows from them. */
export class BackendLoad {
	private readonly slotLimit: SlotLimit;
	/** Pause of a congested server after its last answer. Does not apply to the most urgent rank and to open transactions. */
	private pause = {startedMs: 0, durationMs: 0};
	private meanRunMs = initialRunMs;
	private inFlight = 0;
	/** Time since which at least one command has been in flight continuously. */
	private busySinceMs = 0;

	/**
	 * @param ceiling - upper bound of the limit on slots
	 */
	constructor(ceiling: number, private readonly ports: BackendLoadPorts) {
		this.slotLimit = new SlotLimit(ceiling);
	}

	/** Current limit on the slots that this proxy uses. */
	get limit(): number {
		return this.slotLimit.value;
	}

	get inFlightCount(): number {
		return this.inFlight;
	}

	/** Time since which at least one command has been in flight continuously; undefined if there is none. */
	get inFlightSinceMs(): number | undefined {
		return this.inFlight > 0 ? this.busySinceMs : undefined;
	}

	/** Sets the upper bound of the limit on slots. */
	setCeiling(ceiling: number): void {
		this.slotLimit.setCeiling(ceiling);
	}

	/** Estimates the latency of a new statement in milliseconds: the pending work per slot that this proxy may use. */
	expectedLatencyMs(waitingCount: number): number {
		return (this.meanRunMs * (this.inFlight + waitingCount + 1)) / this.slotLimit.value;
	}

	/** Returns true if the server has rested for long enough to get work of a rank. Less urgent ranks wait longer, so that more urgent ones find a free slot. */
	hasPausedFor(moreUrgentRanks: number): boolean {
		const pauseMs = moreUrgentRanks === 0 ? 0 : this.pause.durationMs * (1 + ((moreUrgentRanks - 1) * lessUrgentPauseFactor));
		return this.ports.clock.nowMs() >= this.pause.startedMs + pauseMs;
	}

	/** Records that a command is sent. `recordEnd` must follow. */
	recordStart(startedMs: number): void {
		if (this.inFlight === 0) {
			this.busySinceMs = startedMs;
		}

		this.inFlight++;
	}

	/** Records that a command is answered or its connection has closed. */
	recordEnd(): void {
		this.inFlight--;
	}

	/** Records that the server refused a statement because its queue was full. */
	recordOverload(): void {
		if (this.slotLimit.recordOverload(this.ports.clock.nowMs())) {
			this.ports.onLimitChange();
		}
	}

	/**
	 * Records the run time of a served statement.
	 * @param statementClass - class of statements with similar run times
	 */
	recordRunTime(statementClass: string, startedMs: number): void {
		const nowMs = this.ports.clock.nowMs();
		const runMs = nowMs - startedMs;
		this.meanRunMs += (runMs - this.meanRunMs) * runMeanWeight;
		if (this.slotLimit.recordServed(statementClass, runMs, nowMs)) {
			this.ports.onLimitChange();
		}

		this.pause = {startedMs: nowMs, durationMs: this.slotLimit.pauseMs(runMs)};
		if (this.pause.durationMs > 0) {
			setTimeout(() => {
				this.ports.onPauseEnd();
			}, this.pause.durationMs).unref();
		}
	}
}
