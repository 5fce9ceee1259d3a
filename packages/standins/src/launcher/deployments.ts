/**
 * Topologies of the two deployments that the design describes, at their present size.
 */
import {type DeploymentTopology, type GroupTopology, type ProxyTopology} from './types.js';

const groupCount = 3;
const databasesPerGroup = 3;

/** Builds the groups. The databases of a group are in different failure domains, and so are the primaries of all groups. */
function buildGroups(prefix: string, failureDomains: readonly string[]): readonly GroupTopology[] {
	return Array.from({length: groupCount}, (_, group) => ({
		name: `${prefix}-${group + 1}`,
		databases: Array.from({length: databasesPerGroup}, (_, database) => {
			const failureDomain = failureDomains[(group + database) % failureDomains.length]!;
			return {name: `${prefix}-${group + 1}-${failureDomain}`, failureDomain};
		}),
	}));
}

function buildProxies(deployment: string, failureDomains: readonly string[]): readonly ProxyTopology[] {
	return failureDomains.map((failureDomain, index) => ({name: `${deployment}-proxy-${index + 1}`, failureDomain}));
}

/** Specs of the freshness classes, written to the platform as they are. */
const freshnessClasses = {
	session: {mode: 'session'},
	primary: {mode: 'primary'},
	'bounded-1s': {mode: 'bounded', maxAgeMs: 1000},
	'bounded-5s': {mode: 'bounded', maxAgeMs: 5000},
} as const;

/** Brazos Valley Interpreting Services Authority. */
export const brazos: DeploymentTopology = {
	name: 'brazos',
	region: 'tx-central',
	proxies: buildProxies('brazos', ['bryan', 'bryan', 'waco', 'waco', 'temple']),
	groups: buildGroups('booking-db', ['bryan', 'waco', 'temple']),
	connectionsPerDatabase: 20,
	slotsPerDatabase: 3,
	workloads: [
		{
			application: 'bookings', targetMs: 150, floorShare: 0.4, freshness: 'session',
		},
		{
			application: 'boards', targetMs: 500, floorShare: 0.2, freshness: 'bounded-1s',
		},
		{
			application: 'reconciliation', targetMs: 2000, floorShare: 0.1, freshness: 'session',
		},
	],
	freshnessClasses,
};

const raizFailureDomains = ['ar-centro-a', 'ar-centro-b', 'ar-centro-c', 'ar-centro-d'] as const;

/** Raíz Común Compromisos S.A. */
export const raizComun: DeploymentTopology = {
	name: 'raiz-comun',
	region: 'ar-centro',
	proxies: buildProxies('raiz-comun', [...raizFailureDomains, raizFailureDomains[0]]),
	groups: buildGroups('pledge-ledger', raizFailureDomains),
	connectionsPerDatabase: 40,
	slotsPerDatabase: 3,
	workloads: [
		{
			application: 'pledges', targetMs: 200, floorShare: 0.4, freshness: 'session',
		},
		{
			application: 'dashboards', targetMs: 1000, floorShare: 0.1, freshness: 'bounded-5s',
		},
		{
			application: 'reconciliation', targetMs: 3000, floorShare: 0.2, freshness: 'session',
		},
	],
	freshnessClasses,
};

export const deployments: readonly DeploymentTopology[] = [brazos, raizComun];
