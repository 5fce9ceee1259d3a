import {CallerSession, type SessionOptions} from './callerSession.js';

type Waiter = {readonly deadlineMs: number; readonly resolve: (session: CallerSession | undefined) => void};

/** Interval at which waiters whose deadline has passed are removed. */
const expiryCheckIntervalMs = 20;

/** Connection pool that serves waiting requests first come, first served. */
export class SessionPool {
	private readonly sessions: readonly CallerSession[];
	private readonly idle: CallerSession[] = [];
	private readonly waiters = new Set<Waiter>();
	private readonly expiryTimer: NodeJS.Timeout;

	/** @param count - number of sessions, distributed over the endpoints */
	constructor(count: number, options: SessionOptions) {
		this.sessions = Array.from({length: count}, (_, index) => new CallerSession({
			...options,
			firstEndpointIndex: options.firstEndpointIndex + index,
			onOpen: session => {
				this.release(session);
			},
		}));
		this.expiryTimer = setInterval(() => {
			this.expireWaiters();
		}, expiryCheckIntervalMs);
	}

	/** Opens all sessions in batches. */
	async open(): Promise<void> {
		const batchSize = 16;
		for (let index = 0; index < this.sessions.length; index += batchSize) {
			await Promise.all(this.sessions.slice(index, index + batchSize).map(async session => session.open()));
		}
	}

	/**
	 * Acquires an idle session, or waits until one is released.
	 * @param timeoutMs - maximum time to wait
	 * @returns undefined if no session became free before the timeout or the pool was closed
	 */
	async acquire(timeoutMs: number): Promise<CallerSession | undefined> {
		for (let session = this.idle.pop(); session; session = this.idle.pop()) {
			if (session.isOpen) {
				return session;
			}
		}

		return new Promise(resolve => {
			this.waiters.add({deadlineMs: performance.now() + timeoutMs, resolve});
		});
	}

	/** Returns a session to the pool. A session without a connection is returned by its `onOpen` callback after it has reconnected. */
	release(session: CallerSession): void {
		if (!session.isOpen) {
			return;
		}

		const [waiter] = this.waiters;
		if (waiter) {
			this.waiters.delete(waiter);
			waiter.resolve(session);
		} else if (!this.idle.includes(session)) {
			this.idle.push(session);
		}
	}

	/** Ends all waits and closes all sessions. */
	close(): void {
		clearInterval(this.expiryTimer);
		for (const waiter of this.waiters) {
			waiter.resolve(undefined);
		}

		for (const session of this.sessions) {
			session.close();
		}
	}

	private expireWaiters(): void {
		const nowMs = performance.now();
		for (const waiter of this.waiters) {
			if (waiter.deadlineMs <= nowMs) {
				this.waiters.delete(waiter);
				waiter.resolve(undefined);
			}
		}
	}
}
