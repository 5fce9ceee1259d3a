import {
	brazos, Cluster, createTables, type DeploymentTopology,
} from '@crocusloom/standins';
import {type CallerTarget} from './rawCaller.js';

export type DeploymentSize = {
	/** Failure domain of each proxy, one entry per proxy. */
	readonly proxyDomains: readonly string[];
	readonly groupCount: number;
	/** Failure domain of each database of a group, the same for all groups. */
	readonly databaseDomains: readonly string[];
};

/** The endpoints of a running deployment. */
export type RunningDeployment = {
	readonly cluster: Cluster;
	readonly proxyNames: readonly string[];
	readonly operatorUrls: readonly string[];
	readonly callerTargets: readonly CallerTarget[];
	readonly platformControlUrl: string;
};

const deploymentName = 'capacity';

/** Large enough that slots do not limit the rate, because the measurements are about the proxies. */
const slotsPerDatabase = 16;
const connectionsPerDatabase = 40;

function createTopology({proxyDomains, groupCount, databaseDomains}: DeploymentSize): DeploymentTopology {
	return {
		...brazos,
		name: deploymentName,
		proxies: proxyDomains.map((failureDomain, index) => ({name: `capacity-proxy-${index + 1}`, failureDomain})),
		groups: Array.from({length: groupCount}, (_, group) => ({
			name: `capacity-${group + 1}`,
			databases: databaseDomains.map((failureDomain, index) => ({name: `capacity-${group + 1}-${index + 1}`, failureDomain})),
		})),
		slotsPerDatabase,
		connectionsPerDatabase,
	};
}

/**
 * Starts a deployment, runs a measurement on it and stops it.
 * @param size - number and failure domains of the proxies and databases
 * @param measure - runs on the started deployment
 * @returns the result of `measure`
 */
export async function withDeployment<T>(size: DeploymentSize, measure: (deployment: RunningDeployment) => Promise<T>): Promise<T> {
	const topology = createTopology(size);
	// Without users, callers connect without a password, so that the cost of key derivation is not measured as the cost of a caller.
	const cluster = new Cluster([topology], {users: {}, logLevel: 'warn', databaseArgs: ['--service-ms', '1', '--connect-ms', '1']});
	try {
		await cluster.start();
		const {callers, operators, processes} = cluster.endpoints();
		await createTables(topology, callers[0]!, {user: 'demo', password: ''});
		return await measure({
			cluster,
			proxyNames: callers.map(({name}) => name),
			operatorUrls: operators.map(({url}) => url),
			callerTargets: callers.map(({host, port}) => ({
				host, port, database: topology.groups[0]!.name, application: 'bookings',
			})),
			platformControlUrl: processes.find(({kind}) => kind === 'platform')!.controlUrl!,
		});
	} finally {
		await cluster.stop();
	}
}
