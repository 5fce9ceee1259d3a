/**
 * SQL values and the types of columns.
 */
import {serverSqlStates, SqlError} from './sqlError.js';

/** A value as tables hold it. Integers are numbers; timestamps are text. */
export type Value = string | number | boolean | null;
export type ColumnType = 'integer' | 'boolean' | 'text';

const typeNames: Readonly<Record<string, ColumnType>> = {
	int2: 'integer', int4: 'integer', int8: 'integer', serial: 'integer', bigserial: 'integer', bool: 'boolean',
};

/** Object ids by which clients decode text-format values. */
const typeIds: Readonly<Record<string, number>> = {
	bool: 16, int8: 20, bigserial: 20, int2: 21, int4: 23, serial: 23,
};
const textTypeId = 25;

/** Kind of value that a column of the named type holds; every other type is held as text. */
export function columnTypeOf(typeName: string): ColumnType {
	return typeNames[typeName] ?? 'text';
}

/** Object id of a type name; `text` for what is held as text. */
export function typeIdOf(typeName: string): number {
	return typeIds[typeName] ?? textTypeId;
}

/**
 * Converts a value to what a column holds.
 * @throws SqlError 22P02 if the text is not a value of the type
 */
export function coerce(value: Value, type: ColumnType): Value {
	if (value === null) {
		return null;
	}

	if (type === 'integer') {
		return toInteger(value);
	}

	return type === 'boolean' ? toBoolean(value) : toText(value);
}

function toInteger(value: Value): number {
	const number = typeof value === 'string' && value.trim() === '' ? Number.NaN : Number(value);
	if (!Number.isSafeInteger(number)) {
		throw new SqlError(serverSqlStates.invalidText, `invalid input syntax for type integer: "${String(value)}"`);
	}

	return number;
}

function toBoolean(value: Value): boolean {
	const text = String(value).toLowerCase();
	if (['t', 'true', '1', 'on', 'yes'].includes(text)) {
		return true;
	}

	if (['f', 'false', '0', 'off', 'no'].includes(text)) {
		return false;
	}

	throw new SqlError(serverSqlStates.invalidText, `invalid input syntax for type boolean: "${text}"`);
}

/** Text format of a value; null stays null. */
export function toText(value: Value): string | null {
	if (value === null) {
		return null;
	}

	return typeof value === 'boolean' ? (value ? 't' : 'f') : String(value);
}

/**
 * Compares two values; a text is converted to the other side's type.
 * @returns a negative number, zero or a positive number; undefined if a side is null
 */
export function compareValues(left: Value, right: Value): number | undefined {
	if (left === null || right === null) {
		return undefined;
	}

	if (typeof left === 'number' || typeof right === 'number') {
		return toInteger(left) - toInteger(right);
	}

	if (typeof left === 'boolean' || typeof right === 'boolean') {
		return Number(toBoolean(left)) - Number(toBoolean(right));
	}

	return left === right ? 0 : (left < right ? -1 : 1);
}
