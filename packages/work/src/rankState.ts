import {type FailureError} from '@crocusloom/model';
import {SlotUse} from './slotUse.js';
import {RoundRobinQueue} from './roundRobinQueue.js';

/** Run time assumed for a rank until its first statement finishes. */
const initialRunTimeMs = 2;
/** Smoothing factor of the exponential moving average of run times. */
const runTimeSmoothingFactor = 0.1;
/** Minimum share of slot time assumed in estimates, so that the expected wait stays finite. */
const minimumShare = 0.01;

export type RankPolicy = {
	readonly rank: string;
	/** 1 is the most urgent. */
	readonly order: number;
	readonly targetMs: number;
	readonly floorShare: number;
};

/** Request of a statement for a slot. */
export type SlotRequest = {
	readonly rank: string;
	readonly callerKey: string;
	/** True if the unit of work already has a connection, with an open transaction. */
	readonly isInTransaction: boolean;
	readonly waitLimitMs: number;
};

/** A granted slot. Must be released when the response is complete. */
export type SlotGrant = {
	readonly waitMs: number;
	release(): void;
};

export type AdmissionLimits = {readonly slotLimit: number; readonly ranks: readonly RankPolicy[]};

/** A statement that waits for a slot. */
export type Waiter = {
	readonly request: SlotRequest;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	readonly resolve: (grant: SlotGrant) => void;
	readonly reject: (error: FailureError) => void;
};

/** Queues and counters of one rank. */
export type RankState = {
	policy: RankPolicy;
	readonly transactionQueue: RoundRobinQueue<Waiter>;
	readonly newWorkQueue: RoundRobinQueue<Waiter>;
	readonly slotUse: SlotUse;
	averageRunMs: number;
	served: number;
	shed: number;
};

/** Availability of connections for new units of work. Work inside a transaction already has a connection. */
export type ConnectionGate = {
	/** Returns whether a rank may reserve a connection. `moreUrgentRanks` is the number of more urgent ranks. */
	mayReserve(moreUrgentRanks: number): boolean;
	/** Reserves a connection for the unit of work to which a slot is granted. */
	reserve(): void;
	/** Returns whether the database has not answered for some time, so that it may have failed. */
	isUnresponsive(): boolean;
};

export const unlimitedGate: ConnectionGate = {mayReserve: () => true, reserve: () => undefined, isUnresponsive: () => false};

/** Returns the policy of a rank that is not configured: less urgent than all others, and without a floor. */
export function unconfiguredRankPolicy(rank: string): RankPolicy {
	return {
		rank, order: Number.MAX_SAFE_INTEGER, targetMs: 1000, floorShare: 0,
	};
}

/** Creates the state of a rank, with empty queues. */
export function newRankState(rank: string, nowMs: number): RankState {
	return {
		policy: unconfiguredRankPolicy(rank),
		transactionQueue: new RoundRobinQueue(),
		newWorkQueue: new RoundRobinQueue(),
		slotUse: new SlotUse(nowMs),
		averageRunMs: initialRunTimeMs,
		served: 0,
		shed: 0,
	};
}

/** Adds a run time to the exponential moving average of a rank. */
export function recordRunTime(state: RankState, runMs: number): void {
	state.averageRunMs += (runMs - state.averageRunMs) * runTimeSmoothingFactor;
}

type SlotSnapshot = {readonly slotLimit: number; readonly nowMs: number};

/**
 * Estimates how long a new statement would wait: the run time of the statements ahead of it, divided by the share of slots that
 * is available to the rank.
 * @returns milliseconds
 */
export function estimateWaitMs(state: RankState, ranks: readonly RankState[], request: SlotRequest, snapshot: SlotSnapshot): number {
	const queue = request.isInTransaction ? state.transactionQueue : state.newWorkQueue;
	const waitersAhead = queue.countAhead(request.callerKey) + (request.isInTransaction ? 0 : state.transactionQueue.length);
	return ((waitersAhead + 1) * state.averageRunMs) / (snapshot.slotLimit * availableShareOf(state, ranks, snapshot));
}

/** Returns the share of slot time that more urgent ranks and the floors of the other ranks leave to a rank. */
function availableShareOf(state: RankState, ranks: readonly RankState[], {slotLimit, nowMs}: SlotSnapshot): number {
	let remainingShare = 1;
	for (const other of ranks) {
		if (other !== state) {
			const share = other.slotUse.share(nowMs, slotLimit);
			remainingShare -= other.policy.order < state.policy.order ? share : Math.min(share, other.policy.floorShare);
		}
	}

	return Math.max(remainingShare, state.policy.floorShare, minimumShare);
}
