import {
	zeroPosition, type Configuration, type ExchangeResult, type FrameSink, type WorkIntent,
} from '@crocusloom/model';
import {parameterStatus} from '@crocusloom/wire';
import {Answer, AnswerEditor, CapturedAnswer} from './answer.js';
import {type CallerWork} from './callerWork.js';
import {callerSqlStates, refusal} from './errors.js';
import {
	hasBegin, isTransactionEnd, joinFrames, mayCommit, mayEndTransaction, syncFrame, withParameters, type PlannedExchange,
} from './exchange.js';
import {
	keyUseOf, recordKeyOfTransaction, runIdempotent, type IdempotentContext,
} from './idempotency.js';
import {type SessionStatements} from './preparedStatements.js';
import {chooseRoute, type Route} from './routes.js';
import {type SessionParts} from './session.js';
import {applyParametersText} from './settings.js';

/** Bytes of the answer to BEGIN, with room for notices. */
const maximumBeginAnswerBytes = 64 * 1024;

/** Runs planned exchanges of one session and sends their answers, up to ReadyForQuery. */
export class ExchangeRunner {
	/** Parameters in force before the open transaction, to go back to on ROLLBACK. */
	private parametersBefore: ReadonlyMap<string, string> | undefined;
	/** Parameters that the open transaction's connection has. */
	private parametersApplied: ReadonlyMap<string, string> | undefined;
	private routeCache: {readonly configuration: Configuration; readonly key: string; readonly route: Route} | undefined;

	constructor(private readonly parts: SessionParts, private readonly work: CallerWork, private readonly statements: SessionStatements) {}

	/**
	 * Runs an exchange and answers it.
	 * @param ready - frames that end the answer, asked for when the transaction status is known
	 * @returns true if the backend server answered with an error
	 * @throws FailureError when the system itself failed; the caller has got no ReadyForQuery then
	 */
	async run(planned: PlannedExchange, ready: () => readonly Buffer[]): Promise<boolean> {
		const isInTransaction = this.work.status !== 'I';
		const exchange = this.addParameters(planned);
		try {
			const key = isInTransaction ? undefined : this.takeKey(exchange);
			return key === undefined ? await this.runPlain(exchange, isInTransaction, ready) : await this.runWithKey(key, exchange, ready);
		} catch (error) {
			this.forgetParsed(exchange);
			// Whatever the caller sends for this transaction must not run outside it, so it stays failed until ROLLBACK.
			const isBlockOpen = (isInTransaction || hasBegin(exchange.plans)) && !exchange.plans.some(plan => isTransactionEnd(plan));
			this.work.fail(isBlockOpen ? 'E' : 'I');
			throw error;
		}
	}

	/** Forgets what belonged to a transaction that is over. */
	endTransaction(): void {
		this.parametersBefore = undefined;
		this.parametersApplied = undefined;
	}

	/** Goes back to the parameters from before the transaction. */
	restoreParameters(): void {
		this.parts.settings.parameters = this.parametersBefore ?? this.parts.settings.parameters;
	}

	private async runPlain(exchange: PlannedExchange, wasInTransaction: boolean, ready: () => readonly Buffer[]): Promise<boolean> {
		const editor = this.makeEditor(exchange);
		const answer = new Answer(this.parts.channel, editor);
		const result = await this.forward(exchange, answer.sink);
		const isFailed = result.sqlState !== undefined;
		if (isFailed) {
			this.forgetParsed(exchange, editor);
		}

		this.noteTransaction(exchange, wasInTransaction);
		await answer.finish([...this.noteResult(result), ...ready()]);
		return isFailed;
	}

	private async runWithKey(key: string, exchange: PlannedExchange, ready: () => readonly Buffer[]): Promise<boolean> {
		const use = keyUseOf(exchange);
		if (use === 'none') {
			return this.runPlain(exchange, false, ready);
		}

		if (use === 'mixed') {
			throw refusal('classify', this.parts.channel.peer, callerSqlStates.featureNotSupported, 'an idempotency key needs BEGIN or the write as a message of its own');
		}

		const context = this.keyContext(key, exchange);
		return use === 'begin' ? this.beginWithKey(context, exchange, ready) : this.writeWithKey(context, exchange, ready);
	}

	private async writeWithKey(context: IdempotentContext, exchange: PlannedExchange, ready: () => readonly Buffer[]): Promise<boolean> {
		const {frames, result} = await runIdempotent(context, exchange, framesOf(exchange));
		if (result.sqlState !== undefined) {
			this.forgetParsed(exchange);
		}

		await this.parts.channel.write([Buffer.concat([frames, ...this.noteResult(result), ...ready()])]);
		return result.sqlState !== undefined;
	}

