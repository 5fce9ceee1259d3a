import {type FailureError} from '@crocusloom/model';
import {SlotUse} from './slotUse.js';
import {TurnQueue} from './turnQueue.js';

/** Run time assumed before any statement of a rank was measured. */
const initialRunMs = 2;
/** Weight of the newest run time in the moving mean. */
const runMeanWeight = 0.1;
/** Least share of slot time assumed in estimates, so that an expected wait stays finite. */
const leastShare = 0.01;

export type RankPolicy = {
	readonly rank: string;
	/** 1 is the most urgent. */
	readonly order: number;
	readonly targetMs: number;
	readonly floorShare: number;
};

/** A statement that asks for a slot. */
export type SlotRequest = {
	readonly rank: string;
	readonly callerKey: string;
	/** True if the unit of work has a connection with an open transaction. */
	readonly inTransaction: boolean;
	readonly waitLimitMs: number;
};

/** A slot, to be released once the answer is in. */
export type SlotGrant = {
	readonly waitMs: number;
	release(): void;
};

export type AdmissionLimits = {readonly slotLimit: number; readonly ranks: readonly RankPolicy[]};

/** A waiting statement. */
export type Ticket = {
	readonly request: SlotRequest;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	readonly resolve: (grant: SlotGrant) => void;
	readonly reject: (error: FailureError) => void;
};

/** Queues and counts of one rank. */
export type RankState = {
	policy: RankPolicy;
	readonly transactions: TurnQueue<Ticket>;
	readonly fresh: TurnQueue<Ticket>;
	readonly use: SlotUse;
	meanRunMs: number;
	served: number;
	shed: number;
};

/** Connections for new units of work; work inside a transaction has one already. */
export type ConnectionGate = {
	/** True if a connection is left for a rank; `moreUrgentRanks` counts the ranks before it. */
	mayReserve(moreUrgentRanks: number): boolean;
	/** Promises a connection to the unit of work that is being granted a slot. */
	reserve(): void;
	/** True while the database may have stopped answering. */
	isDoubtful(): boolean;
};

export const openGate: ConnectionGate = {mayReserve: () => true, reserve: () => undefined, isDoubtful: () => false};

/** Policy of a rank that the configuration does not name: behind all others, without a floor. */
export function unknownRank(rank: string): RankPolicy {
	return {
		rank, order: Number.MAX_SAFE_INTEGER, targetMs: 1000, floorShare: 0,
	};
}

/** Starts the counts of a rank. */
export function newRankState(rank: string, nowMs: number): RankState {
	return {
		policy: unknownRank(rank),
		transactions: new TurnQueue(),
		fresh: new TurnQueue(),
		use: new SlotUse(nowMs),
		meanRunMs: initialRunMs,
		served: 0,
		shed: 0,
	};
}

/** Adds a run time to the moving mean of a rank. */
export function noteRunTime(state: RankState, runMs: number): void {
	state.meanRunMs += (runMs - state.meanRunMs) * runMeanWeight;
}

type Moment = {readonly slotLimit: number; readonly nowMs: number};

/**
 * Estimates how long a new statement would wait: the run time of those before it, spread over the slots that the rank
 * can count on.
 * @returns milliseconds
 */
export function estimateWaitMs(state: RankState, all: readonly RankState[], request: SlotRequest, moment: Moment): number {
	const queue = request.inTransaction ? state.transactions : state.fresh;
	const ahead = queue.aheadOf(request.callerKey) + (request.inTransaction ? 0 : state.transactions.length);
	return ((ahead + 1) * state.meanRunMs) / (moment.slotLimit * shareLeftFor(state, all, moment));
}

/** Share of slot time that the rank can count on: what more urgent ranks and the floors of the others leave. */
function shareLeftFor(state: RankState, all: readonly RankState[], {slotLimit, nowMs}: Moment): number {
	let left = 1;
	for (const other of all) {
		if (other !== state) {
			const share = other.use.share(nowMs, slotLimit);
			left -= other.policy.order < state.policy.order ? share : Math.min(share, other.policy.floorShare);
		}
	}

	return Math.max(left, state.policy.floorShare, leastShare);
}
