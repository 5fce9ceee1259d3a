import {
	sqlStates, zeroPosition, type Configuration, type ExchangeResult, type FrameSink, type WorkIntent,
} from '@crocusloom/model';
import {
	backend, buildFrame, frameHeaderBytes, parameterStatus, readCString, readyForQuery,
} from '@crocusloom/wire';
import {Answer, AnswerEditor} from './answer.js';
import {CallerWork} from './callerWork.js';
import {type CallerChannel} from './channel.js';
import {ExchangeCollector, type CollectedExchange} from './collector.js';
import {CommandRunner} from './commandRunner.js';
import {
	callerSqlStates, failureOf, failureResponse, refusal,
} from './errors.js';
import {
	answerEnds, hasBegin, isTransactionEnd, joinFrames, mayCommit, mayEndTransaction, syncFrame, withParameters, type PlannedExchange,
} from './exchange.js';
import {ExtendedPlanner, type ExtendedContext} from './extended.js';
import {type LocalCommand} from './localCommands.js';
import {planOf, type Plan} from './plans.js';
import {SessionStatements, type SessionStatement} from './preparedStatements.js';
import {chooseRoute, type CallerIdentity, type Route} from './routes.js';
import {applyParametersText, type SessionSettings} from './settings.js';
import {type CallerLimits, type CallerServerOptions, type TransactionStatus} from './types.js';

const readyFrames: Readonly<Record<TransactionStatus, Buffer>> = {I: readyForQuery('I'), T: readyForQuery('T'), E: readyForQuery('E')};
const emptyQueryResponse = buildFrame(backend.emptyQueryResponse, Buffer.alloc(0));
const endFailed: readonly LocalCommand[] = [{kind: 'endFailed'}];

export type SessionParts = {
	readonly options: CallerServerOptions;
	readonly limits: CallerLimits;
	readonly channel: CallerChannel;
	readonly identity: CallerIdentity;
	readonly settings: SessionSettings;
};

/** One caller past authentication: takes exchanges one after the other and answers each. */
export class Session {
	private readonly work: CallerWork;
	private readonly collector: ExchangeCollector;
	private readonly statements: SessionStatements;
	private readonly commands: CommandRunner;
	private readonly portals = new Map<string, SessionStatement>();
	private readonly planContext: ExtendedContext;
	private isDraining = false;
	/** Parameters in force before the open transaction, to go back to on ROLLBACK. */
	private parametersBefore: ReadonlyMap<string, string> | undefined;
	/** Parameters that the open transaction's connection has. */
	private parametersApplied: ReadonlyMap<string, string> | undefined;
	private routeCache: {readonly configuration: Configuration; readonly key: string; readonly route: Route} | undefined;

	constructor(private readonly parts: SessionParts) {
		const {options, limits, channel, settings} = parts;
		this.work = new CallerWork(options.dispatcher);
		this.collector = new ExchangeCollector(channel, limits);
		this.statements = new SessionStatements(channel.peer, limits);
		this.commands = new CommandRunner({
			peer: channel.peer, settings, statements: this.statements, configuration: () => options.configuration.current(), endFailed: () => this.endLostTransaction(),
		});
		this.planContext = this.makePlanContext();
	}

	/** Serves the caller until it leaves, breaks the protocol or is drained. */
	async run(): Promise<void> {
		try {
			for (;;) {
				if (this.isDraining && !this.work.isOpen) {
					this.shutDown();
					return;
				}

				const exchange = await this.collector.collect();
				if (exchange.kind === 'end') {
					this.parts.channel.end();
					return;
				}

				await this.serve(exchange);
			}
		} catch (error) {
			this.parts.channel.end(failureResponse(failureOf(error, this.parts.channel.peer), 'FATAL'));
		} finally {
			this.work.release();
		}
	}

	/** Closes the connection once no transaction is open. */
	drain(): void {
		this.isDraining = true;
		if (this.collector.isIdle && !this.work.isOpen && !this.parts.channel.hasInput) {
			this.shutDown();
		}
	}

	/** Closes the connection now. */
	shutDown(): void {
		this.work.release();
		this.parts.channel.end(failureResponse({
			kind: 'protocol', step: 'drain', peer: this.parts.channel.peer, sqlState: sqlStates.adminShutdown, message: 'terminating connection because the proxy is shutting down',
		}, 'FATAL'));
	}

	/** Cancels the running statement. */
	cancel(): void {
		this.work.cancel();
	}

