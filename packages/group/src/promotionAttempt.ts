import {
	type DatabaseStatus, type ControlResult, type PromotionRecord,
} from '@crocusloom/model';
import {addressOf, chooseCandidate} from './candidate.js';
import {findPrimary, isNewGroup} from './confirmation.js';
import {type DatabaseMonitor} from './databaseMonitor.js';
import {collectResponses, type CollectOptions} from './collectResponses.js';
import {type GroupMonitor} from './groupMonitor.js';
import {type PromotionTrigger} from './promotionTrigger.js';
import {peerFailure, withTimeout} from './timeout.js';
import {callTimeoutMs, catchUpTimeoutMs, fenceGracePeriodMs} from './timing.js';

export type PromotionAttemptOptions = {
	readonly monitor: GroupMonitor;
	readonly trigger: PromotionTrigger;
	/** Owner of the fences. Unique to the attempt, so that a late call of an earlier attempt has no effect in the term of this one. */
	readonly owner: string;
	/** Checks whether the promotion is still needed after all databases have been polled. */
	readonly isStillNeeded: () => boolean;
	readonly signal: AbortSignal;
};

/** Maximum number of attempts at a fence or promote call whose response is lost. The same owner may repeat both calls. */
const maximumCallAttempts = 3;

/** Thrown to end an attempt with an outcome other than `promoted`. */
class AttemptEnd extends Error {
	override readonly name = 'AttemptEnd';

	constructor(readonly outcome: PromotionRecord['outcome'], message: string) {
		super(message);
	}
}

/** One attempt to promote a database of a group, in the steps that section 7 of `docs/design.md` describes. */
export class PromotionAttempt {
	private readonly steps: string[] = [];
	private term = 0;
	/** True if every database has responded and none has ever been a primary or followed one. */
	private isNewGroup = false;
	private candidate?: string;

	constructor(private readonly options: PromotionAttemptOptions) {}

	/**
	 * Runs the attempt.
	 * @returns the record of the attempt; errors are recorded in it and never thrown
	 */
	async run(): Promise<PromotionRecord> {
		const {clock, group} = this.options.monitor.options;
		const startedAtMs = clock.wallMs();
		const monotonicStartMs = clock.nowMs();
		const outcome = await this.runSteps();
		return {
			group,
			term: this.term,
			outcome,
			reason: this.options.trigger.reason,
			candidate: this.candidate,
			startedAtMs,
			tookMs: clock.nowMs() - monotonicStartMs,
			steps: this.steps,
		};
	}

	/** Number of databases that must respond and accept the fence. */
	private get requiredCount(): number {
		const {mechanisms, majoritySize} = this.options.monitor;
		return mechanisms.majorityFence ? majoritySize : 1;
	}

	/**
	 * Databases that may be promoted. A primary that cannot replicate is excluded although it has the highest position. No
	 * acknowledged write is lost, because a majority of the group must accept the fence without it. The later `follow` call fences it.
	 */
	private get promotableDatabases(): readonly DatabaseMonitor[] {
		const {monitor, trigger} = this.options;
		return trigger.isOldPrimaryExcluded ? monitor.databaseMonitors.filter(({database}) => database !== trigger.oldPrimary) : monitor.databaseMonitors;
	}

	private async runSteps(): Promise<PromotionRecord['outcome']> {
		try {
			await this.pollAll();
			await this.drainPrimary();
			const fencedStatuses = await this.fenceMajority();
			const primary = await this.promoteCandidate(fencedStatuses);
			await this.makeOthersFollow(primary);
			return 'promoted';
		} catch (error) {
			this.steps.push(error instanceof Error ? error.message : String(error));
			return error instanceof AttemptEnd ? error.outcome : 'failed';
		}
	}

