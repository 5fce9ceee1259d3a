/**
 * Read-only types shared by all packages.
 */

/** A position in the log of a database group. Positions compare by term first, then by offset. */
export type LogPosition = {
	/** Term of the last log record held, not the term at which the database is fenced. */
	readonly term: number;
	/** Byte offset of the end of that record in the log. */
	readonly offsetBytes: number;
};

/** Log positions up to which a session has written or read, by database group. */
export type FreshnessVector = ReadonlyMap<string, LogPosition>;

/** The processing step at which a failure occurred. */
export type FailureStep
	= | 'startup'
		| 'authentication'
		| 'classify'
		| 'route'
		| 'probe'
		| 'admission'
		| 'connect'
		| 'forward'
		| 'execute'
		| 'acknowledge'
		| 'fence'
		| 'promote'
		| 'follow'
		| 'monitor'
		| 'configuration'
		| 'peer'
		| 'platform'
		| 'drain';

/** Why a statement was refused before anything was sent to a backend server. */
export type NotRunReason
	= | 'shed'
		| 'noPrimary'
		| 'notPrimary'
		| 'tooStale'
		| 'draining'
		| 'leaving'
		| 'unreachable'
		| 'limit'
		| 'noRoute';

/** A failure of the proxy or the platform. Errors of a backend server are passed to the caller unchanged and are not failures in this sense. */
export type Failure
	= | {
		readonly kind: 'notRun';
		readonly reason: NotRunReason;
		readonly step: FailureStep;
		readonly peer: string;
		readonly message: string;
		readonly retryAfterMs?: number;
	}
	| {readonly kind: 'unknown'; readonly step: FailureStep; readonly peer: string; readonly message: string}
	| {readonly kind: 'protocol'; readonly step: FailureStep; readonly peer: string; readonly message: string; readonly sqlState: string}
	| {readonly kind: 'platform'; readonly step: FailureStep; readonly peer: string; readonly message: string; readonly effect: 'none' | 'unknown'}
	| {readonly kind: 'conflict'; readonly step: FailureStep; readonly peer: string; readonly message: string; readonly currentRevision: number}
	| {readonly kind: 'invalid'; readonly step: FailureStep; readonly peer: string; readonly message: string; readonly problems: readonly FieldProblem[]}
	| {readonly kind: 'peer'; readonly step: FailureStep; readonly peer: string; readonly message: string};

/** A validation error in one field of a resource or of the settings. */
export type FieldProblem = {
	/** Dotted path of the field, for example `spec.databases.0.port`. */
	readonly path: string;
	readonly message: string;
};

/** Access mode of a statement or transaction, which decides where it may run. */
export type StatementMode = 'read' | 'write';

/** Status that a database reports. */
export type DatabaseStatus = {
	readonly database: string;
	readonly role: 'primary' | 'replica';
	/** Highest term accepted by a fence, promote or follow call. */
	readonly fencedTerm: number;
	/** Term of the primary that this database follows, or of this database if it is the primary. */
	readonly followsTerm: number;
	readonly position: LogPosition;
	/** Owner of the fence at `fencedTerm`. */
	readonly fenceOwner: string;
	/** Identifies the connection on which the status was read. The connection ends when the database stops, so it never leads to a later start of it. */
	readonly connectionId: number;
};

/**
 * Order to a database. It is sent only on the connection on which its sender read the status that led to it: a database that has
 * restarted since may have lost its terms, by which it would refuse an order that has become obsolete.
 */
export type DatabaseOrder = {readonly term: number; readonly connectionId: number};

/** Order to fence or promote a database. */
export type OwnedDatabaseOrder = DatabaseOrder & {readonly owner: string};

/** Order to follow a primary. */
export type FollowOrder = DatabaseOrder & {readonly primaryAddress: string};

/** Result of a fence, promote or follow call. `status` is the state after the call; after a refusal it usually carries the higher fenced term. */
export type ControlResult = {readonly accepted: boolean; readonly status: DatabaseStatus};

