import {
	type Clock, formatPosition, type Logger, type Metrics,
} from '@crocusloom/model';
import {type CommitConfirmation} from '../commits/commitConfirmation.js';
import {type Answer, errorAnswer} from './statement.js';
import {remainingMs, type StatementExecution} from './statementExecution.js';

/** Time for the confirmation of a commit that was acknowledged just before the deadline of its statement. */
const minimumConfirmationMs = 200;

export type WriteConfirmerPorts = {readonly clock: Clock; readonly log: Logger; readonly metrics: Metrics};

/** Confirms the commits of writes before callers are told of their success. */
export class WriteConfirmer {
	constructor(private readonly ports: WriteConfirmerPorts) {}

	/**
	 * Turns a success of a write into "in doubt" if a promotion under way may lose the commit.
	 * @param execution - the write, which may be past its deadline
	 * @param answer - answer of the server
	 * @returns the answer for the caller
	 */
	async confirm(execution: StatementExecution, answer: Answer): Promise<Answer> {
		if (answer.error) {
			return answer;
		}

		const startedMs = this.ports.clock.nowMs();
		const confirmation = await this.confirmCommit(execution, answer);
		this.ports.metrics.count('commit_confirmations', {outcome: outcomeOf(confirmation)});
		if (confirmation.kind === 'confirmed') {
			return answer;
		}

		const {reason} = confirmation;
		this.logUnconfirmed(execution, answer, {reason, startedMs});
		return errorAnswer('inDoubt', `the commit may be lost in a promotion: ${reason}`, 'idle');
	}

	private async confirmCommit(execution: StatementExecution, {position}: Answer): Promise<CommitConfirmation> {
		const {view, target} = execution;
		if (!position) {
			return unconfirmed('the server gave no position');
		}

		if (!target) {
			return unconfirmed('the server that acknowledged it is not known');
		}

		if (!view) {
			return unconfirmed('the servers of the service are not known');
		}

		return view.confirmCommit({position, primary: target.backend}, Math.max(minimumConfirmationMs, remainingMs(execution, this.ports.clock)));
	}

	private logUnconfirmed({context, target}: StatementExecution, answer: Answer, {reason, startedMs}: {readonly reason: string; readonly startedMs: number}): void {
		const {clock, log} = this.ports;
		const position = answer.position && formatPosition(answer.position);
		log.warn({
			requestId: context.requestId, service: context.route.service, server: target?.backend.id, position, reason, tookMs: Math.round(clock.nowMs() - startedMs),
		}, 'an acknowledged commit may be lost in a promotion, so that its outcome is unknown');
	}
}

function unconfirmed(reason: string): CommitConfirmation {
	return {kind: 'unconfirmed', reason};
}

/** Returns the label of the metric for a confirmation. */
function outcomeOf(confirmation: CommitConfirmation): string {
	return confirmation.kind === 'confirmed' && confirmation.wasKnown ? 'known' : confirmation.kind;
}
