import {
	comparePositions, type DatabaseGroupSpec, type DatabaseSpec, type DatabaseStatus,
} from '@crocusloom/model';

/**
 * Chooses the database to promote: the highest position, then one that is not leaving, then the failure domain of the old
 * primary, whose callers are nearest to it, then the configured order.
 * @param fenced - statuses of the databases that accepted the fence
 * @param spec - the group's resource
 * @param oldPrimary - database that led before, if known
 */
export function chooseCandidate(fenced: readonly DatabaseStatus[], spec: DatabaseGroupSpec, oldPrimary: string | undefined): DatabaseStatus | undefined {
	const specOf = (name: string) => spec.databases.find(database => database.name === name);
	const domain = oldPrimary === undefined ? undefined : specOf(oldPrimary)?.failureDomain;
	const preference = (status: DatabaseStatus) => placeOf(specOf(status.database), domain);
	const configured = spec.databases.map(({name}) => name);
	return fenced.toSorted((a, b) => comparePositions(b.position, a.position)
		|| preference(a) - preference(b)
		|| configured.indexOf(a.database) - configured.indexOf(b.database))[0];
}

/** Lower is better; leaving weighs more than the failure domain. */
function placeOf(database: DatabaseSpec | undefined, preferredDomain: string | undefined): number {
	const leaving = database?.leaving ? 2 : 0;
	return leaving + (database?.failureDomain === preferredDomain ? 0 : 1);
}

/** Address under which replicas reach a database. */
export function addressOf(spec: DatabaseGroupSpec, database: string): string {
	const found = spec.databases.find(({name}) => name === database);
	return found ? `${found.address}:${found.port}` : database;
}
