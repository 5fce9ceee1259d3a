import {type Clock, type Logger} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type ServerStatus} from '../statements/statement.js';
import {sendControlCommand} from './replicationPauses.js';

/** Time after which a promotion request whose response was lost can no longer take effect. */
export const promotionSettleMs = 2500;
/** Minimum time between two checks for orphaned pauses. */
const checkIntervalMs = 1500;

/** A pause, and the time at which it was first seen. */
type SeenPause = {readonly term: number; readonly sinceMs: number};

/**
 * Resumes replication to servers that an abandoned promotion left paused. A pause counts as orphaned if the primary answers
 * and the pause has lasted long enough that a request for that promotion can no longer take effect.
 */
export class OrphanedPauseCleaner {
	private lastCheckMs = Number.NEGATIVE_INFINITY;
	private readonly seenPauses = new Map<Backend, SeenPause>();

	/**
	 * @param view - view of the service
	 * @param clock - clock for check intervals and pause durations
	 * @param log - logger for each pause that is ended
	 */
	constructor(private readonly view: ServiceView, private readonly clock: Clock, private readonly log: Logger) {}

	/**
	 * Checks for orphaned pauses if a check is due. Called while the service needs no promotion.
	 * @param mayResume - confirms the promotion lease, without which a pause may be of the next holder, and that the server may receive again
	 */
	async check(mayResume: (status: ServerStatus) => Promise<boolean>): Promise<void> {
		const primary = this.view.currentPrimary?.backend;
		const nowMs = this.clock.nowMs();
		if (!primary || primary.noContactForMs > 0 || nowMs - this.lastCheckMs < checkIntervalMs) {
			return;
		}

		this.lastCheckMs = nowMs;
		const others = this.view.listBackends().filter(backend => backend !== primary && !backend.isSuspected);
		await Promise.all(others.map(async backend => {
			const status = await probeStatus(backend);
			if (status) {
				await this.endExpiredPause(backend, status, mayResume);
			}
		}));
	}

	private async endExpiredPause(backend: Backend, status: ServerStatus, mayResume: (status: ServerStatus) => Promise<boolean>): Promise<void> {
		const {role, pausedTerm} = status;
		if (role !== 'replica' || pausedTerm === 0) {
			this.seenPauses.delete(backend);
			return;
		}

		const nowMs = this.clock.nowMs();
		const seenPause = this.seenPauses.get(backend);
		if (seenPause?.term !== pausedTerm) {
			this.seenPauses.set(backend, {term: pausedTerm, sinceMs: nowMs});
			return;
		}

		if (nowMs - seenPause.sinceMs >= promotionSettleMs && await mayResume(status)) {
			this.log.warn({service: this.view.name, server: backend.id, pausedTerm}, 'a pause that was left behind is ended');
			await sendControlCommand(backend, {kind: 'resume'});
		}
	}
}
