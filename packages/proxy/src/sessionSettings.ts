import {noParameters, type SessionParameters} from './sessionParameters.js';
import {type PreparedStatement} from './statement.js';

/** Maximum number of parameters, and of prepared statements, per session. Bounds memory. */
const maximumNamesPerSession = 256;

/** Parameters and prepared statements of one session. */
export class SessionSettings {
	private currentParameters: SessionParameters = noParameters;
	private readonly prepared = new Map<string, PreparedStatement>();

	/** Parameters at present. */
	get parameters(): SessionParameters {
		return this.currentParameters;
	}

	/**
	 * Sets a parameter.
	 * @returns why it is refused, or undefined if it is set
	 */
	set(name: string, value: string): string | undefined {
		if (this.currentParameters.size >= maximumNamesPerSession && !this.currentParameters.has(name)) {
			return `a session may set ${maximumNamesPerSession} values`;
		}

		this.currentParameters = new Map([...this.currentParameters, [name, value]]);
		return undefined;
	}

	/**
	 * Keeps the definition of a prepared statement.
	 * @returns why it is refused, or undefined if it is kept
	 */
	prepare(name: string, statement: PreparedStatement): string | undefined {
		if (this.prepared.size >= maximumNamesPerSession && !this.prepared.has(name)) {
			return `a session may prepare ${maximumNamesPerSession} statements`;
		}

		this.prepared.set(name, statement);
		return undefined;
	}

	/** Returns the prepared statement of a name, or undefined if there is none. */
	preparedStatement(name: string): PreparedStatement | undefined {
		return this.prepared.get(name);
	}

	/**
	 * Forgets a prepared statement.
	 * @returns false if there is none of the name
	 */
	deallocate(name: string): boolean {
		return this.prepared.delete(name);
	}
}
