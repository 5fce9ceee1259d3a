import {
	compositeKey, zeroPosition, type Configuration, type ExchangeResult, type FrameSink, type WorkIntent,
} from '@crocusloom/model';
import {parameterStatus} from '@crocusloom/wire';
import {callerSqlStates, protocolError} from './errors.js';
import {
	concatFrames, hasBegin, isTransactionEnd, mayCommit, syncFrame, withServerParameters, type PlannedExchange,
} from './exchange.js';
import {
	keyUseOf, recordTransactionKey, runIdempotent, type IdempotencyContext,
} from './idempotency.js';
import {type SessionStatements} from './preparedStatements.js';
import {CapturedResponse, ResponseEditor, ResponseWriter} from './response.js';
import {chooseRoute, type Route} from './routes.js';
import {type SessionContext} from './session.js';
import {type SessionUnitOfWork} from './sessionUnitOfWork.js';
import {backendChanges, setConfigStatement} from './settings.js';
import {TransactionParameters} from './transactionParameters.js';
import {type TransactionStatus} from './types.js';

/** Maximum size of the response to BEGIN, with room for notices. */
const maximumBeginResponseBytes = 64 * 1024;

/** Runs the planned exchanges of one session and writes their responses up to ReadyForQuery. */
export class ExchangeRunner {
	/** Server parameters in the open transaction. */
	readonly transactionParameters: TransactionParameters;
	/** Group of the latest unit of work. The route may name another group by the time at which the work ends, or be gone. */
	private workGroup: string | undefined;
	private cachedRoute: {readonly configuration: Configuration; readonly key: string; readonly route: Route} | undefined;

	constructor(private readonly sessionContext: SessionContext, private readonly unitOfWork: SessionUnitOfWork, private readonly statements: SessionStatements) {
		this.transactionParameters = new TransactionParameters(sessionContext.settings);
	}

	/**
	 * Runs an exchange and writes the response.
	 * @param createEndFrames - creates the frames that end the response; called when the transaction status is known
	 * @returns true if the backend server responded with an error
	 * @throws FailureError if the exchange could not be completed, in which case the caller has received no ReadyForQuery
	 */
	async run(plannedExchange: PlannedExchange, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const statusBefore = this.unitOfWork.status;
		const isInTransaction = statusBefore !== 'I';
		if (!this.transactionParameters.hasRoomFor(plannedExchange.transactionSteps)) {
			throw protocolError('classify', this.sessionContext.channel.peer, callerSqlStates.programLimitExceeded, 'the transaction has too many savepoints');
		}

		const exchange = this.addServerParameters(plannedExchange);
		try {
			const idempotencyKey = isInTransaction ? undefined : this.takeIdempotencyKey(exchange);
			return idempotencyKey === undefined ? await this.runWithoutKey(exchange, statusBefore, createEndFrames) : await this.runWithKey(idempotencyKey, exchange, createEndFrames);
		} catch (error) {
			this.removeUnconfirmedStatements(exchange);
			// Later statements of this transaction must not run outside it, so the transaction stays failed until ROLLBACK.
			const isBlockOpen = (isInTransaction || hasBegin(exchange.plans)) && !exchange.plans.some(plan => isTransactionEnd(plan));
			this.unitOfWork.endWithStatus(isBlockOpen ? 'E' : 'I');
			if (!isBlockOpen) {
				this.transactionParameters.rollBack();
			}

			throw error;
		}
	}

	private async runWithoutKey(exchange: PlannedExchange, statusBefore: TransactionStatus, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const editor = this.createEditor(exchange);
		const responseWriter = new ResponseWriter(this.sessionContext.channel, editor);
		const result = await this.forward(exchange, responseWriter.sink);
		const isFailed = result.sqlState !== undefined;
		if (isFailed) {
			this.removeUnconfirmedStatements(exchange, editor);
		}

		this.followTransaction(exchange, statusBefore, isFailed);
		await responseWriter.finish([...this.recordPosition(result), ...createEndFrames()]);
		return isFailed;
	}

	private async runWithKey(key: string, exchange: PlannedExchange, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const keyUse = keyUseOf(exchange);
		if (keyUse === 'none') {
			return this.runWithoutKey(exchange, 'I', createEndFrames);
		}

		if (keyUse === 'mixed') {
			throw protocolError(
				'classify',
				this.sessionContext.channel.peer,
				callerSqlStates.featureNotSupported,
				'with an idempotency key, BEGIN or the write must be the only statement of its message',
			);
		}

		const idempotencyContext = this.createIdempotencyContext(key, exchange);
		return keyUse === 'begin' ? this.beginWithKey(idempotencyContext, exchange, createEndFrames) : this.writeWithKey(idempotencyContext, exchange, createEndFrames);
	}

	private async writeWithKey(context: IdempotencyContext, exchange: PlannedExchange, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const {frames, result} = await runIdempotent(context, exchange, buildBackendFrames(exchange));
		if (result.sqlState !== undefined) {
			this.removeUnconfirmedStatements(exchange);
		}

		await this.sessionContext.channel.write([Buffer.concat([frames, ...this.recordPosition(result), ...createEndFrames()])]);
		return result.sqlState !== undefined;
	}

