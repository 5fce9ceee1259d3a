/**
 * Configuration resources of a deployment, in the form that operators declare them.
 */
import {randomUUID} from 'node:crypto';
import {type ResourceKind} from '@crocusloom/model';
import {type DeploymentTopology} from './types.js';

/** Address on which a database listens. */
export type DatabaseAddress = {readonly host: string; readonly port: number};

/** A resource to write to the platform's key-value store. */
export type ResourceSeed = {readonly kind: ResourceKind; readonly name: string; readonly spec: Readonly<Record<string, unknown>>};

/**
 * Builds the resources of a deployment.
 * @param addressOf - returns the address of a database by its name
 */
export function buildResources(deployment: DeploymentTopology, addressOf: (database: string) => DatabaseAddress): readonly ResourceSeed[] {
	return [
		...Object.entries(deployment.freshnessClasses).map(([name, spec]): ResourceSeed => ({kind: 'freshnessClasses', name, spec})),
		...deployment.workloads.map(({application, targetMs, floorShare}, index): ResourceSeed => ({
			kind: 'ranks', name: application, spec: {order: index + 1, targetMs, floorShare},
		})),
		...buildDatabaseGroups(deployment, addressOf),
		...buildRoutes(deployment),
	];
}

/** Key of a resource in the platform's key-value store. */
export function resourceKey(deployment: string, {kind, name}: ResourceSeed): string {
	return `crocusloom/${deployment}/${kind}/${name}`;
}

/** Value of a resource in the platform's key-value store. */
export function resourceValue({spec}: ResourceSeed): string {
	return JSON.stringify({changeId: randomUUID(), spec});
}

function buildDatabaseGroups({groups, slotsPerDatabase, connectionsPerDatabase}: DeploymentTopology, addressOf: (database: string) => DatabaseAddress): readonly ResourceSeed[] {
	return groups.map(group => ({
		kind: 'databaseGroups',
		name: group.name,
		spec: {
			databases: group.databases.map(({name, failureDomain}) => {
				const {host, port} = addressOf(name);
				return {
					name, address: host, port, failureDomain,
				};
			}),
			slotsPerDatabase,
			connectionsPerDatabase,
		},
	}));
}

/**
 * Builds the routes: the database name selects the group and the application name the rank. Other applications get the last
 * rank.
 */
function buildRoutes({groups, workloads}: DeploymentTopology): readonly ResourceSeed[] {
	return groups.flatMap(({name: group}) => [
		...workloads.map(({application, freshness}): ResourceSeed => ({
			kind: 'routes',
			name: `${group}-${application}`,
			spec: {
				database: group, application, group, rank: application, freshness,
			},
		})),
		{
			kind: 'routes', name: `${group}-other`, spec: {
				database: group, group, rank: workloads.at(-1)!.application, freshness: 'session',
			},
		},
	]);
}
