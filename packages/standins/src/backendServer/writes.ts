/**
 * INSERT, UPDATE and DELETE.
 */
import {
	nodeAt, nodesAt, textAt, valueAt, type Node,
} from './ast.js';
import {
	acquireLock, returningTargets, rowLockKey, createScope, type ExecutionContext,
} from './executionContext.js';
import {evaluate, isConditionTrue, type Row} from './expressions.js';
import {type StatementResult} from './result.js';
import {targetColumns} from './columns.js';
import {findMatchingRows, evaluateTargets} from './selects.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	uniqueIndexValue, type Table, type TableDefinition, type UniqueKey,
} from './tables.js';
import {coerce, type Value} from './values.js';

/** Runs an INSERT. @throws SqlError 23505 if a unique key has the value already */
export async function insert(body: Node, execution: ExecutionContext): Promise<StatementResult> {
	const table = execution.transaction.overlay.table(textAt(body, 'relation', 'relname'));
	const valueLists = nodesAt(body, 'selectStmt', 'SelectStmt', 'valuesLists');
	if (valueLists.length === 0) {
		throw new SqlError(serverSqlStates.featureNotSupported, 'only INSERT … VALUES is supported');
	}

	const listedColumns = nodesAt(body, 'cols').map(column => textAt(column, 'ResTarget', 'name'));
	const columnNames = listedColumns.length === 0 ? table.definition.columns.map(column => column.name) : listedColumns;
	requireKnownColumns(table.definition, columnNames);
	const isIgnoringConflicts = valueAt(body, 'onConflictClause', 'action') === 'ONCONFLICT_NOTHING';
	const inserted: Row[] = [];
	for (const list of valueLists) {
		const row = await insertRow(table, valueNodesByColumn(columnNames, nodesAt(list, 'List', 'items')), execution, isIgnoringConflicts);
		if (row) {
			inserted.push(row);
		}
	}

	return buildResult(body, {rows: inserted, commandTag: `INSERT 0 ${inserted.length}`}, table.definition, execution);
}

/** Runs an UPDATE. Waits for rows that another transaction has locked, and evaluates the condition again after the wait. */
export async function update(body: Node, execution: ExecutionContext): Promise<StatementResult> {
	const {overlay} = execution.transaction;
	const table = overlay.table(textAt(body, 'relation', 'relname'));
	const targets = nodesAt(body, 'targetList').map(target => nodeAt(target, 'ResTarget')!);
	requireKnownColumns(table.definition, targets.map(target => textAt(target, 'name')));
	const updated: Row[] = [];
	await forEachLockedRow(body, execution, async (id, row) => {
		const values = targets.map(target => [textAt(target, 'name'), evaluate(nodeAt(target, 'val')!, createScope(execution, row))] as const);
		const changedRow = buildCheckedRow(table.definition, {...row, ...Object.fromEntries(values)});
		await lockUniqueValues(table, changedRow, id, execution);
		overlay.writeRow(table.definition.name, id, changedRow);
		updated.push(changedRow);
	});
	return buildResult(body, {rows: updated, commandTag: `UPDATE ${updated.length}`}, table.definition, execution);
}

/** Runs a DELETE. Waits for rows that another transaction has locked, and evaluates the condition again after the wait. */
export async function deleteRows(body: Node, execution: ExecutionContext): Promise<StatementResult> {
	const {overlay} = execution.transaction;
	const table = overlay.table(textAt(body, 'relation', 'relname'));
	const deleted: Row[] = [];
	await forEachLockedRow(body, execution, (id, row) => {
		overlay.writeRow(table.definition.name, id, undefined);
		deleted.push(row);
	});
	return buildResult(body, {rows: deleted, commandTag: `DELETE ${deleted.length}`}, table.definition, execution);
}

async function forEachLockedRow(body: Node, execution: ExecutionContext, change: (id: number, row: Row) => Promise<void> | void): Promise<void> {
	const table = textAt(body, 'relation', 'relname');
	const where = nodeAt(body, 'whereClause');
	for (const [id] of findMatchingRows(table, where, execution)) {
		await acquireLock(execution, rowLockKey(table, id));
		const row = execution.transaction.overlay.findRow(table, id);
		if (row && isConditionTrue(where, createScope(execution, row))) {
			await change(id, row);
		}
	}
}

