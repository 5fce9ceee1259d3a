import {
	type Logger, noopLogger, type PromotionRecord, type RandomSource,
} from '@crocusloom/model';
import {addressOf} from './candidate.js';
import {findLeader, hasState, termConfirmedAtMs} from './confirmation.js';
import {type DatabaseWatch} from './databaseWatch.js';
import {type GroupMonitor} from './groupMonitor.js';
import {PromotionAttempt} from './promotionAttempt.js';
import {type PromotionNeed, PromotionNeeds} from './promotionNeed.js';
import {databaseFailure, withTimeLimit} from './timeLimit.js';
import {
	callLimitMs, plannedRetryMs, promotionCheckIntervalMs, promotionJitterMs, rankDelayMs,
} from './timing.js';

export type PromoterOptions = {
	readonly monitor: GroupMonitor;
	readonly random: RandomSource;
	/** Name of this process, different after each restart. */
	readonly owner: string;
	/** Place of this host among the monitors that can reach a majority; 0 starts first. */
	readonly rank: () => number;
	/** Tells whether another monitor still reaches the primary, so that this one leaves it alone. */
	readonly isSeenElsewhere: (primary: string) => boolean;
	/** Receives each record, to publish the result. */
	readonly onRecord: (record: PromotionRecord) => void;
	readonly log?: Logger;
};

/** Promotes a database when the group needs a primary, and makes the others follow it. */
export class Promoter {
	private readonly needs: PromotionNeeds;
	private readonly rejoining = new Set<string>();
	private attempts = 0;
	private nextPlannedAtMs = 0;

	constructor(private readonly options: PromoterOptions) {
		this.needs = new PromotionNeeds(options.monitor, options.isSeenElsewhere);
	}

	/** Runs until the monitor is closed. */
	async run(): Promise<void> {
		const {signal, options: {clock}} = this.options.monitor;
		try {
			while (!signal.aborted) {
				await clock.sleep(promotionCheckIntervalMs, signal);
				this.rejoinOthers();
				if (this.need()) {
					await this.promoteInTurn();
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				throw error;
			}
		}
	}

	/** Waits for this host's turn and starts an attempt if the promotion is still needed. */
	private async promoteInTurn(): Promise<void> {
		const {monitor, rank, random} = this.options;
		const {clock} = monitor.options;
		await clock.sleep((rank() * rankDelayMs) + (random.next() * promotionJitterMs), monitor.signal);
		const need = this.need();
		if (!need) {
			return;
		}

		const record = await this.attempt(need);
		if (need.isPlanned) {
			this.nextPlannedAtMs = clock.nowMs() + plannedRetryMs;
		}

		if (record.outcome !== 'promoted') {
			// Two proxies that collided must not collide again.
			await clock.sleep(random.next() * rankDelayMs, monitor.signal);
		}
	}

	private need(): PromotionNeed | undefined {
		const need = this.needs.current();
		return need?.isPlanned && this.options.monitor.options.clock.nowMs() < this.nextPlannedAtMs ? undefined : need;
	}

	private async attempt(need: PromotionNeed): Promise<PromotionRecord> {
		const {monitor, owner, onRecord, log = noopLogger} = this.options;
		this.attempts++;
		const attempt = new PromotionAttempt({
			monitor,
			need,
			owner: `${owner}/${this.attempts}`,
			isStillNeeded: () => this.need() !== undefined,
			signal: monitor.signal,
		});
		const record = await attempt.run();
		monitor.addPromotion(record);
		onRecord(record);
		const {group, term, outcome, candidate, reason, steps, tookMs} = record;
		log.info({
			group, term, outcome, candidate, reason, steps, tookMs,
		}, 'promotion attempted');
		return record;
	}

	/** Makes every reachable database that does not follow the current primary do so. */
	private rejoinOthers(): void {
		const {monitor} = this.options;
		const leader = findLeader(monitor.observations())?.status;
		if (!leader || !monitor.watchOf(leader.database)?.reachable) {
			return;
		}

		for (const watch of monitor.watches) {
			const status = watch.latest?.status;
			const mayFollow = status && watch.reachable && status.fencedTerm <= leader.fencedTerm && status.followsTerm < leader.fencedTerm;
			if (mayFollow && this.isSafeToRejoin(watch, leader.fencedTerm) && !this.rejoining.has(watch.database)) {
				void this.rejoin(watch, leader.fencedTerm, leader.database);
			}
		}
	}

	/**
	 * A database without state may have forgotten the fence of a later term. It follows only a primary whose term a majority
	 * of the others confirmed after the loss, or when all databases answer, so that no later primary can exist.
	 */
	private isSafeToRejoin({statelessSinceMs}: DatabaseWatch, term: number): boolean {
		const {monitor} = this.options;
		if (statelessSinceMs === undefined || !monitor.mechanisms.stateRequired) {
			return true;
		}

		const observations = monitor.observations();
		const withState = observations.filter(({status}) => monitor.counts(status));
		const confirmedAtMs = termConfirmedAtMs(withState, monitor.watches.length, term) ?? Number.NEGATIVE_INFINITY;
		const isAllKnown = observations.length === monitor.watches.length
			&& observations.every(({askedAtMs, status}) => askedAtMs >= statelessSinceMs && status.fencedTerm <= term);
		return confirmedAtMs >= statelessSinceMs || isAllKnown;
	}

	/** Fences a database at the primary's term, so that an old primary stops, and makes it follow. */
	private async rejoin(watch: DatabaseWatch, term: number, primary: string): Promise<void> {
		const {monitor, owner} = this.options;
		this.rejoining.add(watch.database);
		const failure = databaseFailure('follow', watch.database, `no answer within ${callLimitMs} ms`);
		const limit = {
			clock: monitor.options.clock, limitMs: callLimitMs, signal: monitor.signal, failure,
		};
		try {
			if (hasState(watch.latest!.status) && watch.latest!.status.fencedTerm < term) {
				await withTimeLimit(limit, async signal => watch.control.fence(term, `${owner}/rejoin`, signal));
			}

			const askedAtMs = monitor.options.clock.nowMs();
			const address = addressOf(monitor.options.spec(), primary);
			const {status} = await withTimeLimit(limit, async signal => watch.control.follow(term, address, signal));
			watch.note(status, askedAtMs);
		} catch {
			// The next check repeats the call.
		} finally {
			this.rejoining.delete(watch.database);
		}
	}
}
