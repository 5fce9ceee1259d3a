import {
	FailureError, type Clock, type ConfigurationSource, type DatabaseGroupSpec, type Dispatcher, type ExchangeOptions, type ExchangeResult,
	type FrameSink, type GroupDirectory, type HolderStats, type Membership, type Metrics, type RandomSource,
	type RoutingExplanation, type UnitOfWork, type WorkIntent, type WorkRequest,
} from '@crocusloom/model';
import {requirementsOf, needsProbe, type Requirements} from './candidates.js';
import {DatabaseSelector} from './databaseSelector.js';
import {DatabaseLoads} from './databaseLoad.js';
import {
	initialPauseMs, leadershipKey, notRunReason, notRunError, type DispatchContext,
} from './dispatchContext.js';
import {FailoverQueue} from './failoverQueue.js';
import {BufferingSink} from './bufferingSink.js';
import {type Holder} from './holder.js';
import {RetryPolicy} from './retryPolicy.js';
import {RetryBudget} from './retryBudget.js';
import {ShedHints} from './shedHints.js';
import {TrackedWork} from './trackedWork.js';
import {type WorkChannelPool} from './workChannelPool.js';

/** SQLSTATE `read_only_sql_transaction`, which a replica returns for a write. */
const readOnlyTransactionSqlState = '25006';

export type DispatcherPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly configuration: ConfigurationSource;
	readonly directory: GroupDirectory;
	readonly membership: Membership;
	readonly metrics: Metrics;
};

type DispatchResult = {readonly work: UnitOfWork; readonly result: ExchangeResult};

/** Selects a database for each unit of work, opens it at the holder of the database, and retries failed attempts where that is safe. */
export class WorkDispatcher implements Dispatcher {
	private readonly loads: DatabaseLoads;
	private readonly shedHints: ShedHints;
	private readonly retryBudget = new RetryBudget();
	private readonly selector: DatabaseSelector;
	private readonly failoverQueue: FailoverQueue;
	private readonly retryPolicy: RetryPolicy;

	/**
	 * @param ports - clock, random source, configuration, directory, membership and metrics
	 * @param holder - databases held by this process
	 * @param channels - work channels to other holders
	 */
	constructor(
		private readonly ports: DispatcherPorts,
		private readonly holder: Pick<Holder, 'openSync' | 'stats'>,
		private readonly channels: Pick<WorkChannelPool, 'open' | 'followMembership' | 'closeIfSilent'>,
	) {
		channels.followMembership(ports.membership);
		this.failoverQueue = new FailoverQueue(ports.clock, ports.directory);
		this.loads = new DatabaseLoads(ports.clock);
		this.shedHints = new ShedHints(ports.clock);
		this.selector = new DatabaseSelector(ports, this.loads);
		this.retryPolicy = new RetryPolicy(ports, this.failoverQueue, this.retryBudget);
	}

