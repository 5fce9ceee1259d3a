import {type Failure} from './types.js';

/** SQLSTATEs of the outcomes that the proxy itself reports. */
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

/** An `Error` that carries a tagged failure, so that it can be thrown and matched by `failure.kind`. */
export class FailureError extends Error {
	override readonly name = 'FailureError';

	constructor(readonly failure: Failure, options?: ErrorOptions) {
		super(`${failure.step} at ${failure.peer}: ${failure.message}`, options);
	}
}

/**
 * Throws a failure.
 * @param failure - what went wrong, with step and peer
 * @throws FailureError always
 */
export function fail(failure: Failure): never {
	throw new FailureError(failure);
}

/**
 * Gives the failure carried by an error of any kind.
 * @param error - what was caught
 * @param createFallback - failure to use when the error carries none
 * @returns the failure
 */
export function toFailure(error: unknown, createFallback: (message: string) => Failure): Failure {
	if (error instanceof FailureError) {
		return error.failure;
	}

	return createFallback(errorMessageOf(error));
}

/** Gives the message of whatever was thrown. */
export function errorMessageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
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
 * Picks the SQLSTATE by which a caller can tell the outcomes apart.
 * @param failure - the failure to report
 * @returns five-character SQLSTATE
 */
export function sqlStateForFailure(failure: Failure): string {
	return (sqlStateByKind[failure.kind] as (failure: Failure) => string)(failure);
}
