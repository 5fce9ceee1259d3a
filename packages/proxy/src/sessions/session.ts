import {laterPosition, type LogPosition, quoteText} from '@crocusloom/model';
import {type CheckRequest, type Route} from '../ports.js';
import {
	type Answer, errorAnswer, localAnswer, prepareStatement, type Statement, type TransactionState,
} from '../statements/statement.js';
import {isRefused, type StatementRunner} from '../statements/statementRunner.js';
import {
	type DataWork, type OpenTransaction, type WorkContext,
} from '../statements/work.js';
import {type SessionDecisionPorts, SessionDecisions, type SessionIdentity} from './sessionDecisions.js';
import {SessionSettings, type SettingsRefusal} from './sessionSettings.js';
import {type SessionTextBudget} from './sessionTextBudget.js';

/** Added to the idle timeout of transactions, so that a late timer does not abort the transaction of a caller that keeps to the timeout. */
const idleTimeoutSlackMs = 250;

/** Position with the longest text, because the position that a read will require is not known before its server is chosen. */
const widestPosition: LogPosition = {term: 999_999_999_999_999, offsetBytes: 999_999_999_999_999};

export type SessionPorts = SessionDecisionPorts & {readonly runner: StatementRunner; readonly checkRequest: CheckRequest; readonly textBudget: SessionTextBudget};

type Transaction = {
	readonly route: Route;
	readonly readOnly: boolean;
	/** Arrival time of the statement that began the transaction. */
	readonly arrivedMs: number;
	/** Set when the first statement after BEGIN runs, so that an unused transaction takes no connection. */
	openTransaction: OpenTransaction | undefined;
	hasWritten: boolean;
	/** Aborts the transaction when the caller stays idle for too long. */
	idleTimer: NodeJS.Timeout | undefined;
};

type StatementOf<K extends Statement['kind']> = Extract<Statement, {kind: K}>;
type Handlers = {readonly [K in Statement['kind']]: (statement: StatementOf<K>) => Answer | Promise<Answer>};

/** Session of one caller. Statements run one at a time. */
export class Session {
	private readonly settings: SessionSettings;
	private readonly decisions: SessionDecisions;
	private sessionPosition: LogPosition | undefined;
	private transaction: Transaction | undefined;
	private state: TransactionState = 'idle';
	private isRunning = false;
	private isEnded = false;
	private readonly handlers: Handlers = {
		begin: statement => this.begin(statement),
		commit: async statement => this.commit(statement),
		rollback: () => this.rollback(),
		data: async statement => this.runData(statement.id, {mode: statement.mode, command: {kind: 'data', id: statement.id, text: statement.text}, prepared: undefined}),
		execute: async statement => this.execute(statement),
		set: statement => this.set(statement),
		prepare: statement => this.prepare(statement),
		deallocate: statement => this.deallocate(statement),
		invalid: ({reason}) => this.refuseMalformed(reason),
	};

	constructor(private readonly identity: SessionIdentity, private readonly ports: SessionPorts) {
		this.decisions = new SessionDecisions(identity, ports);
		this.settings = new SessionSettings(ports.textBudget);
	}

	/** True if no statement is running and no transaction is open, so that the session can be closed. */
	get isIdle(): boolean {
		return !this.isRunning && this.state === 'idle';
	}

	/** Transaction state of the session. */
	get transactionState(): TransactionState {
		return this.state;
	}

	/**
	 * Runs a statement.
	 * @returns the complete answer
	 */
	async run(statement: Statement): Promise<Answer> {
		this.isRunning = true;
		this.stopIdleTimer();
		try {
			const answer = this.state === 'failed' ? await this.runAfterFailure(statement) : await (this.handlers[statement.kind] as (statement: Statement) => Answer | Promise<Answer>)(statement);
			this.state = answer.state;
			if (answer.state === 'idle') {
				this.endTransaction();
			} else {
				this.startIdleTimer();
			}

			return answer;
		} finally {
			this.isRunning = false;
			if (this.isEnded) {
				this.release();
			}
		}
	}

	/** Ends the session and rolls back an open transaction. */
	end(): void {
		this.isEnded = true;
		this.stopIdleTimer();
		if (!this.isRunning) {
			this.release();
		}
	}

	/** Rolls back an open transaction between statements, because the process stops or the idle timeout has passed. */
	abortTransaction(): void {
		if (this.state !== 'idle' && !this.isRunning) {
			this.endTransaction();
			this.state = 'failed';
		}
	}

