import {type LogPosition} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {type ServiceView} from '../servers/serviceView.js';

/** Latency penalty for a server in another failure domain, for the longer network path and the cost of its traffic. */
const otherDomainPenaltyMs = 4;
/** Latency penalty for a server without an idle connection: opening one takes time and a slot, and connections are scarce. */
const newConnectionPenaltyMs = 12;
/** Factor on the expected latency of the primary, whose slots are needed for writes and strict reads. */
const primaryPenaltyFactor = 2;

/** Time for which a leaving server still receives reads if no other server can take them. */
export const leavingReadGraceMs = 2000;

/** Requirements of a read for the server that runs it. */
export type ReadRequirements = {
	readonly minimumPosition: LogPosition | undefined;
	/** Servers that refused the read. */
	readonly excludedBackends: ReadonlySet<Backend>;
	/** Failure domain of this proxy. */
	readonly failureDomain: string;
};

/**
 * Chooses the server with the lowest expected latency for a read that replicas may serve.
 * @returns undefined if no server can take the read
 */
export function chooseReadBackend(view: ServiceView, requirements: ReadRequirements): Backend | undefined {
	const eligibleBackends = view.listBackends().filter(backend => !requirements.excludedBackends.has(backend) && backend.leavingForMs <= leavingReadGraceMs);
	const preferences: ReadonlyArray<(backend: Backend) => boolean> = [
		backend => !backend.isSuspected && !backend.server.isLeaving && backend.mayHavePosition(requirements.minimumPosition),
		backend => !backend.isSuspected && !backend.server.isLeaving,
		backend => !backend.isSuspected && backend.mayHavePosition(requirements.minimumPosition),
		backend => !backend.isSuspected,
	];
	for (const isPreferred of preferences) {
		const candidates = eligibleBackends.filter(backend => isPreferred(backend));
		if (candidates.length > 0) {
			return lowestCostBackend(candidates, view, requirements);
		}
	}

	return undefined;
}

function lowestCostBackend(candidates: readonly Backend[], view: ServiceView, {failureDomain}: ReadRequirements): Backend {
	const costMs = (backend: Backend) => {
		const factor = backend === view.currentPrimary?.backend ? primaryPenaltyFactor : 1;
		const networkMs = backend.server.failureDomain === failureDomain ? 0 : otherDomainPenaltyMs;
		const connectionMs = backend.pool.idleCount > 0 ? 0 : newConnectionPenaltyMs;
		return (backend.expectedLatencyMs() * factor) + networkMs + connectionMs;
	};

	let [best] = candidates as [Backend, ...Backend[]];
	let bestMs = costMs(best);
	for (const backend of candidates.slice(1)) {
		const candidateMs = costMs(backend);
		if (candidateMs < bestMs) {
			best = backend;
			bestMs = candidateMs;
		}
	}

	return best;
}
