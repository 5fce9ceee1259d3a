import {type Clock, type Logger} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {askStatus} from './leadProof.js';
import {type ServiceView} from './serviceView.js';
import {type ServerStatus} from './statement.js';

/** Time in which an order to promote takes effect, if it does, although its answer was lost. */
export const orderSettleMs = 2500;
/** Interval at which it is looked for pauses. */
const checkIntervalMs = 1500;

/**
 * Ends pauses that a promotion left behind which was given up. A pause counts as left behind when the primary answers and
 * the order that it was made for can take effect no more.
 */
export class ForgottenPauses {
	private checkedMs = Number.NEGATIVE_INFINITY;
	/** Time since which a server has been seen to be paused. */
	private readonly pausedSinceMs = new Map<Backend, number>();

	/**
	 * @param view - the service
	 * @param clock - time
	 * @param log - tells of each pause that is ended
	 * @param resume - lets a server receive again
	 */
	constructor(private readonly view: ServiceView, private readonly clock: Clock, private readonly log: Logger, private readonly resume: (backend: Backend) => Promise<void>) {}

	/** Looks for pauses if it is time to; called while the service needs no promotion. */
	async check(): Promise<void> {
		const lead = this.view.currentLead?.backend;
		const nowMs = this.clock.nowMs();
		if (!lead || lead.unansweredForMs > 0 || nowMs - this.checkedMs < checkIntervalMs) {
			return;
		}

		this.checkedMs = nowMs;
		const others = this.view.listed().filter(backend => backend !== lead && !backend.isAvoided);
		await Promise.all(others.map(async backend => {
			const status = await askStatus(backend);
			if (status) {
				await this.note(backend, status);
			}
		}));
	}

	private async note(backend: Backend, {role, pausedTerm}: ServerStatus): Promise<void> {
		if (role !== 'replica' || pausedTerm === 0) {
			this.pausedSinceMs.delete(backend);
			return;
		}

		const nowMs = this.clock.nowMs();
		const sinceMs = this.pausedSinceMs.get(backend) ?? nowMs;
		this.pausedSinceMs.set(backend, sinceMs);
		if (nowMs - sinceMs >= orderSettleMs) {
			this.log.warn({service: this.view.name, server: backend.id, pausedTerm}, 'a pause that was left behind is ended');
			await this.resume(backend);
		}
	}
}