	private async serve(exchange: Exclude<CollectedExchange, {kind: 'end'}>): Promise<void> {
		const isFlush = exchange.kind === 'extended' && exchange.isFlush;
		try {
			await this.serveChecked(exchange, isFlush);
		} catch (error) {
			await this.answerFailure(error, isFlush);
		}

		if (this.work.status === 'I') {
			this.portals.clear();
			this.parametersBefore = undefined;
			this.parametersApplied = undefined;
		}
	}

	private async serveChecked(exchange: Exclude<CollectedExchange, {kind: 'end'}>, isFlush: boolean): Promise<void> {
		if (exchange.kind === 'functionCall') {
			throw this.refuse('the FunctionCall message');
		}

		const planned = exchange.kind === 'query' ? this.planSimple(exchange.frame) : new ExtendedPlanner(this.planContext).plan(exchange.frames);
		if (planned.frames.length === 0) {
			const frames = planned.expected.map(answer => answer.kind === 'local' ? answer.frames : Buffer.alloc(0));
			await this.parts.channel.write(isFlush ? [Buffer.concat(frames)] : [Buffer.concat([...frames, readyFrames[this.work.status]])]);
			return;
		}

		if (isFlush && this.work.status === 'I' && (planned.executes || this.portals.size > 0)) {
			throw this.refuse('Flush after Bind or Execute outside a transaction');
		}

		await this.runExchange(this.checkStatus(planned), isFlush);
	}

	/** Refuses what a failed transaction may not run; BEGIN starts over after a lost one. */
	private checkStatus(planned: PlannedExchange): PlannedExchange {
		if (!this.work.isLost) {
			return planned;
		}

		if (planned.plans.length === 0 || !hasBegin([planned.plans[0]!])) {
			throw refusal('execute', this.parts.channel.peer, callerSqlStates.inFailedTransaction, 'the transaction is over; statements are ignored until ROLLBACK');
		}

		this.endLostTransaction();
		return planned;
	}

	private planSimple(frame: Buffer): PlannedExchange {
		const text = readCString(frame, frameHeaderBytes);
		if (text?.nextOffset !== frame.length) {
			throw refusal('classify', this.parts.channel.peer, sqlStates.protocolViolation, 'malformed Query message');
		}

		const plan = planOf(text.text);
		if (plan.refusedBecause) {
			throw this.refuse(plan.refusedBecause);
		}

		// The simple protocol's own statements end the unnamed statement and portal of the extended one.
		this.statements.unnamed = undefined;
		const commands = this.commandsOf(plan);
		const local = commands ? this.commands.run(commands, true) : plan.classification.statementCount === 0 && emptyQueryResponse;
		return {
			frames: local ? [] : [frame],
			protocol: 'simple',
			mode: plan.classification.mode,
			plans: [plan],
			executes: true,
			preparedStatements: [],
			expected: local ? [{kind: 'local', frames: local}] : [{kind: 'forward', ends: answerEnds.rest}],
			parsed: [],
			needsEditing: false,
		};
	}

	private async runExchange(planned: PlannedExchange, isFlush: boolean): Promise<void> {
		const exchange = this.addParameters(planned);
		const editor = exchange.needsEditing ? new AnswerEditor(exchange.expected, this.parts.channel.peer) : undefined;
		const answer = new Answer(this.parts.channel, editor);
		const isInTransaction = this.work.status !== 'I';
		let result: ExchangeResult;
		try {
			result = await this.forward(exchange, answer.sink);
		} catch (error) {
			answer.discard();
			this.forgetParsed(exchange, () => false);
			this.work.status = isInTransaction && !exchange.plans.some(plan => isTransactionEnd(plan)) ? 'E' : 'I';
			throw error;
		}

		if (result.sqlState !== undefined) {
			this.forgetParsed(exchange, parsed => editor?.isAnswered(parsed) ?? true);
			if (isFlush) {
				this.collector.skipUntilSync();
			}
		}

		this.noteTransaction(exchange, isInTransaction);
		await answer.finish(this.endOfAnswer(result, isFlush));
	}

	private async forward(exchange: PlannedExchange, sink: FrameSink): Promise<ExchangeResult> {
		const {clock, metrics} = this.parts.options;
		const startMs = clock.nowMs();
		const frames = exchange.protocol === 'simple' ? joinFrames(exchange.frames) : joinFrames([...exchange.frames, syncFrame]);
		const result = await this.work.run(frames, sink, {
			preparedStatements: exchange.preparedStatements,
			mayCommit: mayCommit(exchange, this.work.status !== 'I'),
			signal: this.parts.channel.closed.signal,
		}, () => this.intent(exchange));
		metrics.observeMs('callers_exchange_ms', clock.nowMs() - startMs, {mode: exchange.mode});
		return result;
	}

