import {type Clock, laterPosition, quoteText} from '@crocusloom/model';
import {type ServiceView} from '../servers/serviceView.js';
import {chooseReadBackend} from './placement.js';
import {type AnswerError} from './statement.js';
import {type StatementExecution} from './statementExecution.js';
import {type Target} from './work.js';

/** Delay before a server that lacks a position or is overloaded is tried again. */
export const retryDelayMs = 8;
/** Fraction of the latency objective for which a statement waits for a primary or for a sufficiently fresh replica. */
const waitFraction = 0.25;
/** Retry delay that is suggested to callers if no server can serve the statement, for example while no primary is known. */
const failoverRetryAfterMs = 1000;
/** Time for which a leaving primary still receives work; longer than a planned promotion takes. */
export const leavingPrimaryGraceMs = 2500;

/** Thrown to refuse a statement; `error` is the error for the caller. Unless the refusal is final, the statement may be retried. */
export class Refusal extends Error {
	override readonly name = 'Refusal';

	constructor(readonly error: AnswerError, readonly isFinal = false) {
		super(error.message);
	}
}

export type SearchPorts = {
	readonly clock: Clock;
	readonly failureDomain: string;
	/** Returns the view of a service. */
	readonly viewOf: (service: string) => ServiceView | undefined;
};

/** Finds the server for a statement: the primary, or for reads the sufficiently fresh server with the lowest expected latency. */
export class TargetSearch {
	constructor(private readonly ports: SearchPorts) {}

	/**
	 * Finds a server. If no server can take the work, waits up to a fraction of the latency objective.
	 * @throws Refusal if no server can take the work within that time
	 */
	async findTarget(execution: StatementExecution, needsPrimary: boolean): Promise<Target> {
		const {route, arrivedMs} = execution.context;
		const view = this.ports.viewOf(route.service);
		if (!view) {
			throw new Refusal({kind: 'overloaded', message: `service ${quoteText(route.service)} is not known`}, true);
		}

		execution.view = view;
		const startedMs = this.ports.clock.nowMs();
		const waitUntilMs = Math.min(execution.deadlineMs, arrivedMs + (route.targetMs * waitFraction));
		for (;;) {
			const target = needsPrimary || route.freshness.kind === 'primary'
				? findPrimaryTarget(execution, view)
				: await this.findReadTarget(execution, view);
			if (target) {
				execution.target = target;
				execution.waitedMs += this.ports.clock.nowMs() - startedMs;
				return target;
			}

			const remainingMs = waitUntilMs - this.ports.clock.nowMs();
			if (remainingMs <= 0) {
				throw new Refusal({kind: 'overloaded', message: `no server of ${route.service} can serve this at present, retry after ${failoverRetryAfterMs} ms`}, true);
			}

			await waitForChange(view, Math.min(remainingMs, retryDelayMs * 2));
		}
	}

	private async findReadTarget(execution: StatementExecution, view: ServiceView): Promise<Target | undefined> {
		const {route: {freshness}, arrivedMs, sessionPosition} = execution.context;
		if (freshness.kind === 'primary') {
			return undefined;
		}

		const boundPosition = await view.minimumPositionFor(arrivedMs, freshness.maxAgeMs, Math.max(1, execution.deadlineMs - this.ports.clock.nowMs()));
		if (!boundPosition) {
			return undefined;
		}

		const minimumPosition = freshness.kind === 'readYourWrites' ? laterPosition(sessionPosition, boundPosition) : boundPosition;
		const chooseBackend = () => chooseReadBackend(view, {minimumPosition, excludedBackends: execution.excludedBackends, failureDomain: this.ports.failureDomain});
		let backend = chooseBackend();
		if (!backend && execution.excludedBackends.size > 0) {
			execution.excludedBackends.clear();
			await this.ports.clock.sleep(retryDelayMs);
			backend = chooseBackend();
		}

		return backend && {backend, primary: undefined, minimumPosition};
	}
}

function findPrimaryTarget(execution: StatementExecution, view: ServiceView): Target | undefined {
	const primary = view.currentPrimary;
	if (!primary || primary.backend.isSuspected || primary.backend.leavingForMs > leavingPrimaryGraceMs) {
		return undefined;
	}

	const {freshness} = execution.context.route;
	// On routes that read from replicas, work at the primary only needs to see the commits of its own session.
	const minimumPosition = freshness.kind === 'primary' ? undefined : execution.context.sessionPosition;
	return {backend: primary.backend, primary, minimumPosition};
}

/** Waits until the view changes or the timeout passes. */
async function waitForChange(view: ServiceView, timeoutMs: number): Promise<void> {
	return new Promise(resolve => {
		const finish = () => {
			clearTimeout(timer);
			unsubscribe();
			resolve();
		};

		const timer = setTimeout(finish, timeoutMs);
		const unsubscribe = view.onChange(finish);
	});
}