	/** Runs a statement in a failed transaction, which accepts only COMMIT and ROLLBACK. */
	private async runAfterFailure(statement: Statement): Promise<Answer> {
		if (statement.kind === 'rollback') {
			return this.rollback();
		}

		return statement.kind === 'commit'
			? errorAnswer('aborted', 'the transaction had failed and is rolled back', 'idle')
			: errorAnswer('malformed', 'the transaction has failed; end it first', 'failed');
	}

	private begin(statement: StatementOf<'begin'>): Answer {
		if (this.state !== 'idle') {
			return this.refuseMalformed('a transaction is open already');
		}

		const route = this.ports.routes.routeFor(this.identity.database);
		if (!route) {
			return this.refuseUnknownDatabase(statement.id);
		}

		this.transaction = {
			route, readOnly: statement.readOnly, arrivedMs: this.ports.clock.nowMs(), openTransaction: undefined, hasWritten: false, idleTimer: undefined,
		};
		return localAnswer('open');
	}

	private async commit(statement: StatementOf<'commit'>): Promise<Answer> {
		const {transaction} = this;
		if (!transaction) {
			return this.refuseMalformed('no transaction is open');
		}

		const work: DataWork = {mode: 'write', command: {kind: 'commit', id: statement.id}, prepared: undefined};
		const refusalReason = this.ports.checkRequest({command: work.command});
		if (refusalReason !== undefined) {
			return this.refuseMalformed(refusalReason);
		}

		const answer = await this.runInTransaction(statement.id, transaction, work);
		if (answer.error) {
			return answer;
		}

		if (answer.digest === undefined || answer.state !== 'idle') {
			transaction.openTransaction?.connection.close();
			return transaction.hasWritten
				? errorAnswer('inDoubt', 'the commit was not confirmed by the server', 'idle')
				: errorAnswer('aborted', 'the commit was not confirmed by the server; nothing was written', 'idle');
		}

		if (transaction.hasWritten) {
			this.recordCommit(answer);
		}

		return answer;
	}

	private rollback(): Answer {
		this.endTransaction();
		return localAnswer('idle');
	}

	private async execute(statement: StatementOf<'execute'>): Promise<Answer> {
		const prepared = this.settings.preparedStatement(statement.name);
		if (!prepared) {
			return this.refuse('unknownPrepared', `no statement is prepared as ${quoteText(statement.name)}`);
		}

		return this.runData(statement.id, {
			mode: prepared.mode,
			command: {
				kind: 'executePrepared', id: statement.id, preparedName: prepared.backendName, argumentsText: statement.argumentsText,
			},
			prepared,
		});
	}

	private set({name, value}: StatementOf<'set'>): Answer {
		return this.answerFor(this.ports.checkRequest({command: {kind: 'set', name, value}}) ?? this.settings.set(name, value));
	}

	private prepare({name, mode, shape}: StatementOf<'prepare'>): Answer {
		const prepared = prepareStatement({mode, shape});
		const refusalReason = this.ports.checkRequest({command: {kind: 'prepare', preparedName: prepared.backendName, prepared}});
		return this.answerFor(refusalReason ?? this.settings.prepare(name, prepared));
	}

	/** Answers a change of the settings, which the session may refuse. */
	private answerFor(refusal: SettingsRefusal | string | undefined): Answer {
		if (typeof refusal === 'string') {
			return this.refuseMalformed(refusal);
		}

		return refusal ? this.refuse(refusal.kind, refusal.reason) : localAnswer(this.state);
	}

	private deallocate({name}: StatementOf<'deallocate'>): Answer {
		return this.settings.deallocate(name)
			? localAnswer(this.state)
			: this.refuse('unknownPrepared', `no statement is prepared as ${quoteText(name)}`);
	}

	private async runData(id: string, work: DataWork): Promise<Answer> {
		const route = this.transaction?.route ?? this.ports.routes.routeFor(this.identity.database);
		if (!route) {
			return this.refuseUnknownDatabase(id);
		}

		const refusalReason = this.ports.checkRequest({command: work.command, minimumPosition: this.widestPositionFor(work, route)});
		if (refusalReason !== undefined) {
			return this.refuseMalformed(refusalReason);
		}

		if (this.transaction) {
			this.transaction.hasWritten ||= work.mode === 'write';
			return this.runInTransaction(id, this.transaction, work);
		}

		const startedMs = this.ports.clock.nowMs();
		const result = await this.ports.runner.runSingle(this.contextFor(id, route, startedMs), work);
		this.decisions.record({
			requestId: id, operation: work.mode, startedMs, command: work.command,
		}, result);
		if (work.mode === 'write' && !result.answer.error) {
			this.recordCommit(result.answer);
		}

		return result.answer;
	}

