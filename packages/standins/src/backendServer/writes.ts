/**
 * INSERT, UPDATE and DELETE.
 */
import {
	nodeAt, nodesAt, textAt, valueAt, type Node,
} from './ast.js';
import {
	lock, returningOf, rowLockKey, scopeOf, type Execution,
} from './execution.js';
import {evaluate, holds, type Row} from './expressions.js';
import {type Result} from './result.js';
import {targetColumns} from './columns.js';
import {matchRows, targetValues} from './selects.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	uniqueKeyOf, type Table, type TableDefinition, type UniqueKey,
} from './tables.js';
import {coerce, type Value} from './values.js';

/** Inserts rows. @throws SqlError 23505 on a unique value that exists */
export async function insert(body: Node, execution: Execution): Promise<Result> {
	const table = execution.transaction.overlay.table(textAt(body, 'relation', 'relname'));
	const lists = nodesAt(body, 'selectStmt', 'SelectStmt', 'valuesLists');
	if (lists.length === 0) {
		throw new SqlError(serverSqlStates.featureNotSupported, 'only INSERT … VALUES is supported');
	}

	const columns = nodesAt(body, 'cols').map(column => textAt(column, 'ResTarget', 'name'));
	const names = columns.length === 0 ? table.definition.columns.map(column => column.name) : columns;
	checkColumns(table.definition, names);
	const skipConflicts = valueAt(body, 'onConflictClause', 'action') === 'ONCONFLICT_NOTHING';
	const inserted: Row[] = [];
	for (const list of lists) {
		const row = await insertRow(table, givenValues(names, nodesAt(list, 'List', 'items')), execution, skipConflicts);
		if (row) {
			inserted.push(row);
		}
	}

	return resultOf(body, {rows: inserted, tag: `INSERT 0 ${inserted.length}`}, table.definition, execution);
}

/** Updates rows; a row that another transaction has locked is waited for and checked again. */
export async function update(body: Node, execution: Execution): Promise<Result> {
	const {overlay} = execution.transaction;
	const table = overlay.table(textAt(body, 'relation', 'relname'));
	const targets = nodesAt(body, 'targetList').map(target => nodeAt(target, 'ResTarget')!);
	checkColumns(table.definition, targets.map(target => textAt(target, 'name')));
	const updated: Row[] = [];
	await forLockedRows(body, execution, async (id, row) => {
		const values = targets.map(target => [textAt(target, 'name'), evaluate(nodeAt(target, 'val')!, scopeOf(execution, row))] as const);
		const changed = checkedRow(table.definition, {...row, ...Object.fromEntries(values)});
		await claimUniqueValues(table, changed, id, execution);
		overlay.write(table.definition.name, id, changed);
		updated.push(changed);
	});
	return resultOf(body, {rows: updated, tag: `UPDATE ${updated.length}`}, table.definition, execution);
}

/** Deletes rows; a row that another transaction has locked is waited for and checked again. */
export async function deleteRows(body: Node, execution: Execution): Promise<Result> {
	const {overlay} = execution.transaction;
	const table = overlay.table(textAt(body, 'relation', 'relname'));
	const deleted: Row[] = [];
	await forLockedRows(body, execution, (id, row) => {
		overlay.write(table.definition.name, id, undefined);
		deleted.push(row);
	});
	return resultOf(body, {rows: deleted, tag: `DELETE ${deleted.length}`}, table.definition, execution);
}

async function forLockedRows(body: Node, execution: Execution, change: (id: number, row: Row) => Promise<void> | void): Promise<void> {
	const table = textAt(body, 'relation', 'relname');
	const where = nodeAt(body, 'whereClause');
	for (const [id] of matchRows(table, where, execution)) {
		await lock(execution, rowLockKey(table, id));
		const row = execution.transaction.overlay.row(table, id);
		if (row && holds(where, scopeOf(execution, row))) {
			await change(id, row);
		}
	}
}

function givenValues(names: readonly string[], items: readonly Node[]): ReadonlyMap<string, Node> {
	if (items.length > names.length) {
		throw new SqlError(serverSqlStates.syntaxError, 'INSERT has more expressions than target columns');
	}

	return new Map(items.map((item, index) => [names[index]!, item]));
}

async function insertRow(table: Table, given: ReadonlyMap<string, Node>, execution: Execution, skipConflicts: boolean): Promise<Row | undefined> {
	const id = table.nextId++;
	const values = table.definition.columns.map(column => {
		const node = given.get(column.name);
		const isGiven = node !== undefined && node.SetToDefault === undefined;
		const fallback = column.defaultValue ? evaluate(column.defaultValue, scopeOf(execution)) : (column.isSerial ? id : null);
		return [column.name, isGiven ? evaluate(node, scopeOf(execution)) : fallback] as const;
	});
	const row = checkedRow(table.definition, Object.fromEntries(values));
	try {
		await claimUniqueValues(table, row, id, execution);
	} catch (error) {
		if (skipConflicts && error instanceof SqlError && error.sqlState === serverSqlStates.uniqueViolation) {
			return undefined;
		}

		throw error;
	}

	execution.transaction.overlay.write(table.definition.name, id, row);
	return row;
}

function checkColumns(definition: TableDefinition, names: readonly string[]): void {
	const known = new Set(definition.columns.map(column => column.name));
	const unknown = names.find(name => !known.has(name));
	if (unknown !== undefined) {
		throw new SqlError(serverSqlStates.undefinedColumn, `column "${unknown}" of relation "${definition.name}" does not exist`);
	}
}

function checkedRow(definition: TableDefinition, values: Readonly<Record<string, Value>>): Row {
	return Object.fromEntries(definition.columns.map(column => {
		const value = coerce(values[column.name] ?? null, column.type);
		if (value === null && column.notNull) {
			throw new SqlError(serverSqlStates.notNullViolation, `null value in column "${column.name}" violates not-null constraint`);
		}

		return [column.name, value];
	}));
}

/** Locks the unique values of a row, waiting for transactions that may still free or take them. */
async function claimUniqueValues(table: Table, row: Row, id: number, execution: Execution): Promise<void> {
	for (const key of table.definition.uniqueKeys) {
		const value = uniqueKeyOf(key, row);
		if (value !== undefined) {
			await claimUniqueValue(table.definition.name, {key, value}, id, execution);
		}
	}
}

async function claimUniqueValue(table: string, {key, value}: {readonly key: UniqueKey; readonly value: string}, id: number, execution: Execution): Promise<void> {
	const {overlay} = execution.transaction;
	const isOwn = overlay.findUnique(table, key, value) === id;
	if (isOwn) {
		return;
	}

	await lock(execution, `unique ${key.name} ${value}`);
	const other = overlay.findUnique(table, key, value);
	if (other === undefined || other === id) {
		return;
	}

	// The row may be about to be deleted or changed by a transaction that holds its lock.
	await lock(execution, rowLockKey(table, other));
	const stillThere = overlay.findUnique(table, key, value);
	if (stillThere !== undefined && stillThere !== id) {
		throw new SqlError(serverSqlStates.uniqueViolation, `duplicate key value violates unique constraint "${key.name}"`, key.name);
	}
}

function resultOf(body: Node, {rows, tag}: {readonly rows: readonly Row[]; readonly tag: string}, definition: TableDefinition, execution: Execution): Result {
	const targets = returningOf(body);
	return targets
		? {
			columns: targetColumns(targets, definition),
			rows: rows.map(row => targetValues(targets, row, definition, execution)),
			tag,
		}
		: {rows: [], tag};
}
