/**
 * In-memory replicated service for tests without a network. It gives the same guarantees as the platform's databases: a
 * commit is acknowledged only after replicas have received it, a paused replica receives nothing, and a replaced primary
 * keeps accepting work until it is told to step down.
 */
import {comparePositions, type LogPosition} from '@crocusloom/model';
import {
	type BackendConnection, type BackendDialer, type BackendServer, ConnectionError,
} from '../ports.js';
import {
	type Answer, type BackendCommand, type BackendRequest, errorAnswer, type ServerStatus, type StatementDefinition, type TransactionState,
} from '../statements/statement.js';

type LogEntry = {readonly position: LogPosition; readonly writeId: string};

/** A commit that too few replicas have received so far. */
type WaitingCommit = {
	readonly primary: MemoryServer;
	readonly entries: readonly LogEntry[];
	readonly acknowledge: () => void;
};

/** A command that a server ran, with the state of the connection at that time. */
export type RunRecord = {
	readonly server: string;
	readonly connection: number;
	readonly command: BackendCommand;
	readonly parameters: ReadonlyMap<string, string>;
	/** Prepared statement that an execution ran; undefined for other commands. */
	readonly prepared: StatementDefinition | undefined;
	readonly inTransaction: boolean;
	readonly position: LogPosition;
};

const sleep = async (durationMs: number) => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

const initialPosition: LogPosition = {term: 1, offsetBytes: 0};

/** A server of the service. Tests inject faults by setting its fields. */
export class MemoryServer {
	role: 'primary' | 'replica' = 'replica';
	term = 1;
	pausedTerm = 0;
	readonly log: LogEntry[] = [];
	/** Number of log entries that are applied, and therefore visible to reads. */
	appliedCount = 0;
	/** If true, the server receives log entries but does not apply them. */
	isLagging = false;
	/** If true, the server neither accepts connections nor answers requests. */
	isUnresponsive = false;
	isLeaving = false;
	/** If false, service discovery does not list the server, which receives entries all the same. */
	isListed = true;
	/** If true, another server answers at the address. */
	isReplaced = false;
	/** If true, the server is gone for good, with its log. */
	hasDeparted = false;
	/** Start time; a server that restarts has another one. */
	startedAtMs = 1;
	/** If true, the server refuses connections as if it were at its connection limit. */
	isFull = false;
	/** Number of further caller statements that the server runs without answering them. */
	answersToLose = 0;
	/** Errors with which the server answers the next caller statements instead of running them. */
	readonly refusals: Array<'overloaded' | 'failed'> = [];
	/** Servers with which this server cannot exchange log entries. */
	readonly partitionedFrom = new Set<MemoryServer>();
	openConnections = 0;
	dialCount = 0;
	/** Connections up to this number go unanswered, without an end. */
	lastSilentConnection = 0;
	/** Number of caller statements that run concurrently. Further ones wait in the order of their arrival. */
	slots = Number.POSITIVE_INFINITY;
	/** Time for which a caller statement holds its slot. */
	statementDurationMs = 1;
	/** Number of caller statements that may wait for a slot. */
	queueLimit = 30;
	private busySlots = 0;
	private readonly waiting: Array<() => void> = [];
	private readonly connections = new Set<MemoryConnection>();

	constructor(readonly id: string, readonly service: MemoryService) {}

	get isRunning(): boolean {
		return !this.isUnresponsive && !this.hasDeparted;
	}

	get receivedPosition(): LogPosition {
		return this.log.at(-1)?.position ?? initialPosition;
	}

	get appliedPosition(): LogPosition {
		return this.log[this.appliedCount - 1]?.position ?? initialPosition;
	}

	/** Returns the entry of the server in service discovery. */
	listing(): BackendServer {
		return {
			id: this.id,
			service: this.service.name,
			address: `127.0.0.1:${this.id}`,
			failureDomain: this.id,
			slots: 3,
			isLeaving: this.isLeaving,
			role: this.role,
			startedAtMs: this.startedAtMs,
			revision: 1,
		};
	}

