/**
 * Faults that make a primary fail.
 */
import {type ProcessEndpoint} from '@crocusloom/standins';
import {type FaultCluster} from './faultCluster.js';

export const primaryFaults = {
	/** Kills the process. */
	async kill(faultCluster: FaultCluster, primary: ProcessEndpoint) {
		await faultCluster.cluster.kill(primary.name);
	},
	/** Freezes the server: its connections stay open but do not answer. */
	async freeze(faultCluster: FaultCluster, primary: ProcessEndpoint) {
		await faultCluster.setDatabaseFaults(primary, {frozen: true});
	},
	/** Isolates the failure domain of the primary. The proxy of that domain still reaches the primary. */
	async cut(faultCluster: FaultCluster, primary: ProcessEndpoint) {
		await faultCluster.isolateFailureDomain(primary.failureDomain);
	},
} as const satisfies Readonly<Record<string, (faultCluster: FaultCluster, primary: ProcessEndpoint) => Promise<void>>>;

export type PrimaryFaultName = keyof typeof primaryFaults;
export const primaryFaultNames = Object.keys(primaryFaults) as readonly PrimaryFaultName[];
