import {type Clock, comparePositions, type LogPosition} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {witnessAgeMs} from './commitWitnesses.js';
import {statusTimeoutMs} from './leadershipProver.js';
import {isTrueWithin} from './withTimeout.js';

/** Time in which a witness usually answers. After it the other witnesses are asked as well. */
const hedgeDelayMs = 40;
/** Delay before the witnesses are asked again for a position that they did not have yet. It doubles with each round. */
const initialRetryDelayMs = 5;
const maximumRetryDelayMs = 80;
/** Rounds without an answer of any witness after which a commit is not confirmed. */
const maximumSilentRounds = 2;

/** Servers that can confirm commits of a service. */
export type ConfirmationMembership = {
	/** The last known primary. */
	readonly primary: Backend | undefined;
	/** All listed servers except the primary. */
	readonly members: readonly Backend[];
	/** Those of them that each promotion under way has paused before its order, in the order in which they should be asked. */
	readonly witnesses: readonly Backend[];
	/** Number of replicas that must receive a commit before it is acknowledged. */
	readonly syncReplicas: number;
	/** Highest term that any server has reported. */
	readonly newestTerm: number;
};

/** Whether a commit is known to be in the log of each server that a promotion may choose. */
export type CommitConfirmation
	/** `wasKnown` is true if no server had to be asked. */
	= | {readonly kind: 'confirmed'; readonly wasKnown: boolean}
		| {readonly kind: 'unconfirmed'; readonly reason: string};

/** What an answer of a server, or its absence, tells about the commits that it lacks. */
type ProbeOutcome
	/** It receives what the primary commits. */
	= | 'receiving'
		/** Replication to it is paused for a promotion, or it is a primary itself. */
		| 'notReceiving'
		/** It is alive, and could not tell. */
		| 'busy'
		| 'silent';

/** A commit, and the server that acknowledged it as the primary. */
export type AcknowledgedCommit = {readonly position: LogPosition; readonly primary: Backend};

type Waiter = AcknowledgedCommit & {
	/** Time at which the acknowledgement of the primary was known. */
	readonly sinceMs: number;
	readonly settle: (confirmation: CommitConfirmation) => void;
};

/** Last outcome of a probe of a server, the term that the server reported, and the time at which the probe was sent. */
type SentProbe = {readonly sentMs: number; readonly outcome: ProbeOutcome; readonly term: number | undefined};

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

	private isConfirmed({position, primary, sinceMs}: Omit<Waiter, 'settle'>): boolean {
		const {syncReplicas, newestTerm, ...others} = this.membership();
		if (syncReplicas === 0) {
			return true;
		}

		if (newestTerm > position.term) {
			return false;
		}

		const members = others.members.filter(backend => backend !== primary);
		const witnesses = others.witnesses.filter(backend => backend !== primary);

		if (witnesses.length === 0) {
			return others.primary === primary && members.length > 0 && members.every(({heldPosition}) => hasCommit(heldPosition, position));
		}

		const holders = witnesses.filter(({heldPosition}) => hasCommit(heldPosition, position));
		return holders.some(holder => hasCommit(holder.establishedPosition, position) || this.isCorroborated(holder, witnesses, {sinceMs, term: position.term}));
	}

	/**
	 * Checks whether another witness was not paused after the commit, or cannot tell while nothing suggests that the holder restarted. One
	 * that follows a primary of another term shows that a promotion took effect.
	 */
	private isCorroborated(holder: Backend, witnesses: readonly Backend[], {sinceMs, term}: {readonly sinceMs: number; readonly term: number}): boolean {
		const outcomes = witnesses.filter(backend => backend !== holder).map(backend => {
			const probe = this.probes.get(backend);
			return probe && probe.sentMs >= sinceMs && (probe.outcome !== 'receiving' || probe.term === term) ? probe.outcome : undefined;
		});
		const cannotTell = outcomes.every(outcome => outcome === 'busy' || outcome === 'silent');
		return outcomes.includes('receiving') || (cannotTell && holder.undisturbedForMs >= witnessAgeMs);
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
		let silentRounds = 0;
		let round = 0;
		while (this.waiters.size > 0) {
			const awaited = [...this.waiters];
			const outcomes = await this.probeRound(round);
			this.giveUpReplaced();
			silentRounds = outcomes.every(outcome => outcome === 'silent') ? silentRounds + 1 : 0;
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

	/**
	 * Asks one witness, and the others too if it does not answer soon, is paused, or has commits that it cannot confirm alone. Successive
	 * rounds begin with different ones.
	 */
	private async probeRound(round: number): Promise<readonly ProbeOutcome[]> {
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

/** Checks whether a server is known to have had a commit. A log of another term may lack it, whatever its position. */
function hasCommit(heldPosition: LogPosition | undefined, position: LogPosition): boolean {
	return heldPosition?.term === position.term && comparePositions(heldPosition, position) >= 0;
}

/** Returns why no further answer can confirm a commit that was awaited before a round, or undefined if one can. */
function reasonToGiveUp(outcomes: readonly ProbeOutcome[], silentRounds: number): string | undefined {
	if (outcomes.includes('notReceiving') && !outcomes.includes('receiving') && !outcomes.includes('busy')) {
		return 'replication to the witnesses is paused for a promotion, or ended with one';
	}

	return silentRounds >= maximumSilentRounds ? 'no witness answers' : undefined;
}

function settleAll(waiters: readonly Waiter[], confirmation: CommitConfirmation): void {
	for (const waiter of waiters) {
		waiter.settle(confirmation);
	}
}
