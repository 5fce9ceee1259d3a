import {type Clock, type GroupDirectory} from '@crocusloom/model';
import {leadershipOf} from './dispatchRun.js';

/** Longest time for which a write waits for a primary; callers prefer a late confirmation to an error. */
export const failoverWaitLimitMs = 5000;
/** Writes of one group that may wait for a primary, so that memory stays bounded. */
export const maximumFailoverWaiters = 1024;
/**
 * Attempts of waiting writes of one group at a time. The new primary's queue sheds what it cannot start within the
 * rank's target, so that all waiters at once would be refused.
 */
export const maximumAttempts = 6;
/** Interval of the one check for all waiters of a group. */
const checkIntervalMs = 20;

/** What a write waits for: a leadership other than the one seen, or the end of its pause. */
export type FailoverWait = {
	readonly seen: string;
	readonly pauseMs: number;
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
};

type Waiter = {
	readonly wait: FailoverWait;
	readonly dueMs: number;
	readonly resolve: (hasTurn: boolean) => void;
};

type GroupQueue = {readonly waiters: Set<Waiter>; attempts: number; isChecking: boolean};

/** Lets writes wait for a new primary, and lets them go on a few at a time, first come, first served. */
export class FailoverQueue {
	private readonly groups = new Map<string, GroupQueue>();

	constructor(private readonly clock: Clock, private readonly directory: Pick<GroupDirectory, 'stateOf'>) {}

	/**
	 * Waits for a turn to make an attempt.
	 * @returns true if the caller has a turn, which it must end with `endTurn`; false when the queue is full, the deadline passed or the signal aborted
	 */
	async takeTurn(group: string, wait: FailoverWait): Promise<boolean> {
		const queue = this.queueOf(group);
		if (queue.waiters.size >= maximumFailoverWaiters || wait.signal.aborted) {
			return false;
		}

		return new Promise(resolve => {
			const abort = () => {
				settle(false);
			};

			const settle = (hasTurn: boolean) => {
				wait.signal.removeEventListener('abort', abort);
				queue.waiters.delete(waiter);
				resolve(hasTurn);
			};

			const waiter: Waiter = {wait, dueMs: this.clock.nowMs() + wait.pauseMs, resolve: settle};
			wait.signal.addEventListener('abort', abort, {once: true});
			queue.waiters.add(waiter);
			if (!queue.isChecking) {
				queue.isChecking = true;
				void this.checkPeriodically(group, queue);
			}
		});
	}

	/** Ends a turn; the next waiter gets it. */
	endTurn(group: string): void {
		const queue = this.queueOf(group);
		queue.attempts--;
		this.check(group, queue);
	}

	private async checkPeriodically(group: string, queue: GroupQueue): Promise<void> {
		while (queue.waiters.size > 0) {
			await this.clock.sleep(checkIntervalMs);
			this.check(group, queue);
		}

		queue.isChecking = false;
		if (queue.attempts === 0) {
			this.groups.delete(group);
		}
	}

	private check(group: string, queue: GroupQueue): void {
		if (queue.waiters.size === 0) {
			return;
		}

		const nowMs = this.clock.nowMs();
		const leadership = leadershipOf(this.directory.stateOf(group));
		for (const waiter of queue.waiters) {
			if (nowMs >= waiter.wait.deadlineMs) {
				waiter.resolve(false);
			} else if (queue.attempts < maximumAttempts && (leadership !== waiter.wait.seen || nowMs >= waiter.dueMs)) {
				queue.attempts++;
				waiter.resolve(true);
			}
		}
	}

	private queueOf(group: string): GroupQueue {
		let queue = this.groups.get(group);
		if (!queue) {
			queue = {waiters: new Set(), attempts: 0, isChecking: false};
			this.groups.set(group, queue);
		}

		return queue;
	}
}
