import {generationOfTerm} from '@crocusloom/model';
import {findPrimary} from './confirmation.js';
import {type GroupMonitor} from './groupMonitor.js';
import {ReplicationStallDetector} from './replicationStallDetector.js';
import {
	listChangeDelayMs, listChangeMaximumAgeMs, replicationStallMs, unreachableAfterMs,
} from './timing.js';

/** Why a promotion is needed. */
export type PromotionTrigger = {
	/** Reason in words, which operators read in the promotion record. */
	readonly reason: string;
	readonly oldPrimary?: string;
	/** True if the primary works but is to be replaced. */
	readonly isPlanned: boolean;
	/** True if the promotion puts a new list of databases in force. */
	readonly isListChange?: boolean;
	/** True if the old primary must not be promoted again, because its replicas cannot receive the log records that they lack. */
	readonly isOldPrimaryExcluded?: boolean;
};

/** Detects from the observations of a monitor whether a promotion is needed. */
export class PromotionTriggerDetector {
	private noPrimarySinceMs?: number;
	private higherFenceSinceMs?: number;
	private readonly stallDetector: ReplicationStallDetector;

	/**
	 * @param monitor - monitor of the group
	 * @param isReachableElsewhere - checks whether another monitor still reaches a primary that this one does not reach
	 */
	constructor(private readonly monitor: GroupMonitor, private readonly isReachableElsewhere: (primary: string) => boolean) {
		this.stallDetector = new ReplicationStallDetector(monitor);
	}

	/** Returns the current trigger, if any. Must be called regularly, because some conditions have to last before they trigger a promotion. */
	detect(): PromotionTrigger | undefined {
		const nowMs = this.monitor.options.clock.nowMs();
		const primary = findPrimary(this.monitor.observations())?.status;
		const higherFencedMonitor = primary && this.monitor.databaseMonitors.find(({isReachable, latestObservation}) => isReachable && latestObservation!.status.fencedTerm > primary.fencedTerm);
		this.noPrimarySinceMs = primary ? undefined : this.noPrimarySinceMs ?? nowMs;
		this.higherFenceSinceMs = higherFencedMonitor ? this.higherFenceSinceMs ?? nowMs : undefined;
		const isStalled = primary !== undefined && this.stallDetector.detect(primary);
		const reachableStatuses = this.monitor.databaseMonitors.filter(databaseMonitor => databaseMonitor.isReachable).map(({latestObservation}) => latestObservation!.status);
		const eligibleDatabases = this.monitor.eligibleStatuses(reachableStatuses).map(({database}) => database);
		if (this.monitor.isListSuperseded || !this.monitor.quorumOfGeneration(this.monitor.actingGeneration).isMajority(eligibleDatabases)) {
			return undefined;
		}

		if (!primary) {
			return this.hasLasted(this.noPrimarySinceMs) ? {reason: 'no database leads', isPlanned: false} : undefined;
		}

		return this.triggerFor(primary.database, higherFencedMonitor?.database) ?? (isStalled ? replicationStallTrigger(primary.database) : undefined);
	}

	private triggerFor(primary: string, higherFencedDatabase: string | undefined): PromotionTrigger | undefined {
		const {silentMs, isReachable} = this.monitor.databaseMonitorOf(primary)!;
		if (!isReachable && !this.isReachableElsewhere(primary)) {
			return {reason: `primary ${primary} has not answered for ${Math.round(silentMs)} ms`, oldPrimary: primary, isPlanned: false};
		}

		if (higherFencedDatabase && this.hasLasted(this.higherFenceSinceMs)) {
			return {reason: `${higherFencedDatabase} is fenced above the term of primary ${primary} by a promotion that did not end`, oldPrimary: primary, isPlanned: false};
		}

		if (isReachable && this.isNewListReady(primary)) {
			return {
				reason: 'the databases of the group have changed', oldPrimary: primary, isPlanned: true, isListChange: true,
			};
		}

		return isReachable && this.isLeavingAndReplaceable(primary) ? {reason: `primary ${primary} is leaving`, oldPrimary: primary, isPlanned: true} : undefined;
	}

	/** Checks whether the primary has a term of an earlier list, and a majority of the new list has its data. */
	private isNewListReady(primary: string): boolean {
		const {generation, startedAtMs, options: {clock}} = this.monitor;
		const {fencedTerm} = this.monitor.databaseMonitorOf(primary)!.latestObservation!.status;
		return generationOfTerm(fencedTerm) < generation && clock.nowMs() - startedAtMs >= listChangeDelayMs && this.monitor.isMajorityFresh(generation, listChangeMaximumAgeMs);
	}

	private isLeavingAndReplaceable(primary: string): boolean {
		const {databases} = this.monitor.options.spec();
		const isLeaving = databases.some(({name, leaving}) => name === primary && leaving);
		return isLeaving && databases.some(({name, leaving}) => !leaving && this.monitor.databaseMonitorOf(name)?.isReachable);
	}

	private hasLasted(sinceMs: number | undefined): boolean {
		return sinceMs !== undefined && this.monitor.options.clock.nowMs() - sinceMs >= unreachableAfterMs;
	}
}

function replicationStallTrigger(primary: string): PromotionTrigger {
	return {
		reason: `the replicas have received nothing from primary ${primary} for ${replicationStallMs} ms`, oldPrimary: primary, isPlanned: false, isOldPrimaryExcluded: true,
	};
}
