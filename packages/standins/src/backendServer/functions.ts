/**
 * Functions that depend on the server: position and control functions, and pg_sleep.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Database} from './database.js';
import {type ResultColumn} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {toText, type Value} from './values.js';

/** What a function answers: named columns with one row. */
export type FunctionAnswer = {readonly columns: readonly ResultColumn[]; readonly row: readonly Value[]};

type Handler = (database: Database, values: readonly Value[], signal: AbortSignal) => Promise<FunctionAnswer> | FunctionAnswer;

const typeId = {
	boolean: 16, bigint: 20, text: 25, void: 2278,
} as const;

const handlers: Readonly<Record<string, Handler>> = {
	crocusloom_status: database => statusAnswer(database),
	crocusloom_position: database => ({
		columns: [{name: 'log_term', typeId: typeId.bigint}, {name: 'log_offset', typeId: typeId.bigint}],
		row: [database.position.term, database.position.offsetBytes],
	}),
	crocusloom_fence: (database, values) => accepted('crocusloom_fence', database, database.fence(integer(values[0]), text(values[1]))),
	crocusloom_promote: (database, values) => accepted('crocusloom_promote', database, database.promote(integer(values[0]), text(values[1]))),
	crocusloom_follow: (database, values) => accepted('crocusloom_follow', database, database.follow(integer(values[0]), text(values[1]))),
	async crocusloom_wait_position(database, values, signal) {
		const position = {term: integer(values[0]), offsetBytes: integer(values[1])};
		const answer = await database.waitForPosition(position, integer(values[2]), signal);
		return scalar('crocusloom_wait_position', answer, typeId.text);
	},
	pg_current_wal_lsn(database) {
		if (database.state.role === 'replica') {
			throw new SqlError('55000', 'recovery is in progress');
		}

		return scalar('pg_current_wal_lsn', lsnText(database.position.offsetBytes), typeId.text);
	},
	pg_last_wal_replay_lsn: database => scalar('pg_last_wal_replay_lsn', database.state.role === 'replica' ? lsnText(database.position.offsetBytes) : null, typeId.text),
	pg_is_in_recovery: database => scalar('pg_is_in_recovery', database.state.role === 'replica', typeId.boolean),
	async pg_sleep(_database, values, signal) {
		await sleep(Number(values[0]) * 1000, undefined, {signal});
		return scalar('pg_sleep', '', typeId.void);
	},
};

/** True if the name is one of the functions that depend on the server. */
export function isServerFunction(name: string): boolean {
	return Object.hasOwn(handlers, name);
}

/**
 * Calls a function that depends on the server.
 * @throws SqlError 42883 if there is none of that name; the signal's reason when a wait is canceled
 */
export async function callServerFunction(name: string, database: Database, values: readonly Value[], signal: AbortSignal): Promise<FunctionAnswer> {
	if (!isServerFunction(name)) {
		throw new SqlError(serverSqlStates.undefinedFunction, `function ${name} does not exist`);
	}

	return handlers[name]!(database, values, signal);
}

const statusColumns: readonly ResultColumn[] = [
	{name: 'role', typeId: typeId.text},
	{name: 'fenced_term', typeId: typeId.bigint},
	{name: 'log_term', typeId: typeId.bigint},
	{name: 'log_offset', typeId: typeId.bigint},
	{name: 'follows_term', typeId: typeId.bigint},
	{name: 'fence_owner', typeId: typeId.text},
];

/** Columns of the answer when the function stands in FROM. */
export const functionColumns: Readonly<Record<string, readonly ResultColumn[]>> = {
	crocusloom_status: statusColumns,
	crocusloom_position: [{name: 'log_term', typeId: typeId.bigint}, {name: 'log_offset', typeId: typeId.bigint}],
	crocusloom_fence: [{name: 'accepted', typeId: typeId.boolean}, ...statusColumns],
	crocusloom_promote: [{name: 'accepted', typeId: typeId.boolean}, ...statusColumns],
	crocusloom_follow: [{name: 'accepted', typeId: typeId.boolean}, ...statusColumns],
	crocusloom_wait_position: [{name: 'crocusloom_wait_position', typeId: typeId.text}],
};

/** Type of a function's first column, which is its value in a select list. */
export function functionTypeId(name: string): number {
	return functionColumns[name]?.[0]?.typeId ?? (name === 'pg_is_in_recovery' ? typeId.boolean : typeId.text);
}

function statusAnswer({reportedState: state, position}: Database): FunctionAnswer {
	return {
		columns: statusColumns,
		row: [state.role, state.fencedTerm, position.term, position.offsetBytes, state.followsTerm, state.fenceOwner],
	};
}

function accepted(name: string, database: Database, isAccepted: boolean): FunctionAnswer {
	return {columns: functionColumns[name]!, row: [isAccepted, ...statusAnswer(database).row]};
}

function scalar(name: string, value: Value, type: number): FunctionAnswer {
	return {columns: [{name, typeId: type}], row: [value]};
}

function integer(value: Value | undefined): number {
	const number = Number(value ?? Number.NaN);
	if (!Number.isSafeInteger(number) || number < 0) {
		throw new SqlError(serverSqlStates.invalidText, `"${String(value)}" is not a term, offset or duration`);
	}

	return number;
}

function text(value: Value | undefined): string {
	return toText(value ?? null) ?? '';
}

/** Values of one half of a log sequence number. */
const lsnHalf = 2 ** 32;

/** Log sequence number in the form of PostgreSQL: two hexadecimal halves of 32 bits. */
function lsnText(offsetBytes: number): string {
	const high = Math.floor(offsetBytes / lsnHalf);
	return `${high.toString(16).toUpperCase()}/${(offsetBytes % lsnHalf).toString(16).toUpperCase()}`;
}
