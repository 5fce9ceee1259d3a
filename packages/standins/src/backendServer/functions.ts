/**
 * SQL functions that depend on the server: position and control functions, and pg_sleep.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Database} from './database.js';
import {type ResultColumn} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {toText, type Value} from './values.js';

/** Result of a function: a row with named columns. */
export type FunctionResult = {readonly columns: readonly ResultColumn[]; readonly row: readonly Value[]};

type Handler = (database: Database, values: readonly Value[], signal: AbortSignal) => Promise<FunctionResult> | FunctionResult;

const typeIds = {
	boolean: 16, bigint: 20, text: 25, void: 2278,
} as const;

const handlers: Readonly<Record<string, Handler>> = {
	crocusloom_status: database => statusResult(database),
	crocusloom_position: database => ({
		columns: [{name: 'log_term', typeId: typeIds.bigint}, {name: 'log_offset', typeId: typeIds.bigint}],
		row: [database.position.term, database.position.offsetBytes],
	}),
	crocusloom_fence: (database, values) => acceptanceResult('crocusloom_fence', database, database.fence(parseNonNegativeInteger(values[0]), textArgument(values[1]))),
	crocusloom_promote: (database, values) => acceptanceResult('crocusloom_promote', database, database.promote(parseNonNegativeInteger(values[0]), textArgument(values[1]))),
	crocusloom_follow: (database, values) => acceptanceResult('crocusloom_follow', database, database.follow(parseNonNegativeInteger(values[0]), textArgument(values[1]))),
	async crocusloom_wait_position(database, values, signal) {
		const position = {term: parseNonNegativeInteger(values[0]), offsetBytes: parseNonNegativeInteger(values[1])};
		const waitResult = await database.waitForPosition(position, parseNonNegativeInteger(values[2]), signal);
		return scalarResult('crocusloom_wait_position', waitResult, typeIds.text);
	},
	pg_current_wal_lsn(database) {
		if (database.state.role === 'replica') {
			throw new SqlError('55000', 'recovery is in progress');
		}

		return scalarResult('pg_current_wal_lsn', formatLsn(database.position.offsetBytes), typeIds.text);
	},
	pg_last_wal_replay_lsn: database => scalarResult('pg_last_wal_replay_lsn', database.state.role === 'replica' ? formatLsn(database.position.offsetBytes) : null, typeIds.text),
	pg_is_in_recovery: database => scalarResult('pg_is_in_recovery', database.state.role === 'replica', typeIds.boolean),
	async pg_sleep(_database, values, signal) {
		await sleep(Number(values[0]) * 1000, undefined, {signal});
		return scalarResult('pg_sleep', '', typeIds.void);
	},
};

/** Checks whether a name is that of a function that depends on the server. */
export function isServerFunction(name: string): boolean {
	return Object.hasOwn(handlers, name);
}

/**
 * Calls a function that depends on the server.
 * @throws SqlError 42883 if there is no function of that name; the reason of the signal when a wait is canceled
 */
export async function callServerFunction(name: string, database: Database, values: readonly Value[], signal: AbortSignal): Promise<FunctionResult> {
	if (!isServerFunction(name)) {
		throw new SqlError(serverSqlStates.undefinedFunction, `function ${name} does not exist`);
	}

	return handlers[name]!(database, values, signal);
}

const statusColumns: readonly ResultColumn[] = [
	{name: 'role', typeId: typeIds.text},
	{name: 'fenced_term', typeId: typeIds.bigint},
	{name: 'log_term', typeId: typeIds.bigint},
	{name: 'log_offset', typeId: typeIds.bigint},
	{name: 'follows_term', typeId: typeIds.bigint},
	{name: 'fence_owner', typeId: typeIds.text},
];

/** Result columns of functions that are called in FROM. */
export const functionColumns: Readonly<Record<string, readonly ResultColumn[]>> = {
	crocusloom_status: statusColumns,
	crocusloom_position: [{name: 'log_term', typeId: typeIds.bigint}, {name: 'log_offset', typeId: typeIds.bigint}],
	crocusloom_fence: [{name: 'accepted', typeId: typeIds.boolean}, ...statusColumns],
	crocusloom_promote: [{name: 'accepted', typeId: typeIds.boolean}, ...statusColumns],
	crocusloom_follow: [{name: 'accepted', typeId: typeIds.boolean}, ...statusColumns],
	crocusloom_wait_position: [{name: 'crocusloom_wait_position', typeId: typeIds.text}],
};

/** Type of the first column of a function, which is the value of the function in a select list. */
export function functionTypeId(name: string): number {
	return functionColumns[name]?.[0]?.typeId ?? (name === 'pg_is_in_recovery' ? typeIds.boolean : typeIds.text);
}

function statusResult({reportedState: state, position}: Database): FunctionResult {
	return {
		columns: statusColumns,
		row: [state.role, state.fencedTerm, position.term, position.offsetBytes, state.followsTerm, state.fenceOwner],
	};
}

function acceptanceResult(name: string, database: Database, isAccepted: boolean): FunctionResult {
	return {columns: functionColumns[name]!, row: [isAccepted, ...statusResult(database).row]};
}

function scalarResult(name: string, value: Value, type: number): FunctionResult {
	return {columns: [{name, typeId: type}], row: [value]};
}

function parseNonNegativeInteger(value: Value | undefined): number {
	const number = Number(value ?? Number.NaN);
	if (!Number.isSafeInteger(number) || number < 0) {
		throw new SqlError(serverSqlStates.invalidText, `"${String(value)}" is not a valid term, offset or duration`);
	}

	return number;
}

function textArgument(value: Value | undefined): string {
	return toText(value ?? null) ?? '';
}

/** Number of values of one half of a log sequence number. */
const lsnHalfSize = 2 ** 32;

/** Formats a log sequence number as PostgreSQL does: two hexadecimal halves of 32 bits. */
function formatLsn(offsetBytes: number): string {
	const high = Math.floor(offsetBytes / lsnHalfSize);
	return `${high.toString(16).toUpperCase()}/${(offsetBytes % lsnHalfSize).toString(16).toUpperCase()}`;
}
