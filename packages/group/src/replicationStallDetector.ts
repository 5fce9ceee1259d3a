import {comparePositions, type DatabaseStatus, type LogPosition} from '@crocusloom/model';
import {type DatabaseMonitor} from './databaseMonitor.js';
import {type GroupMonitor} from './groupMonitor.js';
import {replicationStallMs, replicationStallCooldownMs} from './timing.js';

type ReplicaProgress = {readonly position: LogPosition; readonly sinceMs: number};

/**
 * Detects a primary that responds to its monitors while its replicas receive nothing from it, so that no commit reaches a
 * majority. A replica that advances, however slowly, is only lagging and does not count as stalled.
 */
export class ReplicationStallDetector {
	/** Position of each replica that is behind the primary, and the time at which that position was first observed. */
	private readonly laggingReplicas = new Map<string, ReplicaProgress>();
	private primaryTerm?: number;
	private suppressedUntilMs = 0;

	constructor(private readonly monitor: GroupMonitor) {}

	/**
	 * Evaluates the newest observations. Must be called regularly.
	 * @param primary - status of the primary
	 * @returns true if the replicas that made no progress for `replicationStallMs` are as many as a majority of the group, and no
	 * lagging replica has advanced meanwhile
	 */
	detect(primary: DatabaseStatus): boolean {
		const nowMs = this.monitor.options.clock.nowMs();
		this.recordPrimaryTerm(primary.fencedTerm, nowMs);
		const replicas = this.monitor.databaseMonitors.filter(({database}) => database !== primary.database);
		for (const replica of replicas) {
			this.recordProgress(replica, primary, nowMs);
		}

		const stalledReplicas = [...this.laggingReplicas].filter(([, {sinceMs}]) => nowMs - sinceMs >= replicationStallMs).map(([database]) => database);
		const isAnyAdvancing = this.laggingReplicas.size > stalledReplicas.length;
		return !isAnyAdvancing && this.monitor.quorumOfTerm(primary.fencedTerm).isMajority(stalledReplicas) && nowMs >= this.suppressedUntilMs && this.isMajorityAcknowledgementRequired();
	}

	/** Suppresses detection after a change of primary. The replicas need time to reach the new primary, and a second change would not help them. */
	private recordPrimaryTerm(term: number, nowMs: number): void {
		if (this.primaryTerm !== undefined && term !== this.primaryTerm) {
			this.suppressedUntilMs = nowMs + replicationStallCooldownMs;
			this.laggingReplicas.clear();
		}

		this.primaryTerm = term;
	}

	private recordProgress({database, isReachable, latestObservation}: DatabaseMonitor, primary: DatabaseStatus, nowMs: number): void {
		const status = latestObservation?.status;
		const isBehind = isReachable && status && this.monitor.isEligibleForMajority(status) && comparePositions(status.position, primary.position) < 0;
		if (!isBehind) {
			this.laggingReplicas.delete(database);
			return;
		}

		const previousProgress = this.laggingReplicas.get(database);
		if (!previousProgress || comparePositions(previousProgress.position, status.position) !== 0) {
			this.laggingReplicas.set(database, {position: status.position, sinceMs: nowMs});
		}
	}

	/** If the primary alone acknowledges writes, every replica may lack acknowledged writes, so the primary is not replaced. */
	private isMajorityAcknowledgementRequired(): boolean {
		return this.monitor.options.spec().acknowledgement === 'majority';
	}
}
