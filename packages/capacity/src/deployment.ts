import {
	brazos, Cluster, createTables, type DeploymentTopology,
} from '@crocusloom/standins';
import {type CallerTarget} from './rawCaller.js';

export type DeploymentSize = {
	/** Failure domain of each proxy. */
	readonly proxyDomains: readonly string[];
	readonly groups: number;
	/** Failure domains of the databases of each group. */
	readonly databaseDomains: readonly string[];
};

/** A running deployment. */
export type RunningDeployment = {
	readonly cluster: Cluster;
	readonly proxies: readonly string[];
	readonly operatorUrls: readonly string[];
	readonly callerTargets: readonly CallerTarget[];
	readonly platformControlUrl: string;
};

const deploymentName = 'capacity';

/** Slots are not the limit here, because the proxies are measured. */
const slotsPerDatabase = 16;
const connectionsPerDatabase = 40;

function topologyOf({proxyDomains, groups, databaseDomains}: DeploymentSize): DeploymentTopology {
	return {
		...brazos,
		name: deploymentName,
		proxies: proxyDomains.map((failureDomain, index) => ({name: `capacity-proxy-${index + 1}`, failureDomain})),
		groups: Array.from({length: groups}, (_, group) => ({
			name: `capacity-${group + 1}`,
			databases: databaseDomains.map((failureDomain, index) => ({name: `capacity-${group + 1}-${index + 1}`, failureDomain})),
		})),
		slotsPerDatabase,
		connectionsPerDatabase,
	};
}

/**
 * Starts a deployment, runs a measurement on it and stops it.
 * @param size - proxies and groups
 * @param run - the measurement
 */
export async function withDeployment<T>(size: DeploymentSize, run: (deployment: RunningDeployment) => Promise<T>): Promise<T> {
	const topology = topologyOf(size);
	// Without users, callers connect without a password, so that key derivation does not count as the cost of a caller.
	const cluster = new Cluster([topology], {users: {}, logLevel: 'warn', databaseArgs: ['--service-ms', '1', '--connect-ms', '1']});
	try {
		await cluster.start();
		const {callers, operators, processes} = cluster.endpoints();
		await createTables(topology, callers[0]!, {user: 'demo', password: ''});
		return await run({
			cluster,
			proxies: callers.map(({name}) => name),
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
