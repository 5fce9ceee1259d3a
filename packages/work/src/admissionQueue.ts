import {
	FailureError, type Clock, type HolderStats, type NotRunReason,
} from '@crocusloom/model';
import {
	estimateWaitMs, newRankState, recordRunTime, unlimitedGate, unconfiguredRankPolicy, type AdmissionLimits, type ConnectionGate, type RankState, type SlotGrant, type SlotRequest, type Waiter,
} from './rankState.js';
import {type RoundRobinQueue} from './roundRobinQueue.js';

/** Maximum length of each queue of a rank, to bound memory. */
export const maximumQueuedPerRank = 1024;
/** Interval of the shared check for statements whose wait limit has passed. */
const sweepIntervalMs = 5;

/** Grants the slots of one database by rank (section 9 of `docs/design.md`). */
export class AdmissionQueue {
	private readonly stateByRank = new Map<string, RankState>();
	/** States of all ranks, the most urgent rank first. */
	private statesByUrgency: RankState[] = [];
	private slotLimit: number;
	private busySlotCount = 0;
	private isSweeping = false;

	/**
	 * @param database - name of the database, for failures
	 * @param limits - number of slots, and policies of the ranks
	 * @param clock - measures waits and slot use
	 * @param gate - availability of connections for new units of work
	 */
	constructor(
		private readonly database: string,
		limits: AdmissionLimits,
		private readonly clock: Clock,
		private readonly gate: ConnectionGate = unlimitedGate,
	) {
		this.slotLimit = limits.slotLimit;
		this.configure(limits);
	}

	get busySlots(): number {
		return this.busySlotCount;
	}

	/** Number of statements that wait for a slot. */
	get waitingCount(): number {
		let count = 0;
		for (const {transactionQueue, newWorkQueue} of this.statesByUrgency) {
			count += transactionQueue.length + newWorkQueue.length;
		}

		return count;
	}

	/** Applies changed slot limits and rank policies. Waiting statements stay in their ranks. */
	configure(limits: AdmissionLimits): void {
		this.slotLimit = limits.slotLimit;
		const policyByRank = new Map(limits.ranks.map(policy => [policy.rank, policy]));
		for (const policy of limits.ranks) {
			this.stateOf(policy.rank).policy = policy;
		}

		for (const [rank, state] of this.stateByRank) {
			state.policy = policyByRank.get(rank) ?? unconfiguredRankPolicy(rank);
		}

		this.sortRanks();
		this.grantWaiting();
	}

	/**
	 * Requests a slot.
	 * @returns the grant itself, without a promise, if a slot is free, so that statements at an idle database do not wait
	 * @throws FailureError `notRun` if the statement is shed, its wait limit passes or the signal aborts
	 */
	acquire(request: SlotRequest, signal?: AbortSignal): SlotGrant | Promise<SlotGrant> {
		const state = this.stateOf(request.rank);
		if (this.busySlotCount < this.slotLimit && this.canStart(state, request.isInTransaction) && this.isNextInLine(state, request)) {
			return this.grant(state, request, 0);
		}

		this.shedIfOverloaded(state, request);
		return this.enqueue(state, request, signal);
	}

	/** Grants free slots to waiting statements. Must also be called when a connection becomes available. */
	grantWaiting(): void {
		while (this.busySlotCount < this.slotLimit) {
			const selected = this.takeNextWaiter();
			if (!selected) {
				return;
			}

			const {state, waiter} = selected;
			waiter.resolve(this.grant(state, waiter.request, this.clock.nowMs() - waiter.arrivedMs));
		}
	}

	/** Rejects all waiting statements, because the database cannot run them. */
	rejectWaiters(reason: NotRunReason, message: string): void {
		for (const {transactionQueue, newWorkQueue} of this.statesByUrgency) {
			for (const queue of [transactionQueue, newWorkQueue]) {
				for (let waiter = queue.shift(); waiter; waiter = queue.shift()) {
					waiter.reject(this.notRunError(reason, message));
				}
			}
		}
	}

	/** Returns the statistics of each rank. */
	stats(): HolderStats['ranks'] {
		const nowMs = this.clock.nowMs();
		return this.statesByUrgency.map(({policy, transactionQueue, newWorkQueue, served, shed, slotUse}) => ({
			rank: policy.rank, queued: transactionQueue.length + newWorkQueue.length, served, shed, slotShare: slotUse.share(nowMs, this.slotLimit),
		}));
	}

	/**
	 * Estimates how long a new statement would wait for a slot.
	 * @returns milliseconds
	 */
	expectedWaitMs(request: SlotRequest): number {
		return estimateWaitMs(this.stateOf(request.rank), this.statesByUrgency, request, {slotLimit: this.slotLimit, nowMs: this.clock.nowMs()});
	}

	private isNextInLine(state: RankState, request: SlotRequest): boolean {
		return request.isInTransaction
			? state.transactionQueue.length === 0
			: this.statesByUrgency.every(other => other.newWorkQueue.length === 0 || !this.canStart(other, false));
	}

	private canStart(state: RankState, isInTransaction: boolean): boolean {
		return isInTransaction || this.gate.mayReserve(this.statesByUrgency.indexOf(state));
	}

	/**
	 * Removes the next statement to serve from its queue. Open transactions come first, then the rank that is furthest below its
	 * floor, then the most urgent rank.
	 */
	private takeNextWaiter(): {readonly state: RankState; readonly waiter: Waiter} | undefined {
		for (const state of this.statesByUrgency) {
			if (state.transactionQueue.length > 0) {
				return {state, waiter: state.transactionQueue.shift()!};
			}
		}

		const waiting = this.statesByUrgency.filter(state => state.newWorkQueue.length > 0 && this.canStart(state, false));
		const state = this.furthestBelowFloor(waiting) ?? waiting[0];
		return state && {state, waiter: state.newWorkQueue.shift()!};
	}

