/**
 * Ways in which a primary fails.
 */
import {type ProcessEndpoint} from '@crocusloom/standins';
import {type FaultCluster} from './faultCluster.js';

export const primaryFaults = {
	/** The process ends. */
	async kill(faults: FaultCluster, primary: ProcessEndpoint) {
		await faults.cluster.kill(primary.name);
	},
	/** Connections stay open and silent. */
	async freeze(faults: FaultCluster, primary: ProcessEndpoint) {
		await faults.setFaults(primary, {frozen: true});
	},
	/** The primary's failure domain is isolated; its proxy still reaches it. */
	async cut(faults: FaultCluster, primary: ProcessEndpoint) {
		await faults.cutDomain(primary.failureDomain);
	},
} as const satisfies Readonly<Record<string, (faults: FaultCluster, primary: ProcessEndpoint) => Promise<void>>>;

export type PrimaryFault = keyof typeof primaryFaults;
export const primaryFaultNames = Object.keys(primaryFaults) as readonly PrimaryFault[];
