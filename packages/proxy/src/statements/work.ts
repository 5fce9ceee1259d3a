/**
 * Work that sessions pass to the statement runner, and the results that it returns.
 */
import {type LogPosition} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {type KnownPrimary} from '../servers/leadershipProver.js';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {type Route} from '../ports.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type SessionParameters} from '../sessions/sessionParameters.js';
import {
	type AccessMode, type Answer, type BackendCommand, type PreparedStatement,
} from './statement.js';

/** A read, write or commit that the runner forwards to a backend server. */
export type DataWork = {
	readonly mode: AccessMode;
	readonly command: BackendCommand;
	readonly prepared: PreparedStatement | undefined;
};

/** Session and route for which work runs. */
export type WorkContext = {
	readonly requestId: string;
	readonly route: Route;
	/** Key for round-robin scheduling among the callers of one rank. */
	readonly callerKey: string;
	readonly parameters: SessionParameters;
	/** Position of the newest commit of the session; undefined if it has not committed. */
	readonly sessionPosition: LogPosition | undefined;
	/** Arrival time of the statement, or of the statement that began the transaction. */
	readonly arrivedMs: number;
};

/** Backend server that is chosen for a statement or transaction. */
export type Target = {
	readonly backend: Backend;
	/** Set if the work requires the primary. */
	readonly primary: KnownPrimary | undefined;
	/** Log position that the server must have applied before it runs the work. */
	readonly minimumPosition: LogPosition | undefined;
};

/** A connection with an open transaction. */
export type OpenTransaction = {
	readonly view: ServiceView | undefined;
	readonly backend: Backend;
	readonly connection: PooledConnection;
	/**
	 * Resolves to true if it is proven that the primary had not been replaced when the transaction began, or if the
	 * transaction does not require the primary.
	 */
	readonly isPrimaryProven: Promise<boolean>;
};

/** An answer with the fields of its log line. */
export type WorkResult = {
	readonly answer: Answer;
	readonly server: string | undefined;
	/** Number of the connection to the server; undefined if none was used. */
	readonly connectionNumber: number | undefined;
	readonly leadTerm: number | undefined;
	readonly minimumPosition: LogPosition | undefined;
	readonly attempts: number;
	readonly waitedMs: number;
};
