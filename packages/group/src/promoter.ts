import {
	type DatabaseStatus, type Logger, noopLogger, type PromotionRecord, type RandomSource,
} from '@crocusloom/model';
import {addressOf} from './candidate.js';
import {findPrimary, hasState, termRequestTimesMs} from './confirmation.js';
import {type DatabaseMonitor} from './databaseMonitor.js';
import {type GroupMonitor} from './groupMonitor.js';
import {PromotionAttempt} from './promotionAttempt.js';
import {type PromotionTrigger, PromotionTriggerDetector} from './promotionTrigger.js';
import {peerFailure, withTimeout} from './timeout.js';
import {
	callTimeoutMs, plannedPromotionRetryMs, promotionCheckIntervalMs, promotionJitterMs, promotionRankDelayMs,
} from './timing.js';

export type PromoterOptions = {
	readonly monitor: GroupMonitor;
	readonly random: RandomSource;
	/** Name of this process, unique to each start of it. Prefix of the owner of its fences. */
	readonly owner: string;
	/** Returns the position of this host in the order of the monitors that can reach a majority. The host with 0 starts a promotion first. */
	readonly promotionRank: () => number;
	/** Checks whether another monitor still reaches the primary, in which case this one does not replace it. */
	readonly isReachableElsewhere: (primary: string) => boolean;
	/** Called with the record of each attempt, to publish the result. */
	readonly onRecord: (record: PromotionRecord) => void;
	readonly log?: Logger;
};

/** Promotes a database when the group needs a new primary, and makes the other databases follow the primary. */
export class Promoter {
	private readonly triggerDetector: PromotionTriggerDetector;
	private readonly rejoiningDatabases = new Set<string>();
	private attemptCount = 0;
	private nextPlannedAttemptAtMs = 0;

	constructor(private readonly options: PromoterOptions) {
		this.triggerDetector = new PromotionTriggerDetector(options.monitor, options.isReachableElsewhere);
	}

