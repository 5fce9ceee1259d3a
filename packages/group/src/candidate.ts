import {
	comparePositions, type DatabaseGroupSpec, type DatabaseSpec, type DatabaseStatus,
} from '@crocusloom/model';

/**
 * Chooses the database to promote. The order is: highest position, not leaving, in the failure domain of the old primary
 * (the callers of the old primary are nearest to it), configured order.
 * @param fencedStatuses - statuses of the databases that accepted the fence
 * @param spec - resource of the group
 * @param oldPrimary - previous primary, if known
 */
export function chooseCandidate(fencedStatuses: readonly DatabaseStatus[], spec: DatabaseGroupSpec, oldPrimary: string | undefined): DatabaseStatus | undefined {
	const specOf = (name: string) => spec.databases.find(database => database.name === name);
	const preferredDomain = oldPrimary === undefined ? undefined : specOf(oldPrimary)?.failureDomain;
	const penaltyOf = (status: DatabaseStatus) => candidatePenalty(specOf(status.database), preferredDomain);
	const configuredOrder = spec.databases.map(({name}) => name);
	return fencedStatuses.toSorted((a, b) => comparePositions(b.position, a.position)
		|| penaltyOf(a) - penaltyOf(b)
		|| configuredOrder.indexOf(a.database) - configuredOrder.indexOf(b.database))[0];
}

/** Returns a penalty; the lowest is preferred. A leaving database is worse than one in another failure domain. */
function candidatePenalty(database: DatabaseSpec | undefined, preferredDomain: string | undefined): number {
	const leavingPenalty = database?.leaving ? 2 : 0;
	return leavingPenalty + (database?.failureDomain === preferredDomain ? 0 : 1);
}

/** Returns the address at which replicas reach a database. */
export function addressOf(databases: readonly DatabaseSpec[], database: string): string {
	const databaseSpec = databases.find(({name}) => name === database);
	return databaseSpec ? `${databaseSpec.address}:${databaseSpec.port}` : database;
}
