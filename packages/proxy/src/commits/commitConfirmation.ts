import {type Clock} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {statusTimeoutMs} from '../servers/leadershipProver.js';
import {isTrueWithin} from '../statements/withTimeout.js';
import {
	type AcknowledgedCommit,
	type AwaitedCommit,
	type ConfirmationMembership,
	countSilentRounds,
	hasCommit,
	isCommitSafe,
	type ProbeOutcome,
	type ProbeRound,
	reasonToGiveUp,
	type SentProbe,
	type SilentRounds,
} from './confirmationRules.js';

/** Time in which a witness usually answers. After it the other witnesses are asked as well. */
const hedgeDelayMs = 40;
/** Delay before the witnesses are asked again for a position that they did not have yet. It doubles with each round. */
const initialRetryDelayMs = 5;
const maximumRetryDelayMs = 80;

/** Whether a commit is known to be in the log of each server that a promotion may choose. */
export type CommitConfirmation
	/** `wasKnown` is true if no server had to be asked. */
	= | {readonly kind: 'confirmed'; readonly wasKnown: boolean}
		| {readonly kind: 'unconfirmed'; readonly reason: string};

type Waiter = AwaitedCommit & {
	readonly settle: (confirmation: CommitConfirmation) => void;
};

const confirmed: CommitConfirmation = {kind: 'confirmed', wasKnown: false};

/**
 * Confirms that a promotion cannot lose a commit that the primary has acknowledged.
 *
 * The primary acknowledges a commit as soon as any replica has it, also one that joined after a promotion had paused the others, and
 * that may be in no list of servers yet. The promoted log then lacks the commit. A commit is therefore confirmed only once a witness has
 * it: a server that has been listed for so long that each promotion under way has paused it. If the witness had the commit before that
 * pause, the promotion chooses a log that has it; after the pause the witness receives nothing. Where no server has been listed for that
 * long, all of them must have the commit.
 *
 * A witness that restarts loses its pause, and the host may not know yet that it did. What it says counts on a connection that is older
 * than a promotion, or together with another witness that was not paused after the commit: a promotion that pauses that one later reads
 * the pauses of all again.
 */
export class CommitConfirmer {
	private readonly waiters = new Set<Waiter>();
	private readonly probes = new WeakMap<Backend, SentProbe>();
	private isProbing = false;

	/**
	 * @param membership - returns the servers at present
	 * @param clock - clock for timeouts and delays
	 */
	constructor(private readonly membership: () => ConfirmationMembership, private readonly clock: Clock) {}

