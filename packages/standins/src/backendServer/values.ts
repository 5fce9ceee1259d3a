/**
 * SQL values and column types.
 */
import {serverSqlStates, SqlError} from './sqlError.js';

/** A value as tables store it. Integers are numbers, timestamps are text. */
export type Value = string | number | boolean | null;
export type ColumnType = 'integer' | 'boolean' | 'text';

const columnTypesByName: Readonly<Record<string, ColumnType>> = {
	int2: 'integer', int4: 'integer', int8: 'integer', serial: 'integer', bigserial: 'integer', bool: 'boolean',
};

/** Object ids of types, by which clients decode values in text format. */
const typeIdsByName: Readonly<Record<string, number>> = {
	bool: 16, int8: 20, bigserial: 20, int2: 21, int4: 23, serial: 23,
};
const textTypeId = 25;

/** Returns the column type for a type name. Types other than integers and booleans are stored as text. */
export function columnTypeOf(typeName: string): ColumnType {
	return columnTypesByName[typeName] ?? 'text';
}

/** Returns the object id of a type name; that of `text` for types that are stored as text. */
export function typeIdOf(typeName: string): number {
	return typeIdsByName[typeName] ?? textTypeId;
}

/**
 * Converts a value to a column type.
 * @throws SqlError 22P02 if the value is not valid for the type
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

/** Returns a value in text format; null for null. */
export function toText(value: Value): string | null {
	if (value === null) {
		return null;
	}

	return typeof value === 'boolean' ? (value ? 't' : 'f') : String(value);
}

/**
 * Compares two values. A text value is converted to the type of the other one.
 * @returns a negative number, zero or a positive number; undefined if a value is null
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
