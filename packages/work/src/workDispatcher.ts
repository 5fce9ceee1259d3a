import {
	FailureError, type Clock, type ConfigurationSource, type DatabaseGroupSpec, type Dispatcher, type ExchangeOptions, type ExchangeResult,
	type FrameSink, type GroupDirectory, type HolderStats, type Membership, type Metrics, type RandomSource,
	type RoutingExplanation, type UnitOfWork, type WorkIntent, type WorkRequest,
} from '@crocusloom/model';
import {demandsOf, needsProbe, type Demands} from './candidates.js';
import {DatabaseChoice} from './databaseChoice.js';
import {DatabaseLoads} from './databaseLoad.js';
import {
	firstPauseMs, leadershipOf, notRunReason, refuse, type DispatchRun,
} from './dispatchRun.js';
import {FailoverQueue} from './failoverQueue.js';
import {FirstAnswerSink} from './firstAnswerSink.js';
import {type Holder} from './holder.js';
import {Remedies} from './remedies.js';
import {RetryBudget} from './retryBudget.js';
import {ShedHints} from './shedHints.js';
import {TrackedWork} from './trackedWork.js';
import {type WorkChannelPool} from './workChannelPool.js';

/** SQLSTATE of a write in a read-only transaction, which a replica answers. */
const readOnlyTransaction = '25006';

export type DispatcherPorts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly configuration: ConfigurationSource;
	readonly directory: GroupDirectory;
	readonly membership: Membership;
	readonly metrics: Metrics;
};

type Dispatched = {readonly work: UnitOfWork; readonly result: ExchangeResult};

/** Chooses a database for each unit of work, opens it at the holder, and repeats only what was not run. */
export class WorkDispatcher implements Dispatcher {
	private readonly loads: DatabaseLoads;
	private readonly shedHints: ShedHints;
	private readonly budget = new RetryBudget();
	private readonly choice: DatabaseChoice;
	private readonly failovers: FailoverQueue;
	private readonly remedies: Remedies;

	/**
	 * @param ports - configuration, directory, membership and the like
	 * @param holder - the databases held by this process
	 * @param channels - channels to other holders
	 */
	constructor(
		private readonly ports: DispatcherPorts,
		private readonly holder: Pick<Holder, 'openNow' | 'stats'>,
		private readonly channels: Pick<WorkChannelPool, 'open' | 'followMembership' | 'endIfSilent'>,
	) {
		channels.followMembership(ports.membership);
		this.failovers = new FailoverQueue(ports.clock, ports.directory);
		this.loads = new DatabaseLoads(ports.clock);
		this.shedHints = new ShedHints(ports.clock);
		this.choice = new DatabaseChoice(ports, this.loads);
		this.remedies = new Remedies(ports, this.failovers, this.budget);
	}

