import {type LogPosition} from '@crocusloom/model';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {type ServerStatus} from '../statements/statement.js';
import {type Backend} from './backend.js';

/** Default time in which a server must answer a status probe. */
export const statusTimeoutMs = 250;
/** Time in which a server must answer a status probe that is pipelined behind a statement on the same connection. */
const pipelinedStatusTimeoutMs = 750;
/** Maximum number of probe rounds per proof. With the timeouts above, a proof stays within the timeout of a statement. */
const maximumRounds = 3;

/** The primary of a service and its term, as known to this proxy. */
export type KnownPrimary = {readonly backend: Backend; readonly term: number};

/** Servers of a service at the time of a proof. */
export type ProofMembership = {
	readonly primary: KnownPrimary;
	/** All other servers of the service, including leaving ones. */
	readonly others: readonly Backend[];
	readonly syncReplicas: number;
};

export type ProofOutcome
	/** The primary had not been replaced at `startedMs`, and no commit above `position` had been acknowledged at that time. */
	= | {readonly kind: 'leads'; readonly startedMs: number; readonly position: LogPosition}
		| {readonly kind: 'replaced'}
		| {readonly kind: 'unproven'};

type ProofRound = {readonly primary: KnownPrimary; readonly startedMs: number; readonly result: Promise<ProofOutcome>};

/**
 * Proves that a primary had not been replaced at a time after a read arrived.
 *
 * A commit of a newer term is acknowledged only after the new primary and `syncReplicas` other servers have it. Any such
 * set of servers intersects each set that consists of the old primary and `n - 1 - syncReplicas` of the other `n - 1`
 * servers. If no server of the latter set reports a newer term, no commit of a newer term had been acknowledged when the
 * servers were probed. The proof depends neither on clocks nor on the platform, and one round of probes serves all reads
 * that arrived before it started.
 */
export class LeadershipProver {
	private runningRound: ProofRound | undefined;
	private queuedRound: ProofRound | undefined;
	private rotation = 0;

	/**
	 * @param membership - returns the servers, or undefined while no primary is known
	 * @param nowMs - returns the monotonic time in milliseconds
	 */
	constructor(private readonly membership: () => ProofMembership | undefined, private readonly nowMs: () => number) {}

	/**
	 * Requests a proof that starts no earlier than now.
	 * @param primary - the primary that the reader uses
	 * @param heldConnection - connection to the primary that the reader holds. The probe may be pipelined on it, so that a
	 * host with a single connection does not need a second one.
	 */
	async prove(primary: KnownPrimary, heldConnection?: PooledConnection): Promise<ProofOutcome> {
		const requestedMs = this.nowMs();
		if (!this.runningRound) {
			return this.startRound(primary, heldConnection).result;
		}

		if (this.runningRound.startedMs >= requestedMs && this.runningRound.primary === primary) {
			return this.runningRound.result;
		}

		if (heldConnection && primary.backend.pool.idleCount === 0) {
			return this.probeUntilProven(primary, heldConnection);
		}

		if (this.queuedRound?.primary !== primary) {
			const previousResult = this.runningRound.result;
			this.queuedRound = {primary, startedMs: requestedMs, result: this.startRoundAfter(previousResult, primary)};
		}

		return this.queuedRound.result;
	}

	private async startRoundAfter(previousResult: Promise<ProofOutcome>, primary: KnownPrimary): Promise<ProofOutcome> {
		await previousResult;
		this.queuedRound = undefined;
		return this.startRound(primary).result;
	}

	private startRound(primary: KnownPrimary, heldConnection?: PooledConnection): ProofRound {
		const round: ProofRound = {primary, startedMs: this.nowMs(), result: this.probeUntilProven(primary, heldConnection)};
		this.runningRound = round;
		void round.result.then(() => {
			if (this.runningRound === round) {
				this.runningRound = undefined;
			}
		});
		return round;
	}

	/** Probes until enough servers have answered. Answers of earlier rounds remain valid, because they were given after the start. */
	private async probeUntilProven(primary: KnownPrimary, heldConnection: PooledConnection | undefined): Promise<ProofOutcome> {
		const startedMs = this.nowMs();
		const answers = new Map<Backend, ServerStatus>();
		for (let round = 0; round < maximumRounds; round++) {
			const membership = this.membership();
			if (membership?.primary !== primary) {
				return {kind: 'replaced'};
			}

			await this.probeMissing(membership, answers, round === 0 ? heldConnection : undefined);
			const primaryStatus = answers.get(primary.backend);
			const isContradicted = [...answers].some(([backend, status]) => backend !== primary.backend && hasNewerTerm(status, primary.term));
			if (isContradicted || (primaryStatus && primaryStatus.role !== 'primary')) {
				return {kind: 'replaced'};
			}

			if (primaryStatus && membership.others.filter(backend => answers.has(backend)).length >= requiredOtherCount(membership)) {
				return {kind: 'leads', startedMs, position: primaryStatus.receivedPosition};
			}
		}

		return {kind: 'unproven'};
	}

	/** Probes the primary and as many other servers as are still required, except those that have answered. */
	private async probeMissing(membership: ProofMembership, answers: Map<Backend, ServerStatus>, heldConnection: PooledConnection | undefined): Promise<void> {
		const {primary: {backend: primaryBackend}, others} = membership;
		const recordAnswer = (backend: Backend, status: ServerStatus | undefined) => {
			if (status) {
				answers.set(backend, status);
			}
		};

		const answeredCount = others.filter(backend => answers.has(backend)).length;
		const selected = this.selectOthers(others.filter(backend => !answers.has(backend)), requiredOtherCount(membership) - answeredCount);
		await Promise.all([
			...selected.map(async backend => {
				recordAnswer(backend, await probeStatus(backend));
			}),
			answers.has(primaryBackend)
				? undefined
				: probePrimary(primaryBackend, heldConnection).then(status => {
					recordAnswer(primaryBackend, status);
				}),
		]);
	}

	/** Selects servers in rotation, and those that are not suspected first. */
	private selectOthers(others: readonly Backend[], count: number): readonly Backend[] {
		this.rotation++;
		const rotated = others.map((_, index) => others[(index + this.rotation) % others.length]!);
		return rotated.toSorted((a, b) => Number(a.isSuspected) - Number(b.isSuspected)).slice(0, count);
	}
}

/** Number of servers besides the primary that must answer. */
function requiredOtherCount({others, syncReplicas}: ProofMembership): number {
	return Math.max(1, others.length - syncReplicas);
}

async function probePrimary(primary: Backend, heldConnection: PooledConnection | undefined): Promise<ServerStatus | undefined> {
	if (!heldConnection) {
		return probeStatus(primary);
	}

	try {
		return await primary.probeStatusOn(heldConnection, pipelinedStatusTimeoutMs);
	} catch (error) {
		primary.recordProbeFailure(error);
		return undefined;
	}
}

function hasNewerTerm(status: ServerStatus, term: number): boolean {
	return Math.max(status.term, status.receivedPosition.term) > term;
}

/**
 * Probes the status of a server.
 * @returns undefined if the server does not answer in time or answers with an error
 */
export async function probeStatus(backend: Backend, timeoutMs = statusTimeoutMs): Promise<ServerStatus | undefined> {
	try {
		return await backend.runControlCommand({kind: 'status'}, timeoutMs);
	} catch (error) {
		backend.recordProbeFailure(error);
		return undefined;
	}
}
