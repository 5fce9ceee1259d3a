import {setTimeout as sleep} from 'node:timers/promises';
import {withDeployment} from '../deployment.js';
import {ratesDuring} from '../proxyMetrics.js';
import {type Point, type Series} from '../types.js';

const groupCounts = [1, 3, 5] as const;
const settleMs = 3000;
const idleMs = 4000;

/** Processor time of one idle proxy without peers that monitors all groups, sockets included. */
export async function measureMonitorProcessorTime(): Promise<readonly Series[]> {
	const points: Point[] = [];
	for (const groups of groupCounts) {
		points.push(await withDeployment({proxyDomains: ['domain-1'], groups, databaseDomains: ['domain-1', 'domain-1', 'domain-1']}, async ({operatorUrls}) => {
			await sleep(settleMs);
			const {cpuCores} = await ratesDuring(operatorUrls, async () => sleep(idleMs));
			return {x: groups, y: cpuCores};
		}));
	}

	return [{
		id: 'cpu-monitored-groups', title: 'processor time of an idle proxy that monitors groups of 3 databases', xName: 'groups', yUnit: 'cores', points,
	}];
}