	async dispatch(intent: WorkIntent, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<DispatchResult> {
		this.retryBudget.recordRequest(intent.group, intent.callerKey);
		const progress = {hasForwardedResponse: false};
		const context: DispatchContext = {
			intent,
			frames,
			sink: intent.mode === 'read' ? trackForwarding(progress, sink) : sink,
			options,
			deadlineMs: this.ports.clock.nowMs() + intent.waitLimitMs,
			excludedDatabases: new Set(),
			hasChosenDatabase: false,
			isPrimaryOnly: false,
			hasTriedLaggingReplica: false,
			progress,
			lostRunErrors: [],
			hasAttemptedWrite: false,
			isAwaitingFailover: false,
			hasFailoverTurn: false,
			nextPauseMs: initialPauseMs,
			seenLeadership: '',
		};
		for (;;) {
			try {
				const dispatched = await this.attemptAndEndTurn(context);
				if (dispatched) {
					return dispatched;
				}
			} catch (error) {
				if (!await this.retryPolicy.shouldRetry(context, error)) {
					// If an earlier run was lost, a `notRun` error of a later one does not mean that nothing ran.
					throw context.lostRunErrors.at(-1) ?? error;
				}
			}
		}
	}

	explain(intent: WorkIntent): RoutingExplanation {
		return this.selector.explain(intent);
	}

	holderStats(): readonly HolderStats[] {
		return this.holder.stats();
	}

	private async attemptAndEndTurn(context: DispatchContext): Promise<DispatchResult | undefined> {
		try {
			return await this.attempt(context);
		} finally {
			if (context.hasFailoverTurn) {
				context.hasFailoverTurn = false;
				this.failoverQueue.endTurn(context.intent.group);
			}
		}
	}

	/** Makes one attempt. Returns undefined if the read has to be run again at the primary. */
	private async attempt(context: DispatchContext): Promise<DispatchResult | undefined> {
		const {intent, options} = context;
		context.hasChosenDatabase = false;
		if (needsProbe(intent) && !context.commitPosition) {
			await this.probe(context);
		}

		const requirements = requirementsOf(intent, context.commitPosition);
		const {spec, candidate} = this.selector.select(context, requirements);
		const {database} = candidate;
		context.hasChosenDatabase = true;
		try {
			const work = await this.openTracked(spec, this.buildRequest(context, database, requirements), options.signal);
			options.onOpen?.(work);
			if (intent.mode === 'write') {
				return await this.runWrite(context, work);
			}

			return await (candidate.isPrimary ? this.runFirstExchange(context, work, context.sink) : this.runAtReplica(context, work));
		} catch (error) {
			context.excludedDatabases.add(database);
			this.recordShed(error, {...intent, database});
			if (notRunReason(error) === 'tooStale' && !candidate.isPrimary) {
				this.loads.recordLag(database);
			}

			throw error;
		}
	}

	private async runFirstExchange({frames, options}: DispatchContext, work: UnitOfWork, sink: FrameSink): Promise<DispatchResult> {
		try {
			return {work, result: await work.exchange(frames, sink, options)};
		} catch (error) {
			work.release();
			throw error;
		}
	}

	/** Runs a write. A recently fenced primary refuses it as read-only without running it, so the write waits for the new primary. */
	private async runWrite(context: DispatchContext, work: UnitOfWork): Promise<DispatchResult> {
		const bufferingSink = new BufferingSink(context.sink);
		const dispatched = await this.runFirstExchange(context, work, bufferingSink.sink);
		const {sqlState, transactionStatus, database} = dispatched.result;
		if (sqlState === readOnlyTransactionSqlState && transactionStatus === 'I' && bufferingSink.isBuffering) {
			work.release();
			throw notRunError('notPrimary', database, 'the database is read-only');
		}

		await bufferingSink.flush();
		return dispatched;
	}

	private async runAtReplica(context: DispatchContext, work: UnitOfWork): Promise<DispatchResult | undefined> {
		const bufferingSink = new BufferingSink(context.sink);
		const dispatched = await this.runFirstExchange(context, work, bufferingSink.sink);
		if (dispatched.result.sqlState === readOnlyTransactionSqlState && bufferingSink.isBuffering) {
			work.release();
			context.hasAttemptedWrite = true;
			if (context.lostRunErrors.length > 0) {
				throw context.lostRunErrors.at(-1);
			}

			context.isPrimaryOnly = true;
			this.ports.metrics.count('reads_rerun_at_primary', {group: context.intent.group});
			return undefined;
		}

		await bufferingSink.flush();
		return dispatched;
	}

	private async probe(context: DispatchContext): Promise<void> {
		const {group} = context.intent;
		context.seenLeadership = leadershipKey(this.ports.directory.stateOf(group));
		try {
			context.commitPosition = await this.ports.directory.commitPosition(group, context.options.signal);
		} catch (error) {
			throw notRunError('noPrimary', group, `the commit position is not known: ${String(error)}`, 'probe');
		}
	}

	private buildRequest({intent, deadlineMs}: DispatchContext, database: string, {minimumPosition, maxAgeMs}: Requirements): WorkRequest {
		const {group, mode, rank, callerKey, traceparent, waitLimitMs: intentLimitMs} = intent;
		// A write that waited for a failover may wait in the admission queue for no longer than the target of its rank.
		const waitLimitMs = Math.max(0, Math.min(intentLimitMs, deadlineMs - this.ports.clock.nowMs()));
		return {
			group, database, mode, rank, callerKey, waitLimitMs, minimumPosition, maxAgeMs, traceparent,
		};
	}

	/** Counts the unit of work as in flight before it is open, so that concurrent selections take it into account. */
	private async openTracked(spec: DatabaseGroupSpec, request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork> {
		const {database} = request;
		this.loads.addInFlight(database);
		try {
			const opened = this.open(spec, request, signal);
			return new TrackedWork(opened instanceof Promise ? await opened : opened, database, this.loads);
		} catch (error) {
			this.loads.removeInFlight(database);
			throw error;
		}
	}

	private open(spec: DatabaseGroupSpec, request: WorkRequest, signal: AbortSignal): UnitOfWork | Promise<UnitOfWork> {
		this.shedHints.throwIfShed(request);
		const member = this.selector.holderOf(spec, request.database);
		return member.host === this.ports.membership.self.host
			? this.holder.openSync(request)
			: this.openAtPeer(member, request, signal);
	}

	private async openAtPeer(member: Parameters<WorkChannelPool['open']>[0], request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork> {
		try {
			return await this.channels.open(member, request, signal);
		} catch (error) {
			if (notRunReason(error) === 'unreachable' && !signal.aborted) {
				if (hasSocketError(error)) {
					this.ports.membership.reportUnreachable(member.host);
				}

				this.channels.closeIfSilent(member.host);
			}

			throw error;
		}
	}

	private recordShed(error: unknown, key: Pick<WorkRequest, 'database' | 'rank' | 'callerKey'>): void {
		if (error instanceof FailureError && error.failure.kind === 'notRun' && error.failure.retryAfterMs !== undefined) {
			this.loads.observeWait(key.database, error.failure.retryAfterMs);
			this.shedHints.record(key, error.failure);
		}
	}
}

function trackForwarding(progress: {hasForwardedResponse: boolean}, sink: FrameSink): FrameSink {
	return async frames => {
		progress.hasForwardedResponse = true;
		return sink(frames);
	};
}

/**
 * Returns whether an error was caused by a socket error, such as a refused connection. A connection attempt that timed out has no
 * error code; such a peer may only be slow, and its heartbeats show whether it is dead.
 */
function hasSocketError(error: unknown): boolean {
	const cause = error instanceof Error ? error.cause : undefined;
	return cause instanceof Error && 'code' in cause;
}
