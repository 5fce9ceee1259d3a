import {
	type Clock, comparePositions, type Logger, type LogPosition, errorMessageOf, type RandomSource,
} from '@crocusloom/model';
import {
	AdmissionQueue, type RankPolicy, type SlotGrant, type SlotRequest,
} from '@crocusloom/work';
import {ConnectionPool} from './connectionPool.js';
import {type ConnectionShare} from './connectionShare.js';
import {type PooledConnection} from './pooledConnection.js';
import {
	type BackendDialer, type BackendServer, ConnectionError, type ConnectionFailure,
} from './ports.js';
import {noValues, type SessionValues} from './sessionValues.js';
import {SlotLimit} from './slotLimit.js';
import {type Answer, type BackendCommand, type ServerStatus} from './statement.js';
import {withinLimit} from './withinLimit.js';

/** Run time assumed before any statement was measured. */
const initialRunMs = 20;
/** Weight of the newest run time in the moving mean. */
const runMeanWeight = 0.1;
/** Time for which a replica that lacked a position is not asked for a newer one than it is known to hold. */
const laggingPauseMs = 40;
/** Limit to which that time doubles while the replica lacks one again and again. */
const longestLaggingPauseMs = 320;
/** Pauses of a congested server that each further rank waits beside the first. */
const lessUrgentPauseFactor = 2;
/** Silence of a server with work in flight after which it is checked whether its host can be reached. */
const silenceMs = 250;
/** Time in which a host must accept a connection in that check. */
const reachabilityLimitMs = 250;
/** Attempts of that check at the same time; a lost packet would be sent again only after the limit. */
const reachabilityAttempts = 2;
/** Interval at which a server that could not be reached is tried again. */
const retryMs = 200;

export type BackendPorts = {
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
};

export type BackendLimits = {readonly connections: ConnectionShare; readonly ranks: readonly RankPolicy[]};

/** One backend server as this proxy uses it: its queue, its connections and what is known of it. */
export class Backend {
	readonly pool: ConnectionPool;
	readonly queue: AdmissionQueue;
	/** Time of the last answer of any kind. */
	lastHeardMs: number;
	private entry: BackendServer;
	private readonly slots: SlotLimit;
	private ranks: readonly RankPolicy[];
	private appliedPosition: LogPosition | undefined;
	private laggingUntilMs = 0;
	private laggingPauseMs = laggingPauseMs;
	/** Pause of a congested server since its last answer, for all but the most urgent rank and open transactions. */
	private pause = {startedMs: 0, lengthMs: 0};
	/** True while its host is known to refuse connections or not to answer. */
	private isDown = false;
	private checkedMs = 0;
	private leavingSinceMs: number | undefined;
	private meanRunMs = initialRunMs;
	private inFlight = 0;
	/** Time since which work has been in flight without a pause. */
	private inFlightSinceMs = 0;
	private isChecking = false;
	private failuresSinceHeard = 0;

	constructor(entry: BackendServer, limits: BackendLimits, private readonly ports: BackendPorts) {
		this.entry = entry;
		this.ranks = limits.ranks;
		this.lastHeardMs = ports.clock.nowMs();
		this.noteLeaving();
		this.slots = new SlotLimit(Math.max(1, entry.slots));
		this.pool = new ConnectionPool(entry, limits.connections, {
			...ports,
			onAvailable: () => {
				this.queue.grantWaiting();
			},
			onDial: failure => {
				this.noteDial(failure);
			},
		});
		this.queue = new AdmissionQueue(entry.id, {slotLimit: this.slots.current, ranks: limits.ranks}, ports.clock, {
			mayReserve: moreUrgentRanks => this.ports.clock.nowMs() >= this.pause.startedMs + this.pauseOfRank(moreUrgentRanks) && this.pool.mayReserve(),
			reserve: () => {
				this.pool.reserve();
			},
			isDoubtful: () => false,
		});
	}

	get server(): BackendServer {
		return this.entry;
	}

	get id(): string {
		return this.entry.id;
	}

	/** Time since discovery listed the server as leaving; 0 if it is not. */
	get leavingForMs(): number {
		return this.leavingSinceMs === undefined ? 0 : this.ports.clock.nowMs() - this.leavingSinceMs;
	}

	/** True while connections to it fail, or it is silent and being checked. */
	get isAvoided(): boolean {
		return this.isChecking || this.isDown;
	}

