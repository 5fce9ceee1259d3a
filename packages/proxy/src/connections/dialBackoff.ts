import {type Clock, type RandomSource} from '@crocusloom/model';
import {type ConnectionFailure} from '../ports.js';
import {type ConnectionShare} from './connectionShare.js';

/** Backoff after the server refused a connection because of its limit, while this host holds less than its guaranteed share. */
const guaranteedShareBackoffMs = 200;
/** Backoff at the server's limit while this host holds its guaranteed share or more. Longer, because other hosts need the connections. */
const borrowedShareBackoffMs = 2500;
/** Backoff at the server's limit if connections are scarce. Shorter, because idle connections are then closed soon. */
const scarceBackoffMs = 150;
/** Backoff after any other failed attempt, so that an unreachable server is not flooded with attempts. */
const failedDialBackoffMs = 100;

/** Backoff between attempts to connect to one backend server after a failed one. */
export class DialBackoff {
	private nextDialMs = 0;
	private isLimitReached = false;
	/** Failed attempts since the last success. */
	private failedDials = 0;

	constructor(private readonly ports: {readonly clock: Clock; readonly random: RandomSource}) {}

	/** True if the last attempt was refused because the server is at its connection limit. */
	get isAtServerLimit(): boolean {
		return this.isLimitReached;
	}

	/** True while no attempt may be made. */
	get isWaiting(): boolean {
		return this.ports.clock.nowMs() < this.nextDialMs;
	}

	/** Records that a connection was opened. The time of the next attempt remains. */
	recordSuccess(): void {
		this.isLimitReached = false;
		this.failedDials = 0;
	}

	/**
	 * Records a failed attempt.
	 * @param openCount - open connections of this host
	 * @returns true if it is to be logged: the first one since the last success, and each refusal at the server's limit
	 */
	recordFailure(failure: ConnectionFailure, share: ConnectionShare, openCount: number): boolean {
		const {clock, random} = this.ports;
		this.isLimitReached = failure.kind === 'connectionLimit';
		this.nextDialMs = clock.nowMs() + (this.isLimitReached ? serverLimitBackoffMs(share, openCount) * (0.5 + (random.next() / 2)) : failedDialBackoffMs);
		this.failedDials++;
		return this.failedDials === 1 || this.isLimitReached;
	}
}

function serverLimitBackoffMs(share: ConnectionShare, openCount: number): number {
	if (share.isScarce) {
		return scarceBackoffMs;
	}

	return openCount < share.guaranteed ? guaranteedShareBackoffMs : borrowedShareBackoffMs;
}