	private async pollAll(): Promise<void> {
		const {monitor, isStillNeeded} = this.options;
		const observations = await collectResponses(
			monitor.databaseMonitors.map(async databaseMonitor => this.callWithTimeout(databaseMonitor, 'monitor', async signal => databaseMonitor.pollStatus(signal))),
			this.collectOptions(),
		);
		const statuses = observations.map(({status}) => status);
		const eligibleStatuses = monitor.eligibleStatuses(statuses);
		this.isNewGroup = isNewGroup(statuses, monitor.databaseMonitors.length);
		this.steps.push(`${observations.length} of ${monitor.databaseMonitors.length} databases answered, ${eligibleStatuses.length} of them with state or in a new group`);
		if (eligibleStatuses.length < this.requiredCount) {
			throw new AttemptEnd('noMajority', `a majority is ${monitor.majoritySize}; nothing was changed`);
		}

		if (!isStillNeeded()) {
			throw new AttemptEnd('lostRace', 'the promotion is not needed any more; nothing was changed');
		}

		this.term = 1 + Math.max(...monitor.observations().map(({status}) => Math.max(status.fencedTerm, status.followsTerm, status.position.term)));
	}

	/** Before a planned promotion, fences the primary alone, which stops writes, and waits until a replica holds the rest of the log. */
	private async drainPrimary(): Promise<void> {
		const {monitor, trigger, signal} = this.options;
		const primary = trigger.isPlanned ? findPrimary(monitor.observations()) : undefined;
		const primaryMonitor = primary && monitor.databaseMonitorOf(primary.status.database);
		if (!primaryMonitor) {
			return;
		}

		const {accepted, status} = await this.fence(primaryMonitor);
		if (!accepted) {
			throw new AttemptEnd('lostRace', `${primaryMonitor.database} is fenced at term ${status.fencedTerm} by another proxy`);
		}

		this.steps.push(`${primaryMonitor.database} accepts no more writes, at ${formatStatusPosition(status)}`);
		const leavingDatabases = new Set(monitor.options.spec().databases.filter(database => database.leaving).map(({name}) => name));
		const replicas = monitor.databaseMonitors.filter(({database}) => !leavingDatabases.has(database));
		const waits = replicas.map(async ({database}) => monitor.waitForDatabase(database, status.position, catchUpTimeoutMs, signal));
		const waitResults = await collectResponses(waits, {
			...this.collectOptions(), timeoutMs: catchUpTimeoutMs, requiredCount: 1, gracePeriodMs: 0,
		});
		this.steps.push(waitResults.includes(true) ? 'a replica holds the whole log' : `no replica held the whole log within ${catchUpTimeoutMs} ms`);
	}

	private async fenceMajority(): Promise<readonly DatabaseStatus[]> {
		const {monitor} = this.options;
		const refusedStatuses: DatabaseStatus[] = [];
		// A database may lose its state between the poll and the fence, so the status after the fence is checked as well.
		const isEligible = (status: DatabaseStatus) => this.isNewGroup || monitor.isEligibleForMajority(status);
		const fenceCalls = this.promotableDatabases.filter(({latestObservation}) => !latestObservation || isEligible(latestObservation.status)).map(async databaseMonitor => {
			const {accepted, status} = await this.fence(databaseMonitor);
			if (accepted && status.fencedTerm === this.term && isEligible(status)) {
				return status;
			}

			refusedStatuses.push(status);
			throw new Error(`${databaseMonitor.database} refused the fence`);
		});
		const {requiredCount} = this;
		const fencedStatuses = await collectResponses(fenceCalls, {...this.collectOptions(), timeoutMs: callTimeoutMs * maximumCallAttempts, requiredCount});
		this.steps.push(`fenced at term ${this.term}: ${fencedStatuses.map(status => `${status.database} at ${formatStatusPosition(status)}`).join(', ') || 'none'}`);
		if (fencedStatuses.length >= requiredCount) {
			return fencedStatuses;
		}

		const [competingStatus] = refusedStatuses.filter(status => status.fencedTerm >= this.term).toSorted((a, b) => b.fencedTerm - a.fencedTerm);
		throw competingStatus
			? new AttemptEnd('lostRace', `${competingStatus.database} is fenced at term ${competingStatus.fencedTerm} by another proxy`)
			: new AttemptEnd('noMajority', `a majority is ${requiredCount}; the next attempt takes a higher term`);
	}