	/**
	 * Runs a statement in a slot.
	 * @returns false if the queue is full and the statement is not run
	 */
	runInSlot(run: () => void): boolean {
		if (this.busySlots < this.slots) {
			this.busySlots++;
			setTimeout(() => {
				this.busySlots--;
				run();
				const runNext = this.waiting.shift();
				runNext?.();
			}, this.statementDurationMs);
			return true;
		}

		if (this.waiting.length >= this.queueLimit) {
			return false;
		}

		this.waiting.push(() => {
			this.runInSlot(run);
		});
		return true;
	}

	status(): ServerStatus {
		return {
			role: this.role, term: this.term, receivedPosition: this.receivedPosition, pausedTerm: this.pausedTerm, lagMs: 0, busySlots: 0, connections: this.openConnections,
		};
	}

	/** Accepts a connection, which is closed when the server restarts. */
	open(connection: MemoryConnection): void {
		this.openConnections++;
		this.connections.add(connection);
		connection.onClose(() => {
			this.openConnections--;
			this.connections.delete(connection);
		});
	}

	/** Forgets the prepared statements of all open connections. */
	forgetPreparedStatements(): void {
		for (const connection of this.connections) {
			connection.forgetPreparedStatements();
		}
	}

	/** Lets the open connections go silent; new ones work. */
	silenceConnections(): void {
		this.lastSilentConnection = this.service.connectionCount;
	}

	/** Starts again under the same id, with its log. */
	restart(): void {
		this.startedAtMs++;
		this.pausedTerm = 0;
		this.closeConnections();
	}

	closeConnections(): void {
		for (const connection of this.connections) {
			connection.close();
		}
	}

	/** Starts again under the same id, without a log. */
	restartEmpty(): void {
		this.restart();
		this.role = 'replica';
		this.log.length = 0;
		this.appliedCount = 0;
	}

	/** Applies all received entries. */
	catchUp(): void {
		this.isLagging = false;
		this.appliedCount = this.log.length;
	}

	receive(entry: LogEntry): void {
		this.log.push(entry);
		if (!this.isLagging) {
			this.appliedCount = this.log.length;
		}
	}
}

/** A service of several servers. The first server is the initial primary. */
export class MemoryService implements BackendDialer {
	readonly servers: MemoryServer[];
	/** If true, a commit that too few replicas received is acknowledged once enough of them have it. */
	acknowledgesLateCommits = false;
	readonly runs: RunRecord[] = [];
	/** Ids of the writes whose commits were acknowledged. */
	readonly acknowledged: string[] = [];
	/** Accepted promotions, each with the promoted server and the fencing token. */
	readonly promotions: Array<{readonly server: string; readonly token: number}> = [];
	/** If true, servers claim to be paused and receive all the same. */
	ignoresPauses = false;
	/** Number of connections that were opened so far. */
	connectionCount = 0;
	private readonly waitingCommits = new Set<WaitingCommit>();
	private readonly departedServers: MemoryServer[] = [];

	constructor(readonly name: string, readonly ids: readonly string[], readonly syncReplicas = 1, readonly maxConnections = 20) {
		this.servers = ids.map(id => new MemoryServer(id, this));
		this.servers[0]!.role = 'primary';
	}

	server(id: string): MemoryServer {
		return [...this.servers, ...this.departedServers].find(server => server.id === id)!;
	}

	listings(): readonly BackendServer[] {
		return this.servers.filter(({isListed}) => isListed).map(server => server.listing());
	}

	/**
	 * Adds a replica to the service.
	 * @param isListed - whether service discovery lists it
	 */
	join(id: string, isListed: boolean): MemoryServer {
		const server = new MemoryServer(id, this);
		server.isListed = isListed;
		this.servers.push(server);
		return server;
	}

	/**
	 * Removes a server for good.
	 * @param successorId - id of the server that takes over its log and its address; without it the log is gone
	 */
	depart(server: MemoryServer, successorId?: string): MemoryServer | undefined {
		this.servers.splice(this.servers.indexOf(server), 1);
		this.departedServers.push(server);
		server.hasDeparted = true;
		server.isReplaced = successorId !== undefined;
		server.closeConnections();
		if (successorId === undefined) {
			return undefined;
		}

		const successor = this.join(successorId, true);
		successor.term = server.term;
		for (const entry of server.log) {
			successor.receive(entry);
		}

		return successor;
	}

