import {type Clock} from '@crocusloom/model';
import {type ConnectionShare} from './connectionShare.js';

/** Idle time after which a connection above the guaranteed share is closed, so that other hosts can use it. */
const surplusIdleTimeoutMs = 1000;
/** Idle timeout of all connections if they are scarce and the server has few left or has not reported its usage recently. */
const crowdedIdleTimeoutMs = 400;
/** Idle timeout of all connections if they are scarce and the server has almost none left, so that it refuses other hosts. */
const fullIdleTimeoutMs = 50;
/** Fraction of the server's limit from which on the server counts as crowded. */
const crowdedThreshold = 0.85;
/** Fraction of the server's limit from which on the server counts as full. */
const fullThreshold = 0.95;
/** Age after which the number of open connections that the server reported is no longer used. */
const serverReportMaxAgeMs = 3000;

/** Number of connections that are kept in any case, and the idle time after which the others are closed. */
export type IdleLimit = {readonly keptCount: number; readonly timeoutMs: number};

/** Decides which idle connections are left to other hosts, from the number of open connections that the server reports. */
export class IdleLimits {
	/** Open connections of all hosts together, as last reported by the server. */
	private serverReport: {readonly count: number; readonly atMs: number} | undefined;

	constructor(private readonly clock: Clock) {}

	/** Records the number of open connections of all hosts together, as reported by the server. */
	recordServerConnections(count: number): void {
		this.serverReport = {count, atMs: this.clock.nowMs()};
	}

	/** Returns the limit at present. */
	limitFor(share: ConnectionShare): IdleLimit {
		const usedFraction = share.isScarce ? this.usedFraction(share) : 0;
		if (usedFraction >= fullThreshold) {
			return {keptCount: 0, timeoutMs: fullIdleTimeoutMs};
		}

		return usedFraction >= crowdedThreshold ? {keptCount: 0, timeoutMs: crowdedIdleTimeoutMs} : {keptCount: share.guaranteed, timeoutMs: surplusIdleTimeoutMs};
	}

	/** Returns the fraction of the server's limit that all hosts use. Without a recent report the server counts as crowded. */
	private usedFraction({serverLimit}: ConnectionShare): number {
		const {serverReport} = this;
		const isKnown = serverReport !== undefined && this.clock.nowMs() - serverReport.atMs <= serverReportMaxAgeMs;
		return isKnown ? serverReport.count / serverLimit : crowdedThreshold;
	}
}
