import {type Clock} from '@crocusloom/model';

/** Fraction of a server's connection limit that is divided evenly among the hosts. Hosts with more work borrow from the rest. */
const guaranteedFraction = 0.8;
/** Time for which a host still counts after it disappeared, because its connections may still be open at the servers. */
const hostRetentionMs = 10_000;

/** Connections are scarce if the guaranteed share of a host is below this number. No host then keeps an idle connection that others need. */
const scarcityThreshold = 2;
/** Fraction of the limit that one host may use if connections are scarce, so that a single host cannot take all of them. */
const maximumScarceFraction = 0.2;

/** Number of connections to one server that a host may hold. */
export type ConnectionShare = {
	/** Connections that the host can always hold: the guaranteed shares of all hosts together stay below the server's limit. */
	readonly guaranteed: number;
	/** Upper limit. Connections above the guaranteed share are available only while the server has some left. */
	readonly maximum: number;
	/** True if there are so few connections per host that idle ones must be closed for other hosts. */
	readonly isScarce: boolean;
	/** Connection limit of the server for all hosts together. */
	readonly serverLimit: number;
};

/**
 * Computes the share of one host in the connection limit of a server.
 * @param maxConnections - connection limit of the server for all hosts together
 * @param hosts - number of hosts that may connect
 */
export function connectionShareFor(maxConnections: number, hosts: number): ConnectionShare {
	const guaranteed = Math.max(1, Math.floor((maxConnections * guaranteedFraction) / Math.max(1, hosts)));
	const isScarce = guaranteed < scarcityThreshold;
	const maximum = isScarce ? Math.max(guaranteed * 2, Math.floor(maxConnections * maximumScarceFraction)) : guaranteed * 2;
	return {
		guaranteed, maximum: Math.min(maxConnections, maximum), isScarce, serverLimit: maxConnections,
	};
}

/** Tracks the number of hosts. After a decrease, the higher number stays in force for a while. */
export class HostCount {
	private readonly observations: Array<{readonly count: number; readonly atMs: number}> = [];

	constructor(private readonly clock: Clock) {}

	/** Highest number of hosts observed within the retention time; at least 1 for this host. */
	get recentMaximum(): number {
		const oldestMs = this.clock.nowMs() - hostRetentionMs;
		while (this.observations.length > 1 && this.observations[1]!.atMs <= oldestMs) {
			this.observations.shift();
		}

		return Math.max(1, ...this.observations.map(({count}) => count));
	}

	/** Records the current number of hosts. */
	record(count: number): void {
		this.observations.push({count, atMs: this.clock.nowMs()});
	}
}
