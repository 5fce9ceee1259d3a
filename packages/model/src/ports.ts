/**
 * Ports: what the decisions need of the outside. Adapters and test fakes implement these.
 */
import {type Configuration, type FreshnessClassSpec} from './resources.js';
import {
	type DatabaseStatus,
	type ExchangeResult,
	type ControlResult,
	type GroupState,
	type HolderStats,
	type ListedHost,
	type LogPosition,
	type Member,
	type PromotionRecord,
	type RoutingExplanation,
	type StatementMode,
	type WaitResult,
	type WorkRequest,
} from './types.js';

/** Time. All durations are taken from `nowMs`, which never goes back. */
export type Clock = {
	/** Monotonic milliseconds with fractions. */
	nowMs(): number;
	/** Milliseconds since the epoch, for records that people read. */
	wallMs(): number;
	/** Resolves after the duration; rejects with the signal's reason when it aborts. */
	sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
};

/** Source of random numbers in [0, 1). */
export type RandomSource = {
	next(): number;
};

export type KeyValueEntry = {readonly key: string; readonly value: string; readonly modRevision: number};
export type KeyValueEvent
	= | {readonly type: 'put'; readonly entry: KeyValueEntry}
		| {readonly type: 'delete'; readonly key: string; readonly modRevision: number};

/** The platform's key-value service. Methods throw FailureError of kind `platform`; `effect: 'unknown'` if the call may have taken effect. */
export type KeyValueStore = {
	/** All entries under a prefix, at one revision. */
	list(prefix: string, signal: AbortSignal): Promise<{readonly revision: number; readonly entries: readonly KeyValueEntry[]}>;
	get(key: string, signal: AbortSignal): Promise<{readonly revision: number; readonly entry?: KeyValueEntry}>;
	/** Writes if the key's revision is `expectedRevision` (0: absent); answers the entry that stands otherwise. */
	compareAndSwap(key: string, expectedRevision: number, value: string | undefined, signal: AbortSignal): Promise<
		| {readonly succeeded: true; readonly revision: number}
		| {readonly succeeded: false; readonly revision: number; readonly current?: KeyValueEntry}
	>;
	/** Events under a prefix from a revision on, in batches with the revision up to which they are complete. */
	watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<{readonly revision: number; readonly events: readonly KeyValueEvent[]}>;
};

/** The platform's lagging list of hosts. */
export type HostList = {
	list(signal: AbortSignal): Promise<readonly ListedHost[]>;
};

