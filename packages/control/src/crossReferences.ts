/**
 * Validation of a change against the other resources of the configuration.
 */
import {
	type Configuration, type DatabaseGroupSpec, type FieldProblem, type RankSpec, type Resource, type ResourceKind, type RouteSpec, type SpecByKind,
} from '@crocusloom/model';

/** Tolerance for rounding errors in the sum of floor shares. */
const floorSumTolerance = 1e-9;

const putChecks: {readonly [K in ResourceKind]: (configuration: Configuration, name: string, spec: SpecByKind[K]) => readonly FieldProblem[]} = {
	databaseGroups: checkGroup,
	routes: checkRoute,
	ranks: checkRank,
	freshnessClasses: () => [],
};

/** Checks a resource before it is created or replaced. */
export function checkPut(configuration: Configuration, kind: ResourceKind, name: string, spec: Resource['spec']): readonly FieldProblem[] {
	const check = putChecks[kind] as (configuration: Configuration, name: string, spec: Resource['spec']) => readonly FieldProblem[];
	return check(configuration, name, spec);
}

const routeReferenceFields: Readonly<Partial<Record<ResourceKind, 'group' | 'rank' | 'freshness'>>> = {
	databaseGroups: 'group',
	ranks: 'rank',
	freshnessClasses: 'freshness',
};

/** Checks that no route refers to a resource before it is deleted. */
export function checkDelete(configuration: Configuration, kind: ResourceKind, name: string): readonly FieldProblem[] {
	const field = routeReferenceFields[kind];
	return [...configuration.routes.values()]
		.filter(route => field && route.spec[field] === name)
		.map(route => ({path: 'name', message: `route ${route.name} needs ${kind}/${name}`}));
}

function checkRoute(configuration: Configuration, name: string, spec: RouteSpec): readonly FieldProblem[] {
	const missingReferences = (Object.entries(routeReferenceFields) as ReadonlyArray<[ResourceKind, 'group' | 'rank' | 'freshness']>)
		.filter(([kind, field]) => !configuration[kind].has(spec[field]))
		.map(([kind, field]) => ({path: `spec.${field}`, message: `${kind}/${spec[field]} does not exist`}));
	const conflictingRoute = [...configuration.routes.values()].find(other => other.name !== name && hasSameMatchCriteria(other.spec, spec));
	return conflictingRoute ? [...missingReferences, {path: 'spec.database', message: `route ${conflictingRoute.name} is for the same database, user and application`}] : missingReferences;
}

function hasSameMatchCriteria(a: RouteSpec, b: RouteSpec): boolean {
	return a.database === b.database && a.user === b.user && a.application === b.application;
}

function checkRank(configuration: Configuration, name: string, spec: RankSpec): readonly FieldProblem[] {
	const otherRanks = [...configuration.ranks.values()].filter(rank => rank.name !== name);
	const floorSum = otherRanks.reduce((total, rank) => total + rank.spec.floorShare, spec.floorShare);
	return floorSum > 1 + floorSumTolerance
		? [{path: 'spec.floorShare', message: `the floors of all ranks add up to ${Number(floorSum.toFixed(4))}, above 1`}]
		: [];
}

/** Checks that database names are unique in the deployment, because the holder of a database is looked up by its name. */
function checkGroup(configuration: Configuration, name: string, spec: DatabaseGroupSpec): readonly FieldProblem[] {
	const groupNameByDatabase = new Map<string, string>();
	for (const group of configuration.databaseGroups.values()) {
		for (const database of group.name === name ? [] : group.spec.databases) {
			groupNameByDatabase.set(database.name, group.name);
		}
	}

	return spec.databases.flatMap((database, index) => {
		const owningGroup = groupNameByDatabase.get(database.name);
		groupNameByDatabase.set(database.name, name);
		return owningGroup === undefined ? [] : [{path: `spec.databases.${index}.name`, message: `database ${database.name} already belongs to group ${owningGroup}`}];
	});
}
