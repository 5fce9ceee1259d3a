import {SingleStatementRunner} from './singleStatementRunner.js';
import {createSteps, type StepPorts} from './statementSteps.js';
import {TransactionRunner} from './transactionRunner.js';
import {
	type DataWork, type OpenTransaction, type WorkContext, type WorkResult,
} from './work.js';

export type RunnerPorts = StepPorts;

/** Runs statements at backend servers: chooses a server, waits for admission, forwards the statement and retries it if nothing ran. */
export class StatementRunner {
	private readonly singleStatements: SingleStatementRunner;
	private readonly transactions: TransactionRunner;

	constructor(ports: RunnerPorts) {
		const steps = createSteps(ports);
		this.singleStatements = new SingleStatementRunner(steps);
		this.transactions = new TransactionRunner(steps);
	}

	/** Runs a single statement outside any transaction. */
	async runSingle(context: WorkContext, work: DataWork): Promise<WorkResult> {
		return this.singleStatements.run(context, work);
	}

	/**
	 * Begins a transaction on a dedicated connection.
	 * @returns the open transaction, or the result with the error answer
	 */
	async begin(context: WorkContext, readOnly: boolean): Promise<OpenTransaction | WorkResult> {
		return this.transactions.begin(context, readOnly);
	}

	/**
	 * Runs a statement of an open transaction.
	 * @param hasWritten - true if the transaction has written, in which case an unanswered commit is in doubt
	 */
	async runInTransaction(context: WorkContext, transaction: OpenTransaction, work: DataWork, hasWritten: boolean): Promise<WorkResult> {
		return this.transactions.run(context, transaction, work, hasWritten);
	}

	/** Rolls back a transaction that is still open and releases its connection to the pool. */
	async releaseTransaction(transaction: OpenTransaction): Promise<void> {
		return this.transactions.release(transaction);
	}
}

/** Checks whether `begin` was refused. */
export function isRefused(result: OpenTransaction | WorkResult): result is WorkResult {
	return 'answer' in result;
}