	private async beginWithKey(context: IdempotentContext, exchange: PlannedExchange, ready: () => readonly Buffer[]): Promise<boolean> {
		const captured = new CapturedAnswer(maximumBeginAnswerBytes);
		const editor = this.makeEditor(exchange);
		const result = await this.forward(exchange, chunk => {
			captured.sink(editor ? editor.edit(chunk) : chunk);
		});
		if (result.sqlState === undefined) {
			await recordKeyOfTransaction(context);
		}

		this.noteTransaction(exchange, false);
		await this.parts.channel.write([Buffer.concat([...captured.frames().map(({bytes}) => bytes), ...this.noteResult(result), ...ready()])]);
		return result.sqlState !== undefined;
	}

	private keyContext(key: string, exchange: PlannedExchange): IdempotentContext {
		const {channel, options} = this.parts;
		return {
			key,
			peer: channel.peer,
			work: this.work,
			clock: options.clock,
			signal: channel.closed.signal,
			intent: () => this.intent(exchange, undefined),
			makeEditor: () => this.makeEditor(exchange),
		};
	}

	/** A key is for the next statement or transaction only. */
	private takeKey(exchange: PlannedExchange): string | undefined {
		const {settings} = this.parts;
		const key = settings.idempotencyKey;
		if (key !== undefined && exchange.executes) {
			settings.idempotencyKey = undefined;
			return key;
		}

		return undefined;
	}

	private makeEditor(exchange: PlannedExchange): AnswerEditor | undefined {
		return exchange.needsEditing ? new AnswerEditor(exchange.expected, this.parts.channel.peer) : undefined;
	}

	private async forward(exchange: PlannedExchange, sink: FrameSink): Promise<ExchangeResult> {
		const {clock, metrics, tracer} = this.parts.options;
		const startMs = clock.nowMs();
		const span = tracer.start('callers.exchange', undefined, {mode: exchange.mode});
		try {
			return await this.work.run(framesOf(exchange), sink, {
				preparedStatements: exchange.preparedStatements,
				mayCommit: mayCommit(exchange, this.work.status !== 'I'),
				signal: this.parts.channel.closed.signal,
			}, () => this.intent(exchange, span.traceparent));
		} finally {
			span.end();
			metrics.observeMs('callers_exchange_ms', clock.nowMs() - startMs, {mode: exchange.mode});
		}
	}

	private intent(exchange: PlannedExchange, traceparent: string | undefined): WorkIntent {
		const {settings} = this.parts;
		const route = this.route();
		return {
			group: route.group,
			mode: exchange.mode,
			rank: route.rank,
			callerKey: route.callerKey,
			freshness: route.freshness,
			sessionPosition: settings.vector.get(route.group) ?? zeroPosition,
			hasSessionToken: settings.hasToken,
			waitLimitMs: route.targetMs,
			traceparent,
		};
	}

	private route(): Route {
		const {settings, options, identity, channel} = this.parts;
		const configuration = options.configuration.current();
		const key = `${settings.rank ?? ''}/${settings.freshness ?? ''}/${settings.application}`;
		if (this.routeCache?.configuration !== configuration || this.routeCache.key !== key) {
			const route = chooseRoute(configuration, {...identity, application: settings.application}, settings, channel.peer);
			this.routeCache = {configuration, key, route};
		}

		return this.routeCache.route;
	}

	private addParameters(exchange: PlannedExchange): PlannedExchange {
		const {parameters} = this.parts.settings;
		const isApplied = parameters.size === 0 || (this.work.status !== 'I' && parameters === this.parametersApplied);
		const isNeeded = !isApplied && exchange.executes && !exchange.plans.some(plan => isTransactionEnd(plan));
		return isNeeded ? withParameters(exchange, applyParametersText(parameters)) : exchange;
	}

	private noteTransaction(exchange: PlannedExchange, wasInTransaction: boolean): void {
		const {settings} = this.parts;
		if (this.work.status !== 'I') {
			this.parametersBefore ??= settings.parameters;
			this.parametersApplied = exchange.executes ? settings.parameters : this.parametersApplied;
			return;
		}

		const isRolledBack = exchange.plans.some(({classification}) => classification.transaction === 'rollback');
		if (wasInTransaction && isRolledBack && mayEndTransaction(exchange.plans)) {
			this.restoreParameters();
		}
	}

	/** Adds the position to the session's vector; gives the report of the token if it moved. */
	private noteResult(result: ExchangeResult): readonly Buffer[] {
		const {settings} = this.parts;
		const isMoved = result.position && settings.advance(this.route().group, result.position);
		return isMoved ? [parameterStatus('crocusloom.session', settings.show('crocusloom.session')!)] : [];
	}

	/** Names whose ParseComplete the caller has not got stay free. */
	private forgetParsed(exchange: PlannedExchange, editor?: AnswerEditor): void {
		for (const {name, answer} of exchange.parsed) {
			if (!editor?.isAnswered(answer)) {
				this.statements.remove(name);
			}
		}
	}
}

function framesOf(exchange: PlannedExchange): Buffer {
	return joinFrames(exchange.protocol === 'simple' ? exchange.frames : [...exchange.frames, syncFrame]);
}
