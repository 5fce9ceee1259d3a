import {FailureError, sqlStates} from '@crocusloom/model';
import {
	backend, buildFrame, frameHeaderBytes, readCString, readyForQuery,
} from '@crocusloom/wire';
import {CallerWork} from './callerWork.js';
import {type CallerChannel} from './channel.js';
import {ExchangeCollector, type CollectedExchange} from './collector.js';
import {CommandRunner} from './commandRunner.js';
import {
	callerSqlStates, failureOf, failureResponse, refusal, shutDownFailure,
} from './errors.js';
import {
	answerEnds, hasBegin, isTransactionEnd, type PlannedExchange,
} from './exchange.js';
import {ExchangeRunner} from './exchangeRunner.js';
import {ExtendedPlanner, type ExtendedContext} from './extended.js';
import {type LocalCommand} from './localCommands.js';
import {planOf, type Plan} from './plans.js';
import {SessionStatements, type SessionStatement} from './preparedStatements.js';
import {type CallerIdentity} from './routes.js';
import {type SessionSettings} from './settings.js';
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
	private readonly runner: ExchangeRunner;
	private readonly planContext: ExtendedContext;
	private isDraining = false;
	private isShutDown = false;

	constructor(private readonly parts: SessionParts) {
		const {options, limits, channel, settings} = parts;
		this.work = new CallerWork(options.dispatcher);
		this.collector = new ExchangeCollector(channel, limits);
		this.statements = new SessionStatements(channel.peer, limits);
		this.commands = new CommandRunner({
			peer: channel.peer, settings, statements: this.statements, configuration: () => options.configuration.current(), endFailed: () => this.endLostTransaction(),
		});
		this.runner = new ExchangeRunner(parts, this.work, this.statements);
		this.planContext = this.makePlanContext();
	}

	/** Serves the caller until it leaves, breaks the protocol or is drained. */
	async run(): Promise<void> {
		try {
			while (!this.isShutDown) {
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
		this.isShutDown = true;
		this.work.release();
		this.parts.channel.end(failureResponse(shutDownFailure(this.parts.channel.peer), 'FATAL'));
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
			this.runner.endTransaction();
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

		const isFailed = await this.runner.run(this.checkStatus(planned), () => isFlush ? [] : [readyFrames[this.work.status]]);
		if (isFlush && isFailed) {
			this.collector.skipUntilSync();
		}
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

	private async answerFailure(error: unknown, isFlush: boolean): Promise<void> {
		const {channel, options} = this.parts;
		if (channel.closed.signal.aborted) {
			throw error;
		}

		// A refusal by the proxy fails an open transaction, as an error of the backend server would.
		if (this.work.status !== 'I') {
			this.work.fail('E');
		}

		const failure = failureOf(error, channel.peer);
		if (!(error instanceof FailureError)) {
			options.log.error({peer: channel.peer, error: String(error)}, 'exchange failed by a fault of the proxy');
		}

		options.metrics.count('callers_failures', {kind: failure.kind, step: failure.step});
		if (isFlush) {
			this.collector.skipUntilSync();
		}

		await channel.write(isFlush ? [failureResponse(failure)] : [Buffer.concat([failureResponse(failure), readyFrames[this.work.status]])]);
	}

	private commandsOf(plan: Plan): readonly LocalCommand[] | undefined {
		if (isTransactionEnd(plan) && !this.work.isOpen) {
			return endFailed;
		}

		if (plan.commands && this.work.status === 'E') {
			throw refusal('execute', this.parts.channel.peer, callerSqlStates.inFailedTransaction, 'current transaction is aborted, commands ignored until end of transaction block');
		}

		const setsKey = plan.commands?.some(command => command.kind === 'set' && command.name === 'crocusloom.idempotency_key');
		if (setsKey && this.work.isOpen) {
			throw refusal('classify', this.parts.channel.peer, callerSqlStates.activeTransaction, 'crocusloom.idempotency_key must be set before BEGIN');
		}

		return plan.commands;
	}

	private endLostTransaction(): boolean {
		const {isLost} = this.work;
		if (isLost) {
			this.work.fail('I');
			this.runner.restoreParameters();
			this.runner.endTransaction();
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

