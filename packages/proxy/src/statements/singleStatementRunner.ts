import {type PooledConnection} from '../connections/pooledConnection.js';
import {ConnectionError} from '../ports.js';
import {type Answer, isNotRun} from './statement.js';
import {type StatementExecution} from './statementExecution.js';
import {requireNewWorkAccepted, type StatementSteps} from './statementSteps.js';
import {
	type DataWork, type Target, type WorkContext, type WorkResult,
} from './work.js';

/** An answer and, for reads that require the primary, the proof that was started with the read. */
type UnprovenAnswer = {readonly answer: Answer; readonly isPrimaryProven: Promise<boolean>};

/** Runs single statements outside any transaction. */
export class SingleStatementRunner {
	constructor(private readonly steps: StatementSteps) {}

	/** Runs a statement, and retries it if nothing ran. */
	async run(context: WorkContext, work: DataWork): Promise<WorkResult> {
		return this.steps.retries.run(context, work.mode === 'write', async execution => this.attempt(execution, work));
	}

	private async attempt(execution: StatementExecution, work: DataWork): Promise<Answer> {
		const {targetSearch, proofs, writeConfirmer} = this.steps;
		const target = await targetSearch.findTarget(execution, work.mode === 'write');
		const {answer, isPrimaryProven} = await this.runAtTarget(execution, target, work);
		await proofs.require(execution, target, answer, isPrimaryProven);
		return work.mode === 'write' ? writeConfirmer.confirm(execution, answer) : answer;
	}

	/** Runs the statement. Releases the slot and the connection without waiting for the proof. */
	private async runAtTarget(execution: StatementExecution, target: Target, work: DataWork): Promise<UnprovenAnswer> {
		const {access} = this.steps;
		const {backend} = target;
		return access.withSlot(execution, backend, false, async () => {
			const connection = await access.acquireConnection(execution, backend);
			try {
				return await this.runOnConnection(execution, target, connection, work);
			} finally {
				backend.pool.release(connection);
			}
		});
	}

	/** Runs the statement and, for reads that require the primary, starts a proof that the primary still leads. */
	private async runOnConnection(execution: StatementExecution, {backend, primary}: Target, connection: PooledConnection, work: DataWork): Promise<UnprovenAnswer> {
		const {access, proofs} = this.steps;
		await access.setUpSession(execution, connection, work.prepared);
		requireNewWorkAccepted(backend);
		execution.isWriteSent = work.mode === 'write';
		const pendingAnswer = access.run(execution, connection, work.command, work.mode);
		const isPrimaryProven = primary && work.mode === 'read' ? proofs.prove(execution, primary, connection) : Promise.resolve(true);
		const answer = await pendingAnswer;
		validateAnswer(answer, connection, work);
		if (answer.error && isNotRun(answer.error)) {
			execution.isWriteSent = false;
		}

		return {answer, isPrimaryProven};
	}
}

/**
 * Checks the answer to a statement outside a transaction: a success must have a digest, and no transaction may be open.
 * @throws ConnectionError if the answer is unexpected; the connection is then closed
 */
function validateAnswer(answer: Answer, connection: PooledConnection, work: DataWork): void {
	if ((!answer.error && answer.digest === undefined) || answer.state !== 'idle') {
		connection.close();
		throw new ConnectionError({kind: 'protocol', message: `unexpected answer to a ${work.mode}`}, 'execute', connection.serverId);
	}
}
