import {type DatabaseStatus, type LogPosition} from '@crocusloom/model';

/** A status and the time at which it was asked for; the status is at least as new as that. */
export type Observation = {
	readonly status: DatabaseStatus;
	readonly askedAtMs: number;
	readonly answeredAtMs: number;
};

/** A position of the primary that a majority confirmed to be of the group's newest term. */
export type ConfirmedPosition = {
	readonly database: string;
	readonly position: LogPosition;
	/** No commit that the position lacks was acknowledged before this time. */
	readonly confirmedAtMs: number;
};

/** Number of databases that make a majority of a group. */
export function majorityOf(databaseCount: number): number {
	return Math.floor(databaseCount / 2) + 1;
}

/** Tells whether a database leads: it is the primary of the term at which it is fenced. */
export function leads(status: DatabaseStatus): boolean {
	return status.role === 'primary' && status.followsTerm === status.fencedTerm;
}

/**
 * Tells whether a database has the state by which it takes part in majorities. A restart that lost the state also lost the
 * fences that it accepted and the records that it held, so that its word could complete a majority that never was one.
 */
export function hasState(status: DatabaseStatus): boolean {
	return status.fencedTerm > 0 && status.followsTerm > 0;
}

/**
 * Tells whether no database of a group ever led or followed; only then may databases without state make a majority.
 * @param statuses - at most one of each database
 * @param databaseCount - databases of the group, all of which must have answered
 */
export function isNewGroup(statuses: readonly DatabaseStatus[], databaseCount: number): boolean {
	return statuses.length === databaseCount && statuses.every(({followsTerm, position}) => followsTerm === 0 && position.term === 0);
}

/** The observation of the primary of the highest term, if a database leads. */
export function findLeader(observations: readonly Observation[]): Observation | undefined {
	const leaders = observations.filter(({status}) => leads(status));
	return leaders.toSorted((a, b) => b.status.fencedTerm - a.status.fencedTerm)[0];
}

/**
 * Time up to which a majority is known not to be fenced above a term. A promotion to a higher term fences a majority first,
 * so none was complete at that time.
 * @returns milliseconds of the clock, or undefined when no majority is known to be at or below the term
 */
export function termConfirmedAtMs(observations: readonly Observation[], databaseCount: number, term: number): number | undefined {
	const askedAtMs = observations.filter(({status}) => status.fencedTerm <= term).map(observation => observation.askedAtMs);
	return askedAtMs.toSorted((a, b) => b - a)[majorityOf(databaseCount) - 1];
}

/**
 * The primary's position with the time for which a majority confirms it.
 * @param observations - at most one of each database
 * @param databaseCount - databases of the group, observed or not
 * @param requireMajority - false only in tests that show what the majority's confirmation prevents
 */
export function confirmedPosition(observations: readonly Observation[], databaseCount: number, requireMajority = true): ConfirmedPosition | undefined {
	const leader = findLeader(observations);
	if (!leader) {
		return undefined;
	}

	const {status, askedAtMs} = leader;
	const termAtMs = requireMajority ? termConfirmedAtMs(observations, databaseCount, status.fencedTerm) : askedAtMs;
	return termAtMs === undefined
		? undefined
		: {database: status.database, position: status.position, confirmedAtMs: Math.min(askedAtMs, termAtMs)};
}
