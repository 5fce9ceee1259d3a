/**
 * Sessions that write a counter and read it back through another proxy with their token.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {CallerSession} from './callerSession.js';
import {type CheckResult, type WorkerSpec} from './types.js';

/** Pause between two checks of a session, so that the checks stay a small part of the load. */
const pauseMs = 200;

/** What a session knows of its counter: acknowledged and last attempted value. */
type Counter = {acknowledged: number; attempted: number};

/** Id of the counter of a checking session. */
export function counterId(worker: number, checker: number): string {
	return `counter-${worker}-${checker}`;
}

/** Runs the checking sessions until `signal` aborts. */
export async function checkReadYourWrites(spec: WorkerSpec, signal: AbortSignal): Promise<CheckResult> {
	const results = await Promise.all(Array.from({length: spec.checkers}, async (_, checker) => runChecker(spec, checker, signal)));
	return {
		readsChecked: results.reduce((total, {readsChecked}) => total + readsChecked, 0),
		violations: results.flatMap(({violations}) => violations),
	};
}

/**
 * Tells what is wrong with a value that a session read.
 * @returns undefined for a value between the last acknowledged and the last attempted one
 */
export function describeViolation(id: string, value: number | undefined, counter: Readonly<Counter>, place: string): string | undefined {
	if (value !== undefined && value >= counter.acknowledged && value <= counter.attempted) {
		return undefined;
	}

	return `${id}: read ${value ?? 'no row'} at ${place} after ${counter.acknowledged} was acknowledged and ${counter.attempted} attempted`;
}

async function runChecker(spec: WorkerSpec, checker: number, signal: AbortSignal): Promise<CheckResult> {
	const id = counterId(spec.worker, checker);
	const application = spec.loads[0]!.rank;
	const sessions = [0, 1].map(offset => new CallerSession({...spec, application, first: spec.worker + checker + offset}));
	await Promise.race([Promise.all(sessions.map(async session => session.open())), aborted(signal)]);
	const counter: Counter = {acknowledged: 0, attempted: 0};
	const violations: string[] = [];
	let readsChecked = 0;
	for (let round = 0; !signal.aborted; round++) {
		const [writer, reader] = round % 2 === 0 ? sessions : sessions.toReversed();
		try {
			await writeNext(writer!, id, counter);
			const value = await readBack(spec, reader!, id, writer!.token);
			readsChecked++;
			const violation = describeViolation(id, value, counter, 'the other session');
			if (violation !== undefined) {
				violations.push(violation);
			}
		} catch {
			// Refused, unknown and lost requests are counted by the load; here they only leave the counter open.
		}

		await sleep(pauseMs);
	}

	for (const session of sessions) {
		session.close();
	}

	return {readsChecked, violations};
}

async function writeNext(writer: CallerSession, id: string, counter: Counter): Promise<void> {
	counter.attempted++;
	const value = counter.attempted;
	await writer.query('update bench_counters set value = $1 where id = $2', [value, id]);
	counter.acknowledged = value;
}

async function readBack(spec: WorkerSpec, reader: CallerSession, id: string, token: string | undefined): Promise<number | undefined> {
	if (spec.variant === 'crocusloom') {
		await reader.query(`set crocusloom.session = '${token ?? ''}'`);
	}

	const [row] = await reader.query('select value from bench_counters where id = $1', [id]);
	return row && Number(row.value);
}

async function aborted(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
}
