import {
	type Clock, errorMessageOf, holdsPosition, laterPosition, type Logger, type LogPosition, type RandomSource,
} from '@crocusloom/model';
import {
	AdmissionQueue, type RankPolicy, type SlotGrant, type SlotRequest,
} from '@crocusloom/work';
import {ConnectionPool} from './connectionPool.js';
import {witnessAgeMs} from './commitWitnesses.js';
import {type ConnectionShare} from './connectionShare.js';
import {type PooledConnection} from './pooledConnection.js';
import {
	type BackendDialer, type BackendServer, ConnectionError, type ConnectionFailure,
} from './ports.js';
import {noParameters, type SessionParameters} from './sessionParameters.js';
import {SlotLimit} from './slotLimit.js';
import {type Answer, type BackendCommand, type ServerStatus} from './statement.js';
import {withTimeout} from './withTimeout.js';

/** Mean run time that is assumed until the first statement has run. */
const initialRunMs = 20;
/** Weight of the newest run time in the exponential moving average. */
const runMeanWeight = 0.1;
/** Initial backoff after a replica lacked a position. During it, the replica gets no read that needs a newer position than it is known to have applied. */
const initialLagBackoffMs = 40;
/** Upper limit of the backoff, which doubles each time the replica lacks a position. */
const maximumLagBackoffMs = 320;
/** Number of pause lengths by which, at a congested server, each rank from the third on pauses longer than the rank above it. */
const lessUrgentPauseFactor = 2;
/** Time without contact, while work is in flight, after which the reachability of the server's host is checked. */
const silenceThresholdMs = 250;
/** Time in which the host must accept a connection in the reachability check. */
const reachabilityTimeoutMs = 250;
/** Concurrent connection attempts per reachability check, because a lost packet is retransmitted only after the timeout. */
const reachabilityAttempts = 2;
/** Minimum time between two reachability checks. */
const reachabilityRetryMs = 200;
/** Time after which a listed server that never answered may belong to an entry without a server. */
export const unconfirmedServerGraceMs = 15_000;
/** Minimum time between two reachability checks of such a server. */
const unconfirmedRetryMs = 2000;

export type BackendPorts = {
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Called after each answer that tells which commits the server has. */
	readonly onPosition?: () => void;
};

export type BackendLimits = {readonly connections: ConnectionShare; readonly ranks: readonly RankPolicy[]};

/** How a command ran. */
type RunRecord = {
	readonly statementClass: string;
	readonly startedMs: number;
	/** Time at which the connection was opened. */
	readonly openedMs: number;
};

/** A backend server as this proxy uses it: its admission queue, its connection pool and its observed state. */
export class Backend {
	readonly pool: ConnectionPool;
	readonly queue: AdmissionQueue;
	/** Time of the last sign that the server is alive: an answer, an accepted connection, or a refusal at its connection limit. */
	lastContactMs: number;
	/** Time since which the entry of this process of the server has been listed. */
	readonly listedSinceMs: number;
	private entry: BackendServer;
	private readonly slotLimit: SlotLimit;
	private ranks: readonly RankPolicy[];
	private appliedPosition: LogPosition | undefined;
	private newestPosition: LogPosition | undefined;
	/** Newest position that was reported on a connection which is older than a promotion. */
	private newestEstablishedPosition: LogPosition | undefined;
	/** Time of the last sign that the process of the server may have ended. */
	private disturbedMs = Number.NEGATIVE_INFINITY;
	private laggingUntilMs = 0;
	private lagBackoffMs = initialLagBackoffMs;
	/** Pause of a congested server after its last answer. Does not apply to the most urgent rank and to open transactions. */
	private pause = {startedMs: 0, durationMs: 0};
	/** True while the host refuses connections or is unreachable. */
	private isDown = false;
	private lastCheckMs = 0;
	private leavingSinceMs: number | undefined;
	private meanRunMs = initialRunMs;
	private inFlight = 0;
	/** Time since which at least one command has been in flight continuously. */
	private inFlightSinceMs = 0;
	private isChecking = false;
	private failuresSinceContact = 0;
	/** False until the server has answered or accepted a connection for the first time. */
	private hasAnswered = false;
	/** True after another server answered at the address. */
	private isReplaced = false;
	private hasRetired = false;

