/**
 * Typed statements and complete answers. Codecs translate them to and from a wire protocol.
 */
import {type BackendStatementName, type LogPosition, backendStatementName} from '@crocusloom/model';

/** Transaction state of a session: outside a transaction, inside one, or inside one that failed. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** Whether a statement reads or writes. */
export type AccessMode = 'read' | 'write';

/** A statement sent by a caller. */
export type Statement
	= | {readonly kind: 'begin'; readonly id: string; readonly readOnly: boolean}
		| {readonly kind: 'commit'; readonly id: string}
		| {readonly kind: 'rollback'; readonly id: string}
		| DataStatement
		| {readonly kind: 'set'; readonly id: string; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly id: string; readonly name: string; readonly mode: AccessMode; readonly shape: string}
		| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly argumentsText: string}
		| {readonly kind: 'deallocate'; readonly id: string; readonly name: string}
		| {readonly kind: 'invalid'; readonly id: string; readonly reason: string};

/** A read or write whose text is forwarded unchanged. */
export type DataStatement = {readonly kind: 'data'; readonly id: string; readonly mode: AccessMode; readonly text: string};

/** Definition of a prepared statement; `shape` identifies the query. */
export type StatementDefinition = {readonly mode: AccessMode; readonly shape: string};

/** A prepared statement of a session, with the name that it has on backend connections. */
export type PreparedStatement = StatementDefinition & {readonly backendName: BackendStatementName};

/**
 * Creates a prepared statement.
 * @param definition - mode and shape as the caller stated them
 */
export function prepareStatement({mode, shape}: StatementDefinition): PreparedStatement {
	return {mode, shape, backendName: backendStatementName([mode, shape])};
}

/** A command for a backend server, issued on behalf of a caller (with an `id`) or by the proxy itself. */
export type BackendCommand
	= | {readonly kind: 'data'; readonly id: string; readonly text: string}
		| {readonly kind: 'executePrepared'; readonly id: string; readonly preparedName: BackendStatementName; readonly argumentsText: string}
		| {readonly kind: 'commit'; readonly id: string}
		| {readonly kind: 'rollback'}
		| {readonly kind: 'begin'; readonly readOnly: boolean}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly preparedName: BackendStatementName; readonly prepared: StatementDefinition}
		| {readonly kind: 'discard'}
		| {readonly kind: 'status'}
		| {readonly kind: 'pause'; readonly term: number}
		| {readonly kind: 'resume'}
		| {readonly kind: 'stepDown'; readonly term: number};

/** A command and, optionally, the log position that the backend server must have applied before it runs the command. */
export type BackendRequest = {readonly command: BackendCommand; readonly minimumPosition?: LogPosition};

/** Kinds of errors reported by backend servers and returned to callers. */
export type ErrorKind
	= | 'overloaded'
		| 'aborted'
		| 'stale'
		| 'notPrimary'
		| 'wrongServer'
		| 'connectionLimit'
		| 'inDoubt'
		| 'timeout'
		| 'unknownDatabase'
		| 'unknownPrepared'
		| 'malformed'
		| 'failed'
		| 'other';

/** Error of an answer. `code` is the error code on the wire if `kind` is `other`. */
export type AnswerError = {readonly kind: ErrorKind; readonly message: string; readonly code?: string};

/** A complete answer to a statement. Partial answers are never delivered. */
export type Answer = {
	readonly rows: readonly string[];
	/** Digest of the result, computed by the backend server; undefined if the proxy answered without a server. */
	readonly digest?: string;
	readonly error?: AnswerError;
	readonly state: TransactionState;
	/** Log position of the backend server that answered. */
	readonly position?: LogPosition;
};

/** Status that a backend server reports about itself. */
export type ServerStatus = {
	readonly role: 'primary' | 'replica';
	readonly term: number;
	readonly receivedPosition: LogPosition;
	/** Term of the command that paused replication to this server; 0 if replication is not paused. */
	readonly pausedTerm: number;
	readonly lagMs: number;
	/** Slots used by all proxies together. */
	readonly busySlots: number;
	/** Open connections from all proxies together. */
	readonly connections: number;
};

/** Errors that guarantee that no part of the statement ran, so that another server can run it. */
const notRunKinds: ReadonlySet<ErrorKind> = new Set(['overloaded', 'stale', 'notPrimary', 'wrongServer', 'connectionLimit', 'unknownPrepared']);

/**
 * Checks whether an error guarantees that the statement did not run.
 * @param error - error of an answer
 */
export function isNotRun(error: AnswerError): boolean {
	return notRunKinds.has(error.kind);
}

/**
 * Creates an error answer that the proxy gives itself.
 * @param kind - kind of the error
 * @param message - human-readable reason
 * @param state - transaction state of the session after the answer
 */
export function errorAnswer(kind: ErrorKind, message: string, state: TransactionState): Answer {
	return {rows: [], error: {kind, message}, state};
}

/** Creates an empty success answer that the proxy gives itself. */
export function localAnswer(state: TransactionState): Answer {
	return {rows: [], state};
}
