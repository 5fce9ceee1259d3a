import {type Failure} from './types.js';

/** SQLSTATE codes of the errors that the proxy itself reports. */
export const sqlStates = {
	cannotConnectNow: '57P03',
	insufficientResources: '53000',
	transactionResolutionUnknown: '08007',
	adminShutdown: '57P01',
	protocolViolation: '08P01',
	invalidCatalogName: '3D000',
	invalidPassword: '28P01',
	internalError: 'XX000',
	uniqueViolation: '23505',
} as const;

/** An `Error` that carries a `Failure`. Handlers tell failures apart by `failure.kind`. */
export class FailureError extends Error {
	override readonly name = 'FailureError';

	constructor(readonly failure: Failure, options?: ErrorOptions) {
		super(`${failure.step} at ${failure.peer}: ${failure.message}`, options);
	}
}

/**
 * Throws a failure as a `FailureError`.
 * @param failure - the failure, with the step and the peer at which it occurred
 * @throws FailureError always
 */
export function fail(failure: Failure): never {
	throw new FailureError(failure);
}

/**
 * Converts a caught value to a failure.
 * @param error - the caught value
 * @param createFallback - creates the failure from the error message if the value is not a `FailureError`
 * @returns the failure that the error carries, or the fallback
 */
export function toFailure(error: unknown, createFallback: (message: string) => Failure): Failure {
	if (error instanceof FailureError) {
		return error.failure;
	}

	return createFallback(errorMessageOf(error));
}

/** Returns the message of a caught value, which need not be an `Error`. */
export function errorMessageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/** Returns the stack of a caught value for the log, or its text if it is not an `Error`. */
export function errorStackOf(error: unknown): string {
	return error instanceof Error ? error.stack ?? error.message : String(error);
}

const sqlStateByKind: {readonly [K in Failure['kind']]: (failure: Extract<Failure, {kind: K}>) => string} = {
	notRun: failure => failure.reason === 'shed' || failure.reason === 'limit' ? sqlStates.insufficientResources : sqlStates.cannotConnectNow,
	unknown: () => sqlStates.transactionResolutionUnknown,
	protocol: failure => failure.sqlState,
	platform: () => sqlStates.internalError,
	conflict: () => sqlStates.internalError,
	invalid: () => sqlStates.internalError,
	peer: () => sqlStates.internalError,
};

/**
 * Returns the SQLSTATE reported for a failure, so that a caller can tell a statement that did not run from one with an unknown outcome.
 * @param failure - the failure to report
 * @returns five-character SQLSTATE
 */
export function sqlStateForFailure(failure: Failure): string {
	return (sqlStateByKind[failure.kind] as (failure: Failure) => string)(failure);
}
