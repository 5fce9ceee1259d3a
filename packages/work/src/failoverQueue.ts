import {type Clock, type GroupDirectory} from '@crocusloom/model';
import {leadershipKey} from './dispatchContext.js';

/** Maximum time for which a write waits for a primary. Callers prefer a late confirmation to an error. */
export const failoverWaitLimitMs = 5000;
/** Maximum number of writes of one group that wait for a primary, to bound memory. */
export const maximumFailoverWaiters = 1024;
/**
 * Maximum number of waiting writes of one group that make an attempt at a time. The admission queue of the new primary sheds
 * work that it cannot start within the target of the rank, so most of the writes would be shed if all were retried at once.
 */
export const maximumConcurrentAttempts = 6;
/** Interval of the check that is shared by all waiters of a group. */
const checkIntervalMs = 20;

/** Wait of a write, which ends when the leadership differs from the one seen or when the pause is over. */
export type FailoverWait = {
	readonly seenLeadership: string;
	readonly pauseMs: number;
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
};

type Waiter = {
	readonly wait: FailoverWait;
	readonly dueMs: number;
	readonly resolve: (hasTurn: boolean) => void;
};

type GroupQueue = {readonly waiters: Set<Waiter>; runningAttempts: number; isChecking: boolean};

/** Queues writes that wait for a new primary, and lets them retry a few at a time in the order of arrival. */
export class FailoverQueue {
	private readonly groups = new Map<string, GroupQueue>();

	constructor(private readonly clock: Clock, private readonly directory: Pick<GroupDirectory, 'stateOf'>) {}

	/**
	 * Waits for a turn to make an attempt.
	 * @returns true if the caller has a turn, which it must end with `endTurn`; false if the queue is full, the deadline passes or the signal aborts
	 */
	async waitForTurn(group: string, wait: FailoverWait): Promise<boolean> {
		const queue = this.queueOf(group);
		if (queue.waiters.size >= maximumFailoverWaiters || wait.signal.aborted) {
			return false;
		}

		return new Promise(resolve => {
			const abort = () => {
				endWait(false);
			};

			const endWait = (hasTurn: boolean) => {
				wait.signal.removeEventListener('abort', abort);
				queue.waiters.delete(waiter);
				resolve(hasTurn);
			};

			const waiter: Waiter = {wait, dueMs: this.clock.nowMs() + wait.pauseMs, resolve: endWait};
			wait.signal.addEventListener('abort', abort, {once: true});
			queue.waiters.add(waiter);
			if (!queue.isChecking) {
				queue.isChecking = true;
				void this.checkPeriodically(group, queue);
			}
		});
	}

	/** Ends a turn and grants it to the next waiter that is due. */
	endTurn(group: string): void {
		const queue = this.queueOf(group);
		queue.runningAttempts--;
		this.resolveDueWaiters(group, queue);
	}

	private async checkPeriodically(group: string, queue: GroupQueue): Promise<void> {
		while (queue.waiters.size > 0) {
			await this.clock.sleep(checkIntervalMs);
			this.resolveDueWaiters(group, queue);
		}

		queue.isChecking = false;
		if (queue.runningAttempts === 0) {
			this.groups.delete(group);
		}
	}

	private resolveDueWaiters(group: string, queue: GroupQueue): void {
		if (queue.waiters.size === 0) {
			return;
		}

		const nowMs = this.clock.nowMs();
		const leadership = leadershipKey(this.directory.stateOf(group));
		for (const waiter of queue.waiters) {
			if (nowMs >= waiter.wait.deadlineMs) {
				waiter.resolve(false);
			} else if (queue.runningAttempts < maximumConcurrentAttempts && (leadership !== waiter.wait.seenLeadership || nowMs >= waiter.dueMs)) {
				queue.runningAttempts++;
				waiter.resolve(true);
			}
		}
	}

	private queueOf(group: string): GroupQueue {
		let queue = this.groups.get(group);
		if (!queue) {
			queue = {waiters: new Set(), runningAttempts: 0, isChecking: false};
			this.groups.set(group, queue);
		}

		return queue;
	}
}
