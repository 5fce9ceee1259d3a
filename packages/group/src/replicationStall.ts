import {comparePositions, type DatabaseStatus, type LogPosition} from '@crocusloom/model';
import {type DatabaseWatch} from './databaseWatch.js';
import {type GroupMonitor} from './groupMonitor.js';
import {replicationStallMs, replicationStallRetryMs} from './timing.js';

type Progress = {readonly position: LogPosition; readonly sinceMs: number};

/**
 * Finds out that a primary answers its monitors while its replicas receive nothing from it, so that no commit reaches a
 * majority. A replica that advances, however slowly, is only behind.
 */
export class ReplicationStall {
	/** Position of each replica that is behind the primary, and since when it has been there. */
	private readonly behind = new Map<string, Progress>();
	private leaderTerm?: number;
	private quietUntilMs = 0;

	constructor(private readonly monitor: GroupMonitor) {}

	/**
	 * Takes the newest observations; must be called regularly.
	 * @param leader - status of the primary
	 * @returns true if a majority of the group's databases, the primary not counted, has made no progress for the limit
	 */
	check(leader: DatabaseStatus): boolean {
		const nowMs = this.monitor.options.clock.nowMs();
		this.noteTerm(leader.fencedTerm, nowMs);
		const replicas = this.monitor.watches.filter(({database}) => database !== leader.database);
		for (const replica of replicas) {
			this.noteProgress(replica, leader, nowMs);
		}

		const stuck = [...this.behind.values()].filter(({sinceMs}) => nowMs - sinceMs >= replicationStallMs);
		const isAnyAdvancing = this.behind.size > stuck.length;
		return !isAnyAdvancing && stuck.length >= this.monitor.majority && nowMs >= this.quietUntilMs && this.isMajorityNeeded();
	}

	/** A new primary's replicas need time to reach it; a second change at once would not help them. */
	private noteTerm(term: number, nowMs: number): void {
		if (this.leaderTerm !== undefined && term !== this.leaderTerm) {
			this.quietUntilMs = nowMs + replicationStallRetryMs;
			this.behind.clear();
		}

		this.leaderTerm = term;
	}

	private noteProgress({database, reachable, latest}: DatabaseWatch, leader: DatabaseStatus, nowMs: number): void {
		const status = latest?.status;
		const isBehind = reachable && status && this.monitor.counts(status) && comparePositions(status.position, leader.position) < 0;
		if (!isBehind) {
			this.behind.delete(database);
			return;
		}

		const known = this.behind.get(database);
		if (!known || comparePositions(known.position, status.position) !== 0) {
			this.behind.set(database, {position: status.position, sinceMs: nowMs});
		}
	}

	/** With acknowledgement at the primary alone, acknowledged writes may be missing on every replica. */
	private isMajorityNeeded(): boolean {
		return this.monitor.options.spec().acknowledgement === 'majority';
	}
}
