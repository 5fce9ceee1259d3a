import {CallerSession, type SessionOptions} from './callerSession.js';

type Waiter = {readonly untilMs: number; readonly grant: (session: CallerSession | undefined) => void};

/** Interval at which waiting requests are checked against their patience. */
const sweepMs = 20;

/** Sessions that requests take in order of arrival. */
export class SessionPool {
	private readonly sessions: readonly CallerSession[];
	private readonly idle: CallerSession[] = [];
	private readonly waiters = new Set<Waiter>();
	private readonly sweeper: NodeJS.Timeout;

	/** @param count - number of sessions, spread over the endpoints */
	constructor(count: number, options: SessionOptions) {
		this.sessions = Array.from({length: count}, (_, index) => new CallerSession({
			...options,
			first: options.first + index,
			onOpen: session => {
				this.release(session);
			},
		}));
		this.sweeper = setInterval(() => {
			this.sweep();
		}, sweepMs);
	}

	/** Opens all sessions, a few at a time. */
	async open(): Promise<void> {
		const width = 16;
		for (let index = 0; index < this.sessions.length; index += width) {
			await Promise.all(this.sessions.slice(index, index + width).map(async session => session.open()));
		}
	}

	/**
	 * Takes an idle session, or waits for one.
	 * @param patienceMs - time after which the request gives up
	 * @returns undefined if none became free in time
	 */
	async acquire(patienceMs: number): Promise<CallerSession | undefined> {
		for (let session = this.idle.pop(); session; session = this.idle.pop()) {
			if (session.isOpen) {
				return session;
			}
		}

		return new Promise(resolve => {
			this.waiters.add({untilMs: performance.now() + patienceMs, grant: resolve});
		});
	}

	/** Gives a session back; one without a connection returns when it is open again. */
	release(session: CallerSession): void {
		if (!session.isOpen) {
			return;
		}

		const [waiter] = this.waiters;
		if (waiter) {
			this.waiters.delete(waiter);
			waiter.grant(session);
		} else if (!this.idle.includes(session)) {
			this.idle.push(session);
		}
	}

	close(): void {
		clearInterval(this.sweeper);
		for (const waiter of this.waiters) {
			waiter.grant(undefined);
		}

		for (const session of this.sessions) {
			session.close();
		}
	}

	private sweep(): void {
		const nowMs = performance.now();
		for (const waiter of this.waiters) {
			if (waiter.untilMs <= nowMs) {
				this.waiters.delete(waiter);
				waiter.grant(undefined);
			}
		}
	}
}
