import {
	type Clock, type Logger, type LogPosition, type RandomSource,
} from '@crocusloom/model';
import {
	AdmissionQueue, type RankPolicy, type SlotGrant, type SlotRequest,
} from '@crocusloom/work';
import {ConnectionPool} from '../connections/connectionPool.js';
import {type ConnectionShare} from '../connections/connectionShare.js';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {type BackendDialer, type BackendServer} from '../ports.js';
import {type Answer, type BackendCommand, type ServerStatus} from '../statements/statement.js';
import {ServerPositions} from './serverPositions.js';
import {ServerContact} from './serverContact.js';
import {ControlCommands} from './controlCommands.js';
import {BackendLoad} from './backendLoad.js';

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
	/** Time since which the entry of this process of the server has been listed. */
	readonly listedSinceMs: number;
	private readonly contact: ServerContact;
	private readonly positions: ServerPositions;
	private readonly load: BackendLoad;
	private readonly controlCommands: ControlCommands;
	private ranks: readonly RankPolicy[];
	private leavingSinceMs: number | undefined;
	private hasRetired = false;

	constructor(private entry: BackendServer, limits: BackendLimits, private readonly ports: BackendPorts) {
		this.ranks = limits.ranks;
		this.listedSinceMs = ports.clock.nowMs();
		this.updateLeavingSince();
		this.contact = this.createContact();
		this.positions = new ServerPositions(ports.clock, ports.onPosition);
		this.load = this.createLoad(limits);
		this.pool = this.createPool(limits);
		this.queue = this.createQueue();
		this.controlCommands = this.createControlCommands();
	}

	get server(): BackendServer {
		return this.entry;
	}

	get id(): string {
		return this.entry.id;
	}

	/** Time of the last sign that the server is alive: an answer, an accepted connection, or a refusal at its connection limit. */
	get lastContactMs(): number {
		return this.contact.lastContactMs;
	}

	/** Time since service discovery listed the server as leaving; 0 if it is not leaving. */
	get leavingForMs(): number {
		return this.leavingSinceMs === undefined ? 0 : this.ports.clock.nowMs() - this.leavingSinceMs;
	}

	/** True while connections to the server fail or its reachability is being checked. */
	get isSuspected(): boolean {
		return this.contact.isSuspected;
	}

	/**
	 * Newest position that the server is known to have received. A later promotion may have rolled it back, if it is of an earlier term
	 * than the log of the new primary.
	 */
	get heldPosition(): LogPosition | undefined {
		return this.positions.held;
	}

	/** The same, as far as it was reported on a connection that is older than any promotion under way, so that the server has not restarted since. */
	get establishedPosition(): LogPosition | undefined {
		return this.positions.established;
	}

	/** Time since the last sign that the process of the server may have ended: a connection that it closed, or a host that is not reached. */
	get undisturbedForMs(): number {
		return this.contact.undisturbedForMs;
	}

	/** True if another server answered at the address of this one, which is therefore gone with its log although its entry remains. */
	get isReplacedAtAddress(): boolean {
		return this.contact.isReplacedAtAddress;
	}

	/** True once the server has answered or accepted a connection. */
	get isConfirmed(): boolean {
		return this.contact.isConfirmed;
	}

	/** True if the server never answered although it was tried and was listed for the grace time, so that its entry may have no server. */
	get isUnconfirmed(): boolean {
		return this.contact.isUnconfirmed;
	}

	/** Time since the last contact if an attempt to reach the server has failed since then; 0 otherwise. */
	get noContactForMs(): number {
		return this.contact.noContactForMs;
	}

	/** True once the server takes no new work because it is no longer listed. */
	get isRetired(): boolean {
		return this.hasRetired;
	}

	/** Applies a changed discovery entry or changed limits. */
	configure(entry: BackendServer, limits: BackendLimits): void {
		if (entry.startedAtMs !== this.entry.startedAtMs) {
			this.positions.forgetApplied();
		}

		this.contact.configure(entry);
		this.entry = entry;
		this.updateLeavingSince();
		this.ranks = limits.ranks;
		this.load.setCeiling(usableSlots(entry, limits));
		this.pool.configure(entry, limits.connections);
		this.applySlotLimit();
	}

	/** Estimates the latency of a new statement in milliseconds: the pending work per slot that this proxy may use. */
	expectedLatencyMs(): number {
		return this.load.expectedLatencyMs(this.queue.waitingCount);
	}

	/** Returns false if the server is currently assumed to lack the position. */
	mayHavePosition(position: LogPosition | undefined): boolean {
		return this.positions.mayHave(position);
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
		this.load.recordStart(startedMs);
		try {
			const answer = await connection.backendConnection.run({command, minimumPosition});
			connection.isInTransaction = answer.state !== 'idle';
			this.recordAnswer(answer, command, {statementClass, startedMs, openedMs: connection.openedMs});
			this.forgetUnknownPrepared(connection, command, answer);
			return answer;
		} finally {
			this.load.recordEnd();
		}
	}

	/**
	 * Runs a control command, which is answered with the status of the server.
	 * @param timeoutMs - time after which the connection is closed, because it may be dead
	 * @returns the status, or undefined if the answer is an error or malformed
	 * @throws ConnectionError if the server does not answer in time
	 */
	async runControlCommand(command: BackendCommand, timeoutMs: number): Promise<ServerStatus | undefined> {
		return this.hasRetired ? this.controlCommands.runOnNewConnection(command, timeoutMs) : this.controlCommands.run(command, timeoutMs);
	}

	/**
	 * Requests the status on a connection that is in use by a caller's work, pipelined behind the commands sent so far. The
	 * connection stays open after a timeout.
	 * @throws ConnectionError if the server does not answer in time
	 */
	async probeStatusOn(connection: PooledConnection, timeoutMs: number): Promise<ServerStatus | undefined> {
		return this.controlCommands.requestStatusOn(connection, timeoutMs);
	}

	/** Records that a control command or status probe failed. Only the first failure since the last contact is logged. */
	recordProbeFailure(error: unknown): void {
		this.contact.recordProbeFailure(error);
	}

	/**
	 * Checks the reachability of a silent server, and opens and closes connections as needed. Called at regular intervals.
	 * @param warmConnections - connections to keep open ahead of demand
	 */
	maintain(warmConnections: number): void {
		this.contact.checkIfSilent(this.load.inFlightSinceMs);
		this.pool.maintain(this.isSuspected ? 0 : warmConnections);
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
		return this.contact.isHostReachable();
	}

	private createContact(): ServerContact {
		return new ServerContact(this.entry, {
			...this.ports,
			onUnreachable: () => {
				this.endUnreachable();
			},
		});
	}

	private createLoad(limits: BackendLimits): BackendLoad {
		return new BackendLoad(usableSlots(this.entry, limits), {
			clock: this.ports.clock,
			onLimitChange: () => {
				this.applySlotLimit();
			},
			onPauseEnd: () => {
				this.queue.grantWaiting();
			},
		});
	}

	private createPool({connections}: BackendLimits): ConnectionPool {
		return new ConnectionPool(this.entry, connections, {
			...this.ports,
			onAvailable: () => {
				this.queue.grantWaiting();
			},
			onDialResult: failure => {
				this.contact.recordDialResult(failure);
			},
			onConnectionLost: () => {
				this.contact.recordDisturbance();
			},
		});
	}

	private createQueue(): AdmissionQueue {
		return new AdmissionQueue(this.entry.id, {slotLimit: this.load.limit, ranks: this.ranks}, this.ports.clock, {
			mayReserve: moreUrgentRanks => this.load.hasPausedFor(moreUrgentRanks) && this.pool.mayReserve(),
			reserve: () => {
				this.pool.reserve();
			},
			isUnresponsive: () => false,
		});
	}

	private createControlCommands(): ControlCommands {
		return new ControlCommands({
			...this.ports,
			pool: this.pool,
			server: () => this.entry,
			onAnswer: (status, openedMs) => {
				this.recordStatus(status, openedMs);
			},
		});
	}

	/** Closes all connections of a server whose host is unreachable, so that its work fails at once instead of timing out. */
	private endUnreachable(): void {
		this.ports.log.warn({
			server: this.id, silentMs: Math.round(this.ports.clock.nowMs() - this.lastContactMs), inFlight: this.load.inFlightCount,
		}, 'a silent backend server cannot be reached; its connections are ended');
		this.pool.closeAll();
		this.queue.rejectWaiters('unreachable', 'the backend server cannot be reached');
	}

	private recordStatus(status: ServerStatus | undefined, openedMs: number): void {
		this.contact.recordContact();
		if (status) {
			this.positions.recordReceived(status.receivedPosition, openedMs);
			this.pool.recordServerConnections(status.connections);
		}
	}

	/** Forgets and reports a prepared statement that the server does not know although this proxy has prepared it on the connection. */
	private forgetUnknownPrepared(connection: PooledConnection, command: BackendCommand, {error}: Answer): void {
		if (error?.kind === 'unknownPrepared' && command.kind === 'executePrepared') {
			connection.forgetState();
			this.ports.log.warn({
				server: this.id, backendConnection: connection.number, preparedAs: command.preparedName, requestId: command.id,
			}, 'a backend server does not know a prepared statement');
		}
	}

	private recordAnswer({position, error}: Answer, command: BackendCommand, {statementClass, startedMs, openedMs}: RunRecord): void {
		this.contact.recordContact();
		if (position) {
			this.positions.recordApplied(position, openedMs);
		}

		if (error?.kind === 'overloaded') {
			this.load.recordOverload();
		} else if (error?.kind === 'stale') {
			this.positions.recordLag();
		} else if (command.kind === 'data' || command.kind === 'executePrepared') {
			this.positions.recordServed();
			this.load.recordRunTime(statementClass, startedMs);
		}
	}

	private updateLeavingSince(): void {
		this.leavingSinceMs = this.entry.isLeaving ? this.leavingSinceMs ?? this.ports.clock.nowMs() : undefined;
	}

	private applySlotLimit(): void {
		this.queue.configure({slotLimit: this.load.limit, ranks: this.ranks});
	}
}

/** Number of slots that can be in use at a time, because each statement in a slot has a connection. */
function usableSlots({slots}: BackendServer, {connections}: BackendLimits): number {
	return Math.max(1, Math.min(slots, connections.serverLimit));
}