	constructor(entry: BackendServer, limits: BackendLimits, private readonly ports: BackendPorts) {
		this.entry = entry;
		this.ranks = limits.ranks;
		this.lastContactMs = ports.clock.nowMs();
		this.listedSinceMs = this.lastContactMs;
		this.updateLeavingSince();
		this.slotLimit = new SlotLimit(usableSlots(entry, limits));
		this.pool = new ConnectionPool(entry, limits.connections, {
			...ports,
			onAvailable: () => {
				this.queue.grantWaiting();
			},
			onDialResult: failure => {
				this.recordDialResult(failure);
			},
			onConnectionLost: () => {
				this.disturbedMs = ports.clock.nowMs();
			},
		});
		this.queue = new AdmissionQueue(entry.id, {slotLimit: this.slotLimit.value, ranks: limits.ranks}, ports.clock, {
			mayReserve: moreUrgentRanks => this.ports.clock.nowMs() >= this.pause.startedMs + this.pauseMsForRank(moreUrgentRanks) && this.pool.mayReserve(),
			reserve: () => {
				this.pool.reserve();
			},
			isUnresponsive: () => false,
		});
	}

	get server(): BackendServer {
		return this.entry;
	}

	get id(): string {
		return this.entry.id;
	}

	/** Time since service discovery listed the server as leaving; 0 if it is not leaving. */
	get leavingForMs(): number {
		return this.leavingSinceMs === undefined ? 0 : this.ports.clock.nowMs() - this.leavingSinceMs;
	}

	/** True while connections to the server fail or its reachability is being checked. */
	get isSuspected(): boolean {
		return this.isChecking || this.isDown || this.isReplaced;
	}

	/**
	 * Newest position that the server is known to have received. A later promotion may have rolled it back, if it is of an earlier term
	 * than the log of the new primary.
	 */
	get heldPosition(): LogPosition | undefined {
		return this.newestPosition;
	}

	/** The same, as far as it was reported on a connection that is older than any promotion under way, so that the server has not restarted since. */
	get establishedPosition(): LogPosition | undefined {
		return this.newestEstablishedPosition;
	}

	/** Time since the last sign that the process of the server may have ended: a connection that it closed, or a host that is not reached. */
	get undisturbedForMs(): number {
		return this.ports.clock.nowMs() - this.disturbedMs;
	}

	/** True if another server answered at the address of this one, which is therefore gone with its log although its entry remains. */
	get isReplacedAtAddress(): boolean {
		return this.isReplaced;
	}

	/** True once the server has answered or accepted a connection. */
	get isConfirmed(): boolean {
		return this.hasAnswered;
	}

	/** True if the server never answered although it was tried and was listed for the grace time, so that its entry may have no server. */
	get isUnconfirmed(): boolean {
		return !this.hasAnswered && this.noContactForMs >= unconfirmedServerGraceMs;
	}

	/** Time since the last contact if an attempt to reach the server has failed since then; 0 otherwise. */
	get noContactForMs(): number {
		return this.failuresSinceContact === 0 ? 0 : this.ports.clock.nowMs() - this.lastContactMs;
	}

	/** Applies a changed discovery entry or changed limits. */
	configure(entry: BackendServer, limits: BackendLimits): void {
		if (entry.startedAtMs !== this.entry.startedAtMs) {
			this.appliedPosition = undefined;
		}

		this.isReplaced &&= entry.revision === this.entry.revision;
		this.entry = entry;
		this.updateLeavingSince();
		this.ranks = limits.ranks;
		this.slotLimit.setCeiling(usableSlots(entry, limits));
		this.pool.configure(entry, limits.connections);
		this.applySlotLimit();
	}

	/** Estimates the latency of a new statement in milliseconds: the pending work per slot that this proxy may use. */
	expectedLatencyMs(): number {
		return (this.meanRunMs * (this.inFlight + this.queue.waitingCount + 1)) / this.slotLimit.value;
	}

	/** Returns false if the server is currently assumed to lack the position. */
	mayHavePosition(position: LogPosition | undefined): boolean {
		if (position === undefined || this.ports.clock.nowMs() >= this.laggingUntilMs) {
			return true;
		}

		return this.appliedPosition !== undefined && holdsPosition(this.appliedPosition, position);
	}

	/** Requests a slot. Unless the request is inside a transaction, the grant includes a reserved connection. */
	acquireSlot(request: SlotRequest): SlotGrant | Promise<SlotGrant> {
		return this.queue.acquire(request);
	}

	/**
	 * Runs a command on a connection and updates the observed state of the server from the answer.
	 * @param statementClass - class of statements with similar run times
	 * @throws ConnectionError if the connection closes first
	 */
	async run(connection: PooledConnection, command: BackendCommand, statementClass: string, minimumPosition?: LogPosition): Promise<Answer> {
		const startedMs = this.ports.clock.nowMs();
		if (this.inFlight === 0) {
			this.inFlightSinceMs = startedMs;
		}

		this.inFlight++;
		try {
			const answer = await connection.backendConnection.run({command, minimumPosition});
			connection.isInTransaction = answer.state !== 'idle';
			this.recordAnswer(answer, command, {statementClass, startedMs, openedMs: connection.openedMs});
			return answer;
		} finally {
			this.inFlight--;
		}
	}

