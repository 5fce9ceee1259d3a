import {callerSqlStates, protocolError} from './errors.js';
import {type SessionStatement} from './preparedStatements.js';

/** Maximum number of portals per transaction. */
const maximumPortals = 1000;
/** Maximum total length of the names of the portals and of the texts of their statements. */
const maximumPortalTextCharacters = 4 * 1024 * 1024;

/** Portals of the open transaction, by name. */
export class SessionPortals {
	private readonly statements = new Map<string, SessionStatement>();
	private textCharacters = 0;

	constructor(private readonly peer: string) {}

	get size(): number {
		return this.statements.size;
	}

	get(name: string): SessionStatement | undefined {
		return this.statements.get(name);
	}

	/**
	 * Adds a portal, or replaces the one of that name.
	 * @throws FailureError 54000 if a limit is exceeded; the portals stay as they were
	 */
	set(name: string, statement: SessionStatement): void {
		const addedCharacters = charactersOf(name, statement) - charactersOf(name, this.statements.get(name));
		const isNew = !this.statements.has(name);
		if ((isNew && this.statements.size >= maximumPortals) || this.textCharacters + addedCharacters > Math.max(maximumPortalTextCharacters, charactersOf(name, statement))) {
			throw protocolError(
				'classify',
				this.peer,
				callerSqlStates.programLimitExceeded,
				`portals of the transaction exceed the limit of ${maximumPortals} or of ${maximumPortalTextCharacters} characters`,
			);
		}

		this.textCharacters += addedCharacters;
		this.statements.set(name, statement);
	}

	delete(name: string): void {
		this.textCharacters -= charactersOf(name, this.statements.get(name));
		this.statements.delete(name);
	}

	clear(): void {
		this.statements.clear();
		this.textCharacters = 0;
	}
}

function charactersOf(name: string, statement: SessionStatement | undefined): number {
	return statement ? name.length + statement.plan.text.length : 0;
}
