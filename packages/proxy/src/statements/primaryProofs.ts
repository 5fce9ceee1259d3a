import {type KnownPrimary} from '../servers/leadershipProver.js';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {type Answer} from './statement.js';
import {type StatementExecution} from './statementExecution.js';
import {Refusal, type SearchPorts} from './targetSearch.js';
import {type Target} from './work.js';

/** Proofs that the primary of a statement still leads. */
export class PrimaryProofs {
	/**
	 * @param viewOf - returns the view of a service at present
	 */
	constructor(private readonly viewOf: SearchPorts['viewOf']) {}

	/**
	 * Proves that a primary had not been replaced when the statement was sent.
	 * @param heldConnection - connection to the primary that the statement holds
	 */
	async prove(execution: StatementExecution, primary: KnownPrimary, heldConnection: PooledConnection): Promise<boolean> {
		const view = this.viewOf(execution.context.route.service);
		const outcome = await view?.prove(primary, heldConnection);
		return outcome?.kind === 'leads';
	}

	/**
	 * Requires the proof for an answer of a statement that needs the primary.
	 * @param isPrimaryProven - the proof that was started with the statement
	 * @throws Refusal if the primary is not proven
	 */
	async require(execution: StatementExecution, target: Target, answer: Answer, isPrimaryProven: Promise<boolean>): Promise<void> {
		if (answer.error !== undefined || !target.primary) {
			return;
		}

		if (answer.position && answer.position.term > target.primary.term) {
			this.viewOf(execution.context.route.service)?.invalidatePrimary(target.primary, 'the server answered from a newer term');
		}

		if (!await isPrimaryProven) {
			throw new Refusal({kind: 'overloaded', message: `it is not proven that ${target.backend.id} leads term ${target.primary.term}`});
		}
	}
}
