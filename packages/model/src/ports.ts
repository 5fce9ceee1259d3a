/**
 * Ports: interfaces through which the decision logic reaches the network, the clock and other processes. Adapters and test
 * fakes implement them.
 */
import {type Configuration, type FreshnessClassSpec} from './resources.js';
import {
	type DatabaseStatus,
	type ExchangeResult,
	type ControlResult,
	type FollowOrder,
	type GroupState,
	type HolderStats,
	type ListedHost,
	type LogPosition,
	type Member,
	type OwnedDatabaseOrder,
	type PromotionRecord,
	type RoutingExplanation,
	type StatementMode,
	type WaitResult,
	type WorkRequest,
} from './types.js';

/** Source of time. Durations are measured with `nowMs`, which never goes back. */
export type Clock = {
	/** Monotonic time in milliseconds, with fractions. */
	nowMs(): number;
	/** Wall-clock time in milliseconds since the Unix epoch, for records that people read. */
	wallMs(): number;
	/** Resolves after the duration, or rejects when the signal aborts. */
	sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
};

/** Source of random numbers. */
export type RandomSource = {
	/** Returns a number in [0, 1). */
	next(): number;
};

export type KeyValueEntry = {readonly key: string; readonly value: string; readonly modRevision: number};
export type KeyValueEvent
	= | {readonly type: 'put'; readonly entry: KeyValueEntry}
		| {readonly type: 'delete'; readonly key: string; readonly modRevision: number};

/** Events of a watch. */
export type WatchBatch = {
	/** Revision up to which the events are complete. */
	readonly revision: number;
	readonly events: readonly KeyValueEvent[];
	/** Revision of the store when it confirmed the watch; only in the batch that reports the confirmation. */
	readonly storeRevision?: number;
};

/** The platform's key-value service. Methods throw FailureError of kind `platform`, with `effect: 'unknown'` if the call may have taken effect. */
export type KeyValueStore = {
	/**
	 * Returns all entries under a prefix, as of one revision.
	 * @param onData - called for each received part of the response
	 */
	list(prefix: string, signal: AbortSignal, onData?: () => void): Promise<{readonly revision: number; readonly entries: readonly KeyValueEntry[]}>;
	get(key: string, signal: AbortSignal): Promise<{readonly revision: number; readonly entry?: KeyValueEntry}>;
	/**
	 * Writes the value if the key was last modified at `expectedRevision`; 0 means that the key does not exist. Otherwise returns
	 * the current entry, if there is one. The value `undefined` deletes the key.
	 */
	compareAndSwap(key: string, expectedRevision: number, value: string | undefined, signal: AbortSignal): Promise<
		| {readonly succeeded: true; readonly revision: number}
		| {readonly succeeded: false; readonly revision: number; readonly current?: KeyValueEntry}
	>;
	/** Yields the events under a prefix, starting at a revision. */
	watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<WatchBatch>;
};

/** The platform's list of hosts, which lags behind the actual hosts. */
export type HostList = {
	list(signal: AbortSignal): Promise<readonly ListedHost[]>;
};