	async dispatch(intent: WorkIntent, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<Dispatched> {
		this.budget.noteRequest(intent.group, intent.callerKey);
		const progress = {hasForwarded: false};
		const run: DispatchRun = {
			intent,
			frames,
			sink: intent.mode === 'read' ? noteForwarded(progress, sink) : sink,
			options,
			deadlineMs: this.ports.clock.nowMs() + intent.waitLimitMs,
			excluded: new Set(),
			hasChosen: false,
			primaryOnly: false,
			triedReplicaBehind: false,
			progress,
			lostRuns: [],
			mayWrite: false,
			awaitsFailover: false,
			hasTurn: false,
			pauseMs: firstPauseMs,
			seen: '',
		};
		for (;;) {
			try {
				const dispatched = await this.attemptInTurn(run);
				if (dispatched) {
					return dispatched;
				}
			} catch (error) {
				if (!await this.remedies.mayRepeat(run, error)) {
					// A refusal of a later run does not say that nothing ran.
					throw run.lostRuns.at(-1) ?? error;
				}
			}
		}
	}

	explain(intent: WorkIntent): RoutingExplanation {
		return this.choice.explain(intent);
	}

	holderStats(): readonly HolderStats[] {
		return this.holder.stats();
	}

	private async attemptInTurn(run: DispatchRun): Promise<Dispatched | undefined> {
		try {
			return await this.attempt(run);
		} finally {
			if (run.hasTurn) {
				run.hasTurn = false;
				this.failovers.endTurn(run.intent.group);
			}
		}
	}

	/** Makes one attempt; nothing is returned when the read has to be run again at the primary. */
	private async attempt(run: DispatchRun): Promise<Dispatched | undefined> {
		const {intent, options} = run;
		run.hasChosen = false;
		if (needsProbe(intent) && !run.commitPosition) {
			await this.probe(run);
		}

		const demands = demandsOf(intent, run.commitPosition);
		const {spec, candidate} = this.choice.choose(run, demands);
		const {database} = candidate;
		run.hasChosen = true;
		try {
			const work = await this.openTracked(spec, this.requestFor(run, database, demands), options.signal);
			if (intent.mode === 'write') {
				return await this.runWrite(run, work);
			}

			return await (candidate.isPrimary ? this.runFirst(run, work, run.sink) : this.runAtReplica(run, work));
		} catch (error) {
			run.excluded.add(database);
			this.noteShed(error, {...intent, database});
			if (notRunReason(error) === 'tooStale' && !candidate.isPrimary) {
				this.loads.noteBehind(database);
			}

			throw error;
		}
	}

	private async runFirst({frames, options}: DispatchRun, work: UnitOfWork, sink: FrameSink): Promise<Dispatched> {
		try {
			return {work, result: await work.exchange(frames, sink, options)};
		} catch (error) {
			work.release();
			throw error;
		}
	}

	/** A primary that was fenced a moment ago refuses writes; nothing ran, so the write waits for the new primary. */
	private async runWrite(run: DispatchRun, work: UnitOfWork): Promise<Dispatched> {
		const first = new FirstAnswerSink(run.sink);
		const dispatched = await this.runFirst(run, work, first.sink);
		const {sqlState, transactionStatus, database} = dispatched.result;
		if (sqlState === readOnlyTransaction && transactionStatus === 'I' && first.isUntouched) {
			work.release();
			throw refuse('notPrimary', database, 'the database takes no writes');
		}

		await first.flush();
		return dispatched;
	}

	private async runAtReplica(run: DispatchRun, work: UnitOfWork): Promise<Dispatched | undefined> {
		const first = new FirstAnswerSink(run.sink);
		const dispatched = await this.runFirst(run, work, first.sink);
		if (dispatched.result.sqlState === readOnlyTransaction && first.isUntouched) {
			work.release();
			run.mayWrite = true;
			if (run.lostRuns.length > 0) {
				throw run.lostRuns.at(-1);
			}

			run.primaryOnly = true;
			this.ports.metrics.count('reads_rerun_at_primary', {group: run.intent.group});
			return undefined;
		}

		await first.flush();
		return dispatched;
	}

	private async probe(run: DispatchRun): Promise<void> {
		const {group} = run.intent;
		run.seen = leadershipOf(this.ports.directory.stateOf(group));
		try {
			run.commitPosition = await this.ports.directory.commitPosition(group, run.options.signal);
		} catch (error) {
			throw refuse('noPrimary', group, `the commit position is not known: ${String(error)}`, 'probe');
		}
	}

	private requestFor({intent, deadlineMs}: DispatchRun, database: string, {minimumPosition, maxAgeMs}: Demands): WorkRequest {
		const {group, mode, rank, callerKey, traceparent, waitLimitMs: intentLimitMs} = intent;
		// A write that waited for a failover queues for its rank's target at most.
		const waitLimitMs = Math.max(0, Math.min(intentLimitMs, deadlineMs - this.ports.clock.nowMs()));
		return {
			group, database, mode, rank, callerKey, waitLimitMs, minimumPosition, maxAgeMs, traceparent,
		};
	}

	/** Counts the unit as in flight before it is open, so that choices made meanwhile see it. */
	private async openTracked(spec: DatabaseGroupSpec, request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork> {
		const {database} = request;
		this.loads.start(database);
		try {
			const opened = this.open(spec, request, signal);
			return new TrackedWork(opened instanceof Promise ? await opened : opened, database, this.loads);
		} catch (error) {
			this.loads.stop(database);
			throw error;
		}
	}

	private open(spec: DatabaseGroupSpec, request: WorkRequest, signal: AbortSignal): UnitOfWork | Promise<UnitOfWork> {
		this.shedHints.check(request);
		const member = this.choice.holderOf(spec, request.database);
		return member.host === this.ports.membership.self.host
			? this.holder.openNow(request)
			: this.openAtPeer(member, request, signal);
	}

	private async openAtPeer(member: Parameters<WorkChannelPool['open']>[0], request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork> {
		try {
			return await this.channels.open(member, request, signal);
		} catch (error) {
			if (notRunReason(error) === 'unreachable' && !signal.aborted) {
				if (wasRefused(error)) {
					this.ports.membership.reportUnreachable(member.host);
				}

				this.channels.endIfSilent(member.host);
			}

			throw error;
		}
	}

	private noteShed(error: unknown, key: Pick<WorkRequest, 'database' | 'rank' | 'callerKey'>): void {
		if (error instanceof FailureError && error.failure.kind === 'notRun' && error.failure.retryAfterMs !== undefined) {
			this.loads.observeWait(key.database, error.failure.retryAfterMs);
			this.shedHints.note(key, error.failure);
		}
	}
}

function noteForwarded(progress: {hasForwarded: boolean}, sink: FrameSink): FrameSink {
	return async frames => {
		progress.hasForwarded = true;
		return sink(frames);
	};
}

/** A peer that does not accept a connection in time may only be slow; its heartbeats tell whether it is dead. */
function wasRefused(error: unknown): boolean {
	const cause = error instanceof Error ? error.cause : undefined;
	return cause instanceof Error && 'code' in cause;
}