	/**
	 * Runs a control command, which is answered with the status of the server.
	 * @param timeoutMs - time after which the connection is closed, because it may be dead
	 * @returns the status, or undefined if the answer is an error or malformed
	 * @throws ConnectionError if the server does not answer in time
	 */
	async runControlCommand(command: BackendCommand, timeoutMs: number): Promise<ServerStatus | undefined> {
		if (this.hasRetired) {
			return this.runOnNewConnection(command, timeoutMs);
		}

		this.pool.reserve();
		const pendingConnection = this.pool.acquire(noParameters);
		const connection = await this.withConnectionTimeout(pendingConnection, timeoutMs, () => {
			void pendingConnection.then(lateConnection => {
				this.pool.release(lateConnection);
			}, () => undefined);
		});
		try {
			const answer = await this.withConnectionTimeout(connection.backendConnection.run({command}), timeoutMs, () => {
				connection.close();
			});
			return this.recordStatus(connection.backendConnection.readStatus(answer), connection.openedMs);
		} finally {
			this.pool.release(connection);
		}
	}

	/**
	 * Requests the status on a connection that is in use by a caller's work, pipelined behind the commands sent so far. The
	 * connection stays open after a timeout.
	 * @throws ConnectionError if the server does not answer in time
	 */
	async probeStatusOn({backendConnection, openedMs}: PooledConnection, timeoutMs: number): Promise<ServerStatus | undefined> {
		const answer = await this.withConnectionTimeout(backendConnection.run({command: {kind: 'status'}}), timeoutMs, () => undefined);
		return this.recordStatus(backendConnection.readStatus(answer), openedMs);
	}

	/** Records that a control command or status probe failed. Only the first failure since the last contact is logged. */
	recordProbeFailure(error: unknown): void {
		this.failuresSinceContact++;
		if (this.failuresSinceContact > 1) {
			return;
		}

		this.ports.log.warn({
			server: this.id, reason: errorMessageOf(error), lastHeardMs: Math.round(this.ports.clock.nowMs() - this.lastContactMs),
		}, 'a backend server did not answer a question about its status');
	}

	/**
	 * Checks the reachability of a silent server, and opens and closes connections as needed. Called at regular intervals.
	 * @param warmConnections - connections to keep open ahead of demand
	 */
	maintain(warmConnections: number): void {
		const nowMs = this.ports.clock.nowMs();
		const isSilent = this.inFlight > 0 && nowMs - Math.max(this.lastContactMs, this.inFlightSinceMs) > silenceThresholdMs;
		const retryMs = this.isUnconfirmed ? unconfirmedRetryMs : reachabilityRetryMs;
		if (!this.isChecking && (isSilent || this.isDown) && nowMs - this.lastCheckMs >= retryMs) {
			void this.checkReachability();
		}

		this.pool.maintain(this.isSuspected ? 0 : warmConnections);
	}

	/** True once the server takes no new work because it is no longer listed. */
	get isRetired(): boolean {
		return this.hasRetired;
	}

	/** Takes no new work, and lets the statements and transactions that are running end by themselves. */
	retire(): void {
		this.hasRetired = true;
		this.pool.retire();
		this.queue.rejectWaiters('leaving', 'the backend server is no longer used');
	}

	/** Ends all work and closes all connections. */
	close(): void {
		this.retire();
		this.pool.close();
	}

	/** Checks whether the host accepts at least one of several concurrent connection attempts. An attempt that fails in another way counts as not accepted. */
	async isHostReachable(): Promise<boolean> {
		const attempts = Array.from({length: reachabilityAttempts}, async () => this.ports.dialer.isReachable(this.entry, reachabilityTimeoutMs));
		const results = await Promise.allSettled(attempts);
		for (const result of results) {
			if (result.status === 'rejected') {
				this.recordProbeFailure(result.reason);
			}
		}

		return results.some(result => result.status === 'fulfilled' && result.value);
	}

	/** Runs a control command for work that still runs, while the pool opens no connections any more. */
	private async runOnNewConnection(command: BackendCommand, timeoutMs: number): Promise<ServerStatus | undefined> {
		const connection = await this.ports.dialer.dial(this.entry, timeoutMs);
		try {
			const answer = await this.withConnectionTimeout(connection.run({command}), timeoutMs, () => undefined);
			return this.recordStatus(connection.readStatus(answer), this.ports.clock.nowMs());
		} finally {
			connection.close();
		}
	}

	/** Closes all connections of a server whose host is unreachable, so that its work fails at once instead of timing out. */
	private async checkReachability(): Promise<void> {
		this.isChecking = true;
		const startedMs = this.ports.clock.nowMs();
		const isReachable = await this.isHostReachable();
		this.isChecking = false;
		this.lastCheckMs = this.ports.clock.nowMs();
		if (isReachable || this.lastContactMs >= startedMs) {
			this.isDown = false;
			return;
		}

		this.failuresSinceContact++;
		if (this.isDown) {
			return;
		}

		this.isDown = true;
		this.disturbedMs = this.ports.clock.nowMs();
		this.ports.log.warn({
			server: this.id, silentMs: Math.round(this.ports.clock.nowMs() - this.lastContactMs), inFlight: this.inFlight,
		}, 'a silent backend server cannot be reached; its connections are ended');
		this.pool.closeAll();
		this.queue.rejectWaiters('unreachable', 'the backend server cannot be reached');
	}

