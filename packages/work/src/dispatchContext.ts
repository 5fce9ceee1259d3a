import {
	FailureError, toFailure, type ExchangeOptions, type FrameSink, type GroupState, type LogPosition, type NotRunReason, type WorkIntent,
} from '@crocusloom/model';

/** State of one `dispatch` call across its attempts. */
export type DispatchContext = {
	readonly intent: WorkIntent;
	readonly frames: Buffer;
	readonly sink: FrameSink;
	readonly options: ExchangeOptions;
	/** End of the wait limit. A read that is rerun after its response was lost gets a new deadline. */
	deadlineMs: number;
	/** Databases at which an attempt failed. Reads are not sent to them until `retryAfterPause` clears the set. */
	readonly excludedDatabases: Set<string>;
	commitPosition?: LogPosition;
	/** True if the last attempt chose a database, false if it failed before that. */
	hasChosenDatabase: boolean;
	/** True if only the primary may serve the read, because a replica refused it. */
	isPrimaryOnly: boolean;
	/** True if the read was already sent to a lagging replica to wait for its position there. */
	hasTriedLaggingReplica: boolean;
	/** Records whether part of the response was sent to the caller. Updated for reads only. */
	readonly progress: {hasForwardedResponse: boolean};
	/** Errors of earlier runs of this read whose responses were lost. */
	readonly lostRunErrors: unknown[];
	/** True if the read attempted a write at a replica, so that it must not be run twice. */
	hasAttemptedWrite: boolean;
	/** True if the write waits for a primary beyond the target of its rank. */
	isAwaitingFailover: boolean;
	/** True during an attempt for which the failover queue granted a turn. */
	hasFailoverTurn: boolean;
	nextPauseMs: number;
	/** Leadership key at the last attempt, see `leadershipKey`. */
	seenLeadership: string;
};

/** Initial pause before a retry. It doubles with each pause up to the maximum. */
export const initialPauseMs = 20;
export const maximumPauseMs = 320;

/** Maximum number of times that a read is rerun because its response was lost. */
const maximumLostRuns = 3;

/**
 * Returns whether a read whose response was lost may be run again. The caller must not have received any of the response, and
 * the statement must not have attempted a write.
 */
export function canRerunLostRead(context: DispatchContext, error: unknown): boolean {
	const {intent, options, progress} = context;
	const isResponseLost = error instanceof FailureError && error.failure.kind === 'unknown';
	const isStillWanted = !options.signal.aborted && !options.cancelSignal?.aborted;
	return isResponseLost && isStillWanted && intent.mode === 'read' && !progress.hasForwardedResponse && !context.hasAttemptedWrite && context.lostRunErrors.length < maximumLostRuns;
}

/** Returns a key of the term and the primary. Comparing two keys detects a leadership change. */
export function leadershipKey(state: GroupState | undefined): string {
	return `${state?.term ?? 0} ${state?.primary ?? ''}`;
}

/** What to do after an attempt that failed without running. */
export type RetryAction
	/** Retry at another database at once, using the retry budget. */
	= | 'otherDatabase'
	/** Retry at the primary at once. Uses no retry budget, because a lagging replica is not a failure. */
		| 'primary'
	/** Wait until the leadership changes or a pause ends. Uses no retry budget. */
		| 'awaitLeaderChange'
	/** Wait in the failover queue, for longer than the target of the rank. */
		| 'awaitFailover'
	/** Wait until the leadership changes or a pause ends. Uses the retry budget unless the leadership changed. */
		| 'backOff'
		| 'giveUp';

const writeRetryActions: Readonly<Record<NotRunReason, RetryAction>> = {
	notPrimary: 'awaitFailover',
	noPrimary: 'awaitFailover',
	unreachable: 'awaitFailover',
	leaving: 'backOff',
	draining: 'backOff',
	tooStale: 'backOff',
	shed: 'giveUp',
	limit: 'giveUp',
	noRoute: 'giveUp',
};

const readRetryActions: Readonly<Record<NotRunReason, RetryAction>> = {
	...writeRetryActions,
	notPrimary: 'awaitLeaderChange',
	noPrimary: 'awaitLeaderChange',
	unreachable: 'otherDatabase',
	leaving: 'otherDatabase',
	draining: 'otherDatabase',
	tooStale: 'primary',
	shed: 'otherDatabase',
};

/** Returns the retry action for an attempt that failed without running. */
export function retryActionFor({intent, isAwaitingFailover}: DispatchContext, reason: NotRunReason): RetryAction {
	// Run times at a new primary are not known until its first statements finish, so a waiting write may be shed too early.
	if (isAwaitingFailover && reason === 'shed') {
		return 'awaitFailover';
	}

	return (intent.mode === 'read' ? readRetryActions : writeRetryActions)[reason];
}

/** Creates a `notRun` error raised by the dispatcher itself. */
export function notRunError(reason: NotRunReason, group: string, message: string, step: 'route' | 'probe' = 'route'): FailureError {
	return new FailureError({
		kind: 'notRun', reason, step, peer: group, message,
	});
}

/** Returns the reason of a `notRun` error, or undefined for any other error. */
export function notRunReason(error: unknown): NotRunReason | undefined {
	const failure = toFailure(error, message => ({
		kind: 'unknown', step: 'route', peer: '', message,
	}));
	return failure.kind === 'notRun' ? failure.reason : undefined;
}
