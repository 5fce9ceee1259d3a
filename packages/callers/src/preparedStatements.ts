import {backendStatementName, sqlStates, type PreparedStatement} from '@crocusloom/model';
import {
	buildFrame, cString, frameHeaderBytes, frontendTypes, readUtf8CString,
} from '@crocusloom/wire';
import {callerSqlStates, protocolError} from './errors.js';
import {planStatement, type StatementPlan} from './plans.js';
import {type CallerLimits} from './types.js';

/** Maximum length of the name of a statement or portal. */
const maximumNameCharacters = 1024;

/** A statement that the caller has parsed, named or unnamed. */
export type SessionStatement = {
	readonly plan: StatementPlan;
	/** Parse frame that prepares the text as the unnamed statement. */
	readonly parseFrame: Buffer;
	/** The statement under its name on backend connections; undefined for the unnamed statement. */
	readonly preparedStatement?: PreparedStatement;
};

/**
 * Reads a Parse frame. On backend connections, a named statement is named after a digest of its text and parameter types, so that
 * callers can use the same name for different texts.
 * @returns the caller's name of the statement, and the statement, which shares no memory with the frame
 */
export function readParseMessage(frame: Buffer, peer: string): {readonly name: string; readonly statement: SessionStatement} {
	const name = readUtf8CString(frame, frameHeaderBytes);
	const text = name && readUtf8CString(frame, name.nextOffset);
	if (!text) {
		throw protocolError('classify', peer, sqlStates.protocolViolation, 'malformed Parse message');
	}

	requireShortName(name.text, peer);
	const plan = planStatement(text.text);
	if (name.text === '') {
		return {name: '', statement: {plan, parseFrame: Buffer.from(frame)}};
	}

	const body = frame.subarray(name.nextOffset);
	const unnamedFrame = buildFrame(frontendTypes.parse, Buffer.concat([cString(''), body]));
	const backendName = `crocusloom_${backendStatementName([body])}`;
	const parseFrame = buildFrame(frontendTypes.parse, Buffer.concat([cString(backendName), body]));
	return {name: name.text, statement: {plan, parseFrame: unnamedFrame, preparedStatement: {name: backendName, parseFrame}}};
}

/**
 * Checks the length of the name of a statement or portal. PostgreSQL uses 63 bytes of it.
 * @throws FailureError 54000 if it exceeds the limit
 */
export function requireShortName(name: string, peer: string): void {
	if (name.length > maximumNameCharacters) {
		throw protocolError('classify', peer, callerSqlStates.programLimitExceeded, `a name of ${name.length} characters exceeds the limit of ${maximumNameCharacters}`);
	}
}

/** Prepared statements of one session, by the names that the caller uses. */
export class SessionStatements {
	unnamedStatement: SessionStatement | undefined;
	private readonly namedStatements = new Map<string, SessionStatement>();
	private namedStatementBytes = 0;

	constructor(private readonly peer: string, private readonly limits: CallerLimits) {}

	/**
	 * Adds a statement.
	 * @returns true if it is a named statement and the name is new
	 * @throws FailureError 42P05 if the name already refers to another text, 54000 if a limit is exceeded
	 */
	add(name: string, statement: SessionStatement): boolean {
		if (name === '') {
			this.unnamedStatement = statement;
			return false;
		}

		const existingStatement = this.namedStatements.get(name);
		if (existingStatement) {
			if (existingStatement.preparedStatement!.name !== statement.preparedStatement!.name) {
				throw protocolError('classify', this.peer, callerSqlStates.duplicatePreparedStatement, `prepared statement "${name}" already exists`);
			}

			return false;
		}

		this.namedStatementBytes += statement.parseFrame.length;
		if (this.namedStatements.size >= this.limits.maximumPreparedStatements || this.namedStatementBytes > this.limits.maximumPreparedStatementBytes) {
			this.namedStatementBytes -= statement.parseFrame.length;
			const {maximumPreparedStatements, maximumPreparedStatementBytes} = this.limits;
			throw protocolError(
				'classify',
				this.peer,
				callerSqlStates.programLimitExceeded,
				`prepared statements exceed the limit of ${maximumPreparedStatements} or of ${maximumPreparedStatementBytes} bytes`,
			);
		}

		this.namedStatements.set(name, statement);
		return true;
	}

	/**
	 * Returns the statement of a name; the empty name refers to the unnamed statement.
	 * @throws FailureError 26000 for an unknown name
	 */
	get(name: string): SessionStatement {
		const statement = name === '' ? this.unnamedStatement : this.namedStatements.get(name);
		if (!statement) {
			throw protocolError('classify', this.peer, callerSqlStates.invalidStatementName, name === '' ? 'unnamed prepared statement does not exist' : `prepared statement "${name}" does not exist`);
		}

		return statement;
	}

	remove(name: string): void {
		if (name === '') {
			this.unnamedStatement = undefined;
			return;
		}

		this.namedStatementBytes -= this.namedStatements.get(name)?.parseFrame.length ?? 0;
		this.namedStatements.delete(name);
	}

	clear(): void {
		this.namedStatements.clear();
		this.namedStatementBytes = 0;
	}
}