	/** Checks periodically whether a promotion is needed, until the monitor is closed. */
	async run(): Promise<void> {
		const {signal, options: {clock}} = this.options.monitor;
		try {
			while (!signal.aborted) {
				await clock.sleep(promotionCheckIntervalMs, signal);
				this.rejoinDatabases();
				if (this.detectTrigger()) {
					await this.promoteAfterDelay();
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				throw error;
			}
		}
	}

	/** Waits for the delay of this host's promotion rank and starts an attempt if the promotion is still needed. */
	private async promoteAfterDelay(): Promise<void> {
		const {monitor, promotionRank, random} = this.options;
		const {clock} = monitor.options;
		await clock.sleep((promotionRank() * promotionRankDelayMs) + (random.next() * promotionJitterMs), monitor.signal);
		const trigger = this.detectTrigger();
		if (!trigger) {
			return;
		}

		const record = await this.runAttempt(trigger);
		if (trigger.isPlanned) {
			this.nextPlannedAttemptAtMs = clock.nowMs() + plannedPromotionRetryMs;
		}

		if (record.outcome !== 'promoted') {
			// A random delay keeps two proxies whose attempts collided from colliding again.
			await clock.sleep(random.next() * promotionRankDelayMs, monitor.signal);
		}
	}

	private detectTrigger(): PromotionTrigger | undefined {
		const trigger = this.triggerDetector.detect();
		return trigger?.isPlanned && this.options.monitor.options.clock.nowMs() < this.nextPlannedAttemptAtMs ? undefined : trigger;
	}

	private async runAttempt(trigger: PromotionTrigger): Promise<PromotionRecord> {
		const {monitor, owner, onRecord, log = noopLogger} = this.options;
		this.attemptCount++;
		const attempt = new PromotionAttempt({
			monitor,
			trigger,
			owner: `${owner}/${this.attemptCount}`,
			isStillNeeded: () => this.detectTrigger() !== undefined,
			signal: monitor.signal,
		});
		const record = await attempt.run();
		monitor.addPromotionRecord(record);
		onRecord(record);
		const {group, term, outcome, candidate, reason, steps, tookMs} = record;
		log.info({
			group, term, outcome, candidate, reason, steps, tookMs,
		}, 'promotion attempted');
		return record;
	}

	/** Calls `follow` at every reachable database that does not follow the current primary. */
	private rejoinDatabases(): void {
		const {monitor} = this.options;
		const primary = findPrimary(monitor.observations())?.status;
		if (!primary || monitor.isListSuperseded || !monitor.databaseMonitorOf(primary.database)?.isReachable) {
			return;
		}

		for (const databaseMonitor of monitor.databaseMonitors) {
			const status = databaseMonitor.latestObservation?.status;
			const isFollowingOldTerm = status && databaseMonitor.isReachable && status.fencedTerm <= primary.fencedTerm && status.followsTerm < primary.fencedTerm;
			if (isFollowingOldTerm && this.isSafeToRejoin(databaseMonitor, primary.fencedTerm) && !this.rejoiningDatabases.has(databaseMonitor.database)) {
				void this.rejoin(databaseMonitor, status, primary);
			}
		}
	}

	/**
	 * Checks whether a database may follow the primary of a term. A database without state may have lost the fence of a later
	 * term. It may follow only if a majority of the other databases has confirmed the term since the loss, or if all databases
	 * have responded since and none is fenced above the term. In both cases no later primary can exist.
	 */
	private isSafeToRejoin({statelessSinceMs}: DatabaseMonitor, term: number): boolean {
		const {monitor} = this.options;
		if (statelessSinceMs === undefined || !monitor.mechanisms.stateRequired) {
			return true;
		}

		const observations = monitor.observations();
		const eligibleObservations = observations.filter(({status}) => monitor.isEligibleForMajority(status));
		// A majority of either list intersects every majority that a later promotion can have fenced.
		const confirmedAtMs = monitor.quorumOfTerm(term).valueOfAnyMajority(termRequestTimesMs(eligibleObservations, term)) ?? Number.NEGATIVE_INFINITY;
		const isConfirmedByAll = observations.length === monitor.databaseMonitors.length
			&& observations.every(({requestedAtMs, status}) => requestedAtMs >= statelessSinceMs && status.fencedTerm <= term);
		return confirmedAtMs >= statelessSinceMs || isConfirmedByAll;
	}

	/** Fences a database at the primary's term, which stops writes at a former primary, and makes it follow the primary. */
	private async rejoin(databaseMonitor: DatabaseMonitor, observedStatus: DatabaseStatus, primary: DatabaseStatus): Promise<void> {
		const {monitor, owner} = this.options;
		const {connectionId} = observedStatus;
		const term = primary.fencedTerm;
		this.rejoiningDatabases.add(databaseMonitor.database);
		const failure = peerFailure('follow', databaseMonitor.database, `no answer within ${callTimeoutMs} ms`);
		const timeoutOptions = {
			clock: monitor.options.clock, timeoutMs: callTimeoutMs, signal: monitor.signal, failure,
		};
		try {
			if (hasState(observedStatus) && observedStatus.fencedTerm < term) {
				await withTimeout(timeoutOptions, async signal => databaseMonitor.control.fence({term, owner: `${owner}/rejoin`, connectionId}, signal));
			}

			const requestedAtMs = monitor.options.clock.nowMs();
			const primaryAddress = addressOf(monitor.databaseSpecs, primary.database);
			const {status} = await withTimeout(timeoutOptions, async signal => databaseMonitor.control.follow({term, primaryAddress, connectionId}, signal));
			databaseMonitor.recordStatus(status, requestedAtMs);
		} catch {
			// The next periodic check retries the call.
		} finally {
			this.rejoiningDatabases.delete(databaseMonitor.database);
		}
	}
}
