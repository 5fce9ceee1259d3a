import {type Clock, formatPosition} from '@crocusloom/model';
import {type ConfigurationAge} from './configurationAge.js';
import {type DecisionLog} from './decisionLog.js';
import {type RouteTable} from './routeTable.js';
import {type WorkResult} from './work.js';

export type SessionDecisionPorts = {
	readonly clock: Clock;
	readonly routes: RouteTable;
	readonly configurationAge: ConfigurationAge;
	readonly decisionLog: DecisionLog;
};

export type SessionIdentity = {
	/** Unique name of the session in the logs. */
	readonly name: string;
	readonly database: string;
	readonly user: string;
};

/** Records the outcomes of the requests of one session. */
export class SessionDecisions {
	constructor(private readonly identity: SessionIdentity, private readonly ports: SessionDecisionPorts) {}

	/**
	 * Records the outcome of a request.
	 * @param operation - kind of the request in the log and the metrics
	 * @param startedMs - time at which the request arrived
	 */
	record(requestId: string, operation: string, result: WorkResult, startedMs: number): void {
		const {answer, server, leadTerm, minimumPosition, attempts, waitedMs} = result;
		const {clock, routes, configurationAge, decisionLog} = this.ports;
		decisionLog.record({
			requestId,
			session: this.identity.name,
			database: this.identity.database,
			operation,
			outcome: answer.error?.kind ?? 'completed',
			reason: answer.error?.message,
			server,
			leadTerm,
			minimumPosition: minimumPosition && formatPosition(minimumPosition),
			configurationVersion: routes.version,
			configurationAgeMs: Math.round(configurationAge.ageMs),
			attempts,
			waitedMs: Math.round(waitedMs),
			tookMs: Math.round(clock.nowMs() - startedMs),
		}, answer.error === undefined);
	}
}
