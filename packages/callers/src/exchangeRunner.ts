import {
	zeroPosition, type Configuration, type ExchangeResult, type FrameSink, type WorkIntent,
} from '@crocusloom/model';
import {parameterStatus} from '@crocusloom/wire';
import {callerSqlStates, protocolError} from './errors.js';
import {
	concatFrames, hasBegin, isTransactionEnd, mayCommit, mayEndTransaction, syncFrame, withServerParameters, type PlannedExchange,
} from './exchange.js';
import {
	keyUseOf, recordTransactionKey, runIdempotent, type IdempotencyContext,
} from './idempotency.js';
import {type SessionStatements} from './preparedStatements.js';
import {CapturedResponse, ResponseEditor, ResponseWriter} from './response.js';
import {chooseRoute, type Route} from './routes.js';
import {type SessionContext} from './session.js';
import {type SessionUnitOfWork} from './sessionUnitOfWork.js';
import {setConfigStatement} from './settings.js';

/** Maximum size of the response to BEGIN, with room for notices. */
const maximumBeginResponseBytes = 64 * 1024;

/** Runs the planned exchanges of one session and writes their responses up to ReadyForQuery. */
export class ExchangeRunner {
	/** Server parameters before the open transaction, which ROLLBACK restores. */
	private parametersBeforeTransaction: ReadonlyMap<string, string> | undefined;
	/** Server parameters applied on the connection of the open transaction. */
	private appliedParameters: ReadonlyMap<string, string> | undefined;
	/** Group of the latest unit of work. The route may name another group by the time at which the work ends, or be gone. */
	private workGroup: string | undefined;
	private cachedRoute: {readonly configuration: Configuration; readonly key: string; readonly route: Route} | undefined;

	constructor(private readonly sessionContext: SessionContext, private readonly unitOfWork: SessionUnitOfWork, private readonly statements: SessionStatements) {}

	/**
	 * Runs an exchange and writes the response.
	 * @param createEndFrames - creates the frames that end the response; called when the transaction status is known
	 * @returns true if the backend server responded with an error
	 * @throws FailureError if the exchange could not be completed, in which case the caller has received no ReadyForQuery
	 */
	async run(plannedExchange: PlannedExchange, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const isInTransaction = this.unitOfWork.status !== 'I';
		const exchange = this.addServerParameters(plannedExchange);
		try {
			const idempotencyKey = isInTransaction ? undefined : this.takeIdempotencyKey(exchange);
			return idempotencyKey === undefined ? await this.runWithoutKey(exchange, isInTransaction, createEndFrames) : await this.runWithKey(idempotencyKey, exchange, createEndFrames);
		} catch (error) {
			this.removeUnconfirmedStatements(exchange);
			// Later statements of this transaction must not run outside it, so the transaction stays failed until ROLLBACK.
			const isBlockOpen = (isInTransaction || hasBegin(exchange.plans)) && !exchange.plans.some(plan => isTransactionEnd(plan));
			this.unitOfWork.endWithStatus(isBlockOpen ? 'E' : 'I');
			throw error;
		}
	}

	/** Clears the state of a transaction that has ended. */
	clearTransactionParameters(): void {
		this.parametersBeforeTransaction = undefined;
		this.appliedParameters = undefined;
	}

	/** Restores the server parameters from before the transaction. */
	restoreParameters(): void {
		this.sessionContext.settings.serverParameters = this.parametersBeforeTransaction ?? this.sessionContext.settings.serverParameters;
	}

	private async runWithoutKey(exchange: PlannedExchange, wasInTransaction: boolean, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const editor = this.createEditor(exchange);
		const responseWriter = new ResponseWriter(this.sessionContext.channel, editor);
		const result = await this.forward(exchange, responseWriter.sink);
		const isFailed = result.sqlState !== undefined;
		if (isFailed) {
			this.removeUnconfirmedStatements(exchange, editor);
		}

		this.trackTransactionParameters(exchange, wasInTransaction);
		await responseWriter.finish([...this.recordPosition(result), ...createEndFrames()]);
		return isFailed;
	}

	private async runWithKey(key: string, exchange: PlannedExchange, createEndFrames: () => readonly Buffer[]): Promise<boolean> {
		const keyUse = keyUseOf(exchange);
		if (keyUse === 'none') {
			return this.runWithoutKey(exchange, false, createEndFrames);
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

		this.trackTransactionParameters(exchange, false);
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
		const key = `${settings.rank ?? ''}/${settings.freshness ?? ''}/${settings.application}`;
		if (this.cachedRoute?.configuration !== configuration || this.cachedRoute.key !== key) {
			const route = chooseRoute(configuration, {...identity, application: settings.application}, settings, channel.peer);
			this.cachedRoute = {configuration, key, route};
		}

		return this.cachedRoute.route;
	}

	private addServerParameters(exchange: PlannedExchange): PlannedExchange {
		const {serverParameters} = this.sessionContext.settings;
		const isApplied = serverParameters.size === 0 || (this.unitOfWork.status !== 'I' && serverParameters === this.appliedParameters);
		const isNeeded = !isApplied && exchange.hasExecution && !exchange.plans.some(plan => isTransactionEnd(plan));
		return isNeeded ? withServerParameters(exchange, setConfigStatement(serverParameters)) : exchange;
	}

	/** Saves the server parameters at the start of a transaction, and restores them after ROLLBACK. */
	private trackTransactionParameters(exchange: PlannedExchange, wasInTransaction: boolean): void {
		const {settings} = this.sessionContext;
		if (this.unitOfWork.status !== 'I') {
			this.parametersBeforeTransaction ??= settings.serverParameters;
			this.appliedParameters = exchange.hasExecution ? settings.serverParameters : this.appliedParameters;
			return;
		}

		const isRolledBack = exchange.plans.some(({classification}) => classification.transaction === 'rollback');
		if (wasInTransaction && isRolledBack && mayEndTransaction(exchange.plans)) {
			this.restoreParameters();
		}
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