	private async beginWithKey(context: IdempotencyContext, exchange: PlannedExchange, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const capturedResponse = new CapturedResponse(maximumBeginResponseBytes);
		const editor = this.createEditor(exchange);
		const result = await this.forward(exchange, chunk => {
			capturedResponse.sink(editor ? editor.editChunk(chunk) : chunk);
		});
		if (result.sqlState === undefined) {
			await recordTransactionKey(context);
		}

		this.followTransaction(exchange, 'I', result.sqlState !== undefined);
		await this.sessionContext.channel.write([Buffer.concat([...capturedResponse.frames().map(({bytes}) => bytes), ...this.recordPosition(result), ...createEndFrames()])]);
		return result.sqlState !== undefined;
	}

	private createIdempotencyContext(key: string, exchange: PlannedExchange): IdempotencyContext {
		const {channel, options} = this.sessionContext;
		return {
			key,
			peer: channel.peer,
			unitOfWork: this.unitOfWork,
			clock: options.clock,
			signal: channel.closeController.signal,
			createIntent: () => this.createIntent(exchange, undefined),
			createEditor: () => this.createEditor(exchange),
		};
	}

	/** Returns the idempotency key and clears it, because it applies to the next statement or transaction only. */
	private takeIdempotencyKey(exchange: PlannedExchange): string | undefined {
		const {settings} = this.sessionContext;
		const key = settings.idempotencyKey;
		if (key !== undefined && exchange.hasExecution) {
			settings.idempotencyKey = undefined;
			return key;
		}

		return undefined;
	}

	private createEditor(exchange: PlannedExchange): ResponseEditor | undefined {
		return exchange.needsResponseEditing ? new ResponseEditor(exchange.expectedResponses, this.sessionContext.channel.peer) : undefined;
	}

	private async forward(exchange: PlannedExchange, sink: FrameSink): Promise<ExchangeResult> {
		const {clock, metrics, tracer} = this.sessionContext.options;
		const startMs = clock.nowMs();
		const span = tracer.start('callers.exchange', undefined, {mode: exchange.mode});
		try {
			return await this.unitOfWork.run(buildBackendFrames(exchange), sink, {
				preparedStatements: exchange.preparedStatements,
				mayCommit: mayCommit(exchange, this.unitOfWork.status !== 'I'),
				signal: this.sessionContext.channel.closeController.signal,
			}, () => this.createIntent(exchange, span.traceparent));
		} finally {
			span.end();
			metrics.observeMs('callers_exchange_ms', clock.nowMs() - startMs, {mode: exchange.mode});
		}
	}

	private createIntent(exchange: PlannedExchange, traceparent: string | undefined): WorkIntent {
		const {settings} = this.sessionContext;
		const route = this.resolveRoute();
		this.workGroup = route.group;
		return {
			group: route.group,
			mode: exchange.mode,
			rank: route.rank,
			callerKey: route.callerKey,
			freshness: route.freshness,
			sessionPosition: settings.freshnessVector.get(route.group) ?? zeroPosition,
			hasSessionToken: settings.hasSessionToken,
			waitLimitMs: route.targetMs,
			traceparent,
		};
	}

	private resolveRoute(): Route {
		const {settings, options, identity, channel} = this.sessionContext;
		const configuration = options.configuration.current();
		const key = compositeKey([settings.rank ?? '', settings.freshness ?? '', settings.application]);
		if (this.cachedRoute?.configuration !== configuration || this.cachedRoute.key !== key) {
			const route = chooseRoute(configuration, {...identity, application: settings.application}, settings, channel.peer);
			this.cachedRoute = {configuration, key, route};
		}

		return this.cachedRoute.route;
	}

	private addServerParameters(exchange: PlannedExchange): PlannedExchange {
		// In a failed transaction, only the statements that end it or return to a savepoint run.
		if (!exchange.hasExecution || this.unitOfWork.status === 'E' || exchange.plans.some(plan => isTransactionEnd(plan))) {
			return exchange;
		}

		const changes = backendChanges(this.transactionParameters.applied, this.sessionContext.settings.serverParameters);
		this.transactionParameters.markApplied();
		return changes.size > 0 ? withServerParameters(exchange, setConfigStatement(changes)) : exchange;
	}

	private followTransaction(exchange: PlannedExchange, statusBefore: TransactionStatus, isFailed: boolean): void {
		this.transactionParameters.follow(exchange.transactionSteps, {isFailed, hadFailedBefore: statusBefore === 'E', isEnded: this.unitOfWork.status === 'I'});
	}

	/** Advances the session token to the position of the result, in the group in which the work ran. Returns the ParameterStatus that reports the token if it changed. */
	private recordPosition(result: ExchangeResult): readonly Buffer[] {
		const {settings} = this.sessionContext;
		const hasAdvanced = result.position && this.workGroup !== undefined && settings.advancePosition(this.workGroup, result.position);
		return hasAdvanced ? [parameterStatus('crocusloom.session', settings.show('crocusloom.session')!)] : [];
	}

	/** Removes the statements for which the caller received no ParseComplete, so that it can use their names again. */
	private removeUnconfirmedStatements(exchange: PlannedExchange, editor?: ResponseEditor): void {
		for (const {name, response} of exchange.newStatements) {
			if (!editor?.precedesError(response)) {
				this.statements.remove(name);
			}
		}
	}
}

function buildBackendFrames(exchange: PlannedExchange): Buffer {
	return concatFrames(exchange.protocol === 'simple' ? exchange.frames : [...exchange.frames, syncFrame]);
}