	/** Time without an answer, counted only if an attempt to get one has failed since the last. */
	get unansweredForMs(): number {
		return this.failuresSinceHeard === 0 ? 0 : this.ports.clock.nowMs() - this.lastHeardMs;
	}

	/** Puts a changed entry or changed limits in force. */
	configure(entry: BackendServer, limits: BackendLimits): void {
		if (entry.startedAtMs !== this.entry.startedAtMs) {
			this.appliedPosition = undefined;
		}

		this.entry = entry;
		this.noteLeaving();
		this.ranks = limits.ranks;
		this.slots.setCeiling(Math.max(1, entry.slots));
		this.pool.configure(entry, limits.connections);
		this.applySlots();
	}

	/** Work that a new statement would find for each slot that this proxy may use, in milliseconds. */
	expectedMs(): number {
		return (this.meanRunMs * (this.inFlight + this.queue.waitingCount + 1)) / this.slots.current;
	}

	/** False if the server is known to lack the position at this moment. */
	mayHold(position: LogPosition | undefined): boolean {
		if (position === undefined || this.ports.clock.nowMs() >= this.laggingUntilMs) {
			return true;
		}

		return this.appliedPosition !== undefined && comparePositions(this.appliedPosition, position) >= 0;
	}

	/** Asks for a slot; a grant comes with a reserved connection unless the request is inside a transaction. */
	acquireSlot(request: SlotRequest): SlotGrant | Promise<SlotGrant> {
		return this.queue.acquire(request);
	}

	/**
	 * Runs a command on a connection and notes what the answer tells of the server.
	 * @param kind - commands of one kind take a similar time
	 * @throws ConnectionError if the connection ends first
	 */
	async run(connection: PooledConnection, command: BackendCommand, kind: string, minimumPosition?: LogPosition): Promise<Answer> {
		const startedMs = this.ports.clock.nowMs();
		if (this.inFlight === 0) {
			this.inFlightSinceMs = startedMs;
		}

		this.inFlight++;
		try {
			const answer = await connection.connection.run({command, minimumPosition});
			connection.isInTransaction = answer.state !== 'idle';
			this.noteAnswer(answer, command, kind, startedMs);
			return answer;
		} finally {
			this.inFlight--;
		}
	}

	/**
	 * Runs a command of the proxy's own that answers with the server's status.
	 * @param timeLimitMs - after this the connection is ended, because it may have gone silent
	 * @returns the status, or undefined if the server was too busy to answer
	 * @throws ConnectionError if the server does not answer in time
	 */
	async control(command: BackendCommand, timeLimitMs: number): Promise<ServerStatus | undefined> {
		this.pool.reserve();
		const taking = this.pool.take(noValues);
		const connection = await this.within(taking, timeLimitMs, () => {
			void taking.then(late => {
				this.pool.giveBack(late);
			}, () => undefined);
		});
		try {
			const answer = await this.within(connection.connection.run({command}), timeLimitMs, () => {
				connection.close();
			});
			return this.noteStatus(connection.connection.readStatus(answer));
		} finally {
			this.pool.giveBack(connection);
		}
	}

	/**
	 * Asks for the status on a connection that a caller's work holds, behind what was sent there. The connection stays open
	 * if no answer comes in time.
	 * @throws ConnectionError if the server does not answer in time
	 */
	async statusOn({connection}: PooledConnection, timeLimitMs: number): Promise<ServerStatus | undefined> {
		const answer = await this.within(connection.run({command: {kind: 'status'}}), timeLimitMs, () => undefined);
		return this.noteStatus(connection.readStatus(answer));
	}

	/** Records a control question that was not answered. Only the first since the last answer is logged. */
	noteSilence(error: unknown): void {
		this.failuresSinceHeard++;
		if (this.failuresSinceHeard > 1) {
			return;
		}

		this.ports.log.warn({
			server: this.id, reason: errorMessageOf(error), lastHeardMs: Math.round(this.ports.clock.nowMs() - this.lastHeardMs),
		}, 'a backend server did not answer a question about its status');
	}

	/**
	 * Opens and closes connections as needed; called at regular intervals.
	 * @param warmConnections - connections to keep open without need
	 */
	maintain(warmConnections: number): void {
		const nowMs = this.ports.clock.nowMs();
		const isSilent = this.inFlight > 0 && nowMs - Math.max(this.lastHeardMs, this.inFlightSinceMs) > silenceMs;
		if (!this.isChecking && (isSilent || this.isDown) && nowMs - this.checkedMs >= retryMs) {
			void this.checkReachability();
		}

		this.pool.maintain(this.isAvoided ? 0 : warmConnections);
	}