	/**
	 * Makes a server the primary of a new term, with the log that it has received. The pauses of the replicas that it reaches end, and they
	 * follow it.
	 */
	promote(id: string, token: number): void {
		const promoted = this.server(id);
		this.promotions.push({server: id, token});
		if (promoted.role === 'primary') {
			return;
		}

		promoted.role = 'primary';
		promoted.term = Math.max(...[...this.servers, ...this.departedServers].map(({term, pausedTerm}) => Math.max(term, pausedTerm)), promoted.term + 1);
		promoted.pausedTerm = 0;
		promoted.catchUp();
		for (const follower of this.servers) {
			if (follower.role === 'replica' && canExchange(promoted, follower)) {
				follower.pausedTerm = 0;
				this.replicate(promoted, follower);
			}
		}
	}

	/**
	 * Replicates the log of a primary to a follower. Entries of the follower that the primary lacks are rolled back.
	 * @returns false if the follower does not receive the log
	 */
	replicate(primary: MemoryServer, follower: MemoryServer): boolean {
		if (!canExchange(primary, follower) || (follower.pausedTerm > 0 && !this.ignoresPauses) || follower.term > primary.term || follower.role === 'primary') {
			return false;
		}

		follower.term = primary.term;
		const divergenceIndex = follower.log.findIndex((entry, index) => comparePositions(entry.position, primary.log[index]?.position ?? initialPosition) !== 0);
		if (divergenceIndex !== -1) {
			follower.log.length = divergenceIndex;
			follower.appliedCount = Math.min(follower.appliedCount, divergenceIndex);
		}

		for (const entry of primary.log.slice(follower.log.length)) {
			follower.receive(entry);
		}

		this.acknowledgeWaitingCommits(primary);
		return true;
	}

	/** Acknowledges a commit once enough replicas have it. */
	awaitReplicas(commit: WaitingCommit): void {
		if (this.acknowledgesLateCommits) {
			this.waitingCommits.add(commit);
		}
	}

	async dial(server: BackendServer, _timeoutMs?: number): Promise<BackendConnection> {
		const target = this.server(server.id);
		target.dialCount++;
		await sleep(1);
		if (!target.isRunning && !target.isReplaced) {
			throw new ConnectionError({kind: 'unreachable', message: 'unresponsive'}, 'connect', server.id);
		}

		if (target.isReplaced) {
			throw new ConnectionError({kind: 'wrongServer', message: 'another server'}, 'connect', server.id);
		}

		if (target.isFull || target.openConnections >= this.maxConnections) {
			throw new ConnectionError({kind: 'connectionLimit', message: 'full'}, 'connect', server.id);
		}

		this.connectionCount++;
		const connection = new MemoryConnection(target, this.connectionCount);
		target.open(connection);
		return connection;
	}

	async isReachable(server: BackendServer): Promise<boolean> {
		await sleep(1);
		return this.server(server.id).isRunning;
	}

	private acknowledgeWaitingCommits(primary: MemoryServer): void {
		for (const commit of this.waitingCommits) {
			const holders = this.servers.filter(server => server !== primary && commit.entries.every(entry => server.log.includes(entry)));
			if (commit.primary === primary && primary.role === 'primary' && holders.length >= this.syncReplicas) {
				this.waitingCommits.delete(commit);
				commit.acknowledge();
			}
		}
	}
}

/** Checks whether a primary can send its log to a follower. */
function canExchange(primary: MemoryServer, follower: MemoryServer): boolean {
	return !follower.isUnresponsive && !follower.isReplaced && !follower.partitionedFrom.has(primary) && !primary.partitionedFrom.has(follower);
}

type Transaction = {readonly readOnly: boolean; readonly writes: string[]};

