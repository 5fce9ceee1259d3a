import {comparePositions, type LogPosition} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {witnessAgeMs} from './commitWitnesses.js';

/** Rounds without an answer of any witness, or of a server that must have the commit, after which a commit is not confirmed. */
const maximumSilentRounds = 2;

/** Servers that can confirm commits of a service. */
export type ConfirmationMembership = {
	/** The last known primary. */
	readonly primary: Backend | undefined;
	/** All listed servers except the primary. */
	readonly members: readonly Backend[];
	/** Those of them that each promotion under way has paused before its order, in the order in which they should be asked. */
	readonly witnesses: readonly Backend[];
	/** Those of them that an order of promotion may still make the primary, at any time. */
	readonly ordered: readonly Backend[];
	/** Number of replicas that must receive a commit before it is acknowledged. */
	readonly syncReplicas: number;
	/** Highest term that any server has reported. */
	readonly newestTerm: number;
};

/** What an answer of a server, or its absence, tells about the commits that it lacks. */
export type ProbeOutcome
	/** It receives what the primary commits. */
	= | 'receiving'
		/** Replication to it is paused for a promotion, or it is a primary itself. */
		| 'notReceiving'
		/** It is alive, and could not tell. */
		| 'busy'
		| 'silent';

/** A commit, and the server that acknowledged it as the primary. */
export type AcknowledgedCommit = {readonly position: LogPosition; readonly primary: Backend};

/** Last outcome of a probe of a server, the term that the server reported, and the time at which the probe was sent. */
export type SentProbe = {readonly sentMs: number; readonly outcome: ProbeOutcome; readonly term: number | undefined};

/** A commit whose confirmation is awaited, and the time at which the acknowledgement of the primary was known. */
export type AwaitedCommit = AcknowledgedCommit & {readonly sinceMs: number};

/** Outcomes of one round of probes. */
export type ProbeRound = {
	readonly witnesses: readonly ProbeOutcome[];
	/** Outcomes of the servers that an order may still promote, of those that were not known to have all awaited commits. */
	readonly ordered: readonly ProbeOutcome[];
};

/** Numbers of successive rounds without an answer of any witness, and of a server that an order may still promote. */
export type SilentRounds = {readonly witnesses: number; readonly ordered: number};

/**
 * Checks whether no promotion can lose a commit.
 * @param membership - the servers at present
 * @param probeOf - returns the last probe of a server
 */
export function isCommitSafe(commit: AwaitedCommit, {syncReplicas, newestTerm, ...others}: ConfirmationMembership, probeOf: (backend: Backend) => SentProbe | undefined): boolean {
	const {position, primary, sinceMs} = commit;
	if (syncReplicas === 0) {
		return true;
	}

	if (newestTerm > position.term || !others.ordered.every(backend => backend === primary || hasCommit(backend.heldPosition, position))) {
		return false;
	}

	const members = others.members.filter(backend => backend !== primary);
	const witnesses = others.witnesses.filter(backend => backend !== primary);
	if (witnesses.length === 0) {
		return others.primary === primary && members.length > 0 && members.every(({heldPosition}) => hasCommit(heldPosition, position));
	}

	const holders = witnesses.filter(({heldPosition}) => hasCommit(heldPosition, position));
	return holders.some(holder => {
		const otherProbes = witnesses.filter(backend => backend !== holder).map(backend => probeOf(backend));
		return hasCommit(holder.establishedPosition, position) || isCorroborated(holder, otherProbes, {sinceMs, term: position.term});
	});
}

/**
 * Checks whether another witness was not paused after the commit, or cannot tell while nothing suggests that the holder restarted. One
 * that follows a primary of another term shows that a promotion took effect.
 */
function isCorroborated(holder: Backend, otherProbes: ReadonlyArray<SentProbe | undefined>, {sinceMs, term}: {readonly sinceMs: number; readonly term: number}): boolean {
	const outcomes = otherProbes.map(probe => probe && probe.sentMs >= sinceMs && (probe.outcome !== 'receiving' || probe.term === term) ? probe.outcome : undefined);
	const cannotTell = outcomes.every(outcome => outcome === 'busy' || outcome === 'silent');
	return outcomes.includes('receiving') || (cannotTell && holder.undisturbedForMs >= witnessAgeMs);
}

/** Checks whether a server is known to have had a commit. A log of another term may lack it, whatever its position. */
export function hasCommit(heldPosition: LogPosition | undefined, position: LogPosition): boolean {
	return heldPosition?.term === position.term && comparePositions(heldPosition, position) >= 0;
}

/** Counts a further round of probes. */
export function countSilentRounds({witnesses, ordered}: SilentRounds, round: ProbeRound): SilentRounds {
	return {
		witnesses: round.witnesses.every(outcome => outcome === 'silent') ? witnesses + 1 : 0,
		ordered: round.ordered.includes('silent') ? ordered + 1 : 0,
	};
}

/** Returns why no further answer can confirm a commit that was awaited before a round, or undefined if one can. */
export function reasonToGiveUp({witnesses, ordered}: ProbeRound, silentRounds: SilentRounds): string | undefined {
	if (witnesses.includes('notReceiving') && !witnesses.includes('receiving') && !witnesses.includes('busy')) {
		return 'replication to the witnesses is paused for a promotion, or ended with one';
	}

	if (ordered.includes('notReceiving')) {
		return 'a server that an order of promotion names does not receive it';
	}

	if (silentRounds.ordered >= maximumSilentRounds) {
		return 'a server that an order of promotion names does not answer';
	}

	return silentRounds.witnesses >= maximumSilentRounds ? 'no witness answers' : undefined;
}
