import {holdsPosition, laterPosition, type LogPosition} from '@crocusloom/model';
import {type CommitSample, type CommitSamples} from './commitSamples.js';

/** Whether a log is known to hold each commit that was acknowledged by servers that have departed. */
export type CommitProof
	= | {readonly kind: 'proven'}
		/** The log ends before a position that departed servers may have acknowledged. */
		| {readonly kind: 'incomplete'; readonly requiredPosition: LogPosition}
		/** The commit position after the departure of these servers is not known. */
		| {readonly kind: 'unknown'; readonly departedServers: readonly string[]}
		/** No primary was ever known, and so few servers are listed that others may have acknowledged commits without them. */
		| {readonly kind: 'tooFew'; readonly serverCount: number};

/**
 * Evidence of which acknowledged commits the remaining servers of a service may lack.
 *
 * A commit is acknowledged once a replica has it. When that replica departs, its log goes with it, and the commit may be nowhere but at
 * the primary. Each commit that a departed server acknowledged is at or below the position of the primary at any later time. The
 * first proven position of the primary after the departure is therefore required of a server that is to be promoted.
 */
export class CommitEvidence {
	private requiredPosition: LogPosition | undefined;
	/** Times of departures after which no position of the primary was proven yet, by server id. */
	private readonly unresolvedDepartures = new Map<string, number>();

	/**
	 * @param samples - samples of the commit position, in which the one that follows a departure is looked up
	 */
	constructor(private readonly samples: CommitSamples) {}

	/** True while the commit position after a departure is not known. */
	get hasUnresolvedDepartures(): boolean {
		return this.unresolvedDepartures.size > 0;
	}

	/**
	 * Records that a server departed with its log.
	 * @param sinceMs - time from which on the server acknowledged nothing
	 */
	recordDeparture(serverId: string, sinceMs: number): void {
		this.unresolvedDepartures.set(serverId, sinceMs);
		const sample = this.samples.oldestSampleSince(sinceMs);
		if (sample) {
			this.recordSample(sample);
		}
	}

	/** Records a proven position of the primary, which is required from then on if servers departed before it was taken. */
	recordSample({takenMs, position}: CommitSample): void {
		for (const [serverId, sinceMs] of this.unresolvedDepartures) {
			if (sinceMs <= takenMs) {
				this.unresolvedDepartures.delete(serverId);
				this.require(position);
			}
		}
	}

	/**
	 * Records the end of the log with which a replica became the primary. No other server may have the commits of earlier terms that it
	 * acknowledged as a replica.
	 */
	recordPromotedLog(position: LogPosition): void {
		this.require(position);
	}

	/** Checks whether a log that ends at a position holds each commit that departed servers may have acknowledged. */
	check(position: LogPosition): CommitProof {
		if (this.hasUnresolvedDepartures) {
			return {kind: 'unknown', departedServers: [...this.unresolvedDepartures.keys()]};
		}

		const {requiredPosition} = this;
		return requiredPosition && !holdsPosition(position, requiredPosition) ? {kind: 'incomplete', requiredPosition} : {kind: 'proven'};
	}

	private require(position: LogPosition): void {
		this.requiredPosition = laterPosition(this.requiredPosition, position);
	}
}
