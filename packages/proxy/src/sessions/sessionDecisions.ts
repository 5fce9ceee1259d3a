import {type Clock, formatPosition} from '@crocusloom/model';
import {type BackendCommand} from '../statements/statement.js';
import {type WorkResult} from '../statements/work.js';
import {type ConfigurationAge} from './configurationAge.js';
import {type DecisionLog} from './decisionLog.js';
import {type RouteTable} from './routeTable.js';

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

/** A request of a session as its decision line describes it. */
export type SessionRequest = {
	readonly requestId: string;
	/** Kind of the request in the log and the metrics. */
	readonly operation: string;
	/** Monotonic time at which the request arrived. */
	readonly startedMs: number;
	/** Command that was sent to the server. */
	readonly command?: BackendCommand;
};

/** Records the outcomes of the requests of one session. */
export class SessionDecisions {
	constructor(private readonly identity: SessionIdentity, private readonly ports: SessionDecisionPorts) {}

	/** Records the outcome of a request. */
	record({requestId, operation, startedMs, command}: SessionRequest, result: WorkResult): void {
		const {answer, server, connectionNumber, leadTerm, minimumPosition, attempts, waitedMs} = result;
		const {clock, routes, configurationAge, decisionLog} = this.ports;
		decisionLog.record({
			requestId,
			session: this.identity.name,
			database: this.identity.database,
			operation,
			outcome: answer.error?.kind ?? 'completed',
			reason: answer.error?.message,
			server,
			backendConnection: connectionNumber,
			preparedAs: command?.kind === 'executePrepared' ? command.preparedName : undefined,
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
