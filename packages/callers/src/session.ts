import {FailureError, sqlStates} from '@crocusloom/model';
import {
	backendTypes, buildFrame, frameHeaderBytes, readUtf8CString, readyForQuery,
} from '@crocusloom/wire';
import {type CallerChannel} from './channel.js';
import {ExchangeCollector, type CollectedExchange} from './collector.js';
import {CommandRunner} from './commandRunner.js';
import {
	buildFailureResponse, callerSqlStates, canceledFailure, interruptedFailure, protocolError, shutdownFailure, toCallerFailure,
} from './errors.js';
import {
	hasBegin, isTransactionEnd, responseEndTypes, type PlannedExchange,
} from './exchange.js';
import {ExchangeRunner} from './exchangeRunner.js';
import {ExtendedPlanner, type ExtendedPlannerContext} from './extended.js';
import {type LocalCommand} from './localCommands.js';
import {planStatement, type StatementPlan} from './plans.js';
import {SessionPortals} from './portals.js';
import {SessionStatements} from './preparedStatements.js';
import {type CallerIdentity} from './routes.js';
import {SessionUnitOfWork} from './sessionUnitOfWork.js';
import {type SessionSettings} from './settings.js';
import {type CallerLimits, type CallerServerOptions, type TransactionStatus} from './types.js';

const readyForQueryFrames: Readonly<Record<TransactionStatus, Buffer>> = {I: readyForQuery('I'), T: readyForQuery('T'), E: readyForQuery('E')};
const emptyQueryResponse = buildFrame(backendTypes.emptyQueryResponse, Buffer.alloc(0));
const endTransactionCommands: readonly LocalCommand[] = [{kind: 'endTransaction'}];

/** Dependencies of a session, with the connection, identity and settings of its caller. */
export type SessionContext = {
	readonly options: CallerServerOptions;
	readonly limits: CallerLimits;
	readonly channel: CallerChannel;
	readonly identity: CallerIdentity;
	readonly settings: SessionSettings;
};

/** Session of an authenticated caller. Handles its exchanges one after the other. */
export class Session {
	private readonly unitOfWork: SessionUnitOfWork;
	private readonly collector: ExchangeCollector;
	private readonly sessionStatements: SessionStatements;
	private readonly commandRunner: CommandRunner;
	private readonly portals: SessionPortals;
	private readonly exchangeRunner: ExchangeRunner;
	private readonly plannerContext: ExtendedPlannerContext;
	private isDraining = false;
	private isShutDown = false;
	private isServingExchange = false;

	constructor(private readonly sessionContext: SessionContext) {
		const {options, limits, channel, settings} = sessionContext;
		this.unitOfWork = new SessionUnitOfWork(options.dispatcher);
		this.portals = new SessionPortals(channel.peer);
		this.collector = new ExchangeCollector(channel, limits);
		this.sessionStatements = new SessionStatements(channel.peer, limits);
		this.commandRunner = new CommandRunner({
			peer: channel.peer, settings, statements: this.sessionStatements, configuration: () => options.configuration.current(), endLostTransaction: () => this.endLostTransaction(),
		});
		this.exchangeRunner = new ExchangeRunner(sessionContext, this.unitOfWork, this.sessionStatements);
		this.plannerContext = this.createPlannerContext();
	}

	/** Serves the caller until it disconnects, violates the protocol or is drained. */
	async run(): Promise<void> {
		try {
			while (!this.isShutDown) {
				if (this.isDraining && !this.unitOfWork.isOpen) {
					this.shutDown();
					return;
				}

				const exchange = await this.collector.collect();
				if (this.isShutDown) {
					return;
				}

				if (exchange.kind === 'end') {
					this.sessionContext.channel.end();
					return;
				}

				await this.serveExchange(exchange);
			}
		} catch (error) {
			this.sessionContext.channel.end(buildFailureResponse(toCallerFailure(error, this.sessionContext.channel.peer), 'FATAL'));
		} finally {
			this.unitOfWork.release();
		}
	}

