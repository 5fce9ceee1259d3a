import {type Outcome} from './types.js';

/** The parts of a database error of `pg` that tell the outcome. */
type ErrorShape = {readonly code?: string; readonly detail?: string; readonly message?: string};

/** Error of a request that got no answer within its limit. */
export class NoAnswerError extends Error {
	override readonly name = 'NoAnswerError';
}

/** Message by which `pg` refuses a request on a connection that has failed before; nothing is sent. */
const notQueryable = 'Client has encountered a connection error and is not queryable';

/**
 * Tells the outcome from an error.
 * @param error - as `pg` rejects with it
 * @returns `unknown` also for a connection that closed after the request was sent
 */
export function outcomeOf(error: unknown): Outcome {
	if (error instanceof NoAnswerError) {
		return 'lost';
	}

	const {code, detail, message} = error as ErrorShape;
	if (message === notQueryable) {
		return 'notSent';
	}

	if (detail?.includes('outcome=not_run')) {
		return 'notRun';
	}

	const isAnswer = /^[\dA-Z]{5}$/v.test(code ?? '') && !(code ?? '').startsWith('E');
	const isOpen = !isAnswer || (detail ?? '').includes('outcome=unknown');
	return isOpen ? 'unknown' : 'failed';
}

/** Short text of an error for counting, without numbers that differ from case to case. */
export function errorKind(error: unknown): string {
	const {code, message, detail} = error as ErrorShape;
	const step = /step=\w+/v.exec(detail ?? '')?.[0] ?? '';
	return [code, message?.replaceAll(/\d+/gv, 'N'), step].filter(Boolean).join(' ');
}
