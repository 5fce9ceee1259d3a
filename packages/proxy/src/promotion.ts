import {
	type Clock, comparePositions, formatPosition, type Logger, errorMessageOf,
} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {ForgottenPauses, orderSettleMs} from './forgottenPauses.js';
import {askStatus} from './leadProof.js';
import {type PromotionDuty, type PromotionOrders} from './ports.js';
import {PrimaryWatch, type PromotionNeed} from './primaryWatch.js';
import {type ServiceView} from './serviceView.js';
import {type BackendCommand, type ServerStatus} from './statement.js';

/** Interval between two looks at each primary. */
const lookIntervalMs = 100;
/** Time in which a server must answer a command of a promotion. */
const commandLimitMs = 500;
/** Time in which a primary that was found silent may still answer, in the last question before it is replaced. */
const silentLimitMs = 60;
/** Time in which a replica must have received what the old primary had. */
const catchUpLimitMs = 1500;
/** Pause between two questions while something is awaited. */
const pollMs = 40;
/** Time in which a promoted server must lead. */
const leadLimitMs = 4000;
/** Pause between two orders to the platform that were not accepted. */
const orderRetryMs = 150;
/** Orders for one candidate before the promotion is begun anew. */
const maximumOrders = 6;
/** Time for which the old primary is told to step down after a promotion. */
const stepDownForMs = 20_000;
const stepDownRetryMs = 500;

export type PromotionPorts = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly duty: PromotionDuty;
	readonly orders: PromotionOrders;
};

/** What is known of a service since this process holds the duty. */
type Watch = {readonly primary: PrimaryWatch; readonly pauses: ForgottenPauses};

type Candidate = {readonly backend: Backend; readonly status: ServerStatus};

/** The server that is to lead, and the newest term before. */
type Aim = {readonly backend: Backend; readonly newestTerm: number};

type PromotionPlan = {readonly aim: Aim; readonly others: readonly Backend[]; readonly signal: AbortSignal};

type OrderOutcome = 'accepted' | 'refused' | 'unanswered' | 'not sent, because the duty is no longer held';

/** Why a promotion was not made now. */
class PromotionHalt extends Error {
	override readonly name = 'PromotionHalt';
}

/**
 * Replaces failed and leaving primaries while this process holds the duty.
 *
 * No commit of the old primary may be acknowledged unless the new one has it. Either the old primary steps down and says
 * up to where its log goes, or replication to all other servers is paused first, so that it cannot get another commit
 * acknowledged, and the one that has received most is promoted.
 */
export class PromotionTask {
	private readonly watches = new Map<ServiceView, Watch>();
	private readonly running = new Set<ServiceView>();

	constructor(private readonly services: () => readonly ServiceView[], private readonly ports: PromotionPorts) {}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.ports.clock.sleep(lookIntervalMs, signal);
			if (this.ports.duty.currentToken() === undefined) {
				this.watches.clear();
				continue;
			}

