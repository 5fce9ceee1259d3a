import {
	FailureError, sqlStateForFailure, sqlStates, toFailure, type Failure, type FailureStep,
} from '@crocusloom/model';
import {errorResponse} from '@crocusloom/wire';

/** SQLSTATE codes that only this package reports, in addition to those of the model. */
export const callerSqlStates = {
	featureNotSupported: '0A000',
	invalidParameterValue: '22023',
	activeTransaction: '25001',
	inFailedTransaction: '25P02',
	invalidStatementName: '26000',
	duplicatePreparedStatement: '42P05',
	programLimitExceeded: '54000',
	tooManyConnections: '53300',
	queryCanceled: '57014',
} as const;

/** Creates an error of kind `protocol`, which is reported to the caller with the given SQLSTATE. */
export function protocolError(step: FailureStep, peer: string, sqlState: string, message: string): FailureError {
	return new FailureError({
		kind: 'protocol', step, peer, sqlState, message,
	});
}

/** Returns the failure reported to callers whose connection is closed because the proxy shuts down. They are expected to connect to another proxy. */
export function shutdownFailure(peer: string): Failure {
	return {
		kind: 'protocol', step: 'drain', peer, sqlState: sqlStates.adminShutdown, message: 'terminating connection because the proxy is shutting down',
	};
}

/** Returns the failure reported to a caller whose connection is closed at the drain deadline while one of its statements runs. */
export function interruptedFailure(peer: string): Failure {
	return {
		kind: 'unknown', step: 'drain', peer, message: 'terminating connection because the proxy is shutting down; the statement may have run',
	};
}

/** Returns the failure reported to a caller that has canceled a statement before it was sent to a backend server. */
export function canceledFailure(peer: string): Failure {
	return {
		kind: 'protocol', step: 'forward', peer, sqlState: callerSqlStates.queryCanceled, message: 'the statement was canceled before it ran',
	};
}

/** Converts any error to a failure. An error other than a `FailureError` is a bug in the proxy and is reported as an internal error. */
export function toCallerFailure(error: unknown, peer: string): Failure {
	return toFailure(error, message => ({
		kind: 'protocol', step: 'forward', peer, sqlState: sqlStates.internalError, message,
	}));
}

/** Returns the outcome that the error detail reports: whether the statement may have run. */
function outcomeTagOf(failure: Failure): 'not_run' | 'unknown' {
	return failure.kind === 'unknown' ? 'unknown' : 'not_run';
}

/**
 * Builds the ErrorResponse for a failure. Its detail tells the caller whether the statement may have run.
 * @param failure - failure to report
 * @param severity - FATAL if the connection is closed afterwards
 */
export function buildFailureResponse(failure: Failure, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
	const retryAfterMs = failure.kind === 'notRun' ? failure.retryAfterMs : undefined;
	return errorResponse({
		severity,
		sqlState: sqlStateForFailure(failure),
		message: failure.message,
		detail: `outcome=${outcomeTagOf(failure)}; step=${failure.step}; peer=${failure.peer}`,
		hint: retryAfterMs === undefined ? undefined : `retry after ${Math.ceil(retryAfterMs)} ms`,
	});
}
