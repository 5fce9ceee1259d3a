import {
	FailureError, toFailure, type ExchangeOptions, type FrameSink, type GroupState, type LogPosition, type NotRunReason, type WorkIntent,
} from '@crocusloom/model';

/** What one call of `dispatch` knows of its attempts. */
export type DispatchRun = {
	readonly intent: WorkIntent;
	readonly frames: Buffer;
	readonly sink: FrameSink;
	readonly options: ExchangeOptions;
	/** End of the wait limit; a read that is run again after a loss gets a new one. */
	deadlineMs: number;
	/** Databases that refused this read. */
	readonly excluded: Set<string>;
	commitPosition?: LogPosition;
	/** True if the last attempt found a database; false if it was refused before that. */
	hasChosen: boolean;
	/** True once a replica refused the read, so that only the primary is left. */
	primaryOnly: boolean;
	/** True once a replica that was behind was asked to wait. */
	triedReplicaBehind: boolean;
	/** Whether a byte of the answer went to the caller; kept for reads only. */
	readonly progress: {hasForwarded: boolean};
	/** Failures of the runs of this read whose answer was lost. */
	readonly lostRuns: unknown[];
	/** True once the read turned out to write, so that it must not be run twice. */
	mayWrite: boolean;
	/** True once the write waits for a primary beyond its rank's target. */
	awaitsFailover: boolean;
	/** True during an attempt that the failover queue allowed. */
	hasTurn: boolean;
	pauseMs: number;
	/** Term and primary at the last attempt. */
	seen: string;
};

/** First pause before an attempt is repeated; it doubles up to the longest. */
export const firstPauseMs = 20;
export const longestPauseMs = 320;

/** Runs of a read that may be lost before the loss is reported. */
const maximumLostRuns = 3;

/**
 * Tells whether a lost run may be followed by another one: only that of a read of which the caller has seen nothing.
 */
export function mayRunAgain(run: DispatchRun, error: unknown): boolean {
	const {intent, options, progress} = run;
	const isLost = error instanceof FailureError && error.failure.kind === 'unknown';
	const isWanted = !options.signal.aborted && !options.cancelSignal?.aborted;
	return isLost && isWanted && intent.mode === 'read' && !progress.hasForwarded && !run.mayWrite && run.lostRuns.length < maximumLostRuns;
}

/** Identifies who leads, so that a change of it is noticed. */
export function leadershipOf(state: GroupState | undefined): string {
	return `${state?.term ?? 0} ${state?.primary ?? ''}`;
}

/** What to do after a refusal; nothing ran in any case. */
export type Remedy
	/** Try another database at once, at the expense of the retry budget. */
	= | 'elsewhere'
	/** Try the primary at once; costs nothing, because a replica that is behind is no failure. */
		| 'primary'
	/** Wait until the leadership changes or a pause is over; costs nothing. */
		| 'awaitLeader'
	/** Wait likewise in the failover queue, for longer than the rank's target. */
		| 'awaitFailover'
	/** Wait likewise, and take a retry from the budget unless the leadership changed. */
		| 'pause'
		| 'giveUp';

const writeRemedies: Readonly<Record<NotRunReason, Remedy>> = {
	notPrimary: 'awaitFailover',
	noPrimary: 'awaitFailover',
	unreachable: 'awaitFailover',
	leaving: 'pause',
	draining: 'pause',
	tooStale: 'pause',
	shed: 'giveUp',
	limit: 'giveUp',
	noRoute: 'giveUp',
};

const readRemedies: Readonly<Record<NotRunReason, Remedy>> = {
	...writeRemedies,
	notPrimary: 'awaitLeader',
	noPrimary: 'awaitLeader',
	unreachable: 'elsewhere',
	leaving: 'elsewhere',
	draining: 'elsewhere',
	tooStale: 'primary',
	shed: 'elsewhere',
};

/** Looks up what to do after a refusal. */
export function remedyFor({intent, awaitsFailover}: DispatchRun, reason: NotRunReason): Remedy {
	// The first statements at a new primary measure its run times, so that a waiter may be shed once too early.
	if (awaitsFailover && reason === 'shed') {
		return 'awaitFailover';
	}

	return (intent.mode === 'read' ? readRemedies : writeRemedies)[reason];
}

/** Builds a refusal of the dispatcher's own. */
export function refuse(reason: NotRunReason, group: string, message: string, step: 'route' | 'probe' = 'route'): FailureError {
	return new FailureError({
		kind: 'notRun', reason, step, peer: group, message,
	});
}

/** Gives the reason if an error says that nothing ran. */
export function notRunReason(error: unknown): NotRunReason | undefined {
	const failure = toFailure(error, message => ({
		kind: 'unknown', step: 'route', peer: '', message,
	}));
	return failure.kind === 'notRun' ? failure.reason : undefined;
}