	private furthestBelowFloor(waiting: readonly RankState[]): RankState | undefined {
		if (waiting.length < 2) {
			return undefined;
		}

		const nowMs = this.clock.nowMs();
		let furthest: RankState | undefined;
		let lowestFloorUsage = 1;
		for (const state of waiting) {
			const {floorShare} = state.policy;
			const floorUsage = floorShare === 0 ? 1 : state.slotUse.share(nowMs, this.slotLimit) / floorShare;
			if (floorUsage < lowestFloorUsage) {
				lowestFloorUsage = floorUsage;
				furthest = state;
			}
		}

		return furthest;
	}

	private grant(state: RankState, request: SlotRequest, waitMs: number): SlotGrant {
		const startedMs = this.clock.nowMs();
		if (!request.isInTransaction) {
			this.gate.reserve();
		}

		this.busySlotCount++;
		state.slotUse.start(startedMs);
		let isHeld = true;
		return {
			waitMs,
			release: () => {
				if (isHeld) {
					isHeld = false;
					this.release(state, startedMs);
				}
			},
		};
	}

	private release(state: RankState, startedMs: number): void {
		const nowMs = this.clock.nowMs();
		this.busySlotCount--;
		state.slotUse.stop(nowMs);
		state.served++;
		recordRunTime(state, nowMs - startedMs);
		this.grantWaiting();
	}

	/**
	 * Sheds a statement if its queue is full or its expected wait is too long. Statements inside a transaction are shed only if the
	 * queue is full, because shedding them would waste the transaction.
	 */
	private shedIfOverloaded(state: RankState, request: SlotRequest): void {
		const queue = request.isInTransaction ? state.transactionQueue : state.newWorkQueue;
		const expectedMs = this.expectedWaitMs(request);
		const limitMs = Math.min(state.policy.targetMs, request.waitLimitMs);
		if (queue.length >= maximumQueuedPerRank || (!request.isInTransaction && expectedMs > limitMs)) {
			state.shed++;
			throw this.shedError(`expected wait of ${Math.ceil(expectedMs)} ms for rank ${request.rank} is above ${limitMs} ms`, Math.ceil(expectedMs));
		}
	}

	private async enqueue(state: RankState, request: SlotRequest, signal: AbortSignal | undefined): Promise<SlotGrant> {
		const arrivedMs = this.clock.nowMs();
		const queue = request.isInTransaction ? state.transactionQueue : state.newWorkQueue;
		return new Promise((resolve, reject) => {
			const removeAbortListener = () => {
				signal?.removeEventListener('abort', abort);
			};

			const waiter: Waiter = {
				request,
				arrivedMs,
				deadlineMs: arrivedMs + request.waitLimitMs,
				resolve(grant) {
					removeAbortListener();
					resolve(grant);
				},
				reject(error) {
					removeAbortListener();
					reject(error);
				},
			};
			const abort = () => {
				if (queue.remove(request.callerKey, waiter)) {
					waiter.reject(this.notRunError('limit', 'the caller cancelled while waiting for a slot'));
				}
			};

			if (signal?.aborted) {
				reject(this.notRunError('limit', 'the caller cancelled while waiting for a slot'));
				return;
			}

			signal?.addEventListener('abort', abort, {once: true});
			queue.push(request.callerKey, waiter);
			this.startSweep();
			this.grantWaiting();
		});
	}

	private startSweep(): void {
		if (!this.isSweeping) {
			this.isSweeping = true;
			void this.sweepExpiredWaiters();
		}
	}

	/** Rejects statements whose wait limit has passed. Runs while any statement waits. */
	private async sweepExpiredWaiters(): Promise<void> {
		while (this.statesByUrgency.some(({transactionQueue, newWorkQueue}) => transactionQueue.length + newWorkQueue.length > 0)) {
			await this.clock.sleep(sweepIntervalMs);
			const nowMs = this.clock.nowMs();
			for (const state of this.statesByUrgency) {
				this.expireWaiters(state, state.transactionQueue, nowMs);
				this.expireWaiters(state, state.newWorkQueue, nowMs);
			}
		}

		this.isSweeping = false;
	}

	private expireWaiters(state: RankState, queue: RoundRobinQueue<Waiter>, nowMs: number): void {
		for (const waiter of queue) {
			if (waiter.deadlineMs <= nowMs && queue.remove(waiter.request.callerKey, waiter)) {
				state.shed++;
				waiter.reject(this.shedError(`no slot within ${waiter.request.waitLimitMs} ms`, Math.ceil(this.expectedWaitMs(waiter.request))));
			}
		}
	}

	/**
	 * Creates the error for a statement that is shed. If the database has stopped answering, its reason is `unreachable`, so that the
	 * statement waits for a failover and is not treated as overload.
	 */
	private shedError(message: string, retryAfterMs: number): FailureError {
		return this.gate.isUnresponsive()
			? this.notRunError('unreachable', `${message}, and the database is not responding`)
			: this.notRunError('shed', message, retryAfterMs);
	}

	private notRunError(reason: NotRunReason, message: string, retryAfterMs?: number): FailureError {
		return new FailureError({
			kind: 'notRun', reason, step: 'admission', peer: this.database, message, retryAfterMs,
		});
	}

	private stateOf(rank: string): RankState {
		let state = this.stateByRank.get(rank);
		if (!state) {
			state = newRankState(rank, this.clock.nowMs());
			this.stateByRank.set(rank, state);
			this.sortRanks();
		}

		return state;
	}

	private sortRanks(): void {
		this.statesByUrgency = [...this.stateByRank.values()].toSorted((a, b) => a.policy.order - b.policy.order);
	}
}
