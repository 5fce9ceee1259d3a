import {
	type Clock, comparePositions, formatPosition, type Logger, type LogPosition,
} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {type CommitProof} from '../commits/commitEvidence.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {type ReachedServerRecorder} from '../servers/reachedServerRecorder.js';
import {unconfirmedServerGraceMs} from '../servers/serverContact.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type ReplicationPauses, sendControlCommand} from './replicationPauses.js';
import {type Candidate, pollIntervalMs, PromotionHalt} from './promotionOrder.js';

/** Time in which a replica must receive the complete log of a primary that stepped down. */
const catchUpTimeoutMs = 1500;
/** Time after which a promotion is tried again for which no server was known to have each acknowledged commit. */
const unprovenRetryDelayMs = 300;

/** Terms with which a promotion pauses and steps down servers. */
export type PromotionTerms = {
	/** Term of the promotion, above all terms that were found. */
	readonly term: number;
	/** Term of the primary that is replaced; 0 if no primary is known. */
	readonly primaryTerm: number;
	/** Number of replicas that have each acknowledged commit. */
	readonly syncReplicas: number;
};

/** Service and pauses of a promotion that is under way, and the signal that ends it. */
export type PauseScope = {
	readonly view: ServiceView;
	readonly pauses: ReplicationPauses;
	readonly reachedServers: ReachedServerRecorder;
	readonly signal: AbortSignal;
};

type UnprovenKind = Exclude<CommitProof['kind'], 'proven'>;
type ProofOf<K extends UnprovenKind> = Extract<CommitProof, {kind: K}>;

/** Reasons why no server can be promoted, by the kind of the proof that failed. */
const unprovenReasons: {readonly [K in UnprovenKind]: (proof: ProofOf<K>, position: LogPosition) => string} = {
	incomplete: ({requiredPosition}, position) => `position ${formatPosition(requiredPosition)} is required and ${formatPosition(position)} was found`,
	unknown: ({departedServers}) => `the commit position after the departure of ${departedServers.join(', ')} is not known`,
	tooFew: ({serverCount}) => `no primary was known, and servers beside the ${serverCount} listed may have acknowledged commits`,
};

/** Chooses the server that a promotion makes the primary, so that it has each commit which the old primary acknowledges. */
export class SuccessorChoice {
	constructor(private readonly scope: PauseScope, private readonly clock: Clock, private readonly log: Logger) {}

	/** Makes a leaving primary step down and waits until another server has its complete log. */
	async switchOver(primary: Backend, others: readonly Backend[], terms: PromotionTerms): Promise<Candidate> {
		const stayingBackends = others.filter(backend => !backend.server.isLeaving);
		const statuses = await Promise.all((stayingBackends.length > 0 ? stayingBackends : others).map(async backend => ({backend, status: await probeStatus(backend)})));
		const answeringBackends = statuses.filter(({status}) => status).map(({backend}) => backend);
		if (answeringBackends.length === 0) {
			throw new PromotionHalt('no other server answers');
		}

		const finalStatus = await sendControlCommand(primary, {kind: 'stepDown', term: terms.term});
		if (!finalStatus) {
			throw new PromotionHalt('the leaving primary did not confirm the command to step down');
		}

		const deadlineMs = this.clock.nowMs() + catchUpTimeoutMs;
		const requiredPosition = finalStatus.receivedPosition;
		while (this.clock.nowMs() < deadlineMs) {
			for (const backend of answeringBackends) {
				const status = await probeStatus(backend);
				if (status && comparePositions(status.receivedPosition, requiredPosition) >= 0) {
					return {backend, status};
				}
			}

			await this.clock.sleep(pollIntervalMs);
		}

		return this.pauseAndChooseCandidate([...others, primary], {...terms, term: terms.term + 1});
	}

	/**
	 * Pauses replication to the servers and chooses the successor of a primary that does not answer.
	 * @throws PromotionHalt if none of them is known to have each acknowledged commit
	 */
	async pauseAndChooseSuccessor(others: readonly Backend[], terms: PromotionTerms): Promise<Candidate> {
		const candidate = await this.pauseAndChooseCandidate(others, terms);
		try {
			requireAllCommits(this.scope.view, [candidate.status.receivedPosition]);
		} catch (error) {
			await this.scope.pauses.endAll();
			throw error;
		}

		return candidate;
	}

	/**
	 * Pauses replication to the servers and chooses the one with the most complete log. An entry without a server, which never answered this
	 * process or any recorded holder of the promotion lease, is left out once enough others are paused, so that it does not keep a primary
	 * from being replaced for ever. Such a server confirms no commits at any host.
	 * @throws PromotionHalt if one cannot be paused, because it might be the only one with an acknowledged commit
	 */
	private async pauseAndChooseCandidate(others: readonly Backend[], {term, primaryTerm, syncReplicas}: PromotionTerms): Promise<Candidate> {
		const {pauses, reachedServers, signal} = this.scope;
		const results = await Promise.all(others.map(async backend => ({backend, status: await pauses.pause(backend, term, primaryTerm)})));
		const candidates = results.filter((result): result is Candidate => result.status !== undefined);
		const unpausedBackends = results.filter(({status}) => !status).map(({backend}) => backend);
		const unconfirmedBackends = candidates.length > syncReplicas ? unpausedBackends.filter(({isUnconfirmed}) => isUnconfirmed) : [];
		const leftOutBackends = await reachedServers.findNeverReached(unconfirmedBackends, signal);
		const blockingBackends = unpausedBackends.filter(backend => !leftOutBackends.includes(backend));
		if (blockingBackends.length > 0 || candidates.length === 0) {
			await pauses.endAll();
			const receivingIds = blockingBackends.map(({id}) => id);
			throw new PromotionHalt(`replication to ${receivingIds.join(', ') || 'any server'} could not be paused, which may hold an acknowledged commit alone`);
		}

		if (unpausedBackends.length > 0) {
			this.log.warn({servers: unpausedBackends.map(({id}) => id), graceMs: unconfirmedServerGraceMs}, 'listed servers that never answered are left out of a promotion');
		}

		return candidates.toSorted(compareCandidates)[0]!;
	}
}

/**
 * Checks that servers together have each commit that departed servers may have acknowledged.
 * @param positions - ends of their logs
 * @throws PromotionHalt if that is not known
 */
export function requireAllCommits(view: ServiceView, positions: readonly LogPosition[]): void {
	const [newestPosition] = positions.toSorted((a, b) => comparePositions(b, a));
	if (!newestPosition) {
		return;
	}

	const proof = view.checkCommits(newestPosition);
	if (proof.kind !== 'proven') {
		const describe = unprovenReasons[proof.kind] as (proof: CommitProof, position: LogPosition) => string;
		throw new PromotionHalt(`the servers that answer are not known to have each acknowledged commit: ${describe(proof, newestPosition)}`, unprovenRetryDelayMs);
	}
}

/** Compares candidates by received position, highest first. Among equal positions, leaving servers come last. */
function compareCandidates(a: Candidate, b: Candidate): number {
	const difference = comparePositions(b.status.receivedPosition, a.status.receivedPosition);
	return difference === 0 ? Number(a.backend.server.isLeaving) - Number(b.backend.server.isLeaving) : difference;
}