function valueNodesByColumn(names: readonly string[], items: readonly Node[]): ReadonlyMap<string, Node> {
	if (items.length > names.length) {
		throw new SqlError(serverSqlStates.syntaxError, 'INSERT has more expressions than target columns');
	}

	return new Map(items.map((item, index) => [names[index]!, item]));
}

async function insertRow(table: Table, valueNodes: ReadonlyMap<string, Node>, execution: ExecutionContext, isIgnoringConflicts: boolean): Promise<Row | undefined> {
	const id = table.nextId++;
	const values = table.definition.columns.map(column => {
		const node = valueNodes.get(column.name);
		const isGiven = node !== undefined && node.SetToDefault === undefined;
		const defaultValue = column.defaultValue ? evaluate(column.defaultValue, createScope(execution)) : (column.isSerial ? id : null);
		return [column.name, isGiven ? evaluate(node, createScope(execution)) : defaultValue] as const;
	});
	const row = buildCheckedRow(table.definition, Object.fromEntries(values));
	try {
		await lockUniqueValues(table, row, id, execution);
	} catch (error) {
		if (isIgnoringConflicts && error instanceof SqlError && error.sqlState === serverSqlStates.uniqueViolation) {
			return undefined;
		}

		throw error;
	}

	execution.transaction.overlay.writeRow(table.definition.name, id, row);
	return row;
}

function requireKnownColumns(definition: TableDefinition, names: readonly string[]): void {
	const knownNames = new Set(definition.columns.map(column => column.name));
	const unknownName = names.find(name => !knownNames.has(name));
	if (unknownName !== undefined) {
		throw new SqlError(serverSqlStates.undefinedColumn, `column "${unknownName}" of relation "${definition.name}" does not exist`);
	}
}

function buildCheckedRow(definition: TableDefinition, values: Readonly<Record<string, Value>>): Row {
	return Object.fromEntries(definition.columns.map(column => {
		const value = coerce(values[column.name] ?? null, column.type);
		if (value === null && column.notNull) {
			throw new SqlError(serverSqlStates.notNullViolation, `null value in column "${column.name}" violates not-null constraint`);
		}

		return [column.name, value];
	}));
}

/**
 * Locks the unique values of a row, and waits for transactions that have inserted or deleted them but not committed yet.
 * @throws SqlError 23505 if another row has one of the values
 */
async function lockUniqueValues(table: Table, row: Row, id: number, execution: ExecutionContext): Promise<void> {
	for (const key of table.definition.uniqueKeys) {
		const value = uniqueIndexValue(key, row);
		if (value !== undefined) {
			await lockUniqueValue(table.definition.name, {key, value}, id, execution);
		}
	}
}

async function lockUniqueValue(table: string, {key, value}: {readonly key: UniqueKey; readonly value: string}, id: number, execution: ExecutionContext): Promise<void> {
	const {overlay} = execution.transaction;
	const isUnchanged = overlay.findUnique(table, key, value) === id;
	if (isUnchanged) {
		return;
	}

	await acquireLock(execution, `unique ${key.name} ${value}`);
	const conflictingId = overlay.findUnique(table, key, value);
	if (conflictingId === undefined || conflictingId === id) {
		return;
	}

	// A transaction that holds the lock of the row may delete it or change its value.
	await acquireLock(execution, rowLockKey(table, conflictingId));
	const remainingId = overlay.findUnique(table, key, value);
	if (remainingId !== undefined && remainingId !== id) {
		throw new SqlError(serverSqlStates.uniqueViolation, `duplicate key value violates unique constraint "${key.name}"`, key.name);
	}
}

function buildResult(body: Node, {rows, commandTag}: {readonly rows: readonly Row[]; readonly commandTag: string}, definition: TableDefinition, execution: ExecutionContext): StatementResult {
	const targets = returningTargets(body);
	return targets
		? {
			columns: targetColumns(targets, definition),
			rows: rows.map(row => evaluateTargets(targets, row, definition, execution)),
			commandTag,
		}
		: {rows: [], commandTag};
}