/** Control calls to one database. Methods throw FailureError if the database does not answer, or if the connection of an order has ended. */
export type DatabaseControl = {
	readonly database: string;
	status(signal: AbortSignal): Promise<DatabaseStatus>;
	/** Fences the database at `term`. Accepted if `term` is above the fenced term, or equal to it with the same owner. */
	fence(order: OwnedDatabaseOrder, signal: AbortSignal): Promise<ControlResult>;
	/** Makes the database the primary if it is still fenced at `term` by `owner`. */
	promote(order: OwnedDatabaseOrder, signal: AbortSignal): Promise<ControlResult>;
	/** Makes the database a replica of the primary of `term`, unless it is fenced at a higher term. Log records that the primary lacks are discarded. */
	follow(order: FollowOrder, signal: AbortSignal): Promise<ControlResult>;
	/** Waits until the database holds `position` within `position.term`. */
	waitForPosition(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult>;
	close(): void;
};

/** Receives the response frames of an exchange. The returned promise resolves when the sink accepts more (backpressure). */
export type FrameSink = (frames: Buffer) => Promise<void> | void;

/** A named prepared statement. The name is derived from the text, so that a name has the same text on every connection. */
export type PreparedStatement = {
	readonly name: string;
	readonly parseFrame: Buffer;
};

/** Options of an exchange. */
export type ExchangeOptions = {
	/** Prepared statements that the frames bind, with the Parse frame that prepares each on a connection that lacks it. */
	readonly preparedStatements?: readonly PreparedStatement[];
	/** True if the exchange may commit, in which case the holder has to wait for a majority. */
	readonly mayCommit: boolean;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Aborts when the caller cancels the first exchange, before `UnitOfWork.cancel` is available. The response is still delivered. */
	readonly cancelSignal?: AbortSignal;
	/** Called with the unit of work in which the first exchange is attempted, so that it can be cancelled more than once. */
	readonly onOpen?: (work: UnitOfWork) => void;
};

/** A unit of work at a database: one statement outside a transaction, or one whole transaction. */
export type UnitOfWork = {
	/**
	 * Sends frontend frames that end in Query, Sync or FunctionCall, and streams the response up to ReadyForQuery.
	 * @throws FailureError `notRun` if nothing was sent to the backend server, `unknown` if the response was lost
	 */
	exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult>;
	/** Requests that the backend server cancel the running exchange. */
	cancel(): void;
	/** Ends the unit of work. If a transaction is open, it is rolled back or its connection is closed. */
	release(): void;
};

/** Opens units of work at the holder of a database, which is this process or a peer. */
export type WorkOpener = {
	open(request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork>;
};

/** Routing requirements of a unit of work, before a database is chosen. */
export type WorkIntent = {
	readonly group: string;
	readonly mode: StatementMode;
	readonly rank: string;
	readonly callerKey: string;
	readonly freshness: FreshnessClassSpec;
	/** Position of this group in the session's vector; `zeroPosition` if the vector has none. */
	readonly sessionPosition: LogPosition;
	/** False if the caller sent no session token, so that the commit position of the group has to be probed. */
	readonly hasSessionToken: boolean;
	readonly waitLimitMs: number;
	readonly traceparent?: string;
};

/** Chooses a database, opens the unit of work at its holder and runs its first exchange. */
export type Dispatcher = {
	/**
	 * Retries, within the retry budgets, only work that did not run.
	 * @returns the open unit of work, which the caller of this method must release, and the result of the first exchange
	 * @throws FailureError `notRun` or `unknown`
	 */
	dispatch(intent: WorkIntent, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<{readonly work: UnitOfWork; readonly result: ExchangeResult}>;
	/** Explains to operators how a statement would be routed now. */
	explain(intent: WorkIntent): RoutingExplanation;
	/** Returns the statistics of each database that this process holds. */
	holderStats(): readonly HolderStats[];
};

/** States of all groups, as reported by the monitors of this process and of its peers. */
export type GroupDirectory = {
	/** Returns the latest state of a group: the one with the highest term, then the latest confirmation. */
	stateOf(group: string): GroupState | undefined;
	states(): readonly GroupState[];
	/** Returns the commit position of a group, confirmed by a majority after the call. Concurrent calls share one probe. */
	commitPosition(group: string, signal: AbortSignal): Promise<LogPosition>;
	/** Returns the promotions recorded by the monitors of this process. */
	promotions(): readonly PromotionRecord[];
};

/** A connection to a backend server that has completed startup. */
export type BackendConnection = {
	readonly closed: AbortSignal;
	/** Names of the prepared statements on this connection, kept up to date by the user of the pool. */
	readonly preparedStatements: Set<string>;
	write(frames: Buffer): void;
	/** Yields the response bytes in order, split at frame boundaries, until the connection closes. */
	read(): AsyncIterable<Buffer>;
	cancel(): void;
	close(): void;
};

export type BackendDialer = {
	dial(database: string, address: string, port: number, signal: AbortSignal): Promise<BackendConnection>;
};

/** Read-only view of a monitored group, as the holder uses it. */
export type GroupView = {
	state(): GroupState;
	/** Waits until a majority holds the position within its term. */
	waitForMajority(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult>;
	/** Returns the commit position, confirmed by a majority after the call. Concurrent calls share one probe. */
	commitPosition(signal: AbortSignal): Promise<LogPosition>;
	/** Waits until one database of the group holds the position. */
	waitForDatabase(database: string, position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<boolean>;
	/** Returns the proven upper bound on the age of a database's data, or Infinity if there is none. */
	provenAgeMs(database: string): number;
	promotions(): readonly PromotionRecord[];
};

/** Views of the groups that this host monitors, which are those with a database that it holds. */
export type GroupViews = {
	get(group: string): GroupView | undefined;
};

export type NotifyOptions = {
	/** Time without a message from the peer after which the connection is verified, because a notification has no response. */
	readonly verifyAfterMs?: number;
};

/** JSON-RPC between peers. Failed calls throw FailureError of kind `peer`. */
export type PeerRpc = {
	call<R>(host: string, method: string, parameters: unknown, signal: AbortSignal): Promise<R>;
	notify(host: string, method: string, parameters: unknown, options?: NotifyOptions): void;
	/** Registers a method that peers may call. */
	handle(method: string, handler: (parameters: unknown, callerHost: string, signal: AbortSignal) => Promise<unknown> | unknown): void;
};

/** The proxies of this deployment and their states, as this process sees them. */
export type Membership = {
	readonly self: Member;
	members(): readonly Member[];
	/** Returns the live proxy that holds a database, chosen by rendezvous hashing with preference for the database's failure domain. */
	holderOf(database: string, failureDomain: string): Member;
	/** Marks a peer as unreachable until it sends a heartbeat of its own or restarts. */
	reportUnreachable(host: string): void;
	onChange(listener: () => void, signal: AbortSignal): void;
};

/** The configuration in force on this host. */
export type ConfigurationSource = {
	current(): Configuration;
	onChange(listener: (configuration: Configuration) => void, signal: AbortSignal): void;
};

/** Records metrics. Keeps the decision logic independent of the metrics library. */
export type Metrics = {
	count(name: string, labels?: Readonly<Record<string, string>>, increment?: number): void;
	gauge(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
	observeMs(name: string, valueMs: number, labels?: Readonly<Record<string, string>>): void;
};

/** Structured logger. Only changes of state are logged. */
export type Logger = {
	info(fields: Readonly<Record<string, unknown>>, message: string): void;
	warn(fields: Readonly<Record<string, unknown>>, message: string): void;
	error(fields: Readonly<Record<string, unknown>>, message: string): void;
};

/** A span of a trace. */
export type Span = {
	readonly traceparent: string;
	end(failure?: string): void;
};

export type Tracer = {
	start(name: string, parent: string | undefined, attributes?: Readonly<Record<string, string | number>>): Span;
};
