import {createHash} from 'node:crypto';
import {sqlStates, type PreparedStatement} from '@crocusloom/model';
import {
	buildFrame, cString, frameHeaderBytes, frontend, readCString,
} from '@crocusloom/wire';
import {callerSqlStates, refusal} from './errors.js';
import {planOf, type Plan} from './plans.js';
import {type CallerLimits} from './types.js';

/** A statement that the caller has parsed, named or not. */
export type SessionStatement = {
	readonly plan: Plan;
	/** Parse frame of the unnamed statement with this text. */
	readonly parseFrame: Buffer;
	/** Set for named statements. */
	readonly prepared?: PreparedStatement;
};

/**
 * Reads a Parse frame. A named one is renamed by the hash of its text and parameter types.
 * @returns the caller's name for the statement, and the statement; nothing shares memory with the frame
 */
export function readParse(frame: Buffer, peer: string): {readonly name: string; readonly statement: SessionStatement} {
	const name = readCString(frame, frameHeaderBytes);
	const text = name && readCString(frame, name.nextOffset);
	if (!text) {
		throw refusal('classify', peer, sqlStates.protocolViolation, 'malformed Parse message');
	}

	const plan = planOf(text.text);
	if (name.text === '') {
		return {name: '', statement: {plan, parseFrame: Buffer.from(frame)}};
	}

	const body = frame.subarray(name.nextOffset);
	const unnamedFrame = buildFrame(frontend.parse, Buffer.concat([cString(''), body]));
	const backendName = `crocusloom_${createHash('sha256').update(body).digest('hex').slice(0, 32)}`;
	const parseFrame = buildFrame(frontend.parse, Buffer.concat([cString(backendName), body]));
	return {name: name.text, statement: {plan, parseFrame: unnamedFrame, prepared: {name: backendName, parseFrame}}};
}

/** The statements of one session by the caller's names. */
export class SessionStatements {
	/** The unnamed statement. */
	unnamed: SessionStatement | undefined;
	private readonly named = new Map<string, SessionStatement>();
	private namedBytes = 0;

	constructor(private readonly peer: string, private readonly limits: CallerLimits) {}

	/**
	 * Keeps a statement.
	 * @returns true if the name is new
	 * @throws FailureError 42P05 when the name stands for another text, 54000 above the limits
	 */
	add(name: string, statement: SessionStatement): boolean {
		if (name === '') {
			this.unnamed = statement;
			return false;
		}

		const known = this.named.get(name);
		if (known) {
			if (known.prepared!.name !== statement.prepared!.name) {
				throw refusal('classify', this.peer, callerSqlStates.duplicatePreparedStatement, `prepared statement "${name}" already exists`);
			}

			return false;
		}

		this.namedBytes += statement.parseFrame.length;
		if (this.named.size >= this.limits.maximumPreparedStatements || this.namedBytes > this.limits.maximumPreparedBytes) {
			this.namedBytes -= statement.parseFrame.length;
			const {maximumPreparedStatements, maximumPreparedBytes} = this.limits;
			throw refusal('classify', this.peer, callerSqlStates.programLimitExceeded, `prepared statements are above the limit of ${maximumPreparedStatements} or ${maximumPreparedBytes} bytes`);
		}

		this.named.set(name, statement);
		return true;
	}

	/** @throws FailureError 26000 for an unknown name */
	get(name: string): SessionStatement {
		const statement = name === '' ? this.unnamed : this.named.get(name);
		if (!statement) {
			throw refusal('classify', this.peer, callerSqlStates.invalidStatementName, name === '' ? 'unnamed prepared statement does not exist' : `prepared statement "${name}" does not exist`);
		}

		return statement;
	}

	remove(name: string): void {
		if (name === '') {
			this.unnamed = undefined;
			return;
		}

		this.namedBytes -= this.named.get(name)?.parseFrame.length ?? 0;
		this.named.delete(name);
	}

	clear(): void {
		this.named.clear();
		this.namedBytes = 0;
	}
}
