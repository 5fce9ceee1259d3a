import {setTimeout as sleep} from 'node:timers/promises';
import {withDeployment} from '../deployment.js';
import {meanResidentBytes} from '../proxyMetrics.js';
import {openCallers} from '../rawCaller.js';
import {type Point, type Series} from '../types.js';

const idleCallerCounts = [0, 1000, 2000, 4000] as const;
const preparedPerCaller = [0, 200, 400, 800] as const;
const preparingCallers = 10;
const settleMs = 1500;
const oneProxy = {proxyDomains: ['domain-1'], groups: 1, databaseDomains: ['domain-1']} as const;

/** Resident memory of a proxy by idle callers. */
export async function measureIdleCallers(): Promise<readonly Series[]> {
	return withDeployment(oneProxy, async ({operatorUrls, callerTargets}) => {
		const points: Point[] = [];
		let opened = 0;
		for (const count of idleCallerCounts) {
			await openCallers(callerTargets[0]!, count - opened);
			opened = count;
			await sleep(settleMs);
			points.push({x: count, y: await meanResidentBytes(operatorUrls)});
		}

		return [{
			id: 'memory-idle-callers', title: 'resident memory of a proxy', xName: 'idle callers', yUnit: 'bytes', points,
		}];
	});
}

/** Resident memory of a proxy by prepared statements, each with a text of its own. */
export async function measurePreparedStatements(): Promise<readonly Series[]> {
	return withDeployment(oneProxy, async ({operatorUrls, callerTargets}) => {
		const callers = await openCallers(callerTargets[0]!, preparingCallers);
		const points: Point[] = [];
		let prepared = 0;
		for (const count of preparedPerCaller) {
			const from = prepared;
			await Promise.all(callers.map(async (caller, index) => caller.prepare(statementTexts(index, from, count))));
			prepared = count;
			await sleep(settleMs);
			points.push({x: count * preparingCallers, y: await meanResidentBytes(operatorUrls)});
		}

		return [{
			id: 'memory-prepared-statements', title: 'resident memory of a proxy, texts that all differ', xName: 'prepared statements', yUnit: 'bytes', points,
		}];
	});
}

function statementTexts(caller: number, from: number, to: number): ReadonlyArray<{readonly name: string; readonly sql: string}> {
	return Array.from({length: to - from}, (_, index) => ({
		name: `statement-${from + index}`,
		sql: `select id, interpreter, place, starts_at from bookings where id = $1 and place <> '${caller}-${from + index}'`,
	}));
}
