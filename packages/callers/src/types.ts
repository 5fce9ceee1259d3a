import {
	type Clock, type ConfigurationSource, type Dispatcher, type GroupDirectory, type Logger, type Membership, type Metrics, type PeerRpc, type RandomSource, type Tracer,
} from '@crocusloom/model';

/** Bounds on what callers may take. */
export type CallerLimits = {
	/** Callers connected at a time; a further one is refused with 53300. */
	readonly maximumCallers: number;
	/** Time from connecting to the end of authentication. */
	readonly startupMs: number;
	/** Time for which a caller may leave its answer unread. */
	readonly stalledCallerMs: number;
	readonly maximumFrameBytes: number;
	/** Bytes of the frames collected up to Query or Sync. */
	readonly maximumExchangeBytes: number;
	/** Prepared statements kept for one session. */
	readonly maximumPreparedStatements: number;
	/** Bytes of the texts of the prepared statements kept for one session. */
	readonly maximumPreparedBytes: number;
};

export const defaultCallerLimits: CallerLimits = {
	maximumCallers: 10_000,
	startupMs: 10_000,
	stalledCallerMs: 30_000,
	maximumFrameBytes: 16 * 1024 * 1024,
	maximumExchangeBytes: 32 * 1024 * 1024,
	maximumPreparedStatements: 1000,
	maximumPreparedBytes: 4 * 1024 * 1024,
};

/** How callers prove who they are. Without users, every caller is trusted. */
export type CallerUsers = {
	readonly method: 'cleartext' | 'md5' | 'scram-sha-256';
	/** Password of each user. */
	readonly passwords: ReadonlyMap<string, string>;
};

export type CallerServerOptions = {
	readonly address: string;
	/** 0 picks a free port. */
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
	/** Names this proxy in key data; without it, cancel requests are not forwarded. */
	readonly membership?: Membership;
	readonly peers?: PeerRpc;
};

export type TransactionStatus = 'I' | 'T' | 'E';
