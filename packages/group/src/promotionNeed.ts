import {findLeader} from './confirmation.js';
import {type GroupMonitor} from './groupMonitor.js';
import {ReplicationStall} from './replicationStall.js';
import {replicationStallMs, suspectAfterMs} from './timing.js';

/** Why a promotion is needed. */
export type PromotionNeed = {
	/** In words for operators. */
	readonly reason: string;
	readonly oldPrimary?: string;
	/** True when the primary works and is to be replaced. */
	readonly isPlanned: boolean;
	/** True when the primary is left out, because its replicas cannot receive what it has beyond them. */
	readonly isWithoutPrimary?: boolean;
};

/** Finds out from a monitor's observations whether a promotion is needed. */
export class PromotionNeeds {
	private leaderlessSinceMs?: number;
	private strayFenceSinceMs?: number;
	private readonly stall: ReplicationStall;

	/**
	 * @param monitor - monitor of the group
	 * @param isSeenElsewhere - tells whether another monitor still reaches a primary that this one does not
	 */
	constructor(private readonly monitor: GroupMonitor, private readonly isSeenElsewhere: (primary: string) => boolean) {
		this.stall = new ReplicationStall(monitor);
	}

	/** The need now; must be called regularly, because some needs exist only when a state lasts. */
	current(): PromotionNeed | undefined {
		const nowMs = this.monitor.options.clock.nowMs();
		const leader = findLeader(this.monitor.observations())?.status;
		const stray = leader && this.monitor.watches.find(({reachable, latest}) => reachable && latest!.status.fencedTerm > leader.fencedTerm);
		this.leaderlessSinceMs = leader ? undefined : this.leaderlessSinceMs ?? nowMs;
		this.strayFenceSinceMs = stray ? this.strayFenceSinceMs ?? nowMs : undefined;
		const isStalled = leader !== undefined && this.stall.check(leader);
		const reachable = this.monitor.watches.filter(watch => watch.reachable).map(({latest}) => latest!.status);
		if (this.monitor.countable(reachable).length < this.monitor.majority) {
			return undefined;
		}

		if (!leader) {
			return this.lasts(this.leaderlessSinceMs) ? {reason: 'no database leads', isPlanned: false} : undefined;
		}

		return this.needAt(leader.database, stray?.database) ?? (isStalled ? stallNeed(leader.database) : undefined);
	}

	private needAt(leader: string, stray: string | undefined): PromotionNeed | undefined {
		const {silentMs, reachable} = this.monitor.watchOf(leader)!;
		if (!reachable && !this.isSeenElsewhere(leader)) {
			return {reason: `primary ${leader} has not answered for ${Math.round(silentMs)} ms`, oldPrimary: leader, isPlanned: false};
		}

		if (stray && this.lasts(this.strayFenceSinceMs)) {
			return {reason: `${stray} is fenced above the term of primary ${leader} by a promotion that did not end`, oldPrimary: leader, isPlanned: false};
		}

		return reachable && this.canReplace(leader) ? {reason: `primary ${leader} is leaving`, oldPrimary: leader, isPlanned: true} : undefined;
	}

	private canReplace(leader: string): boolean {
		const {databases} = this.monitor.options.spec();
		const isLeaving = databases.some(({name, leaving}) => name === leader && leaving);
		return isLeaving && databases.some(({name, leaving}) => !leaving && this.monitor.watchOf(name)?.reachable);
	}

	private lasts(sinceMs: number | undefined): boolean {
		return sinceMs !== undefined && this.monitor.options.clock.nowMs() - sinceMs >= suspectAfterMs;
	}
}

function stallNeed(leader: string): PromotionNeed {
	return {
		reason: `the replicas have received nothing from primary ${leader} for ${replicationStallMs} ms`, oldPrimary: leader, isPlanned: false, isWithoutPrimary: true,
	};
}
