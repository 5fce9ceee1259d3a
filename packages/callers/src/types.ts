import {
	type Clock, type ConfigurationSource, type Dispatcher, type GroupDirectory, type Logger, type Membership, type Metrics, type PeerRpc, type RandomSource, type Tracer,
} from '@crocusloom/model';

/** Limits on the connections, memory and time that callers may use. */
export type CallerLimits = {
	/** Maximum number of connected callers. Further connections are refused with SQLSTATE 53300. */
	readonly maximumCallers: number;
	/** Maximum time from the connection to the end of authentication. */
	readonly startupTimeoutMs: number;
	/** Maximum time for which a caller may leave its response unread before the connection is closed. */
	readonly writeStallTimeoutMs: number;
	/** Maximum size of one message. */
	readonly maximumFrameBytes: number;
	/** Maximum total size of the frames collected for one exchange, up to Query, Sync or Flush. */
	readonly maximumExchangeBytes: number;
	/** Maximum number of named prepared statements per session. */
	readonly maximumPreparedStatements: number;
	/** Maximum total size of the Parse frames of the named prepared statements of one session. */
	readonly maximumPreparedStatementBytes: number;
};

export const defaultCallerLimits: CallerLimits = {
	maximumCallers: 10_000,
	startupTimeoutMs: 10_000,
	writeStallTimeoutMs: 30_000,
	maximumFrameBytes: 16 * 1024 * 1024,
	maximumExchangeBytes: 32 * 1024 * 1024,
	maximumPreparedStatements: 1000,
	maximumPreparedStatementBytes: 4 * 1024 * 1024,
};

/** Authentication of callers. If it is not configured, every caller is trusted. */
export type CallerUsers = {
	readonly method: 'cleartext' | 'md5' | 'scram-sha-256';
	/** Password by user name. */
	readonly passwords: ReadonlyMap<string, string>;
};

export type CallerServerOptions = {
	readonly address: string;
	/** Port to listen on; 0 selects a free port. */
	readonly port: number;
	readonly tls?: {readonly key: string; readonly certificate: string};
	readonly users?: CallerUsers;
	readonly limits?: Partial<CallerLimits>;
	readonly configuration: ConfigurationSource;
	readonly dispatcher: Dispatcher;
	readonly directory: GroupDirectory;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
	/** Identifies this proxy in cancel keys. Without it, cancel requests are not forwarded to peers. */
	readonly membership?: Membership;
	readonly peers?: PeerRpc;
};

/** Transaction status as in ReadyForQuery: idle, in a transaction, or in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E';
