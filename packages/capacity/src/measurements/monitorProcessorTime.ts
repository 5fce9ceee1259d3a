import {setTimeout as sleep} from 'node:timers/promises';
import {withDeployment} from '../deployment.js';
import {measureRatesDuring} from '../proxyMetrics.js';
import {type Point, type Series} from '../types.js';

const groupCounts = [1, 3, 5] as const;
const settleMs = 3000;
const idleMs = 4000;

/** Measures the processor time, including sockets, of one idle proxy without peers that monitors all groups. */
export async function measureMonitorProcessorTime(): Promise<readonly Series[]> {
	const points: Point[] = [];
	for (const groupCount of groupCounts) {
		points.push(await withDeployment({proxyDomains: ['domain-1'], groupCount, databaseDomains: ['domain-1', 'domain-1', 'domain-1']}, async ({operatorUrls}) => {
			await sleep(settleMs);
			const {cpuCores} = await measureRatesDuring(operatorUrls, async () => sleep(idleMs));
			return {x: groupCount, y: cpuCores};
		}));
	}

	return [{
		id: 'cpu-monitored-groups', title: 'processor time of an idle proxy that monitors groups of 3 databases', xName: 'groups', yUnit: 'cores', points,
	}];
}
