/**
 * Checks of a change against the other resources.
 */
import {
	type Configuration, type DatabaseGroupSpec, type FieldProblem, type RankSpec, type Resource, type ResourceKind, type RouteSpec, type SpecByKind,
} from '@crocusloom/model';

/** Allowance for the rounding of sums of floors. */
const roundingAllowance = 1e-9;

const putChecks: {readonly [K in ResourceKind]: (configuration: Configuration, name: string, spec: SpecByKind[K]) => readonly FieldProblem[]} = {
	databaseGroups: checkGroup,
	routes: checkRoute,
	ranks: checkRank,
	freshnessClasses: () => [],
};

/** Checks a resource that is to be created or replaced. */
export function checkPut(configuration: Configuration, kind: ResourceKind, name: string, spec: Resource['spec']): readonly FieldProblem[] {
	const check = putChecks[kind] as (configuration: Configuration, name: string, spec: Resource['spec']) => readonly FieldProblem[];
	return check(configuration, name, spec);
}

const routeFields: Readonly<Partial<Record<ResourceKind, 'group' | 'rank' | 'freshness'>>> = {
	databaseGroups: 'group',
	ranks: 'rank',
	freshnessClasses: 'freshness',
};

/** Checks that no route needs a resource that is to be deleted. */
export function checkDelete(configuration: Configuration, kind: ResourceKind, name: string): readonly FieldProblem[] {
	const field = routeFields[kind];
	return [...configuration.routes.values()]
		.filter(route => field && route.spec[field] === name)
		.map(route => ({path: 'name', message: `route ${route.name} needs ${kind}/${name}`}));
}

function checkRoute(configuration: Configuration, name: string, spec: RouteSpec): readonly FieldProblem[] {
	const unknown = (Object.entries(routeFields) as ReadonlyArray<[ResourceKind, 'group' | 'rank' | 'freshness']>)
		.filter(([kind, field]) => !configuration[kind].has(spec[field]))
		.map(([kind, field]) => ({path: `spec.${field}`, message: `${kind}/${spec[field]} does not exist`}));
	const same = [...configuration.routes.values()].find(other => other.name !== name && matchesSameCallers(other.spec, spec));
	return same ? [...unknown, {path: 'spec.database', message: `route ${same.name} is for the same database, user and application`}] : unknown;
}

function matchesSameCallers(a: RouteSpec, b: RouteSpec): boolean {
	return a.database === b.database && a.user === b.user && a.application === b.application;
}

function checkRank(configuration: Configuration, name: string, spec: RankSpec): readonly FieldProblem[] {
	const others = [...configuration.ranks.values()].filter(rank => rank.name !== name);
	const sum = others.reduce((total, rank) => total + rank.spec.floorShare, spec.floorShare);
	return sum > 1 + roundingAllowance
		? [{path: 'spec.floorShare', message: `the floors of all ranks add up to ${Number(sum.toFixed(4))}, above 1`}]
		: [];
}

/** The holder of a database is found by its name, so that the name must be unique in the deployment. */
function checkGroup(configuration: Configuration, name: string, spec: DatabaseGroupSpec): readonly FieldProblem[] {
	const owners = new Map<string, string>();
	for (const group of configuration.databaseGroups.values()) {
		for (const database of group.name === name ? [] : group.spec.databases) {
			owners.set(database.name, group.name);
		}
	}

	return spec.databases.flatMap((database, index) => {
		const owner = owners.get(database.name);
		owners.set(database.name, name);
		return owner === undefined ? [] : [{path: `spec.databases.${index}.name`, message: `database ${database.name} already belongs to group ${owner}`}];
	});
}
