import {type Clock, type Logger, type Metrics} from '@crocusloom/model';

/** Maximum number of lines per window about failed requests. */
const failureLinesPerWindow = 40;
/** Maximum number of lines per window about successful requests. The metrics count all requests. */
const successLinesPerWindow = 2;
const windowMs = 1000;

/** Outcome of one request and the inputs of its routing decision. Logged with these property names. */
export type RequestDecision = {
	readonly requestId: string;
	readonly session: string;
	readonly database: string;
	readonly operation: string;
	readonly outcome: string;
	readonly reason?: string;
	readonly server?: string;
	/** Number of the connection to the server, which tells the statements of one connection apart from those of another. */
	readonly backendConnection?: number;
	/** Name under which the executed prepared statement stands on that connection. */
	readonly preparedAs?: string;
	readonly leadTerm?: number;
	readonly minimumPosition?: string;
	readonly configurationVersion: number;
	/** Time since the configuration was last known to be the newest one. */
	readonly configurationAgeMs: number;
	readonly attempts: number;
	readonly waitedMs: number;
	readonly tookMs: number;
};

/** Logs one line per request up to a rate limit, and counts all requests in the metrics. */
export class DecisionLog {
	private windowStartedMs = 0;
	private failures = 0;
	private successes = 0;
	private suppressed = 0;

	constructor(private readonly log: Logger, private readonly metrics: Metrics, private readonly clock: Clock) {}

	/** Records the outcome of a request. */
	record(decision: RequestDecision, isSuccess: boolean): void {
		const {database, operation, outcome, tookMs} = decision;
		this.metrics.count('requests', {outcome, operation});
		this.metrics.observeMs('request_duration', tookMs, {database});
		this.startWindowIfDue();
		if (this.countAndCheckRate(isSuccess)) {
			this.log[isSuccess ? 'info' : 'warn'](decision, 'request');
		} else {
			this.suppressed++;
		}
	}

	private countAndCheckRate(isSuccess: boolean): boolean {
		if (isSuccess) {
			this.successes++;
			return this.successes <= successLinesPerWindow;
		}

		this.failures++;
		return this.failures <= failureLinesPerWindow;
	}

	private startWindowIfDue(): void {
		const nowMs = this.clock.nowMs();
		if (nowMs - this.windowStartedMs < windowMs) {
			return;
		}

		if (this.failures > failureLinesPerWindow) {
			this.log.info({suppressed: this.suppressed, failures: this.failures, successes: this.successes}, 'lines about requests were left out');
		}

		this.windowStartedMs = nowMs;
		this.failures = 0;
		this.successes = 0;
		this.suppressed = 0;
	}
}