/** Result of a wait for a log position. `superseded` means that a higher term was fenced before the position was held. */
export type WaitResult = 'reached' | 'superseded' | 'timeout';

/** A proxy process on an entry host. */
export type Member = {
	readonly host: string;
	/** Increases with each start of the process. */
	readonly incarnation: number;
	readonly failureDomain: string;
	readonly address: string;
	readonly peerPort: number;
	readonly workPort: number;
	readonly operatorPort: number;
	readonly state: 'alive' | 'suspected' | 'dead';
	readonly leaving: boolean;
	/** Configuration revision that the member last reported. */
	readonly configurationRevision: number;
	/** Milliseconds since the member was last heard from. */
	readonly silentMs: number;
};

/** A host in the platform's list of hosts. The list lags behind and does not show which hosts are alive. */
export type ListedHost = {
	readonly host: string;
	readonly kind: 'entry' | 'backend';
	readonly failureDomain: string;
	readonly address: string;
	/** Peer port of an entry host, or PostgreSQL port of a backend server. */
	readonly port: number;
	readonly state: 'live' | 'leaving';
};

/** Request of an entry proxy to the holder of a database to open a unit of work. */
export type WorkRequest = {
	readonly group: string;
	readonly database: string;
	readonly mode: StatementMode;
	readonly rank: string;
	/** Key for fair queueing among the callers of one rank: route and user. */
	readonly callerKey: string;
	/** Remaining time in milliseconds for which the work may wait before it starts. */
	readonly waitLimitMs: number;
	/** Log position that the database has to hold before the work runs. */
	readonly minimumPosition?: LogPosition;
	/** Upper limit on the proven age of the database's data. */
	readonly maxAgeMs?: number;
	/** W3C trace context of the calling span. */
	readonly traceparent?: string;
};

/** Result of one exchange in a unit of work. */
export type ExchangeResult = {
	/** Transaction status of the backend connection after the exchange, from ReadyForQuery. */
	readonly transactionStatus: 'I' | 'T' | 'E';
	/** SQLSTATE of the first ErrorResponse, if any. */
	readonly sqlState?: string;
	/** Log position that the session has written or may have read. */
	readonly position?: LogPosition;
	readonly database: string;
	readonly waitMs: number;
	readonly runMs: number;
};

/** State of a group as observed by one of its monitors. */
export type GroupState = {
	readonly group: string;
	readonly term: number;
	/** Primary of `term`, if known. */
	readonly primary?: string;
	/** Highest log position of `term` that a majority holds. */
	readonly majorityPosition: LogPosition;
	readonly databases: readonly DatabaseView[];
	/** Milliseconds since a majority last confirmed `term`. */
	readonly confirmedAgeMs: number;
	readonly reportedBy: string;
};

/** State of a database as observed by a monitor. */
export type DatabaseView = {
	readonly database: string;
	readonly reachable: boolean;
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly position: LogPosition;
	/** Proven upper bound on the age of the data; Infinity if there is none. */
	readonly provenAgeMs: number;
	readonly silentMs: number;
};

/** Record of a promotion attempt, for operators. */
export type PromotionRecord = {
	readonly group: string;
	readonly term: number;
	readonly outcome: 'promoted' | 'lostRace' | 'noMajority' | 'failed';
	readonly reason: string;
	readonly candidate?: string;
	readonly startedAtMs: number;
	readonly tookMs: number;
	readonly steps: readonly string[];
};

/** Connection, slot and queue statistics of a held database. */
export type HolderStats = {
	readonly group: string;
	readonly database: string;
	readonly openConnections: number;
	readonly connectionLimit: number;
	readonly busySlots: number;
	readonly slotLimit: number;
	readonly ranks: ReadonlyArray<{readonly rank: string; readonly queued: number; readonly served: number; readonly shed: number; readonly slotShare: number}>;
};

/** How a statement would be routed now, and why. */
export type RoutingExplanation = {
	readonly database?: string;
	readonly holder?: string;
	readonly candidates: ReadonlyArray<{readonly database: string; readonly verdict: string}>;
	readonly reason: string;
};