	/**
	 * Waits until a commit is confirmed.
	 * @param commit - position of the primary after the commit. The primary confirms nothing itself, also when it is one no more
	 * @param timeoutMs - longest wait in milliseconds
	 */
	async confirm(commit: AcknowledgedCommit, timeoutMs: number): Promise<CommitConfirmation> {
		const sinceMs = this.clock.nowMs();
		if (this.isConfirmed({...commit, sinceMs})) {
			return {kind: 'confirmed', wasKnown: true};
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				...commit,
				sinceMs,
				settle: confirmation => {
					clearTimeout(timer);
					this.waiters.delete(waiter);
					resolve(confirmation);
				},
			};
			const timer = setTimeout(() => {
				waiter.settle({kind: 'unconfirmed', reason: `no witness had it within ${Math.round(timeoutMs)} ms`});
			}, timeoutMs);
			this.waiters.add(waiter);
			void this.probeWhileAwaited();
		});
	}

	/** Confirms the commits that the servers are now known to have. Called after each answer of a server with a position. */
	recordProgress(): void {
		for (const waiter of this.waiters) {
			if (this.isConfirmed(waiter)) {
				waiter.settle(confirmed);
			}
		}
	}

	private isConfirmed(commit: AwaitedCommit): boolean {
		return isCommitSafe(commit, this.membership(), backend => this.probes.get(backend));
	}

	/** Settles the commits of a primary that is known to be replaced. Nothing tells whether its successor has them. */
	private giveUpReplaced(): void {
		const {newestTerm} = this.membership();
		const replaced = [...this.waiters].filter(({position}) => newestTerm > position.term);
		settleAll(replaced, {kind: 'unconfirmed', reason: `term ${newestTerm} is known`});
	}

	/** Asks the servers for their positions until no commit is awaited. One series of rounds serves all commits. */
	private async probeWhileAwaited(): Promise<void> {
		if (this.isProbing) {
			return;
		}

		this.isProbing = true;
		try {
			await this.probeInRounds();
		} finally {
			this.isProbing = false;
		}
	}

	private async probeInRounds(): Promise<void> {
		let retryDelayMs = initialRetryDelayMs;
		let silentRounds: SilentRounds = {witnesses: 0, ordered: 0};
		let round = 0;
		while (this.waiters.size > 0) {
			const awaited = [...this.waiters];
			const outcomes = await this.probeRound(round);
			this.giveUpReplaced();
			silentRounds = countSilentRounds(silentRounds, outcomes);
			const reason = reasonToGiveUp(outcomes, silentRounds);
			if (reason !== undefined) {
				settleAll(awaited.filter(waiter => this.waiters.has(waiter)), {kind: 'unconfirmed', reason});
			}

			round++;
			if (this.waiters.size > 0) {
				await this.clock.sleep(retryDelayMs);
				retryDelayMs = Math.min(maximumRetryDelayMs, retryDelayMs * 2);
			}
		}
	}

	/** Asks the witnesses, and those servers that an order may still promote and that are not known to have all awaited commits. */
	private async probeRound(round: number): Promise<ProbeRound> {
		const ordered = this.membership().ordered.filter(backend => this.mustHoldMore(backend));
		const [witnessOutcomes, orderedOutcomes] = await Promise.all([
			this.probeWitnesses(round), Promise.all(ordered.map(async backend => this.probe(backend))),
		]);
		return {witnesses: witnessOutcomes, ordered: orderedOutcomes};
	}

	private mustHoldMore(backend: Backend): boolean {
		return [...this.waiters].some(({position, primary}) => backend !== primary && !hasCommit(backend.heldPosition, position));
	}

	/**
	 * Asks one witness, and the others too if it does not answer soon, is paused, or has commits that it cannot confirm alone. Successive
	 * rounds begin with different ones.
	 */
	private async probeWitnesses(round: number): Promise<readonly ProbeOutcome[]> {
		const {members, witnesses} = this.membership();
		if (witnesses.length === 0) {
			return Promise.all(members.map(async backend => this.probe(backend)));
		}

		const first = witnesses[round % witnesses.length]!;
		const firstOutcome = this.probe(first);
		const isReceiving = await isTrueWithin(firstOutcome.then(outcome => outcome === 'receiving'), hedgeDelayMs, this.clock);
		if (isReceiving && !this.hasUncorroborated(first)) {
			return ['receiving'];
		}

		const others = witnesses.filter(backend => backend !== first);
		return Promise.all([firstOutcome, ...others.map(async backend => this.probe(backend))]);
	}

	private hasUncorroborated({heldPosition}: Backend): boolean {
		return [...this.waiters].some(({position}) => hasCommit(heldPosition, position));
	}

	private async probe(backend: Backend): Promise<ProbeOutcome> {
		const sentMs = this.clock.nowMs();
		const {outcome, term} = await this.askStatus(backend, sentMs);
		this.probes.set(backend, {sentMs, outcome, term});
		this.recordProgress();
		return outcome;
	}

	private async askStatus(backend: Backend, sentMs: number): Promise<Pick<SentProbe, 'outcome' | 'term'>> {
		try {
			const status = await backend.runControlCommand({kind: 'status'}, statusTimeoutMs);
			if (status === undefined) {
				return {outcome: 'busy', term: undefined};
			}

			return {outcome: status.role === 'replica' && status.pausedTerm === 0 ? 'receiving' : 'notReceiving', term: Math.max(status.term, status.receivedPosition.term)};
		} catch (error) {
			backend.recordProbeFailure(error);
			return {outcome: backend.lastContactMs < sentMs ? 'silent' : 'busy', term: undefined};
		}
	}
}

function settleAll(waiters: readonly Waiter[], confirmation: CommitConfirmation): void {
	for (const waiter of waiters) {
		waiter.settle(confirmation);
	}
}
