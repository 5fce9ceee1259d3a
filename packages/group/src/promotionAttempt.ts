import {
	type DatabaseOrder, type DatabaseStatus, type ControlResult, generationOfTerm, nextTerm, type PromotionRecord,
} from '@crocusloom/model';
import {addressOf, chooseCandidate} from './candidate.js';
import {
	findPrimary, isNewGroup, newestTermOf, type StatusObservation,
} from './confirmation.js';
import {type DatabaseMonitor} from './databaseMonitor.js';
import {collectResponses, type CollectOptions} from './collectResponses.js';
import {type GroupMonitor} from './groupMonitor.js';
import {type Quorum} from './quorum.js';
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

/** Maximum number of attempts at a fence or promote order whose response is lost. The same owner may repeat both orders. */
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
	/** Majorities that the term needs. */
	private quorum: Quorum;
	/** True if every database has responded and none has ever been a primary or followed one. */
	private isNewGroup = false;
	/** Statuses in the responses to the poll, on which the attempt is based. */
	private polledStatuses: readonly DatabaseStatus[] = [];
	private candidate?: string;

	constructor(private readonly options: PromotionAttemptOptions) {
		this.quorum = options.monitor.quorumOfGeneration(this.generation);
	}

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

	/** Generation of the list of databases in which the term is taken. */
	private get generation(): number {
		const {monitor, trigger} = this.options;
		return trigger.isListChange ? monitor.generation : monitor.actingGeneration;
	}

	/** Checks whether so many databases have responded or accepted the fence as are needed. */
	private isSufficient(statuses: readonly DatabaseStatus[]): boolean {
		const {mechanisms} = this.options.monitor;
		return mechanisms.majorityFence ? this.quorum.isMajority(statuses.map(({database}) => database)) : statuses.length > 0;
	}

	/**
	 * Databases that are fenced first, of which one is promoted. A primary that cannot replicate is excluded although it has the highest position. No
	 * acknowledged write is lost, because a majority of the group must accept the fence without it. The later `follow` call fences it.
	 */
	private get fencedDatabases(): readonly DatabaseMonitor[] {
		const {monitor, trigger} = this.options;
		return trigger.isOldPrimaryExcluded ? monitor.databaseMonitors.filter(({database}) => database !== trigger.oldPrimary) : monitor.databaseMonitors;
	}

	private async runSteps(): Promise<PromotionRecord['outcome']> {
		try {
			await this.pollAll();
			await this.drainPrimary();
			const fencedStatuses = await this.fenceMajority();
			const primary = await this.promoteCandidate(fencedStatuses);
			await this.makeOthersFollow(primary, fencedStatuses);
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
			this.collectOptions<StatusObservation>(responses => this.quorum.isMajority(responses.map(({status}) => status.database))),
		);
		// A database may have been fenced for a new list meanwhile.
		this.quorum = monitor.quorumOfGeneration(this.generation);
		const statuses = observations.map(({status}) => status);
		this.polledStatuses = statuses;
		const eligibleStatuses = monitor.eligibleStatuses(statuses);
		this.isNewGroup = isNewGroup(statuses, monitor.databaseMonitors.length);
		this.steps.push(`${observations.length} of ${monitor.databaseMonitors.length} databases answered, ${eligibleStatuses.length} of them with state or in a new group`);
		if (!this.isSufficient(eligibleStatuses)) {
			throw new AttemptEnd('noMajority', `a majority is ${this.quorum.toString()}; nothing was changed`);
		}

		if (!isStillNeeded()) {
			throw new AttemptEnd('lostRace', 'the promotion is not needed any more; nothing was changed');
		}

		this.term = this.chooseTerm();
	}

	private chooseTerm(): number {
		const {monitor} = this.options;
		const highestKnownTerm = Math.max(...monitor.observations().map(({status}) => newestTermOf(status)));
		const term = nextTerm(highestKnownTerm, monitor.mechanisms.listGenerations ? this.generation : Math.max(this.generation, generationOfTerm(highestKnownTerm)));
		if (term === undefined) {
			throw new AttemptEnd('lostRace', `term ${highestKnownTerm} is of a later list of databases than this host has, or the last of its list; nothing was changed`);
		}

		return term;
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
		const candidates = monitor.databaseMonitors.filter(({database}) => this.quorum.lists[0].has(database) && !leavingDatabases.has(database));
		const waits = candidates.map(async ({database}) => monitor.waitForDatabase(database, status.position, catchUpTimeoutMs, signal));
		const waitResults = await collectResponses(waits, {
			...this.collectOptions<boolean>(responses => responses.length > 0), timeoutMs: catchUpTimeoutMs, gracePeriodMs: 0,
		});
		this.steps.push(waitResults.includes(true) ? 'a candidate holds the whole log' : `no candidate held the whole log within ${catchUpTimeoutMs} ms`);
	}

	private async fenceMajority(): Promise<readonly DatabaseStatus[]> {
		const {monitor} = this.options;
		const refusedStatuses: DatabaseStatus[] = [];
		// A database may lose its state between the poll and the fence, so the status after the fence is checked as well.
		const isEligible = (status: DatabaseStatus) => this.isNewGroup || monitor.isEligibleForMajority(status);
		const fenceCalls = this.fencedDatabases.filter(({latestObservation}) => !latestObservation || isEligible(latestObservation.status)).map(async databaseMonitor => {
			const {accepted, status} = await this.fence(databaseMonitor);
			if (accepted && status.fencedTerm === this.term && isEligible(status)) {
				return status;
			}

			refusedStatuses.push(status);
			throw new Error(`${databaseMonitor.database} refused the fence`);
		});
		const fencedStatuses = await collectResponses(fenceCalls, {
			...this.collectOptions<DatabaseStatus>(responses => this.isSufficient(responses)), timeoutMs: callTimeoutMs * maximumCallAttempts,
		});
		this.steps.push(`fenced at term ${this.term}: ${fencedStatuses.map(status => `${status.database} at ${formatStatusPosition(status)}`).join(', ') || 'none'}`);
		if (this.isSufficient(fencedStatuses)) {
			return fencedStatuses;
		}

		const [competingStatus] = refusedStatuses.filter(status => status.fencedTerm >= this.term).toSorted((a, b) => b.fencedTerm - a.fencedTerm);
		throw competingStatus
			? new AttemptEnd('lostRace', `${competingStatus.database} is fenced at term ${competingStatus.fencedTerm} by another proxy`)
			: new AttemptEnd('noMajority', `a majority is ${this.quorum.toString()}; the next attempt takes a higher term`);
	}

	private async promoteCandidate(fencedStatuses: readonly DatabaseStatus[]): Promise<DatabaseStatus> {
		const {monitor, trigger, owner} = this.options;
		const listedStatuses = fencedStatuses.filter(({database}) => this.quorum.lists[0].has(database));
		const candidate = chooseCandidate(listedStatuses, monitor.options.spec(), trigger.oldPrimary)!;
		const databaseMonitor = monitor.databaseMonitorOf(candidate.database)!;
		this.candidate = candidate.database;
		const {accepted, status} = await this.sendWithRetry(databaseMonitor, 'promote', candidate, async (order, signal) => databaseMonitor.control.promote({...order, owner}, signal));
		if (!accepted) {
			throw new AttemptEnd('lostRace', `${candidate.database} refused the promotion; it is fenced at term ${status.fencedTerm}`);
		}

		this.steps.push(`promoted ${candidate.database} at ${formatStatusPosition(candidate)}`);
		return status;
	}

	/** Makes the fenced databases follow the primary. The promoters repeat the order, and send it to the other databases. */
	private async makeOthersFollow(primary: DatabaseStatus, fencedStatuses: readonly DatabaseStatus[]): Promise<void> {
		const {monitor} = this.options;
		const primaryAddress = addressOf(monitor.databaseSpecs, primary.database);
		const otherStatuses = fencedStatuses.filter(({database}) => database !== primary.database);
		const followCalls = otherStatuses.map(async ({database, connectionId}) => {
			const databaseMonitor = monitor.databaseMonitorOf(database)!;
			const requestedAtMs = monitor.options.clock.nowMs();
			const order = {term: this.term, connectionId, primaryAddress};
			const result = await this.callWithTimeout(databaseMonitor, 'follow', async signal => databaseMonitor.control.follow(order, signal));
			databaseMonitor.recordStatus(result.status, requestedAtMs);
			return result;
		});
		const isMajorityWithPrimary = (responses: readonly ControlResult[]) => this.quorum.isMajority([primary.database, ...responses.map(({status}) => status.database)]);
		const results = await collectResponses(followCalls, this.collectOptions(isMajorityWithPrimary));
		const following = results.filter(({accepted}) => accepted).map(({status}) => status.database);
		this.steps.push(`following ${primary.database}: ${following.join(', ') || 'none yet'}; the monitors repeat the call at the others`);
	}

	private async fence(databaseMonitor: DatabaseMonitor): Promise<ControlResult> {
		const {owner} = this.options;
		const knownStatus = this.polledStatuses.find(({database}) => database === databaseMonitor.database) ?? databaseMonitor.latestObservation?.status;
		return this.sendWithRetry(databaseMonitor, 'fence', knownStatus, async (order, signal) => databaseMonitor.control.fence({...order, owner}, signal));
	}

	/**
	 * Sends an order, and records the status in its response. If the response is lost, the order is repeated on the connection on which
	 * the status is read next. In a new group it is not, because the group may no longer be new by then.
	 */
	private async sendWithRetry(
		databaseMonitor: DatabaseMonitor,
		step: 'fence' | 'promote',
		knownStatus: DatabaseStatus | undefined,
		send: (order: DatabaseOrder, signal: AbortSignal) => Promise<ControlResult>,
	): Promise<ControlResult> {
		const maximumAttempts = this.isNewGroup ? 1 : maximumCallAttempts;
		let status = knownStatus;
		for (let attempt = 1; ; attempt++) {
			try {
				const {connectionId} = status ?? await this.readStatus(databaseMonitor);
				status = undefined;
				const requestedAtMs = this.options.monitor.options.clock.nowMs();
				const result = await this.callWithTimeout(databaseMonitor, step, async signal => send({term: this.term, connectionId}, signal));
				databaseMonitor.recordStatus(result.status, requestedAtMs);
				return result;
			} catch (error) {
				if (attempt === maximumAttempts || this.options.signal.aborted) {
					throw error;
				}
			}
		}
	}

	private async readStatus(databaseMonitor: DatabaseMonitor): Promise<DatabaseStatus> {
		const {status} = await this.callWithTimeout(databaseMonitor, 'monitor', async signal => databaseMonitor.pollStatus(signal));
		return status;
	}

	private async callWithTimeout<T>(databaseMonitor: DatabaseMonitor, step: 'monitor' | 'fence' | 'promote' | 'follow', run: (signal: AbortSignal) => Promise<T>): Promise<T> {
		const {monitor, signal} = this.options;
		const failure = peerFailure(step, databaseMonitor.database, `no answer within ${callTimeoutMs} ms`);
		return withTimeout({
			clock: monitor.options.clock, timeoutMs: callTimeoutMs, signal, failure,
		}, run);
	}

	private collectOptions<T>(isSufficient: CollectOptions<T>['isSufficient']): CollectOptions<T> {
		const {monitor, signal} = this.options;
		return {
			clock: monitor.options.clock, signal, timeoutMs: callTimeoutMs, isSufficient, gracePeriodMs: fenceGracePeriodMs,
		};
	}
}

function formatStatusPosition({position}: DatabaseStatus): string {
	return `${position.term}:${position.offsetBytes.toString(16)}`;
}