/** Control calls to one database. Methods throw FailureError when it does not answer. */
export type DatabaseControl = {
	readonly database: string;
	status(signal: AbortSignal): Promise<DatabaseStatus>;
	/** Accepts if `term` is above the fenced term, or equal with the same owner. */
	fence(term: number, owner: string, signal: AbortSignal): Promise<ControlResult>;
	/** Becomes the primary if still fenced at `term` by `owner`. */
	promote(term: number, owner: string, signal: AbortSignal): Promise<ControlResult>;
	/** Follows the primary of `term` if not fenced at a higher one; discards what the primary does not hold. */
	follow(term: number, primaryAddress: string, signal: AbortSignal): Promise<ControlResult>;
	/** Waits until the database, in `position.term`, holds `position`. */
	waitForPosition(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult>;
	close(): void;
};

/** Receives response frames of an exchange. The promise resolves when more may be sent. */
export type FrameSink = (frames: Buffer) => Promise<void> | void;

/** A named prepared statement; the name is derived from its text, so that one name means one text on every connection. */
export type PreparedStatement = {
	readonly name: string;
	readonly parseFrame: Buffer;
};

/** What kind of exchange is sent, so that the holder knows whether to wait for a majority. */
export type ExchangeOptions = {
	/** Named statements that the frames bind, with the Parse frame by which a connection without them learns them. */
	readonly preparedStatements?: readonly PreparedStatement[];
	/** True if a commit may happen in this exchange. */
	readonly mayCommit: boolean;
	/** Aborts when the caller is gone. */
	readonly signal: AbortSignal;
	/** Aborts when the caller asks to cancel a first exchange, for which `Work.cancel` is not at hand yet; the answer still comes. */
	readonly cancelSignal?: AbortSignal;
};

/** One unit of work at a database: a statement outside a transaction, or one whole transaction. */
export type UnitOfWork = {
	/**
	 * Sends frontend frames that end in Query, Sync or FunctionCall, and streams the answer up to ReadyForQuery.
	 * @throws FailureError `notRun` if nothing was sent to the backend server, `unknown` if the answer was lost
	 */
	exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult>;
	/** Asks the backend server to cancel the running exchange. */
	cancel(): void;
	/** Ends the unit of work. A connection with an open transaction is rolled back or closed. */
	release(): void;
};

/** Opens units of work at the holder of a database, in this process or at a peer. */
export type WorkOpener = {
	open(request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork>;
};

/** What an entry proxy wants done, before a database is chosen. */
export type WorkIntent = {
	readonly group: string;
	readonly mode: StatementMode;
	readonly rank: string;
	readonly callerKey: string;
	readonly freshness: FreshnessClassSpec;
	/** Position of the session's vector in this group; zero when the session has none there. */
	readonly sessionPosition: LogPosition;
	/** False when the caller gave no token, so that the group must be asked for its commit position. */
	readonly hasSessionToken: boolean;
	readonly waitLimitMs: number;
	readonly traceparent?: string;
};

/** Chooses a database, opens the unit of work at its holder and runs its first exchange. */
export type Dispatcher = {
	/**
	 * Retries, within the budgets, only what was not run.
	 * @returns the open unit of work, which the caller of this method must release, and the result of the first exchange
	 * @throws FailureError `notRun` or `unknown`
	 */
	dispatch(intent: WorkIntent, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<{readonly work: UnitOfWork; readonly result: ExchangeResult}>;
	/** Why a statement goes where it goes now, for operators. */
	explain(intent: WorkIntent): RoutingExplanation;
	/** Counts of the holder side of this process, one entry a database held. */
	holderStats(): readonly HolderStats[];
};

/** What every proxy knows of the groups, from its own monitors and from those of its peers. */
export type GroupDirectory = {
	/** Newest state of a group (highest term, then newest confirmation). */
	stateOf(group: string): GroupState | undefined;
	states(): readonly GroupState[];
	/** Current commit position of a group, confirmed by a majority after the call; calls that wait at the same time share one probe. */
	commitPosition(group: string, signal: AbortSignal): Promise<LogPosition>;
	/** Promotions seen by this process's monitors. */
	promotions(): readonly PromotionRecord[];
};

/** One connection to a backend server, past startup. */
export type BackendConnection = {
	readonly closed: AbortSignal;
	/** Names of prepared statements that exist on this connection, kept by the pool's user. */
	readonly preparedStatements: Set<string>;
	write(frames: Buffer): void;
	/** Response bytes in order, cut at frame boundaries; ends when the connection does. */
	read(): AsyncIterable<Buffer>;
	cancel(): void;
	close(): void;
};

export type BackendDialer = {
	dial(database: string, address: string, port: number, signal: AbortSignal): Promise<BackendConnection>;
};

/** View of a group that its monitor gives to the holder. */
export type GroupView = {
	state(): GroupState;
	/** Waits until a majority holds the position in its term. */
	waitForMajority(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult>;
	/** Current commit position, confirmed by a majority after the call; calls that wait at the same time share one probe. */
	commitPosition(signal: AbortSignal): Promise<LogPosition>;
	/** Waits until one database of the group holds the position. */
	waitForDatabase(database: string, position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<boolean>;
	/** Proven upper bound of the age of a database's data; Infinity when nothing is proven. */
	provenAgeMs(database: string): number;
	promotions(): readonly PromotionRecord[];
};

/** Monitors of the groups of which this host holds a database. */
export type GroupViews = {
	get(group: string): GroupView | undefined;
};

/** Calls to peers (JSON-RPC). Methods throw FailureError of kind `peer`. */
export type PeerRpc = {
	call<R>(host: string, method: string, parameters: unknown, signal: AbortSignal): Promise<R>;
	notify(host: string, method: string, parameters: unknown): void;
	/** Registers a method that peers may call. */
	handle(method: string, handler: (parameters: unknown, callerHost: string, signal: AbortSignal) => Promise<unknown> | unknown): void;
};

/** Live view of the proxies of this deployment. */
export type Membership = {
	readonly self: Member;
	members(): readonly Member[];
	/** The live proxy that holds a database, by rendezvous hashing that prefers the database's failure domain. */
	holderOf(database: string, failureDomain: string): Member;
	/** Marks a peer as unreachable until its next sign of life. */
	reportUnreachable(host: string): void;
	onChange(listener: () => void, signal: AbortSignal): void;
};

/** The configuration in force on this host. */
export type ConfigurationSource = {
	current(): Configuration;
	onChange(listener: (configuration: Configuration) => void, signal: AbortSignal): void;
};

/** Counters and gauges, so that decisions need not know the metrics library. */
export type Metrics = {
	count(name: string, labels?: Readonly<Record<string, string>>, increment?: number): void;
	gauge(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
	observeMs(name: string, valueMs: number, labels?: Readonly<Record<string, string>>): void;
};

/** Log lines, for changes of state only. */
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
