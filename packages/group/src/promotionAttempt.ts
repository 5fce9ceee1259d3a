import {
	type DatabaseStatus, type ControlResult, type PromotionRecord,
} from '@crocusloom/model';
import {addressOf, chooseCandidate} from './candidate.js';
import {findLeader, isNewGroup} from './confirmation.js';
import {type DatabaseWatch} from './databaseWatch.js';
import {gather, type GatherOptions} from './gather.js';
import {type GroupMonitor} from './groupMonitor.js';
import {type PromotionNeed} from './promotionNeed.js';
import {databaseFailure, withTimeLimit} from './timeLimit.js';
import {callLimitMs, catchUpLimitMs, fenceGraceMs} from './timing.js';

export type AttemptOptions = {
	readonly monitor: GroupMonitor;
	readonly need: PromotionNeed;
	/** Unique to the attempt, so that a late call of an earlier attempt has no effect in this one's term. */
	readonly owner: string;
	/** Tells whether the promotion is still needed after all databases were asked. */
	readonly isStillNeeded: () => boolean;
	readonly signal: AbortSignal;
};

/** Tries of a fence or promote call whose answer was lost; both may be repeated by the same owner. */
const callTries = 3;

/** Ends an attempt with an outcome other than `promoted`. */
class AttemptEnd extends Error {
	override readonly name = 'AttemptEnd';

	constructor(readonly outcome: PromotionRecord['outcome'], message: string) {
		super(message);
	}
}

/** One attempt to promote a database of a group, by the steps of design section 7. */
export class PromotionAttempt {
	private readonly steps: string[] = [];
	private term = 0;
	/** True when every database answered that it never led or followed. */
	private isNewGroup = false;
	private candidate?: string;

	constructor(private readonly options: AttemptOptions) {}

	/**
	 * Runs the attempt.
	 * @returns its record; it never throws
	 */
	async run(): Promise<PromotionRecord> {
		const {clock, group} = this.options.monitor.options;
		const startedAtMs = clock.wallMs();
		const startMs = clock.nowMs();
		const outcome = await this.outcome();
		return {
			group,
			term: this.term,
			outcome,
			reason: this.options.need.reason,
			candidate: this.candidate,
			startedAtMs,
			tookMs: clock.nowMs() - startMs,
			steps: this.steps,
		};
	}

	/** Databases that must answer and accept the fence. */
	private get enough(): number {
		const {mechanisms, majority} = this.options.monitor;
		return mechanisms.majorityFence ? majority : 1;
	}

	/**
	 * Databases that may be promoted. A primary that cannot replicate has the highest position, but nothing that was
	 * acknowledged is missing at a majority of the others; it is fenced when it is told to follow.
	 */
	private get electors(): readonly DatabaseWatch[] {
		const {monitor, need} = this.options;
		return need.isWithoutPrimary ? monitor.watches.filter(({database}) => database !== need.oldPrimary) : monitor.watches;
	}

	private async outcome(): Promise<PromotionRecord['outcome']> {
		try {
			await this.askAll();
			await this.drainPrimary();
			const fenced = await this.fenceMajority();
			const promoted = await this.promoteBest(fenced);
			await this.followOthers(promoted);
			return 'promoted';
		} catch (error) {
			this.steps.push(error instanceof Error ? error.message : String(error));
			return error instanceof AttemptEnd ? error.outcome : 'failed';
		}
	}

	private async askAll(): Promise<void> {
		const {monitor, isStillNeeded} = this.options;
		const answers = await gather(monitor.watches.map(async watch => this.limited(watch, 'monitor', async signal => watch.ask(signal))), this.gatherOptions());
		const statuses = answers.map(({status}) => status);
		const countable = monitor.countable(statuses);
		this.isNewGroup = isNewGroup(statuses, monitor.watches.length);
		this.steps.push(`${answers.length} of ${monitor.watches.length} databases answered, ${countable.length} of them with state or in a new group`);
		if (countable.length < this.enough) {
			throw new AttemptEnd('noMajority', `a majority is ${monitor.majority}; nothing was changed`);
		}

		if (!isStillNeeded()) {
			throw new AttemptEnd('lostRace', 'the promotion is not needed any more; nothing was changed');
		}

		this.term = 1 + Math.max(...monitor.observations().map(({status}) => Math.max(status.fencedTerm, status.followsTerm, status.position.term)));
	}

	/** Before a planned change: stops writes at the primary alone and lets a replica receive the rest of the log. */
	private async drainPrimary(): Promise<void> {
		const {monitor, need, signal} = this.options;
		const leader = need.isPlanned ? findLeader(monitor.observations()) : undefined;
		const watch = leader && monitor.watchOf(leader.status.database);
		if (!watch) {
			return;
		}

		const {accepted, status} = await this.fence(watch);
		if (!accepted) {
			throw new AttemptEnd('lostRace', `${watch.database} is fenced at term ${status.fencedTerm} by another proxy`);
		}

		this.steps.push(`${watch.database} accepts no more writes, at ${positionText(status)}`);
		const leaving = new Set(monitor.options.spec().databases.filter(database => database.leaving).map(({name}) => name));
		const replicas = monitor.watches.filter(({database}) => !leaving.has(database));
		const waits = replicas.map(async ({database}) => monitor.waitForDatabase(database, status.position, catchUpLimitMs, signal));
		const caughtUp = await gather(waits, {
			...this.gatherOptions(), limitMs: catchUpLimitMs, enough: 1, graceMs: 0,
		});
		this.steps.push(caughtUp.includes(true) ? 'a replica holds the whole log' : `no replica held the whole log within ${catchUpLimitMs} ms`);
	}