class MemoryConnection implements BackendConnection {
	isOpen = true;
	private readonly parameters = new Map<string, string>();
	private readonly prepared = new Map<string, StatementDefinition>();
	private readonly closeListeners: Array<() => void> = [];
	private readonly pendingRejects = new Set<(error: unknown) => void>();
	private transaction: Transaction | undefined;
	private hasFailed = false;
	/** Commit of the last statement, if it waits for replicas. */
	private waitingCommit: Omit<WaitingCommit, 'acknowledge'> | undefined;

	constructor(private readonly server: MemoryServer, private readonly connectionId: number) {}

	async run(request: BackendRequest): Promise<Answer> {
		return new Promise((resolve, reject) => {
			this.pendingRejects.add(reject);
			const isAccepted = this.schedule(request.command, () => {
				if (this.server.isUnresponsive || !this.isOpen || this.connectionId <= this.server.lastSilentConnection) {
					return;
				}

				const answer = this.execute(request);
				const isLost = 'id' in request.command && this.server.answersToLose > 0;
				if (isLost) {
					this.server.answersToLose--;
				}

				const give = (answerToGive: Answer) => {
					if (!isLost) {
						this.pendingRejects.delete(reject);
						resolve(answerToGive);
					}
				};

				if (answer) {
					give(answer);
				} else {
					this.awaitReplicas(request.command, give);
				}
			});
			if (!isAccepted) {
				this.pendingRejects.delete(reject);
				resolve(this.error('overloaded'));
			}
		});
	}

	forgetPreparedStatements(): void {
		this.prepared.clear();
	}

	readStatus(answer: Answer): ServerStatus | undefined {
		return answer.error ? undefined : JSON.parse(answer.rows[0]!) as ServerStatus;
	}

	onClose(listener: () => void): void {
		this.closeListeners.push(listener);
	}

	close(): void {
		if (!this.isOpen) {
			return;
		}

		this.isOpen = false;
		this.transaction = undefined;
		for (const reject of this.pendingRejects) {
			reject(new ConnectionError({kind: 'closed', message: 'closed'}, 'execute', this.server.id));
		}

		for (const listener of this.closeListeners) {
			listener();
		}
	}

	/** Answers a statement once enough replicas have its commit, unless the server or the connection has failed by then. */
	private awaitReplicas(command: BackendCommand, give: (answer: Answer) => void): void {
		const {waitingCommit, server} = this;
		this.waitingCommit = undefined;
		if (!waitingCommit || !('id' in command)) {
			return;
		}

		server.service.awaitReplicas({
			...waitingCommit,
			acknowledge: () => {
				server.service.acknowledged.push(...waitingCommit.entries.map(({writeId}) => writeId));
				if (this.isOpen && !server.isUnresponsive) {
					give({...this.success(command.id), position: waitingCommit.entries.at(-1)!.position});
				}
			},
		});
	}

	/** Schedules a command: caller statements need a slot, control commands only take the network delay. */
	private schedule(command: BackendCommand, run: () => void): boolean {
		if ('id' in command) {
			return this.server.runInSlot(run);
		}

		setTimeout(run, 1);
		return true;
	}

	/**
	 * Runs a command.
	 * @returns undefined if the command is never answered, because too few replicas received the commit
	 */
	private execute({command, minimumPosition}: BackendRequest): Answer | undefined {
		this.recordRun(command);
		if (minimumPosition && !this.mayHavePosition(command)) {
			return this.error('malformed');
		}

		if (minimumPosition && comparePositions(this.server.appliedPosition, minimumPosition) < 0) {
			return this.error('stale');
		}

		const refusal = 'id' in command ? this.server.refusals.shift() : undefined;
		return refusal ? this.error(refusal) : this.handle(command);
	}

	/** Checks whether a command may require a position: only a read or the beginning of a transaction may. */
	private mayHavePosition(command: BackendCommand): boolean {
		if (command.kind === 'executePrepared') {
			return this.prepared.get(command.preparedName)?.mode !== 'write';
		}

		return command.kind === 'begin' || (command.kind === 'data' && command.text.startsWith('READ'));
	}

