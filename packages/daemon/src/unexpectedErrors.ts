import {errorStackOf, type Logger, type Metrics} from '@crocusloom/model';

/** Source of the events of unexpected errors; the process, or a stand-in of it in tests. */
export type ErrorSource = {
	on(event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown;
};

/**
 * Logs and counts errors that no code has handled, and lets the process go on. Each connection and each peer has a task of its own, so an
 * error in one of them is no reason to end all others.
 * @param source - source of the errors
 * @param log - receives a line with the stack of each error
 * @param metrics - counts the errors by kind
 */
export function reportUnexpectedErrors(source: ErrorSource, log: Logger, metrics: Metrics): void {
	for (const kind of ['uncaughtException', 'unhandledRejection'] as const) {
		source.on(kind, error => {
			metrics.count('unexpected_errors', {kind});
			log.error({kind, reason: errorStackOf(error)}, 'an unexpected error; the process goes on');
		});
	}
}
