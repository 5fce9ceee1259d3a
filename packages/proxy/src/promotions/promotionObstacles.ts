import {comparePositions} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type Candidate} from './promotionOrder.js';
import {type ReplicationPauses} from './replicationPauses.js';

/** What a promotion found about the servers when it chose the one to be promoted. */
export type PromotionBasis = {
	/** The primary that is replaced; undefined if none was known. */
	readonly primary: Backend | undefined;
	/** All other servers that were listed when replication was paused. */
	readonly others: readonly Backend[];
	/** Pauses of replication; none if the primary stepped down. */
	readonly pauses: ReplicationPauses;
	/** The server to be promoted, with the status for which it was chosen. */
	readonly candidate: Candidate;
};

/**
 * Checks that the old primary cannot acknowledge a commit to a listed server since replication was paused: service discovery lists no
 * server that was not paused, and each pause still holds. Read after the pauses, both show that no server joined or restarted before.
 * @returns why a promotion must not be ordered, or undefined if it may be
 */
export async function findObstacle(view: ServiceView, {primary, others, pauses, candidate}: PromotionBasis): Promise<string | undefined> {
	if (pauses.backends.length === 0) {
		return findLostLog(candidate);
	}

	const [isListCurrent, endedPauses] = await Promise.all([view.areAllServersListed(), pauses.findEnded()]);
	if (!isListCurrent) {
		return 'the list of servers is not known to be current';
	}

	if (endedPauses.length > 0) {
		return `replication to ${idsOf(endedPauses)} is not known to be paused any more`;
	}

	const joined = view.listMembers().filter(backend => backend !== primary && !others.includes(backend));
	return joined.length > 0 ? `${idsOf(joined)} joined after replication was paused` : undefined;
}

/** Checks that the successor of a primary that stepped down still has the complete log: it may have restarted without it. */
async function findLostLog({backend, status}: Candidate): Promise<string | undefined> {
	const currentStatus = await probeStatus(backend) ?? await probeStatus(backend);
	const hasLog = currentStatus !== undefined && comparePositions(currentStatus.receivedPosition, status.receivedPosition) >= 0;
	return hasLog ? undefined : `${backend.id} is not known to have the complete log any more`;
}

function idsOf(backends: readonly Backend[]): string {
	return backends.map(({id}) => id).join(', ');
}