	private recordStatus(status: ServerStatus | undefined, openedMs: number): ServerStatus | undefined {
		this.recordContact();
		if (status) {
			this.recordPosition(status.receivedPosition, openedMs);
			this.pool.recordServerConnections(status.connections);
		}

		return status;
	}

	private recordPosition(position: LogPosition, openedMs: number): void {
		this.newestPosition = laterPosition(this.newestPosition, position);
		if (this.ports.clock.nowMs() - openedMs >= witnessAgeMs) {
			this.newestEstablishedPosition = laterPosition(this.newestEstablishedPosition, position);
		}

		this.ports.onPosition?.();
	}

	private recordContact(): void {
		this.lastContactMs = this.ports.clock.nowMs();
		this.failuresSinceContact = 0;
		this.hasAnswered = true;
		this.isDown = false;
		this.isReplaced = false;
	}

	private async withConnectionTimeout<T>(work: Promise<T>, timeoutMs: number, onTimeout: () => void): Promise<T> {
		return withTimeout(work, timeoutMs, () => {
			onTimeout();
			return new ConnectionError({kind: 'unreachable', message: `no answer within ${timeoutMs} ms`}, 'execute', this.id);
		});
	}

	/** Records the result of an attempt to connect. A refusal at the connection limit counts as contact, because the server is alive. */
	private recordDialResult(failure: ConnectionFailure | undefined): void {
		if (failure === undefined || failure.kind === 'connectionLimit') {
			this.recordContact();
			return;
		}

		this.failuresSinceContact++;
		if (failure.kind === 'refused' || failure.kind === 'unreachable') {
			this.isDown = true;
			this.disturbedMs = this.ports.clock.nowMs();
		}

		if (failure.kind === 'wrongServer' && !this.isReplaced) {
			this.isReplaced = true;
			this.ports.log.warn({server: this.id, address: this.entry.address, reason: failure.message}, 'another server answers at the address of a backend server');
		}
	}

	private updateLeavingSince(): void {
		this.leavingSinceMs = this.entry.isLeaving ? this.leavingSinceMs ?? this.ports.clock.nowMs() : undefined;
	}

	private recordAnswer(answer: Answer, command: BackendCommand, {statementClass, startedMs, openedMs}: RunRecord): void {
		const nowMs = this.ports.clock.nowMs();
		this.recordContact();
		if (answer.position) {
			this.appliedPosition = answer.position;
			this.recordPosition(answer.position, openedMs);
		}

		if (answer.error?.kind === 'overloaded') {
			if (this.slotLimit.recordOverload(nowMs)) {
				this.applySlotLimit();
			}

			return;
		}

		if (answer.error?.kind === 'stale') {
			this.laggingUntilMs = nowMs + this.lagBackoffMs;
			this.lagBackoffMs = Math.min(maximumLagBackoffMs, this.lagBackoffMs * 2);
			return;
		}

		if (command.kind === 'data' || command.kind === 'executePrepared') {
			this.lagBackoffMs = initialLagBackoffMs;
			this.recordRunTime(statementClass, nowMs - startedMs, nowMs);
		}
	}

	private recordRunTime(statementClass: string, runMs: number, nowMs: number): void {
		this.meanRunMs += (runMs - this.meanRunMs) * runMeanWeight;
		if (this.slotLimit.recordServed(statementClass, runMs, nowMs)) {
			this.applySlotLimit();
		}

		this.pause = {startedMs: nowMs, durationMs: this.slotLimit.pauseMs(runMs)};
		if (this.pause.durationMs > 0) {
			setTimeout(() => {
				this.queue.grantWaiting();
			}, this.pause.durationMs).unref();
		}
	}

	/** Returns the pause of a rank. Less urgent ranks pause longer, so that more urgent ones find a free slot. */
	private pauseMsForRank(moreUrgentRanks: number): number {
		return moreUrgentRanks === 0 ? 0 : this.pause.durationMs * (1 + ((moreUrgentRanks - 1) * lessUrgentPauseFactor));
	}

	private applySlotLimit(): void {
		this.queue.configure({slotLimit: this.slotLimit.value, ranks: this.ranks});
	}
}

/** Number of slots that can be in use at a time, because each statement in a slot has a connection. */
function usableSlots({slots}: BackendServer, {connections}: BackendLimits): number {
	return Math.max(1, Math.min(slots, connections.serverLimit));
}