	/** Returns the longest condition that may be sent with the work: none with writes, inside transactions and on routes to the primary. */
	private widestPositionFor({mode}: DataWork, {freshness}: Route): LogPosition | undefined {
		return mode === 'read' && !this.transaction && freshness.kind !== 'primary' ? widestPosition : undefined;
	}

	private async runInTransaction(id: string, transaction: Transaction, work: DataWork): Promise<Answer> {
		const startedMs = this.ports.clock.nowMs();
		const context = this.contextFor(id, transaction.route, transaction.arrivedMs);
		if (!transaction.openTransaction) {
			const beginResult = await this.ports.runner.begin(context, transaction.readOnly);
			if (isRefused(beginResult)) {
				this.decisions.record({requestId: id, operation: 'begin', startedMs}, beginResult);
				return {...beginResult.answer, state: work.command.kind === 'commit' ? 'idle' : 'failed'};
			}

			transaction.openTransaction = beginResult;
		}

		const result = await this.ports.runner.runInTransaction(context, transaction.openTransaction, work, transaction.hasWritten);
		this.decisions.record({
			requestId: id, operation: work.command.kind === 'commit' ? 'commit' : work.mode, startedMs, command: work.command,
		}, result);
		return this.validateTransactionAnswer(result.answer, transaction, work);
	}

	/** Turns a success without a digest, or one that is not inside the transaction, into an error and closes the connection. */
	private validateTransactionAnswer(answer: Answer, transaction: Transaction, work: DataWork): Answer {
		if (answer.error !== undefined || work.command.kind === 'commit' || (answer.digest !== undefined && answer.state === 'open')) {
			return answer.error && answer.state === 'idle' && work.command.kind !== 'commit' ? {...answer, state: 'failed'} : answer;
		}

		transaction.openTransaction?.connection.close();
		return errorAnswer('aborted', 'the server gave an unexpected answer; the transaction is rolled back', 'failed');
	}

	private contextFor(requestId: string, route: Route, arrivedMs: number): WorkContext {
		const {settings: {parameters}, sessionPosition, identity} = this;
		return {
			requestId, route, callerKey: identity.name, parameters, sessionPosition, arrivedMs,
		};
	}

	private recordCommit({position}: Answer): void {
		if (position) {
			this.sessionPosition = laterPosition(this.sessionPosition, position);
		}
	}

	/** Releases the transaction at its server in the background, so that the caller does not wait for the rollback. */
	private endTransaction(): void {
		const {transaction} = this;
		this.stopIdleTimer();
		this.transaction = undefined;
		this.state = 'idle';
		if (transaction?.openTransaction) {
			void this.ports.runner.releaseTransaction(transaction.openTransaction);
		}
	}

	/** Releases the transaction and the settings of an ended session. */
	private release(): void {
		this.endTransaction();
		this.settings.release();
	}

	private startIdleTimer(): void {
		const {transaction} = this;
		const timeoutMs = this.ports.routes.configuration?.transactionIdleMs ?? 0;
		if (!transaction || timeoutMs <= 0) {
			return;
		}

		transaction.idleTimer = setTimeout(() => {
			this.abortTransaction();
		}, timeoutMs + idleTimeoutSlackMs);
	}

	private stopIdleTimer(): void {
		clearTimeout(this.transaction?.idleTimer);
	}

	private refuseMalformed(reason: string): Answer {
		return this.refuse('malformed', reason);
	}

	private refuseUnknownDatabase(id: string): Answer {
		const answer = errorAnswer('unknownDatabase', `no route has the name ${quoteText(this.identity.database)}`, 'idle');
		this.decisions.record({requestId: id, operation: 'route', startedMs: this.ports.clock.nowMs()}, {
			answer, server: undefined, connectionNumber: undefined, leadTerm: undefined, minimumPosition: undefined, attempts: 0, waitedMs: 0,
		});
		return answer;
	}

	/** Creates an error answer. Inside a transaction the error fails the transaction. */
	private refuse(kind: 'malformed' | 'overloaded' | 'unknownPrepared', message: string): Answer {
		return errorAnswer(kind, message, this.state === 'idle' ? 'idle' : 'failed');
	}
}
