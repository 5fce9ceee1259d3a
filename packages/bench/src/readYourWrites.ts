/**
 * Read-your-writes checkers: each writes a counter in one session and reads it back through another proxy with the session token.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {CallerSession} from './callerSession.js';
import {type ReadYourWritesResult, type WorkerSpec} from './types.js';

/** Pause between the checks of a checker, which keeps the checks a small part of the load. */
const checkPauseMs = 200;

/** Last acknowledged and last attempted value of a checker's counter. */
type CounterState = {acknowledged: number; attempted: number};

/** Id of the counter row of a checker. */
export function counterId(worker: number, checker: number): string {
	return `counter-${worker}-${checker}`;
}

/** Runs the checkers of a worker until `signal` aborts. */
export async function checkReadYourWrites(spec: WorkerSpec, signal: AbortSignal): Promise<ReadYourWritesResult> {
	const results = await Promise.all(Array.from({length: spec.checkers}, async (_, checker) => runChecker(spec, checker, signal)));
	return {
		readsChecked: results.reduce((total, {readsChecked}) => total + readsChecked, 0),
		violations: results.flatMap(({violations}) => violations),
	};
}

/**
 * Describes the violation of a read, if there is one.
 * @param value - value read; undefined if the row is missing
 * @param location - where the value was read, for the description
 * @returns undefined if the value lies between the last acknowledged and the last attempted value
 */
export function describeViolation(id: string, value: number | undefined, counter: Readonly<CounterState>, location: string): string | undefined {
	if (value !== undefined && value >= counter.acknowledged && value <= counter.attempted) {
		return undefined;
	}

	return `${id}: read ${value ?? 'no row'} at ${location} after ${counter.acknowledged} was acknowledged and ${counter.attempted} attempted`;
}

async function runChecker(spec: WorkerSpec, checker: number, signal: AbortSignal): Promise<ReadYourWritesResult> {
	const id = counterId(spec.worker, checker);
	const application = spec.loads[0]!.rank;
	const sessions = [0, 1].map(offset => new CallerSession({...spec, application, firstEndpointIndex: spec.worker + checker + offset}));
	await Promise.race([Promise.all(sessions.map(async session => session.open())), waitForAbort(signal)]);
	const counter: CounterState = {acknowledged: 0, attempted: 0};
	const violations: string[] = [];
	let readsChecked = 0;
	for (let round = 0; !signal.aborted; round++) {
		const [writer, reader] = round % 2 === 0 ? sessions : sessions.toReversed();
		try {
			await incrementCounter(writer!, id, counter);
			const value = await readCounter(spec, reader!, id, writer!.token);
			readsChecked++;
			const violation = describeViolation(id, value, counter, 'the other session');
			if (violation !== undefined) {
				violations.push(violation);
			}
		} catch {
			// Failed requests are measured by the load, not by the checkers. A failed write leaves `attempted` above `acknowledged`;
			// reads may then return any value in this range.
		}

		await sleep(checkPauseMs);
	}

	for (const session of sessions) {
		session.close();
	}

	return {readsChecked, violations};
}

async function incrementCounter(writer: CallerSession, id: string, counter: CounterState): Promise<void> {
	counter.attempted++;
	const value = counter.attempted;
	await writer.query('update bench_counters set value = $1 where id = $2', [value, id]);
	counter.acknowledged = value;
}

async function readCounter(spec: WorkerSpec, reader: CallerSession, id: string, token: string | undefined): Promise<number | undefined> {
	if (spec.variant === 'crocusloom') {
		await reader.query(`set crocusloom.session = '${token ?? ''}'`);
	}

	const [row] = await reader.query('select value from bench_counters where id = $1', [id]);
	return row && Number(row.value);
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
}
