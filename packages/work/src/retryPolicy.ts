import {
	childSignal, type Clock, type GroupDirectory, type Metrics, type RandomSource,
} from '@crocusloom/model';
import {
	initialPauseMs, leadershipKey, maximumPauseMs, canRerunLostRead, notRunReason, retryActionFor, type DispatchContext, type RetryAction,
} from './dispatchContext.js';
import {failoverWaitLimitMs, type FailoverQueue} from './failoverQueue.js';
import {type RetryBudget} from './retryBudget.js';

export type RetryPolicyPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly directory: GroupDirectory;
	readonly metrics: Metrics;
};

/** Decides whether and when a failed attempt at a unit of work is retried. */
export class RetryPolicy {
	private readonly handlers: Readonly<Record<RetryAction, (context: DispatchContext) => Promise<boolean>>> = {
		giveUp: async () => false,
		primary: async context => this.retryAtPrimary(context),
		otherDatabase: async context => this.retryAtOtherDatabase(context),
		awaitLeaderChange: async context => await this.pauseUntilLeaderChange(context) !== 'expired',
		awaitFailover: async context => this.awaitFailover(context),
		backOff: async context => this.backOff(context),
	};

	/**
	 * @param ports - clock, random source, directory and metrics
	 * @param failoverQueue - writes that wait for a new primary
	 * @param budget - limits the number of retries
	 */
	constructor(private readonly ports: RetryPolicyPorts, private readonly failoverQueue: FailoverQueue, private readonly budget: RetryBudget) {}

	/**
	 * Takes the retry action for a failed attempt, including its wait. Work that may have run is never retried, apart from reads
	 * whose response was lost before the caller received any of it.
	 * @returns true if another attempt should be made
	 */
	async shouldRetry(context: DispatchContext, error: unknown): Promise<boolean> {
		if (canRerunLostRead(context, error)) {
			return this.rerunLostRead(context, error);
		}

		const reason = notRunReason(error);
		if (!reason || context.options.signal.aborted || context.options.cancelSignal?.aborted) {
			return false;
		}

		const action = retryActionFor(context, reason);
		// Only waiting for a failover extends the deadline.
		if (action !== 'awaitFailover' && this.ports.clock.nowMs() >= context.deadlineMs) {
			return false;
		}

		return this.handlers[action](context);
	}

	/** Waits for a leadership change, which allows a retry at no cost, or for the pause, after which a retry is taken from the budget. */
	private async backOff(context: DispatchContext): Promise<boolean> {
		const outcome = await this.pauseUntilLeaderChange(context);
		return outcome === 'changed' || (outcome === 'elapsed' && this.tryConsumeRetry(context));
	}

	/** Waits in the failover queue for a new primary, or for the next attempt at the current one. */
	private async awaitFailover(context: DispatchContext): Promise<boolean> {
		const {intent, options, seenLeadership, nextPauseMs} = context;
		if (!context.isAwaitingFailover) {
			context.isAwaitingFailover = true;
			context.deadlineMs += Math.max(0, failoverWaitLimitMs - intent.waitLimitMs);
			this.ports.metrics.count('writes_awaiting_failover', {group: intent.group});
		}

		context.nextPauseMs = Math.min(maximumPauseMs, nextPauseMs * 2);
		const waitController = childSignal(options.signal, ...(options.cancelSignal ? [options.cancelSignal] : []));
		context.hasFailoverTurn = await this.failoverQueue.waitForTurn(intent.group, {
			seenLeadership, pauseMs: nextPauseMs * (0.5 + this.ports.random.next()), deadlineMs: context.deadlineMs, signal: waitController.signal,
		});
		waitController.release();
		return context.hasFailoverTurn;
	}

	/** Restarts the wait limit, because detecting a lost response takes longer than most limits allow. */
	private rerunLostRead(context: DispatchContext, error: unknown): boolean {
		context.lostRunErrors.push(error);
		context.deadlineMs = this.ports.clock.nowMs() + context.intent.waitLimitMs;
		return this.tryConsumeRetry(context);
	}

	/**
	 * Retries at the primary, which can serve any read that is not bounded. A bounded read is retried at another database, and fails
	 * if no database has data that is proven to be recent enough.
	 */
	private async retryAtPrimary(context: DispatchContext): Promise<boolean> {
		if (context.intent.freshness.mode === 'bounded') {
			return context.hasChosenDatabase && this.retryAtOtherDatabase(context);
		}

		if (context.isPrimaryOnly || !context.hasChosenDatabase) {
			return this.retryAfterPause(context);
		}

		context.isPrimaryOnly = true;
		return true;
	}

	/** Retries at a database that has not refused the read yet. An attempt that finds none left ends in `retryAfterPause`. */
	private async retryAtOtherDatabase(context: DispatchContext): Promise<boolean> {
		return context.hasChosenDatabase ? this.tryConsumeRetry(context) : this.retryAfterPause(context);
	}

	/** Pauses, and then considers all databases again. */
	private async retryAfterPause(context: DispatchContext): Promise<boolean> {
		const outcome = await this.pauseUntilLeaderChange(context);
		context.excludedDatabases.clear();
		context.isPrimaryOnly = false;
		return outcome !== 'expired' && this.tryConsumeRetry(context);
	}

	private tryConsumeRetry({intent}: DispatchContext): boolean {
		const isAllowed = this.budget.tryConsume(intent.group, intent.callerKey);
		this.ports.metrics.count(isAllowed ? 'retries' : 'retries_refused', {group: intent.group});
		return isAllowed;
	}

	/**
	 * Waits for a jittered pause, which doubles with each call up to the maximum.
	 * @returns `changed` if the leadership differs from what the attempt saw, `elapsed` after the pause, `expired` if the wait limit
	 * is reached or the signal aborts
	 */
	private async pauseUntilLeaderChange(context: DispatchContext): Promise<'changed' | 'elapsed' | 'expired'> {
		const {clock, random, directory} = this.ports;
		const endMs = clock.nowMs() + (context.nextPauseMs * (0.5 + random.next()));
		context.nextPauseMs = Math.min(maximumPauseMs, context.nextPauseMs * 2);
		while (clock.nowMs() < endMs) {
			const remainingMs = Math.min(endMs, context.deadlineMs) - clock.nowMs();
			if (remainingMs <= 0 || !await this.sleep(Math.min(initialPauseMs, remainingMs), context.options.signal)) {
				return 'expired';
			}

			if (leadershipKey(directory.stateOf(context.intent.group)) !== context.seenLeadership) {
				context.nextPauseMs = initialPauseMs;
				return 'changed';
			}
		}

		return clock.nowMs() < context.deadlineMs ? 'elapsed' : 'expired';
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
