import {FailureError, errorMessageOf, type NotRunReason} from '@crocusloom/model';
import {UnsendableRequestError} from '../ports.js';
import {
	type Answer, type AnswerError, errorAnswer, isNotRun,
} from './statement.js';
import {
	newExecution, remainingMs, resultOf, type StatementExecution,
} from './statementExecution.js';
import {Refusal, retryDelayMs, type SearchPorts} from './targetSearch.js';
import {type WorkContext, type WorkResult} from './work.js';

/** Maximum number of attempts to run a statement. The caller gets the error of the last one. */
const maximumAttempts = 5;

/** Refusal reasons of the admission queue after which another server is tried. */
const retryElsewhereReasons: ReadonlySet<NotRunReason> = new Set(['unreachable', 'leaving']);

/** Repeats attempts to run a statement of which nothing ran. */
export class StatementRetries {
	constructor(private readonly ports: Pick<SearchPorts, 'clock' | 'viewOf'>) {}

	/**
	 * Repeats the attempt until it is answered, the deadline is too close, or the statement may have run.
	 * @param isWrite - true if an attempt that was sent and not answered may have written
	 * @param attempt - runs the statement once
	 */
	async run(context: WorkContext, isWrite: boolean, attempt: (execution: StatementExecution) => Promise<Answer>): Promise<WorkResult> {
		const execution = newExecution(context, this.ports.clock.nowMs());
		for (;;) {
			execution.attemptCount++;
			try {
				const answer = await attempt(execution);
				if (!answer.error || !this.mayRetry(execution, answer.error, isWrite)) {
					return resultOf(execution, answer);
				}

				execution.excludedBackends.add(execution.target!.backend);
				await this.handleAnswerError(execution, answer.error);
			} catch (error) {
				const finalAnswer = this.finalAnswerFor(execution, error, isWrite);
				if (finalAnswer) {
					return resultOf(execution, finalAnswer);
				}
			}
		}
	}

	/**
	 * Prepares a retry after an error answer: invalidates a primary that refused work as a replica, and waits if the work
	 * requires the primary or a replica lacked a position.
	 */
	async handleAnswerError({target, context}: StatementExecution, error: AnswerError): Promise<void> {
		if (error.kind === 'notPrimary' && target?.primary) {
			this.ports.viewOf(context.route.service)?.invalidatePrimary(target.primary, 'the server refused work as a replica');
		}

		if (target?.primary !== undefined || error.kind === 'stale') {
			await this.ports.clock.sleep(retryDelayMs);
		}
	}

	private mayRetry(execution: StatementExecution, error: AnswerError, isWrite: boolean): boolean {
		const isRetryable = isNotRun(error) || (!isWrite && error.kind === 'failed');
		return isRetryable && this.mayAttemptAgain(execution);
	}

	private mayAttemptAgain(execution: StatementExecution): boolean {
		return execution.attemptCount < maximumAttempts && remainingMs(execution, this.ports.clock) > retryDelayMs;
	}

	/**
	 * Returns the answer for an error that was thrown during an attempt: a refusal or, if a write may have run, `inDoubt`.
	 * Returns undefined if the statement is to be retried.
	 */
	private finalAnswerFor(execution: StatementExecution, error: unknown, isWrite: boolean): Answer | undefined {
		const message = errorMessageOf(error);
		if (error instanceof UnsendableRequestError) {
			return errorAnswer('malformed', message, 'idle');
		}

		if (isWrite && execution.isWriteSent) {
			return errorAnswer('inDoubt', `the write was sent and not answered: ${message}`, 'idle');
		}

		const refusal = finalRefusalOf(error);
		if (refusal) {
			return refusal;
		}

		if (execution.target) {
			execution.excludedBackends.add(execution.target.backend);
		}

		return this.mayAttemptAgain(execution) ? undefined : errorAnswer('overloaded', `not run: ${message}`, 'idle');
	}
}

/** Returns the answer for an error that no other attempt can avoid: a final refusal, or one of the admission queue. */
function finalRefusalOf(error: unknown): Answer | undefined {
	if (error instanceof Refusal && error.isFinal) {
		return errorAnswer(error.error.kind, error.error.message, 'idle');
	}

	if (error instanceof FailureError && error.failure.kind === 'notRun' && !retryElsewhereReasons.has(error.failure.reason)) {
		const {retryAfterMs} = error.failure;
		return errorAnswer('overloaded', `${errorMessageOf(error)}${retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`}`, 'idle');
	}

	return undefined;
}
