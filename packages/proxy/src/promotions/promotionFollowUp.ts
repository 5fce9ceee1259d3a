import {
	type Clock, comparePositions, formatPosition, type Logger,
} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type ServerStatus} from '../statements/statement.js';
import {type TermRecorder} from '../servers/termRecorder.js';
import {promotionSettleMs} from './orphanedPauseCleaner.js';
import {type Candidate, pollIntervalMs} from './promotionOrder.js';
import {type ReplicationPauses, sendControlCommand} from './replicationPauses.js';

/** Time for which the old primary is repeatedly told to step down after a promotion. */
const stepDownTimeoutMs = 20_000;
const stepDownRetryDelayMs = 500;
/** Time in which replicas usually learn the new term. After it the term is recorded, so that those which did not can be resumed. */
const termRecordDelayMs = 200;
/** Time after which a pause that could not be ended is left to the search for orphaned pauses. */
const endPauseTimeoutMs = 20_000;
/** The primary that a promotion replaces. */
export type FormerPrimary = {
	/** Undefined if no primary was known. */
	readonly backend: Backend | undefined;
	/** Highest term that was known before the promotion. A replica that knows it receives from no primary before the former one. */
	readonly term: number;
	hasSteppedDown: boolean;
};

/** A promotion that took effect, whose pauses are to be ended. */
export type EffectivePromotion = {
	readonly view: ServiceView;
	readonly pauses: ReplicationPauses;
	/** The promoted server, with the log with which it was chosen. */
	readonly candidate: Candidate;
	readonly formerPrimary: FormerPrimary;
	readonly newTerm: number;
	readonly termRecorder: TermRecorder;
	/** Fencing token of the promotion. */
	readonly token: number;
	/** Returns the fencing token that this process holds now. */
	readonly currentToken: () => number | undefined;
	/** Checks whether a server may receive again, whatever this promotion knows of the former primary. */
	readonly mayReceive: (status: ServerStatus) => boolean;
	readonly signal: AbortSignal;
};

/** Ends what a promotion has begun, once it has taken effect: tells the former primary to step down, and resumes replication to the others. */
export class PromotionFollowUp {
	constructor(private readonly promotion: EffectivePromotion, private readonly clock: Clock, private readonly log: Logger) {}

	/** Runs until no server is paused any more. The former primary is told to step down for longer. */
	async run(): Promise<void> {
		const {pauses, candidate} = this.promotion;
		void this.reportLongerLogs();
		void this.stepDownWhenReachable();
		const pausedBackends = pauses.backends.filter(backend => backend !== candidate.backend);
		await Promise.all(pausedBackends.map(async backend => this.endPause(backend)));
	}

	/**
	 * Logs each server whose log goes on where that of the promoted server ended. The commits between the two are rolled back, and lost
	 * if they were acknowledged.
	 */
	private async reportLongerLogs(): Promise<void> {
		const {view, candidate} = this.promotion;
		const promotedPosition = candidate.status.receivedPosition;
		await Promise.all(view.listBackends().filter(backend => backend !== candidate.backend).map(async backend => {
			const status = await probeStatus(backend);
			const {receivedPosition = promotedPosition, role, pausedTerm} = status ?? {};
			if (receivedPosition.term === promotedPosition.term && comparePositions(receivedPosition, promotedPosition) > 0) {
				const positions = {position: formatPosition(receivedPosition), promotedPosition: formatPosition(promotedPosition)};
				this.log.warn({
					service: view.name, server: backend.id, role, pausedTerm, promoted: candidate.backend.id, ...positions,
				}, 'a server has commits that the promoted log lacks');
			}
		}));
	}

	/**
	 * Resumes replication to a server that is still paused after a promotion. A server that has not heard of the new term could receive
	 * from the former primary, which would then acknowledge commits that the new primary lacks. The pause therefore lasts until the server
	 * knows the term or the former primary has stepped down. If neither happens in time, the new term is recorded for all hosts, and
	 * replication is resumed once none of them passes on commits of the former primary, because the new primary may need the server for its
	 * commits.
	 */
	private async endPause(backend: Backend): Promise<void> {
		const {
			pauses, formerPrimary, newTerm, termRecorder, token, currentToken, signal,
		} = this.promotion;
		const startedMs = this.clock.nowMs();
		const mayReceive = (status: ServerStatus) => this.mayReceive(status);
		while (!signal.aborted) {
			const status = await probeStatus(backend);
			if (status && !pauses.isPausedBy(backend, status)) {
				return;
			}

			const waitedMs = this.clock.nowMs() - startedMs;
			const isOverdue = waitedMs >= promotionSettleMs && (currentToken() !== token || waitedMs >= endPauseTimeoutMs);
			const isSafe = status !== undefined && (status.term >= newTerm || formerPrimary.hasSteppedDown || waitedMs >= promotionSettleMs) && mayReceive(status);
			if (isSafe) {
				this.log.info({
					server: backend.id, term: status?.term, newTerm, formerPrimaryHasSteppedDown: formerPrimary.hasSteppedDown, waitedMs: Math.round(waitedMs),
				}, 'replication is resumed after a promotion');
			}

			if (isOverdue || isSafe) {
				await pauses.end(backend, mayReceive);
				return;
			}

			if (waitedMs >= termRecordDelayMs) {
				void termRecorder.record(newTerm, token, signal);
			}

			await this.clock.sleep(pollIntervalMs);
		}
	}

	/** A server that knows the new term, or that follows a former primary which has stepped down, receives from no earlier primary. */
	private mayReceive(status: ServerStatus): boolean {
		const {formerPrimary, newTerm, mayReceive} = this.promotion;
		return status.term >= newTerm || (formerPrimary.hasSteppedDown && status.term >= formerPrimary.term) || mayReceive(status);
	}

	/**
	 * Tells a replaced primary to step down, and repeats the command until the server is a replica or the time has passed.
	 * The term is that of the new primary. A higher one would make hosts wait for a primary of that term.
	 */
	private async stepDownWhenReachable(): Promise<void> {
		const {formerPrimary, newTerm, signal} = this.promotion;
		const {backend} = formerPrimary;
		if (!backend) {
			return;
		}

		const deadlineMs = this.clock.nowMs() + stepDownTimeoutMs;
		while (!signal.aborted && this.clock.nowMs() < deadlineMs) {
			const status = await sendControlCommand(backend, {kind: 'stepDown', term: newTerm});
			if (status?.role === 'replica') {
				formerPrimary.hasSteppedDown = true;
				return;
			}

			await this.clock.sleep(stepDownRetryDelayMs, signal).catch(() => undefined);
		}
	}
}