	private handle(command: BackendCommand): Answer | undefined {
		switch (command.kind) {
			case 'begin': {
				if (!command.readOnly && this.server.role !== 'primary') {
					return this.error('notPrimary');
				}

				this.transaction = {readOnly: command.readOnly, writes: []};
				return this.success();
			}

			case 'rollback': {
				this.transaction = undefined;
				this.hasFailed = false;
				return this.success();
			}

			case 'commit': {
				const writes = this.transaction?.writes ?? [];
				this.transaction = undefined;
				return this.commit(writes, command.id);
			}

			case 'data': {
				return command.text.startsWith('WRITE') ? this.write(command.id) : this.success(command.id);
			}

			case 'executePrepared': {
				const prepared = this.prepared.get(command.preparedName);
				if (!prepared) {
					return this.error('unknownPrepared');
				}

				return prepared.mode === 'write' ? this.write(command.id) : this.success(command.id);
			}

			case 'set': {
				this.parameters.set(command.name, command.value);
				return this.success();
			}

			case 'prepare': {
				this.prepared.set(command.preparedName, command.prepared);
				return this.success();
			}

			case 'discard': {
				this.parameters.clear();
				this.prepared.clear();
				return this.success();
			}

			case 'status':
			case 'pause':
			case 'resume':
			case 'stepDown': {
				this.applyControlCommand(command);
				return {...this.success(), rows: [JSON.stringify(this.server.status())]};
			}
		}
	}

	private applyControlCommand(command: BackendCommand): void {
		const {server} = this;
		if (command.kind === 'pause' && server.role === 'replica' && command.term > Math.max(server.term, server.pausedTerm)) {
			server.pausedTerm = command.term;
		} else if (command.kind === 'resume') {
			server.pausedTerm = 0;
		} else if (command.kind === 'stepDown' && server.role === 'primary' && command.term > server.term) {
			server.role = 'replica';
			server.term = command.term;
		}
	}

	private write(id: string): Answer | undefined {
		if (this.server.role !== 'primary') {
			return this.error('notPrimary');
		}

		if (this.transaction) {
			this.transaction.writes.push(id);
			return this.success(id);
		}

		return this.commit([id], id);
	}

	private commit(writes: readonly string[], id: string): Answer | undefined {
		const {server} = this;
		const {service} = server;
		if (writes.length === 0) {
			return this.success(id);
		}

		if (server.role !== 'primary') {
			return this.error('notPrimary');
		}

		const entries = writes.map((writeId, index) => ({position: {term: server.term, offsetBytes: server.log.length + index + 1}, writeId}));
		for (const entry of entries) {
			server.receive(entry);
		}

		server.catchUp();
		const followers = service.servers.filter(peer => peer !== server);
		const received = followers.map(follower => service.replicate(server, follower)).filter(Boolean).length;
		if (received < service.syncReplicas) {
			this.waitingCommit = {primary: server, entries};
			return undefined;
		}

		service.acknowledged.push(...writes);
		return this.success(id);
	}

	private recordRun(command: BackendCommand): void {
		this.server.service.runs.push({
			server: this.server.id,
			connection: this.connectionId,
			command,
			parameters: new Map(this.parameters),
			prepared: command.kind === 'executePrepared' ? this.prepared.get(command.preparedName) : undefined,
			inTransaction: this.transaction !== undefined,
			position: this.server.appliedPosition,
		});
	}

	private get state(): TransactionState {
		if (this.hasFailed) {
			return 'failed';
		}

		return this.transaction ? 'open' : 'idle';
	}

	private success(id?: string): Answer {
		return {
			rows: id === undefined ? [] : [`row of ${id}`], digest: id === undefined ? undefined : `digest-${id}`, state: this.state, position: this.server.appliedPosition,
		};
	}

	private error(kind: 'malformed' | 'stale' | 'notPrimary' | 'overloaded' | 'failed' | 'unknownPrepared'): Answer {
		this.hasFailed = this.transaction !== undefined;
		return {...errorAnswer(kind, this.server.id, this.state), position: this.server.appliedPosition};
	}
}
