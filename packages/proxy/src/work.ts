/**
 * The unit of work that sessions give to the runner, and what the runner reports.
 */
import {type LogPosition} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {type Lead} from './leadProof.js';
import {type PooledConnection} from './pooledConnection.js';
import {type Route} from './ports.js';
import {type SessionValues} from './sessionValues.js';
import {
	type AccessMode, type Answer, type BackendCommand, type PreparedStatement,
} from './statement.js';

/** A read or write as the runner forwards it. */
export type DataWork = {
	readonly mode: AccessMode;
	readonly command: BackendCommand;
	readonly prepared: PreparedStatement | undefined;
};

/** The session and route on whose behalf work runs. */
export type WorkContext = {
	readonly requestId: string;
	readonly route: Route;
	/** Key by which callers of one rank take turns. */
	readonly callerKey: string;
	readonly values: SessionValues;
	/** Position of the session's own commits. */
	readonly ownPosition: LogPosition | undefined;
	/** Arrival of the statement, or of the transaction's first statement. */
	readonly arrivedMs: number;
};

/** Where a piece of work goes. */
export type Target = {
	readonly backend: Backend;
	/** Set if the work needs the primary. */
	readonly lead: Lead | undefined;
	readonly minimumPosition: LogPosition | undefined;
};

/** A connection with an open transaction. */
export type OpenTransaction = {
	readonly backend: Backend;
	readonly connection: PooledConnection;
	/** Resolves to false if the primary was replaced before the transaction began. */
	readonly isCurrent: Promise<boolean>;
};

/** An answer with the facts that its log line states. */
export type WorkResult = {
	readonly answer: Answer;
	readonly server: string | undefined;
	readonly leadTerm: number | undefined;
	readonly minimumPosition: LogPosition | undefined;
	readonly attempts: number;
	readonly waitedMs: number;
};