	private async promoteCandidate(fencedStatuses: readonly DatabaseStatus[]): Promise<DatabaseStatus> {
		const {monitor, trigger, owner} = this.options;
		const candidate = chooseCandidate(fencedStatuses, monitor.options.spec(), trigger.oldPrimary)!;
		const databaseMonitor = monitor.databaseMonitorOf(candidate.database)!;
		this.candidate = candidate.database;
		const {accepted, status} = await this.callWithRetry(databaseMonitor, 'promote', async signal => databaseMonitor.control.promote(this.term, owner, signal));
		if (!accepted) {
			throw new AttemptEnd('lostRace', `${candidate.database} refused the promotion; it is fenced at term ${status.fencedTerm}`);
		}

		this.steps.push(`promoted ${candidate.database} at ${formatStatusPosition(candidate)}`);
		return status;
	}

	private async makeOthersFollow(primary: DatabaseStatus): Promise<void> {
		const {monitor} = this.options;
		const address = addressOf(monitor.options.spec(), primary.database);
		const otherMonitors = monitor.databaseMonitors.filter(({database}) => database !== primary.database);
		const followCalls = otherMonitors.map(async databaseMonitor => {
			const requestedAtMs = monitor.options.clock.nowMs();
			const result = await this.callWithTimeout(databaseMonitor, 'follow', async signal => databaseMonitor.control.follow(this.term, address, signal));
			databaseMonitor.recordStatus(result.status, requestedAtMs);
			return result;
		});
		const results = await collectResponses(followCalls, {...this.collectOptions(), requiredCount: monitor.majoritySize - 1});
		const following = results.filter(({accepted}) => accepted).map(({status}) => status.database);
		this.steps.push(`following ${primary.database}: ${following.join(', ') || 'none yet'}; the monitors repeat the call at the others`);
	}

	private async fence(databaseMonitor: DatabaseMonitor): Promise<ControlResult> {
		return this.callWithRetry(databaseMonitor, 'fence', async signal => databaseMonitor.control.fence(this.term, this.options.owner, signal));
	}

	/** Retries a call whose response is lost, and records the status in its response. */
	private async callWithRetry(databaseMonitor: DatabaseMonitor, step: 'fence' | 'promote', run: (signal: AbortSignal) => Promise<ControlResult>): Promise<ControlResult> {
		for (let attempt = 1; ; attempt++) {
			const requestedAtMs = this.options.monitor.options.clock.nowMs();
			try {
				const result = await this.callWithTimeout(databaseMonitor, step, run);
				databaseMonitor.recordStatus(result.status, requestedAtMs);
				return result;
			} catch (error) {
				if (attempt === maximumCallAttempts || this.options.signal.aborted) {
					throw error;
				}
			}
		}
	}

	private async callWithTimeout<T>(databaseMonitor: DatabaseMonitor, step: 'monitor' | 'fence' | 'promote' | 'follow', run: (signal: AbortSignal) => Promise<T>): Promise<T> {
		const {monitor, signal} = this.options;
		const failure = peerFailure(step, databaseMonitor.database, `no answer within ${callTimeoutMs} ms`);
		return withTimeout({
			clock: monitor.options.clock, timeoutMs: callTimeoutMs, signal, failure,
		}, run);
	}

	private collectOptions(): CollectOptions {
		const {monitor, signal} = this.options;
		return {
			clock: monitor.options.clock, signal, timeoutMs: callTimeoutMs, requiredCount: monitor.majoritySize, gracePeriodMs: fenceGracePeriodMs,
		};
	}
}

function formatStatusPosition({position}: DatabaseStatus): string {
	return `${position.term}:${position.offsetBytes.toString(16)}`;
}
