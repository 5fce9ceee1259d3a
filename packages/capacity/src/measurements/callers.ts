import {setTimeout as sleep} from 'node:timers/promises';
import {withDeployment} from '../deployment.js';
import {readMeanResidentBytes} from '../proxyMetrics.js';
import {openCallers} from '../rawCaller.js';
import {type Point, type Series} from '../types.js';

const idleCallerCounts = [0, 1000, 2000, 4000] as const;
/** Prepared statements of each caller. */
const preparedStatementCounts = [0, 200, 400, 800] as const;
const preparingCallerCount = 10;
const settleMs = 1500;
const oneProxy = {proxyDomains: ['domain-1'], groupCount: 1, databaseDomains: ['domain-1']} as const;

/** Measures the resident memory of a proxy against the number of idle callers. */
export async function measureIdleCallers(): Promise<readonly Series[]> {
	return withDeployment(oneProxy, async ({operatorUrls, callerTargets}) => {
		const points: Point[] = [];
		let openCount = 0;
		for (const count of idleCallerCounts) {
			await openCallers(callerTargets[0]!, count - openCount);
			openCount = count;
			await sleep(settleMs);
			points.push({x: count, y: await readMeanResidentBytes(operatorUrls)});
		}

		return [{
			id: 'memory-idle-callers', title: 'resident memory of a proxy', xName: 'idle callers', yUnit: 'bytes', points,
		}];
	});
}

/** Measures the resident memory of a proxy against the number of prepared statements, whose texts all differ. */
export async function measurePreparedStatements(): Promise<readonly Series[]> {
	return withDeployment(oneProxy, async ({operatorUrls, callerTargets}) => {
		const callers = await openCallers(callerTargets[0]!, preparingCallerCount);
		const points: Point[] = [];
		let preparedCount = 0;
		for (const count of preparedStatementCounts) {
			const firstIndex = preparedCount;
			await Promise.all(callers.map(async (caller, index) => caller.prepare(createStatements(index, firstIndex, count))));
			preparedCount = count;
			await sleep(settleMs);
			points.push({x: count * preparingCallerCount, y: await readMeanResidentBytes(operatorUrls)});
		}

		return [{
			id: 'memory-prepared-statements', title: 'resident memory of a proxy, texts that all differ', xName: 'prepared statements', yUnit: 'bytes', points,
		}];
	});
}

function createStatements(callerIndex: number, firstIndex: number, endIndex: number): ReadonlyArray<{readonly name: string; readonly sql: string}> {
	return Array.from({length: endIndex - firstIndex}, (_, index) => ({
		name: `statement-${firstIndex + index}`,
		sql: `select id, interpreter, place, starts_at from bookings where id = $1 and place <> '${callerIndex}-${firstIndex + index}'`,
	}));
}
