import {
	childSignal, type Clock, type GroupDirectory, type Metrics, type RandomSource,
} from '@crocusloom/model';
import {
	firstPauseMs, leadershipOf, longestPauseMs, mayRunAgain, notRunReason, remedyFor, type DispatchRun, type Remedy,
} from './dispatchRun.js';
import {failoverWaitLimitMs, type FailoverQueue} from './failoverQueue.js';
import {type RetryBudget} from './retryBudget.js';

export type RemedyPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly directory: GroupDirectory;
	readonly metrics: Metrics;
};

/** Decides whether and when a unit of work that failed is run again. */
export class Remedies {
	private readonly handlers: Readonly<Record<Remedy, (run: DispatchRun) => Promise<boolean>>> = {
		giveUp: async () => false,
		primary: async run => this.turnToPrimary(run),
		elsewhere: async run => this.tryElsewhere(run),
		awaitLeader: async run => await this.pause(run) !== 'expired',
		awaitFailover: async run => this.awaitFailover(run),
		pause: async run => this.pauseOrRetry(run),
	};

	/**
	 * @param ports - clock, directory and the like
	 * @param failovers - writes that wait for a new primary
	 * @param budget - bounds the retries
	 */
	constructor(private readonly ports: RemedyPorts, private readonly failovers: FailoverQueue, private readonly budget: RetryBudget) {}

	/** Applies the remedy for a refusal. Anything that may have run is never repeated. */
	async mayRepeat(run: DispatchRun, error: unknown): Promise<boolean> {
		if (mayRunAgain(run, error)) {
			return this.runAgain(run, error);
		}

		const reason = notRunReason(error);
		if (!reason || run.options.signal.aborted || run.options.cancelSignal?.aborted) {
			return false;
		}

		const remedy = remedyFor(run, reason);
		// Only a failover extends the deadline.
		if (remedy !== 'awaitFailover' && this.ports.clock.nowMs() >= run.deadlineMs) {
			return false;
		}

		return this.handlers[remedy](run);
	}

	/** Waits for a change of leadership, or takes a retry after the pause. */
	private async pauseOrRetry(run: DispatchRun): Promise<boolean> {
		const outcome = await this.pause(run);
		return outcome === 'changed' || (outcome === 'elapsed' && this.takeRetry(run));
	}

	/** Waits for a new primary, or for the next attempt at the present one. */
	private async awaitFailover(run: DispatchRun): Promise<boolean> {
		const {intent, options, seen, pauseMs} = run;
		if (!run.awaitsFailover) {
			run.awaitsFailover = true;
			run.deadlineMs += Math.max(0, failoverWaitLimitMs - intent.waitLimitMs);
			this.ports.metrics.count('writes_awaiting_failover', {group: intent.group});
		}

		run.pauseMs = Math.min(longestPauseMs, pauseMs * 2);
		const giveUp = childSignal(options.signal, ...(options.cancelSignal ? [options.cancelSignal] : []));
		run.hasTurn = await this.failovers.takeTurn(intent.group, {
			seen, pauseMs: pauseMs * (0.5 + this.ports.random.next()), deadlineMs: run.deadlineMs, signal: giveUp.signal,
		});
		giveUp.release();
		return run.hasTurn;
	}

	/** The wait limit counts anew, because a loss is noticed only after a time that is longer than most limits. */
	private runAgain(run: DispatchRun, error: unknown): boolean {
		run.lostRuns.push(error);
		run.deadlineMs = this.ports.clock.nowMs() + run.intent.waitLimitMs;
		return this.takeRetry(run);
	}

	/** A bounded read is refused when no database is proven young enough; other reads are always served by the primary. */
	private async turnToPrimary(run: DispatchRun): Promise<boolean> {
		if (run.intent.freshness.mode === 'bounded') {
			return run.hasChosen && this.tryElsewhere(run);
		}

		if (run.primaryOnly || !run.hasChosen) {
			return this.tryLater(run);
		}

		run.primaryOnly = true;
		return true;
	}

	/** Tries the databases that have not refused yet; the attempt that finds none left ends in `tryLater`. */
	private async tryElsewhere(run: DispatchRun): Promise<boolean> {
		return run.hasChosen ? this.takeRetry(run) : this.tryLater(run);
	}

	/** Starts again with all databases after a pause. */
	private async tryLater(run: DispatchRun): Promise<boolean> {
		const outcome = await this.pause(run);
		run.excluded.clear();
		run.primaryOnly = false;
		return outcome !== 'expired' && this.takeRetry(run);
	}

	private takeRetry({intent}: DispatchRun): boolean {
		const isAllowed = this.budget.tryRetry(intent.group, intent.callerKey);
		this.ports.metrics.count(isAllowed ? 'retries' : 'retries_refused', {group: intent.group});
		return isAllowed;
	}

	/** Waits until the leadership differs from what the attempt saw, the pause is over, or the wait limit is reached. */
	private async pause(run: DispatchRun): Promise<'changed' | 'elapsed' | 'expired'> {
		const {clock, random, directory} = this.ports;
		const endMs = clock.nowMs() + (run.pauseMs * (0.5 + random.next()));
		run.pauseMs = Math.min(longestPauseMs, run.pauseMs * 2);
		while (clock.nowMs() < endMs) {
			const leftMs = Math.min(endMs, run.deadlineMs) - clock.nowMs();
			if (leftMs <= 0 || !await this.sleep(Math.min(firstPauseMs, leftMs), run.options.signal)) {
				return 'expired';
			}

			if (leadershipOf(directory.stateOf(run.intent.group)) !== run.seen) {
				run.pauseMs = firstPauseMs;
				return 'changed';
			}
		}

		return clock.nowMs() < run.deadlineMs ? 'elapsed' : 'expired';
	}

	private async sleep(durationMs: number, signal: AbortSignal): Promise<boolean> {
		try {
			await this.ports.clock.sleep(durationMs, signal);
			return true;
		} catch {
			return false;
		}
	}
}