			for (const view of this.services()) {
				if (!this.running.has(view)) {
					void this.lookAt(view, signal);
				}
			}
		}
	}

	/** Looks at one service, and promotes if there is a need. */
	private async lookAt(view: ServiceView, signal: AbortSignal): Promise<void> {
		this.running.add(view);
		try {
			const {primary, pauses} = this.watchOf(view);
			const need = await primary.look();
			await (need.kind === 'none' ? pauses.check() : this.promote(view, need, signal));
		} catch (error) {
			if (!signal.aborted) {
				this.ports.log.warn({service: view.name, reason: errorMessageOf(error)}, 'a promotion was not made');
			}
		} finally {
			this.running.delete(view);
		}
	}

	private watchOf(view: ServiceView): Watch {
		const {clock, log} = this.ports;
		const watch = this.watches.get(view) ?? {
			primary: new PrimaryWatch(view, clock, log),
			pauses: new ForgottenPauses(view, clock, log, async backend => this.resume([backend])),
		};
		this.watches.set(view, watch);
		return watch;
	}

	private async promote(view: ServiceView, need: PromotionNeed, signal: AbortSignal): Promise<void> {
		const startedMs = this.ports.clock.nowMs();
		const primary = 'primary' in need ? need.primary : undefined;
		const others = view.listed().filter(backend => backend !== primary);
		const statuses = await Promise.all(view.listed().map(async backend => ({
			backend, status: await askStatus(backend, need.kind === 'failed' && backend === primary ? silentLimitMs : undefined),
		})));
		const found = statuses.find(({backend, status}) => status?.role === 'primary' && backend !== primary);
		for (const {backend, status} of statuses) {
			if (status) {
				view.noteStatus(backend, status);
			}
		}

		if (found && view.currentLead?.backend === found.backend) {
			return;
		}

		if (need.kind !== 'leaving' && statuses.some(({backend, status}) => backend === primary && status)) {
			throw new PromotionHalt('the primary answers again');
		}

		const newestTerm = Math.max(0, ...statuses.map(({status}) => status?.term ?? 0));
		const term = Math.max(newestTerm, ...statuses.map(({status}) => status?.pausedTerm ?? 0)) + 1;
		this.ports.log.info({
			service: view.name, need: need.kind, primary: primary?.id, term, others: others.map(({id}) => id),
		}, 'a promotion begins');
		const candidate = need.kind === 'leaving'
			? await this.takeOver(need.primary, others, term)
			: await this.pauseAndChoose(others, term);
		const aim: Aim = {backend: candidate.backend, newestTerm};
		await this.orderOrResume(view, candidate, {aim, others, signal});
		await this.awaitLead(view, aim, term, startedMs);
		await this.resume(others.filter(backend => backend !== candidate.backend));
		if (primary) {
			void this.stepDownLater(primary, term, signal);
		}
	}

	/** Makes a primary that answers step down, and waits until another server has its whole log. */
	private async takeOver(primary: Backend, others: readonly Backend[], term: number): Promise<Candidate> {
		const staying = others.filter(backend => !backend.server.leaving);
		const answers = await Promise.all((staying.length > 0 ? staying : others).map(async backend => ({backend, status: await askStatus(backend)})));
		if (!answers.some(({status}) => status)) {
			throw new PromotionHalt('no other server answers');
		}

		const last = await this.command(primary, {kind: 'stepDown', term});
		if (!last) {
			throw new PromotionHalt('the leaving primary was too busy to step down');
		}

		const endMs = this.ports.clock.nowMs() + catchUpLimitMs;
		const required = last.receivedPosition;
		while (this.ports.clock.nowMs() < endMs) {
			for (const {backend} of answers) {
				const status = await askStatus(backend);
				if (status && comparePositions(status.receivedPosition, required) >= 0) {
					return {backend, status};
				}
			}

			await this.ports.clock.sleep(pollMs);
		}

		return this.pauseAndChoose([...others, primary], term + 1);
	}

	/**
	 * Pauses replication to all servers and chooses the one that has received most.
	 * @throws PromotionHalt if one of them does not answer: it might alone hold an acknowledged commit
	 */
	private async pauseAndChoose(others: readonly Backend[], term: number): Promise<Candidate> {
		const answers = await Promise.all(others.map(async backend => ({backend, status: await this.command(backend, {kind: 'pause', term})})));
		const known = answers.filter((answer): answer is Candidate => answer.status !== undefined);
		if (known.length < others.length || known.length === 0) {
			await this.resume(known.map(({backend}) => backend));
			const missing = answers.filter(({status}) => !status).map(({backend}) => backend.id);
			throw new PromotionHalt(`no answer from ${missing.join(', ') || 'any server'}, which may hold an acknowledged commit alone`);
		}

		return known.toSorted(compareCandidates)[0]!;
	}

	/**
	 * Orders the promotion. If it is not accepted, replication goes on, but only once no order can take effect any more: a
	 * commit that another replica acknowledges before would be missing at the candidate.
	 */
	private async orderOrResume(view: ServiceView, candidate: Candidate, {aim, others, signal}: PromotionPlan): Promise<void> {
		const outcome = await this.order(view, candidate, signal);
		if (outcome === 'accepted') {
			return;
		}

		if (outcome === 'unanswered' && await this.leadsWithin(aim, orderSettleMs)) {
			return;
		}

		await this.resume(others);
		throw new PromotionHalt(`the order for ${candidate.backend.id} was ${outcome}`);
	}

	/**
	 * Waits until a promoted server leads. A replaced primary that has not stepped down claims to lead as well, in a term that
	 * was known before the order.
	 */
	private async leadsWithin({backend, newestTerm}: Aim, limitMs: number): Promise<ServerStatus | undefined> {
		const endMs = this.ports.clock.nowMs() + limitMs;
		while (this.ports.clock.nowMs() < endMs) {
			const status = await askStatus(backend);
			if (status?.role === 'primary' && status.term > newestTerm) {
				return status;
			}

			await this.ports.clock.sleep(pollMs);
		}

		return undefined;
	}

	/** Orders the promotion, as long as the duty is held. */
	private async order(view: ServiceView, {backend, status}: Candidate, signal: AbortSignal): Promise<OrderOutcome> {
		for (let attempt = 0; attempt < maximumOrders; attempt++) {
			const isHeld = await this.ports.duty.confirm(signal);
			const token = this.ports.duty.currentToken();
			if (!isHeld || token === undefined) {
				return attempt === 0 ? 'not sent, because the duty is no longer held' : 'unanswered';
			}

			const result = await this.ports.orders.promote(view.name, backend.id, {holder: this.ports.duty.holder, token}, signal);
			this.ports.log.info({
				service: view.name, server: backend.id, token, result, position: formatPosition(status.receivedPosition), attempt,
			}, 'a promotion was ordered');
			if (result !== 'retry') {
				return result === 'accepted' ? result : 'refused';
			}

			await this.ports.clock.sleep(orderRetryMs, signal);
		}

		return 'unanswered';
	}

	private async awaitLead(view: ServiceView, aim: Aim, plannedTerm: number, startedMs: number): Promise<void> {
		const {backend} = aim;
		const status = await this.leadsWithin(aim, leadLimitMs);
		if (!status) {
			throw new PromotionHalt(`${backend.id} does not lead ${leadLimitMs} ms after the order`);
		}

		view.noteStatus(backend, status);
		this.ports.log.info({
			service: view.name, server: backend.id, term: status.term, plannedTerm, tookMs: Math.round(this.ports.clock.nowMs() - startedMs),
		}, 'a promotion took effect');
	}

	private async resume(backends: readonly Backend[]): Promise<void> {
		await Promise.all(backends.map(async backend => this.command(backend, {kind: 'resume'})));
	}

	/** Tells a replaced primary to step down as soon as it can be reached. */
	private async stepDownLater(primary: Backend, term: number, signal: AbortSignal): Promise<void> {
		const endMs = this.ports.clock.nowMs() + stepDownForMs;
		while (!signal.aborted && this.ports.clock.nowMs() < endMs) {
			const status = await this.command(primary, {kind: 'stepDown', term});
			if (status?.role === 'replica') {
				return;
			}

			await this.ports.clock.sleep(stepDownRetryMs, signal);
		}
	}

	private async command(backend: Backend, command: BackendCommand): Promise<ServerStatus | undefined> {
		try {
			return await backend.control(command, commandLimitMs);
		} catch (error) {
			backend.noteSilence(error);
			return undefined;
		}
	}
}

/** More of the log comes first; among equals, a server that stays. */
function compareCandidates(a: Candidate, b: Candidate): number {
	const difference = comparePositions(b.status.receivedPosition, a.status.receivedPosition);
	return difference === 0 ? Number(a.backend.server.leaving) - Number(b.backend.server.leaving) : difference;
}
