import {type Clock, type Logger, type Metrics} from '@crocusloom/model';

/** Lines a second about requests that were not served as asked. */
const failureLinesPerS = 40;
/** Lines a second about requests that were served; the rest is in the counters. */
const successLinesPerS = 2;
const windowMs = 1000;

/** What was decided about one request, with the inputs of the decision. */
export type RequestDecision = {
	readonly requestId: string;
	readonly session: string;
	readonly database: string;
	readonly operation: string;
	readonly outcome: string;
	readonly reason?: string;
	readonly server?: string;
	readonly leadTerm?: number;
	readonly minimumPosition?: string;
	readonly configurationVersion: number;
	readonly attempts: number;
	readonly waitedMs: number;
	readonly tookMs: number;
};

/** Logs one line for each request up to a rate, and counts all of them. */
export class DecisionLog {
	private windowStartedMs = 0;
	private failures = 0;
	private successes = 0;
	private suppressed = 0;

	constructor(private readonly log: Logger, private readonly metrics: Metrics, private readonly clock: Clock) {}

	/** Records what became of a request. */
	record(decision: RequestDecision, succeeded: boolean): void {
		const {database, operation, outcome, tookMs} = decision;
		this.metrics.count('requests', {outcome, operation});
		this.metrics.observeMs('request_duration', tookMs, {database});
		this.startWindow();
		if (this.mayWrite(succeeded)) {
			this.log[succeeded ? 'info' : 'warn'](decision, 'request');
		} else {
			this.suppressed++;
		}
	}

	private mayWrite(succeeded: boolean): boolean {
		if (succeeded) {
			this.successes++;
			return this.successes <= successLinesPerS;
		}

		this.failures++;
		return this.failures <= failureLinesPerS;
	}

	private startWindow(): void {
		const nowMs = this.clock.nowMs();
		if (nowMs - this.windowStartedMs < windowMs) {
			return;
		}

		if (this.failures > failureLinesPerS) {
			this.log.info({suppressed: this.suppressed, failures: this.failures, successes: this.successes}, 'lines about requests were left out');
		}

		this.windowStartedMs = nowMs;
		this.failures = 0;
		this.successes = 0;
		this.suppressed = 0;
	}
}
