import {copyText} from '../copyText.js';
import {type PreparedStatement} from '../statements/statement.js';
import {noParameters, type SessionParameters} from './sessionParameters.js';
import {type SessionTextBudget} from './sessionTextBudget.js';

/** Maximum number of parameters, and of prepared statements, per session. Bounds memory, and the cost of the copy that a statement after a change makes. */
const maximumNamesPerSession = 256;
/** Maximum size of the parameters and prepared statements of a session. Admits one statement whose line has the maximum length of 1 MiB. */
export const maximumSessionTextBytes = 1280 * 1024;
/** Size that is counted for a name besides its texts: an upper bound of the entry in a map and the headers of the strings. */
export const nameOverheadBytes = 128;

/** Why a change of the settings is refused. `overloaded` means that a retry, also at another host, may succeed. */
export type SettingsRefusal = {readonly kind: 'malformed' | 'overloaded'; readonly reason: string};

/** Parameters and prepared statements of one session. */
export class SessionSettings {
	private readonly values = new Map<string, string>();
	/** Copy of the values; undefined if they have changed since. */
	private currentParameters: SessionParameters | undefined = noParameters;
	private readonly prepared = new Map<string, PreparedStatement>();
	private heldBytes = 0;

	constructor(private readonly budget: SessionTextBudget) {}

	/** Parameters at present, as a map that never changes, since connections keep the one that is set on them. */
	get parameters(): SessionParameters {
		this.currentParameters ??= new Map(this.values);
		return this.currentParameters;
	}

	/** Size of the parameters and prepared statements. */
	get sizeBytes(): number {
		return this.heldBytes;
	}

	/**
	 * Sets a parameter.
	 * @returns why it is refused, or undefined if it is set
	 */
	set(name: string, value: string): SettingsRefusal | undefined {
		const replaced = this.values.get(name);
		if (replaced === undefined && this.values.size >= maximumNamesPerSession) {
			return {kind: 'malformed', reason: `a session may set ${maximumNamesPerSession} values`};
		}

		const refusal = this.resize(sizeOf(name, replaced), sizeOf(name, value));
		if (!refusal && replaced !== value) {
			this.values.set(copyText(name), copyText(value));
			this.currentParameters = undefined;
		}

		return refusal;
	}

	/**
	 * Keeps the definition of a prepared statement.
	 * @returns why it is refused, or undefined if it is kept
	 */
	prepare(name: string, statement: PreparedStatement): SettingsRefusal | undefined {
		const replaced = this.prepared.get(name);
		if (!replaced && this.prepared.size >= maximumNamesPerSession) {
			return {kind: 'malformed', reason: `a session may prepare ${maximumNamesPerSession} statements`};
		}

		const refusal = this.resize(sizeOf(name, replaced?.shape), sizeOf(name, statement.shape));
		if (!refusal) {
			this.prepared.set(copyText(name), {...statement, shape: copyText(statement.shape)});
		}

		return refusal;
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
		const forgotten = this.prepared.get(name);
		this.resize(sizeOf(name, forgotten?.shape), 0);
		return this.prepared.delete(name);
	}

	/** Forgets everything and returns its size to the budget, when the session ends. */
	release(): void {
		this.resize(this.heldBytes, 0);
		this.values.clear();
		this.currentParameters = noParameters;
		this.prepared.clear();
	}

	/**
	 * Counts a text that replaces another one.
	 * @returns why the text is refused, in which case nothing is counted
	 */
	private resize(replacedBytes: number, addedBytes: number): SettingsRefusal | undefined {
		const sizeBytes = this.heldBytes - replacedBytes + addedBytes;
		if (addedBytes > replacedBytes && sizeBytes > maximumSessionTextBytes) {
			return {kind: 'malformed', reason: `a session may keep ${maximumSessionTextBytes} bytes of values, shapes and names`};
		}

		if (!this.budget.resize(this.heldBytes, sizeBytes)) {
			return {kind: 'overloaded', reason: 'the sessions of this host keep too many values and shapes'};
		}

		this.heldBytes = sizeBytes;
		return undefined;
	}
}

/** Returns the size that is counted for a name and its text, whose characters are one byte each; 0 if there is no text. */
function sizeOf(name: string, text: string | undefined): number {
	return text === undefined ? 0 : name.length + text.length + nameOverheadBytes;
}