	close(): void {
		this.pool.close();
		this.queue.refuseWaiting('leaving', 'the backend server is no longer used');
	}

	/** Tells whether the host accepts at least one of several connections. */
	async reach(): Promise<boolean> {
		const attempts = Array.from({length: reachabilityAttempts}, async () => this.ports.dialer.isReachable(this.entry, reachabilityLimitMs));
		const results = await Promise.all(attempts);
		return results.includes(true);
	}

	/** Ends all connections of a server whose host cannot be reached, so that its work is not waited for. */
	private async checkReachability(): Promise<void> {
		this.isChecking = true;
		const startedMs = this.ports.clock.nowMs();
		const isReachable = await this.reach();
		this.isChecking = false;
		this.checkedMs = this.ports.clock.nowMs();
		if (isReachable || this.lastHeardMs >= startedMs) {
			this.isDown = false;
			return;
		}

		this.failuresSinceHeard++;
		if (this.isDown) {
			return;
		}

		this.isDown = true;
		this.ports.log.warn({
			server: this.id, silentMs: Math.round(this.ports.clock.nowMs() - this.lastHeardMs), inFlight: this.inFlight,
		}, 'a silent backend server cannot be reached; its connections are ended');
		this.pool.closeAll();
		this.queue.refuseWaiting('unreachable', 'the backend server cannot be reached');
	}

	private noteStatus(status: ServerStatus | undefined): ServerStatus | undefined {
		this.noteHeard();
		if (status) {
			this.pool.noteServerConnections(status.connections);
		}

		return status;
	}

	private noteHeard(): void {
		this.lastHeardMs = this.ports.clock.nowMs();
		this.failuresSinceHeard = 0;
		this.isDown = false;
	}

	private async within<T>(work: Promise<T>, timeLimitMs: number, onTimeout: () => void): Promise<T> {
		return withinLimit(work, timeLimitMs, () => {
			onTimeout();
			return new ConnectionError({kind: 'unreachable', message: `no answer within ${timeLimitMs} ms`}, 'execute', this.id);
		});
	}

	/** A server at its connection limit is alive, so that failure counts as an answer. */
	private noteDial(failure: ConnectionFailure | undefined): void {
		if (failure === undefined || failure.kind === 'connectionLimit') {
			this.noteHeard();
			return;
		}

		this.failuresSinceHeard++;
		this.isDown ||= failure.kind === 'refused' || failure.kind === 'unreachable';
	}

	private noteLeaving(): void {
		this.leavingSinceMs = this.entry.leaving ? this.leavingSinceMs ?? this.ports.clock.nowMs() : undefined;
	}

	private noteAnswer(answer: Answer, command: BackendCommand, kind: string, startedMs: number): void {
		const nowMs = this.ports.clock.nowMs();
		this.noteHeard();
		if (answer.position) {
			this.appliedPosition = answer.position;
		}

		if (answer.error?.kind === 'overloaded') {
			if (this.slots.noteOverloaded(nowMs)) {
				this.applySlots();
			}

			return;
		}

		if (answer.error?.kind === 'stale') {
			this.laggingUntilMs = nowMs + this.laggingPauseMs;
			this.laggingPauseMs = Math.min(longestLaggingPauseMs, this.laggingPauseMs * 2);
			return;
		}

		if (command.kind === 'data' || command.kind === 'executePrepared') {
			this.laggingPauseMs = laggingPauseMs;
			this.noteRun(kind, nowMs - startedMs, nowMs);
		}
	}

	private noteRun(kind: string, runMs: number, nowMs: number): void {
		this.meanRunMs += (runMs - this.meanRunMs) * runMeanWeight;
		if (this.slots.noteServed(kind, runMs, nowMs)) {
			this.applySlots();
		}

		this.pause = {startedMs: nowMs, lengthMs: this.slots.pauseMs(runMs)};
		if (this.pause.lengthMs > 0) {
			setTimeout(() => {
				this.queue.grantWaiting();
			}, this.pause.lengthMs).unref();
		}
	}

	/** The less urgent a rank is, the longer it pauses, so that the others find the server free. */
	private pauseOfRank(moreUrgentRanks: number): number {
		return moreUrgentRanks === 0 ? 0 : this.pause.lengthMs * (1 + ((moreUrgentRanks - 1) * lessUrgentPauseFactor));
	}

	private applySlots(): void {
		this.queue.configure({slotLimit: this.slots.current, ranks: this.ranks});
	}
}
