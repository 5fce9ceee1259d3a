import {type Clock} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type Answer} from './statement.js';
import {type Target, type WorkContext, type WorkResult} from './work.js';

/** State of one statement across all attempts to run it. */
export type StatementExecution = {
	readonly context: WorkContext;
	readonly deadlineMs: number;
	/** Servers that refused the statement. */
	readonly excludedBackends: Set<Backend>;
	attemptCount: number;
	waitedMs: number;
	target: Target | undefined;
	/** Number of the connection that the last attempt used. */
	connectionNumber: number | undefined;
	/** View of the service at the time of the last search; the service may be removed while the statement runs. */
	view: ServiceView | undefined;
	/** True if a write may have reached a server. */
	isWriteSent: boolean;
};

/**
 * Creates the state of a statement before its first attempt.
 * @param nowMs - present time, from which on the timeout of the route counts
 */
export function newExecution(context: WorkContext, nowMs: number): StatementExecution {
	return {
		context,
		deadlineMs: nowMs + context.route.timeoutMs,
		excludedBackends: new Set(),
		attemptCount: 0,
		waitedMs: 0,
		target: undefined,
		connectionNumber: undefined,
		view: undefined,
		isWriteSent: false,
	};
}

/** Returns the time until the deadline of a statement; negative after it. */
export function remainingMs({deadlineMs}: StatementExecution, clock: Clock): number {
	return deadlineMs - clock.nowMs();
}

/** Returns the result of a statement with its last answer. */
export function resultOf(execution: StatementExecution, answer: Answer): WorkResult {
	return {
		answer,
		server: execution.target?.backend.id,
		connectionNumber: execution.connectionNumber,
		leadTerm: execution.target?.primary?.term,
		minimumPosition: execution.target?.minimumPosition,
		attempts: execution.attemptCount,
		waitedMs: execution.waitedMs,
	};
}
