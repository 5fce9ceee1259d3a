import {type Clock} from '@crocusloom/model';
import {maximumCopyAgeMs} from '../commits/commitWitnesses.js';
import {type ServiceView} from './serviceView.js';

/**
 * Longest time from the confirmation of a change of a record until each host either knows it or has a copy of the platform's data that is
 * too old, and so no witness.
 */
export const recordVisibleMs = maximumCopyAgeMs;
/** Minimum time between two attempts to record a term. */
const retryDelayMs = 300;

/** A term that the platform has confirmed to be recorded, and the time of the confirmation. */
type RecordedTerm = {readonly term: number; readonly sinceMs: number};

/**
 * Records the newest term of a service before a replica that may not know it is resumed. Such a replica can receive from a primary of an
 * earlier term, whose commits hosts then no longer pass on.
 */
export class TermRecorder {
	private recorded: RecordedTerm = {term: 0, sinceMs: 0};
	private retryFromMs = Number.NEGATIVE_INFINITY;
	private isRecording = false;

	/**
	 * @param view - view of the service
	 * @param clock - clock for the age of a record
	 */
	constructor(private readonly view: ServiceView, private readonly clock: Clock) {}

	/**
	 * Checks whether no host passes on a commit of a term before this one any more.
	 * @param term - term that a server is known to lead or to have led
	 */
	isVisible(term: number): boolean {
		return this.recorded.term >= term && this.clock.nowMs() - this.recorded.sinceMs >= recordVisibleMs;
	}

	/**
	 * Records a term unless it is recorded, or was tried lately.
	 * @param token - fencing token of the promotion lease
	 */
	async record(term: number, token: number, signal: AbortSignal): Promise<void> {
		if (this.isRecording || this.recorded.term >= term || this.clock.nowMs() < this.retryFromMs) {
			return;
		}

		this.isRecording = true;
		try {
			const isRecorded = this.view.record.term >= term || await this.view.changeRecord(record => ({...record, term: Math.max(term, record.term)}), token, signal);
			this.retryFromMs = this.clock.nowMs() + retryDelayMs;
			if (isRecorded) {
				this.recorded = {term, sinceMs: this.clock.nowMs()};
			}
		} finally {
			this.isRecording = false;
		}
	}
}
