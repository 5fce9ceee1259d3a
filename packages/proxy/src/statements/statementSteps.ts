import {type Clock} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {BackendAccess} from './backendAccess.js';
import {PrimaryProofs} from './primaryProofs.js';
import {StatementRetries} from './statementRetries.js';
import {
	leavingPrimaryGraceMs, Refusal, type SearchPorts, TargetSearch,
} from './targetSearch.js';
import {WriteConfirmer, type WriteConfirmerPorts} from './writeConfirmer.js';

export type StepPorts = SearchPorts & WriteConfirmerPorts;

/** Steps that single statements and transactions share. */
export type StatementSteps = {
	readonly clock: Clock;
	readonly targetSearch: TargetSearch;
	readonly access: BackendAccess;
	readonly proofs: PrimaryProofs;
	readonly retries: StatementRetries;
	readonly writeConfirmer: WriteConfirmer;
};

/** Creates the steps of one statement runner. */
export function createSteps(ports: StepPorts): StatementSteps {
	return {
		clock: ports.clock,
		targetSearch: new TargetSearch(ports),
		access: new BackendAccess(ports.clock),
		proofs: new PrimaryProofs(ports.viewOf),
		retries: new StatementRetries(ports),
		writeConfirmer: new WriteConfirmer(ports),
	};
}

/**
 * Checks that a server still takes new work. The waits for a slot and a connection may have lasted until its grace time was over.
 * @throws Refusal if the server is no longer listed or has been leaving for longer than the grace time
 */
export function requireNewWorkAccepted(backend: Backend): void {
	if (backend.isRetired || backend.leavingForMs > leavingPrimaryGraceMs) {
		throw new Refusal({kind: 'overloaded', message: `${backend.id} is leaving and takes no new work`});
	}
}
