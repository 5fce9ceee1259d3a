/**
 * Configuration resources of a deployment, as its operators would have declared them.
 */
import {randomUUID} from 'node:crypto';
import {type ResourceKind} from '@crocusloom/model';
import {type DeploymentTopology} from './types.js';

/** Where a started database listens. */
export type DatabaseAddress = {readonly host: string; readonly port: number};

export type ResourceSeed = {readonly kind: ResourceKind; readonly name: string; readonly spec: Readonly<Record<string, unknown>>};

/**
 * Lists the resources of a deployment.
 * @param addressOf - address of a database by its name
 */
export function resourcesOf(deployment: DeploymentTopology, addressOf: (database: string) => DatabaseAddress): readonly ResourceSeed[] {
	return [
		...Object.entries(deployment.freshnessClasses).map(([name, spec]): ResourceSeed => ({kind: 'freshnessClasses', name, spec})),
		...deployment.work.map(({application, targetMs, floorShare}, index): ResourceSeed => ({
			kind: 'ranks', name: application, spec: {order: index + 1, targetMs, floorShare},
		})),
		...databaseGroups(deployment, addressOf),
		...routes(deployment),
	];
}

/** Key of a resource in the platform's store. */
export function resourceKey(deployment: string, {kind, name}: ResourceSeed): string {
	return `crocusloom/${deployment}/${kind}/${name}`;
}

/** Value of a resource in the platform's store. */
export function resourceValue({spec}: ResourceSeed): string {
	return JSON.stringify({changeId: randomUUID(), spec});
}

function databaseGroups({groups, slotsPerDatabase, connectionsPerDatabase}: DeploymentTopology, addressOf: (database: string) => DatabaseAddress): readonly ResourceSeed[] {
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

/** Each group is a database name of its own; the application name selects the rank. Other applications get the last rank. */
function routes({groups, work}: DeploymentTopology): readonly ResourceSeed[] {
	return groups.flatMap(({name: group}) => [
		...work.map(({application, freshness}): ResourceSeed => ({
			kind: 'routes',
			name: `${group}-${application}`,
			spec: {
				database: group, application, group, rank: application, freshness,
			},
		})),
		{
			kind: 'routes', name: `${group}-other`, spec: {
				database: group, group, rank: work.at(-1)!.application, freshness: 'session',
			},
		},
	]);
}