	/** Closes the connection as soon as no transaction is open. */
	drain(): void {
		this.isDraining = true;
		if (this.collector.isWaitingForExchange && !this.unitOfWork.isOpen && !this.sessionContext.channel.hasBufferedInput) {
			this.shutDown();
		}
	}

	/** Closes the connection immediately. An open transaction is rolled back, but an exchange that runs may commit. */
	shutDown(): void {
		const {channel} = this.sessionContext;
		const failure = this.isServingExchange ? interruptedFailure(channel.peer) : shutdownFailure(channel.peer);
		this.isShutDown = true;
		this.unitOfWork.release();
		channel.end(buildFailureResponse(failure, 'FATAL'));
	}

	/** Cancels the running statement. */
	cancel(): void {
		this.unitOfWork.cancel();
	}

	private async serveExchange(exchange: Exclude<CollectedExchange, {kind: 'end'}>): Promise<void> {
		const isFlush = exchange.kind === 'extended' && exchange.isFlush;
		this.isServingExchange = true;
		try {
			await this.executeExchange(exchange, isFlush);
		} catch (error) {
			await this.respondWithFailure(error, isFlush);
		} finally {
			this.isServingExchange = false;
		}

		if (this.unitOfWork.status === 'I') {
			this.portals.clear();
			this.exchangeRunner.transactionParameters.clear();
		}
	}

	private async executeExchange(exchange: Exclude<CollectedExchange, {kind: 'end'}>, isFlush: boolean): Promise<void> {
		if (exchange.kind === 'functionCall') {
			throw this.unsupportedFeatureError('the FunctionCall message');
		}

		const plannedExchange = exchange.kind === 'query' ? this.planSimpleQuery(exchange.frame) : new ExtendedPlanner(this.plannerContext).plan(exchange.frames);
		if (plannedExchange.frames.length === 0) {
			const localFrames = plannedExchange.expectedResponses.map(response => response.kind === 'local' ? response.frames : Buffer.alloc(0));
			await this.sessionContext.channel.write(isFlush ? [Buffer.concat(localFrames)] : [Buffer.concat([...localFrames, readyForQueryFrames[this.unitOfWork.status]])]);
			return;
		}

		if (isFlush && this.unitOfWork.status === 'I' && (plannedExchange.hasExecution || this.portals.size > 0)) {
			throw this.unsupportedFeatureError('Flush after Bind or Execute outside a transaction');
		}

		const isFailed = await this.exchangeRunner.run(this.checkTransactionStatus(plannedExchange), () => isFlush ? [] : [readyForQueryFrames[this.unitOfWork.status]]);
		if (isFlush && isFailed) {
			this.collector.skipUntilSync();
		}
	}

	/** Refuses statements after a lost transaction until ROLLBACK. BEGIN ends the lost transaction and starts a new one. */
	private checkTransactionStatus(plannedExchange: PlannedExchange): PlannedExchange {
		if (!this.unitOfWork.hasLostTransaction) {
			return plannedExchange;
		}

		if (plannedExchange.plans.length === 0 || !hasBegin([plannedExchange.plans[0]!])) {
			throw protocolError('execute', this.sessionContext.channel.peer, callerSqlStates.inFailedTransaction, 'the transaction was lost; statements are refused until ROLLBACK');
		}

		this.endLostTransaction();
		return plannedExchange;
	}