	private async fenceMajority(): Promise<readonly DatabaseStatus[]> {
		const {monitor} = this.options;
		const refused: DatabaseStatus[] = [];
		// A database may lose its state between the question and the fence, so the answer to the fence is checked as well.
		const counts = (status: DatabaseStatus) => this.isNewGroup || monitor.counts(status);
		const fences = this.electors.filter(({latest}) => !latest || counts(latest.status)).map(async watch => {
			const {accepted, status} = await this.fence(watch);
			if (accepted && status.fencedTerm === this.term && counts(status)) {
				return status;
			}

			refused.push(status);
			throw new Error(`${watch.database} refused the fence`);
		});
		const {enough} = this;
		const fenced = await gather(fences, {...this.gatherOptions(), limitMs: callLimitMs * callTries, enough});
		this.steps.push(`fenced at term ${this.term}: ${fenced.map(status => `${status.database} at ${positionText(status)}`).join(', ') || 'none'}`);
		if (fenced.length >= enough) {
			return fenced;
		}

		const [other] = refused.filter(status => status.fencedTerm >= this.term).toSorted((a, b) => b.fencedTerm - a.fencedTerm);
		throw other
			? new AttemptEnd('lostRace', `${other.database} is fenced at term ${other.fencedTerm} by another proxy`)
			: new AttemptEnd('noMajority', `a majority is ${enough}; the next attempt takes a higher term`);
	}

	private async promoteBest(fenced: readonly DatabaseStatus[]): Promise<DatabaseStatus> {
		const {monitor, need, owner} = this.options;
		const candidate = chooseCandidate(fenced, monitor.options.spec(), need.oldPrimary)!;
		const watch = monitor.watchOf(candidate.database)!;
		this.candidate = candidate.database;
		const {accepted, status} = await this.repeat(watch, 'promote', async signal => watch.control.promote(this.term, owner, signal));
		if (!accepted) {
			throw new AttemptEnd('lostRace', `${candidate.database} refused the promotion; it is fenced at term ${status.fencedTerm}`);
		}

		this.steps.push(`promoted ${candidate.database} at ${positionText(candidate)}`);
		return status;
	}

	private async followOthers(promoted: DatabaseStatus): Promise<void> {
		const {monitor} = this.options;
		const address = addressOf(monitor.options.spec(), promoted.database);
		const others = monitor.watches.filter(({database}) => database !== promoted.database);
		const follows = others.map(async watch => {
			const askedAtMs = monitor.options.clock.nowMs();
			const answer = await this.limited(watch, 'follow', async signal => watch.control.follow(this.term, address, signal));
			watch.note(answer.status, askedAtMs);
			return answer;
		});
		const answers = await gather(follows, {...this.gatherOptions(), enough: monitor.majority - 1});
		const following = answers.filter(({accepted}) => accepted).map(({status}) => status.database);
		this.steps.push(`following ${promoted.database}: ${following.join(', ') || 'none yet'}; the monitors repeat the call at the others`);
	}

	private async fence(watch: DatabaseWatch): Promise<ControlResult> {
		return this.repeat(watch, 'fence', async signal => watch.control.fence(this.term, this.options.owner, signal));
	}

	/** Repeats a call whose answer was lost, and takes the status of its answer. */
	private async repeat(watch: DatabaseWatch, step: 'fence' | 'promote', run: (signal: AbortSignal) => Promise<ControlResult>): Promise<ControlResult> {
		for (let tried = 1; ; tried++) {
			const askedAtMs = this.options.monitor.options.clock.nowMs();
			try {
				const answer = await this.limited(watch, step, run);
				watch.note(answer.status, askedAtMs);
				return answer;
			} catch (error) {
				if (tried === callTries || this.options.signal.aborted) {
					throw error;
				}
			}
		}
	}

	private async limited<T>(watch: DatabaseWatch, step: 'monitor' | 'fence' | 'promote' | 'follow', run: (signal: AbortSignal) => Promise<T>): Promise<T> {
		const {monitor, signal} = this.options;
		const failure = databaseFailure(step, watch.database, `no answer within ${callLimitMs} ms`);
		return withTimeLimit({
			clock: monitor.options.clock, limitMs: callLimitMs, signal, failure,
		}, run);
	}

	private gatherOptions(): GatherOptions {
		const {monitor, signal} = this.options;
		return {
			clock: monitor.options.clock, signal, limitMs: callLimitMs, enough: monitor.majority, graceMs: fenceGraceMs,
		};
	}
}

function positionText({position}: DatabaseStatus): string {
	return `${position.term}:${position.offsetBytes.toString(16)}`;
}
