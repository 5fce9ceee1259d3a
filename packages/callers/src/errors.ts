import {
	FailureError, sqlStateForFailure, sqlStates, toFailure, type Failure, type FailureStep,
} from '@crocusloom/model';
import {errorResponse} from '@crocusloom/wire';

/** SQLSTATEs of refusals that only the callers' side issues. */
export const callerSqlStates = {
	featureNotSupported: '0A000',
	invalidParameterValue: '22023',
	activeTransaction: '25001',
	inFailedTransaction: '25P02',
	invalidStatementName: '26000',
	duplicatePreparedStatement: '42P05',
	programLimitExceeded: '54000',
	tooManyConnections: '53300',
} as const;

/** Makes a refusal that is reported to the caller as its SQLSTATE. */
export function refusal(step: FailureStep, peer: string, sqlState: string, message: string): FailureError {
	return new FailureError({
		kind: 'protocol', step, peer, sqlState, message,
	});
}

/** The proxy is shutting down; the caller should connect to another one. */
export function shutDownFailure(peer: string): Failure {
	return {
		kind: 'protocol', step: 'drain', peer, sqlState: sqlStates.adminShutdown, message: 'terminating connection because the proxy is shutting down',
	};
}

/** Gives the failure of any error; an error without one is a fault of the proxy itself. */
export function failureOf(error: unknown, peer: string): Failure {
	return toFailure(error, message => ({
		kind: 'protocol', step: 'forward', peer, sqlState: sqlStates.internalError, message,
	}));
}

/** Tag of the outcome, for a failure that is not a refusal by the protocol. */
function outcomeOf(failure: Failure): 'not_run' | 'unknown' {
	return failure.kind === 'unknown' ? 'unknown' : 'not_run';
}

/**
 * Builds the ErrorResponse by which a caller can tell the outcomes apart.
 * @param failure - what went wrong
 * @param severity - FATAL when the connection is closed afterwards
 */
export function failureResponse(failure: Failure, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
	const retryAfterMs = failure.kind === 'notRun' ? failure.retryAfterMs : undefined;
	return errorResponse({
		severity,
		sqlState: sqlStateForFailure(failure),
		message: failure.message,
		detail: `outcome=${outcomeOf(failure)}; step=${failure.step}; peer=${failure.peer}`,
		hint: retryAfterMs === undefined ? undefined : `retry after ${Math.ceil(retryAfterMs)} ms`,
	});
}
