import {type Outcome} from './types.js';

/** Fields of an error from `pg` that determine the outcome. */
type PgErrorFields = {readonly code?: string; readonly detail?: string; readonly message?: string};

/** Thrown when a request gets no response before its timeout. */
export class NoAnswerError extends Error {
	override readonly name = 'NoAnswerError';
}

/** Message with which `pg` rejects a query on a connection that has already failed; nothing is sent in this case. */
const notQueryableMessage = 'Client has encountered a connection error and is not queryable';

/**
 * Determines the outcome of a request from its error.
 * @param error - rejection value of `pg`, or a {@link NoAnswerError}
 * @returns the outcome; `unknown` if the connection closed after the request was sent
 */
export function classifyError(error: unknown): Outcome {
	if (error instanceof NoAnswerError) {
		return 'lost';
	}

	const {code, detail, message} = error as PgErrorFields;
	if (message === notQueryableMessage) {
		return 'notSent';
	}

	if (detail?.includes('outcome=not_run')) {
		return 'notRun';
	}

	const isServerError = /^[\dA-Z]{5}$/v.test(code ?? '') && !(code ?? '').startsWith('E');
	const isUnknown = !isServerError || (detail ?? '').includes('outcome=unknown');
	return isUnknown ? 'unknown' : 'failed';
}

/** Short description by which errors are grouped; numbers in the message are replaced by `N`, so that they do not split a group. */
export function errorReason(error: unknown): string {
	const {code, message, detail} = error as PgErrorFields;
	const step = /step=\w+/v.exec(detail ?? '')?.[0] ?? '';
	return [code, message?.replaceAll(/\d+/gv, 'N'), step].filter(Boolean).join(' ');
}