	private intent(exchange: PlannedExchange): WorkIntent {
		const {settings, options} = this.parts;
		const route = this.route();
		const span = options.tracer.start('callers.dispatch', undefined, {group: route.group, rank: route.rank});
		span.end();
		return {
			group: route.group,
			mode: exchange.mode,
			rank: route.rank,
			callerKey: route.callerKey,
			freshness: route.freshness,
			sessionPosition: settings.vector.get(route.group) ?? zeroPosition,
			hasSessionToken: settings.hasToken,
			waitLimitMs: route.targetMs,
			traceparent: span.traceparent,
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
		const isApplied = this.work.status === 'I' ? parameters.size === 0 : parameters === this.parametersApplied;
		if (isApplied || !exchange.executes || exchange.plans.some(plan => isTransactionEnd(plan))) {
			return exchange;
		}

		return parameters.size === 0 ? exchange : withParameters(exchange, applyParametersText(parameters));
	}

	private noteTransaction(exchange: PlannedExchange, wasInTransaction: boolean): void {
		if (this.work.status !== 'I') {
			this.parametersBefore ??= this.parts.settings.parameters;
			this.parametersApplied = exchange.executes ? this.parts.settings.parameters : this.parametersApplied;
			return;
		}

		const isRolledBack = exchange.plans.some(({classification}) => classification.transaction === 'rollback');
		if (wasInTransaction && isRolledBack && mayEndTransaction(exchange.plans) && this.parametersBefore) {
			this.parts.settings.parameters = this.parametersBefore;
		}
	}

	private endOfAnswer(result: ExchangeResult, isFlush: boolean): readonly Buffer[] {
		const frames: Buffer[] = [];
		const {settings} = this.parts;
		if (result.position && settings.advance(this.route().group, result.position)) {
			frames.push(parameterStatus('crocusloom.session', settings.show('crocusloom.session')!));
		}

		if (!isFlush) {
			frames.push(readyFrames[this.work.status]);
		}

		return frames;
	}

	private async answerFailure(error: unknown, isFlush: boolean): Promise<void> {
		const {channel, options} = this.parts;
		if (channel.closed.signal.aborted) {
			throw error;
		}

		// A refusal by the proxy fails an open transaction, as an error of the backend server would.
		if (this.work.status !== 'I') {
			this.work.release();
			this.work.status = 'E';
		}

		const failure = failureOf(error, channel.peer);
		options.metrics.count('callers_failures', {kind: failure.kind, step: failure.step});
		if (isFlush) {
			this.collector.skipUntilSync();
		}

		await channel.write(isFlush ? [failureResponse(failure)] : [Buffer.concat([failureResponse(failure), readyFrames[this.work.status]])]);
	}

	private forgetParsed(exchange: PlannedExchange, isAnswered: (answer: PlannedExchange['parsed'][number]['answer']) => boolean): void {
		for (const {name, answer} of exchange.parsed) {
			if (!isAnswered(answer)) {
				this.statements.remove(name);
			}
		}
	}

	private commandsOf(plan: Plan): readonly LocalCommand[] | undefined {
		if (isTransactionEnd(plan) && !this.work.isOpen) {
			return endFailed;
		}

		if (plan.commands && this.work.status === 'E') {
			throw refusal('execute', this.parts.channel.peer, callerSqlStates.inFailedTransaction, 'current transaction is aborted, commands ignored until end of transaction block');
		}

		return plan.commands;
	}

	private endLostTransaction(): boolean {
		const {isLost} = this.work;
		if (isLost) {
			this.work.status = 'I';
			this.parts.settings.parameters = this.parametersBefore ?? this.parts.settings.parameters;
		}

		return isLost;
	}

	private makePlanContext(): ExtendedContext {
		const {settings, channel} = this.parts;
		return {
			peer: channel.peer,
			statements: this.statements,
			portals: this.portals,
			get parsesInline() {
				return settings.parameters.size > 0;
			},
			commandsOf: plan => this.commandsOf(plan),
			describe: commands => this.commands.describe(commands),
			run: commands => this.commands.run(commands, false),
		};
	}

	private refuse(what: string): Error {
		return refusal('classify', this.parts.channel.peer, callerSqlStates.featureNotSupported, `transaction pooling cannot serve ${what}`);
	}
}