	private planSimpleQuery(frame: Buffer): PlannedExchange {
		const queryString = readUtf8CString(frame, frameHeaderBytes);
		if (queryString?.nextOffset !== frame.length) {
			throw protocolError('classify', this.sessionContext.channel.peer, sqlStates.protocolViolation, 'malformed Query message');
		}

		const plan = planStatement(queryString.text);
		if (plan.refusalReason) {
			throw this.unsupportedFeatureError(plan.refusalReason);
		}

		// A simple query destroys the unnamed statement and portal of the extended protocol.
		this.sessionStatements.unnamedStatement = undefined;
		const localCommands = this.localCommandsOf(plan);
		const localFrames = localCommands ? this.commandRunner.run(localCommands, true) : plan.classification.statementCount === 0 && emptyQueryResponse;
		return {
			frames: localFrames ? [] : [frame],
			protocol: 'simple',
			mode: plan.classification.mode,
			plans: [plan],
			transactionSteps: plan.classification.transactionCommands.map(command => ({command, parameters: this.sessionContext.settings.serverParameters})),
			hasExecution: true,
			preparedStatements: [],
			expectedResponses: localFrames ? [{kind: 'local', frames: localFrames}] : [{kind: 'forward', endTypes: responseEndTypes.simpleQuery}],
			newStatements: [],
			needsResponseEditing: false,
		};
	}

	private async respondWithFailure(error: unknown, isFlush: boolean): Promise<void> {
		const {channel, options} = this.sessionContext;
		if (channel.closeController.signal.aborted) {
			throw error;
		}

		// An error of the proxy fails an open transaction, as an error of the backend server does.
		if (this.unitOfWork.status !== 'I') {
			this.unitOfWork.endWithStatus('E');
		}

		const {kind} = toCallerFailure(error, channel.peer);
		const failure = kind === 'notRun' && this.unitOfWork.wasCancelRequested ? canceledFailure(channel.peer) : toCallerFailure(error, channel.peer);
		if (!(error instanceof FailureError)) {
			options.log.error({peer: channel.peer, error: String(error)}, 'exchange failed because of an internal error');
		}

		options.metrics.count('callers_failures', {kind: failure.kind, step: failure.step});
		if (isFlush) {
			this.collector.skipUntilSync();
		}

		await channel.write(isFlush ? [buildFailureResponse(failure)] : [Buffer.concat([buildFailureResponse(failure), readyForQueryFrames[this.unitOfWork.status]])]);
	}

	/** Returns the commands that the proxy runs itself for a plan, or undefined if the text is sent to a backend server. */
	private localCommandsOf(plan: StatementPlan): readonly LocalCommand[] | undefined {
		if (isTransactionEnd(plan) && !this.unitOfWork.isOpen) {
			return endTransactionCommands;
		}

		if (plan.localCommands && this.unitOfWork.status === 'E') {
			throw protocolError('execute', this.sessionContext.channel.peer, callerSqlStates.inFailedTransaction, 'current transaction is aborted, commands ignored until end of transaction block');
		}

		const setsIdempotencyKey = plan.localCommands?.some(command => command.kind === 'set' && command.name === 'crocusloom.idempotency_key');
		if (setsIdempotencyKey && this.unitOfWork.isOpen) {
			throw protocolError('classify', this.sessionContext.channel.peer, callerSqlStates.activeTransaction, 'crocusloom.idempotency_key must be set before BEGIN');
		}

		return plan.localCommands;
	}

	/** Ends a lost transaction. Returns true if there was one. */
	private endLostTransaction(): boolean {
		const {hasLostTransaction} = this.unitOfWork;
		if (hasLostTransaction) {
			this.unitOfWork.endWithStatus('I');
			this.exchangeRunner.transactionParameters.rollBack();
		}

		return hasLostTransaction;
	}

	private createPlannerContext(): ExtendedPlannerContext {
		const {settings, channel, limits} = this.sessionContext;
		return {
			peer: channel.peer,
			statements: this.sessionStatements,
			portals: this.portals,
			maximumPlannedBytes: limits.maximumExchangeBytes + limits.maximumPreparedStatementBytes,
			get needsInlineParse() {
				return settings.hasAppliedParameters;
			},
			currentParameters: () => settings.serverParameters,
			localCommandsOf: plan => this.localCommandsOf(plan),
			describeCommands: commands => this.commandRunner.describe(commands),
			runCommands: commands => this.commandRunner.run(commands, false),
		};
	}

	private unsupportedFeatureError(feature: string): Error {
		return protocolError('classify', this.sessionContext.channel.peer, callerSqlStates.featureNotSupported, `transaction pooling does not support ${feature}`);
	}
}

