import {
	type Clock, holdsPosition, laterPosition, type LogPosition,
} from '@crocusloom/model';
import {witnessAgeMs} from '../commits/commitWitnesses.js';

/** Initial backoff after a replica lacked a position. During it, the replica gets no read that needs a newer position than it is known to have applied. */
const initialLagBackoffMs = 40;
/** Upper limit of the backoff, which doubles each time the replica lacks a position. */
const maximumLagBackoffMs = 320;

/** Log positions that one backend server has reported. */
export class ServerPositions {
	private appliedPosition: LogPosition | undefined;
	private newestPosition: LogPosition | undefined;
	/** Newest position that was reported on a connection which is older than a promotion. */
	private newestEstablishedPosition: LogPosition | undefined;
	private laggingUntilMs = 0;
	private lagBackoffMs = initialLagBackoffMs;

	/**
	 * @param clock - clock of the connections' ages and of the backoff
	 * @param onPosition - called after each report
	 */
	constructor(private readonly clock: Clock, private readonly onPosition: (() => void) | undefined) {}

	/**
	 * Newest position that the server is known to have received. A later promotion may have rolled it back, if it is of an earlier term
	 * than the log of the new primary.
	 */
	get held(): LogPosition | undefined {
		return this.newestPosition;
	}

	/** The same, as far as it was reported on a connection that is older than any promotion under way, so that the server has not restarted since. */
	get established(): LogPosition | undefined {
		return this.newestEstablishedPosition;
	}

	/** Returns false if the server is currently assumed to lack the position. */
	mayHave(position: LogPosition | undefined): boolean {
		if (position === undefined || this.clock.nowMs() >= this.laggingUntilMs) {
			return true;
		}

		return this.appliedPosition !== undefined && holdsPosition(this.appliedPosition, position);
	}

	/**
	 * Records a position that the server has received.
	 * @param openedMs - time at which the connection was opened on which the server reported it
	 */
	recordReceived(position: LogPosition, openedMs: number): void {
		this.newestPosition = laterPosition(this.newestPosition, position);
		if (this.clock.nowMs() - openedMs >= witnessAgeMs) {
			this.newestEstablishedPosition = laterPosition(this.newestEstablishedPosition, position);
		}

		this.onPosition?.();
	}

	/** Records a position that the server has applied, and thus received. */
	recordApplied(position: LogPosition, openedMs: number): void {
		this.appliedPosition = position;
		this.recordReceived(position, openedMs);
	}

	/** Forgets the applied position, because the server restarted. */
	forgetApplied(): void {
		this.appliedPosition = undefined;
	}

	/** Records that the server lacked a position. */
	recordLag(): void {
		this.laggingUntilMs = this.clock.nowMs() + this.lagBackoffMs;
		this.lagBackoffMs = Math.min(maximumLagBackoffMs, this.lagBackoffMs * 2);
	}

	/** Records that the server served work, so that the next backoff is short again. */
	recordServed(): void {
		this.lagBackoffMs = initialLagBackoffMs;
	}
}
