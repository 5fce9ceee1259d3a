/**
 * Read-only types shared by all packages.
 */

/** A point in a database group's log. Positions compare by term first, then by offset. */
export type LogPosition = {
	/** Term of the last log record held, not the term at which the database is fenced. */
	readonly term: number;
	/** Byte offset in the log after that record. */
	readonly offsetBytes: number;
};

/** What a session has written or seen, per database group. */
export type FreshnessVector = ReadonlyMap<string, LogPosition>;

/** The place in the path of a statement at which a failure arose. */
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

/** Why a statement was refused before the first byte went to a backend server. */
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

/** Any failure of the system's own; a backend server's error is passed whole and is not one of these. */
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

/** One bad field of a resource or of the settings. */
export type FieldProblem = {
	/** Dotted path of the field, for example `spec.databases.0.port`. */
	readonly path: string;
	readonly message: string;
};

/** What a statement or transaction does, as far as routing has to know. */
export type StatementMode = 'read' | 'write';

/** What a database says of itself. */
export type DatabaseStatus = {
	readonly database: string;
	readonly role: 'primary' | 'replica';
	/** Highest term accepted by a fence, promote or follow call. */
	readonly fencedTerm: number;
	/** Term whose primary this database follows or is. */
	readonly followsTerm: number;
	readonly position: LogPosition;
	/** Owner of the fence at `fencedTerm`. */
	readonly fenceOwner: string;
};

/** Answer to a fence call; `accepted: false` carries the higher term that stands. */
export type ControlResult = {readonly accepted: boolean; readonly status: DatabaseStatus};

/** Answer of a database that was asked to wait until it holds a position. */
export type WaitResult = 'reached' | 'superseded' | 'timeout';

/** A proxy process on an entry host. */
export type Member = {
	readonly host: string;
	/** Rises with each start of the process. */
	readonly incarnation: number;
	readonly failureDomain: string;
	readonly address: string;
	readonly peerPort: number;
	readonly workPort: number;
	readonly operatorPort: number;
	readonly state: 'alive' | 'suspected' | 'dead';
	readonly leaving: boolean;
	/** Configuration revision last reported. */
	readonly configurationRevision: number;
	/** Milliseconds since the last sign of life. */
	readonly silentMs: number;
};

/** A host as the platform's list shows it. The list lags, and does not say who is alive. */
export type ListedHost = {
	readonly host: string;
	readonly kind: 'entry' | 'backend';
	readonly failureDomain: string;
	readonly address: string;
	/** The peers' port of an entry host, or the PostgreSQL port of a backend server. */
	readonly port: number;
	readonly state: 'live' | 'leaving';
};

/** The unit of work that an entry proxy asks of the holder of a database. */
export type WorkRequest = {
	readonly group: string;
	readonly database: string;
	readonly mode: StatementMode;
	readonly rank: string;
	/** Key by which callers of one rank take turns: route and user. */
	readonly callerKey: string;
	/** Milliseconds that the caller's work may still wait before it starts. */
	readonly waitLimitMs: number;
	/** The database must hold this position before the work runs. */
	readonly minimumPosition?: LogPosition;
	/** The proven age of the database's data must not be above this. */
	readonly maxAgeMs?: number;
	/** W3C trace context of the caller's hop. */
	readonly traceparent?: string;
};

/** What one exchange on a unit of work came to. */
export type ExchangeResult = {
	/** Transaction status of the backend connection afterwards, from ReadyForQuery. */
	readonly transactionStatus: 'I' | 'T' | 'E';
	/** SQLSTATE of the first ErrorResponse, if any. */
	readonly sqlState?: string;
	/** Position which the session has written or may have seen. */
	readonly position?: LogPosition;
	readonly database: string;
	readonly waitMs: number;
	readonly runMs: number;
};

/** State of a group as its monitors see it. */
export type GroupState = {
	readonly group: string;
	readonly term: number;
	/** Database that leads in `term`, if one is known. */
	readonly primary?: string;
	/** Highest position of `term` that a majority holds. */
	readonly majorityPosition: LogPosition;
	readonly databases: readonly DatabaseView[];
	/** Milliseconds since a majority confirmed `term`. */
	readonly confirmedAgeMs: number;
	readonly reportedBy: string;
};

/** A monitored database. */
export type DatabaseView = {
	readonly database: string;
	readonly reachable: boolean;
	readonly role: 'primary' | 'replica';
	readonly fencedTerm: number;
	readonly position: LogPosition;
	/** Proven upper bound of the age of its data; Infinity when nothing is proven. */
	readonly provenAgeMs: number;
	readonly silentMs: number;
};

/** One attempted promotion, kept for `explain`. */
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

/** Counts of one held database. */
export type HolderStats = {
	readonly group: string;
	readonly database: string;
	readonly openConnections: number;
	readonly connectionLimit: number;
	readonly busySlots: number;
	readonly slotLimit: number;
	readonly ranks: ReadonlyArray<{readonly rank: string; readonly queued: number; readonly served: number; readonly shed: number; readonly slotShare: number}>;
};

/** Why a statement goes where it goes now. */
export type RoutingExplanation = {
	readonly database?: string;
	readonly holder?: string;
	readonly candidates: ReadonlyArray<{readonly database: string; readonly verdict: string}>;
	readonly reason: string;
};
