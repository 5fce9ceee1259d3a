import {type Clock, type ClockContinuity} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';

/**
 * Time for which a server must have been listed without a restart before it counts as a witness. Longer than the time from the last
 * check of the list of servers by a promotion until the effect of its order, so that each promotion under way has paused the witness.
 */
export const witnessAgeMs = 7000;
/** Age up to which the list of servers counts as current. */
const currentListAgeMs = 2500;
/**
 * Age up to which the copy of the store is known to have the record of each order whose pauses may have ended. Shorter than the time for which
 * the pauses of an order without an answer hold after its record.
 */
export const maximumCopyAgeMs = 3800;
/** Age from which on a server that was listed when this process started has been listed for long, also if clocks differ by seconds. */
const longRunningMs = 20_000;

/** Relative costs of asking a server: it may not answer, may need a new connection, or may be in another failure domain. */
const suspectedCost = 4;
const newConnectionCost = 2;
const otherDomainCost = 1;

export type WitnessPorts = {
	readonly clock: Clock;
	/** Tells of a suspension of this process, during which servers may have restarted. */
	readonly continuity: ClockContinuity;
	/** Failure domain of this process. */
	readonly failureDomain: string;
	/** Returns the time since the list of servers was last known to be current. */
	readonly serverListAgeMs: () => number;
	/** Returns the time since the call was sent that last brought the list of servers and the recorded orders. */
	readonly copyAgeMs: () => number;
	/** Checks whether a holder of the promotion lease has recorded that it reached a server. */
	readonly isRecordedAsReached: (serverId: string) => boolean;
};

/**
 * Knows which servers are witnesses: each promotion that is under way has paused them before its order. A server that was listed or
 * restarted lately may be unknown to a promotion, and one that no holder of the promotion lease has reached may be left out of it.
 */
export class CommitWitnesses {
	/** Servers that were listed when this process first knew the list, so that it cannot tell since when they are. */
	private readonly initialBackends = new WeakSet<Backend>();

	constructor(private readonly ports: WitnessPorts) {}

	/** Records a server of the first list that this process knew. */
	recordInitial(backend: Backend): void {
		this.initialBackends.add(backend);
	}

	/** Returns the witnesses among the servers, with those first that are the cheapest to ask. */
	select(servers: readonly Backend[]): readonly Backend[] {
		return servers.filter(backend => this.isWitness(backend)).toSorted((a, b) => this.costOf(a) - this.costOf(b));
	}

	/** While the list of servers may be out of date, or the entry is missing, a promotion may not know the server any more. */
	private isWitness(backend: Backend): boolean {
		const isListCurrent = this.ports.serverListAgeMs() <= currentListAgeMs && this.ports.copyAgeMs() <= maximumCopyAgeMs;
		return isListCurrent && backend.server.missingSinceMs === undefined && this.ports.isRecordedAsReached(backend.id) && this.wasListedLongAgo(backend);
	}

	private wasListedLongAgo(backend: Backend): boolean {
		const {clock, continuity} = this.ports;
		const {server: {startedAtMs}} = backend;
		const listedSinceMs = Math.max(backend.listedSinceMs, continuity.sinceMs());
		const isLongRunning = startedAtMs > 0 && clock.wallMs() - startedAtMs >= longRunningMs;
		return clock.nowMs() - listedSinceMs >= witnessAgeMs || (isLongRunning && this.initialBackends.has(backend));
	}

	private costOf({isSuspected, pool, server}: Backend): number {
		const suspicionCost = isSuspected ? suspectedCost : 0;
		const connectionCost = pool.idleCount === 0 ? newConnectionCost : 0;
		const distanceCost = server.failureDomain === this.ports.failureDomain ? 0 : otherDomainCost;
		return suspicionCost + connectionCost + distanceCost;
	}
}
