import {type DatabaseStatus, type LogPosition} from '@crocusloom/model';
import {type Quorum} from './quorum.js';

/** A status response with its request and response times. The status is at least as recent as the request. */
export type StatusObservation = {
	readonly status: DatabaseStatus;
	readonly requestedAtMs: number;
	readonly receivedAtMs: number;
};

/** A log position of the primary whose term a majority has confirmed as the newest of the group. */
export type ConfirmedPosition = {
	readonly database: string;
	readonly position: LogPosition;
	/** Every commit that was acknowledged before this time is at or below the position. */
	readonly confirmedAtMs: number;
};

/** Returns the number of databases that form a majority of a group. */
export function majoritySize(databaseCount: number): number {
	return Math.floor(databaseCount / 2) + 1;
}

/** Checks whether a database is the primary of the term at which it is fenced. */
export function isCurrentPrimary(status: DatabaseStatus): boolean {
	return status.role === 'primary' && status.followsTerm === status.fencedTerm;
}

/**
 * Checks whether a database still has its state, that is, its terms. A database that lost its state in a restart has also
 * lost the fences that it accepted and the log records that it held, so it must not count towards a majority.
 */
export function hasState(status: DatabaseStatus): boolean {
	return status.fencedTerm > 0 && status.followsTerm > 0;
}

/**
 * Checks whether no database of a group has ever been a primary or followed one. Only in such a group may databases without
 * state form a majority.
 * @param statuses - at most one status per database
 * @param databaseCount - number of databases in the group, all of which must have responded
 */
export function isNewGroup(statuses: readonly DatabaseStatus[], databaseCount: number): boolean {
	return statuses.length === databaseCount && statuses.every(({followsTerm, position}) => followsTerm === 0 && position.term === 0);
}

/** Returns the highest term that a status shows. */
export function newestTermOf({fencedTerm, followsTerm, position}: DatabaseStatus): number {
	return Math.max(fencedTerm, followsTerm, position.term);
}

/** Returns the observation of the primary with the highest term, if there is a primary. */
export function findPrimary(observations: readonly StatusObservation[]): StatusObservation | undefined {
	const primaries = observations.filter(({status}) => isCurrentPrimary(status));
	return primaries.toSorted((a, b) => b.status.fencedTerm - a.status.fencedTerm)[0];
}

/**
 * Returns the request times of the databases that are known not to have been fenced above a term. A promotion to a higher term
 * fences a majority first, so no such promotion had completed at the time that a majority of them reaches.
 * @returns monotonic times in milliseconds by database
 */
export function termRequestTimesMs(observations: readonly StatusObservation[], term: number): ReadonlyMap<string, number> {
	return new Map(observations.filter(({status}) => status.fencedTerm <= term).map(({status, requestedAtMs}) => [status.database, requestedAtMs]));
}

/**
 * Returns the position of the primary with the time at which a majority confirmed its term.
 * @param observations - at most one observation per database
 * @param quorumOfTerm - returns the majorities that a term needs
 * @param isMajorityRequired - false only in tests that show which violations the majority's confirmation prevents
 * @returns undefined if there is no primary, or if no majority has confirmed its term
 */
export function findConfirmedPosition(observations: readonly StatusObservation[], quorumOfTerm: (term: number) => Quorum, isMajorityRequired = true): ConfirmedPosition | undefined {
	const primary = findPrimary(observations);
	if (!primary) {
		return undefined;
	}

	const {status, requestedAtMs} = primary;
	const majorityConfirmedAtMs = isMajorityRequired ? quorumOfTerm(status.fencedTerm).valueOfMajority(termRequestTimesMs(observations, status.fencedTerm)) : requestedAtMs;
	return majorityConfirmedAtMs === undefined
		? undefined
		: {database: status.database, position: status.position, confirmedAtMs: Math.min(requestedAtMs, majorityConfirmedAtMs)};
}
