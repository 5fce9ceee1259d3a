/**
 * SELECT, and the evaluation of WHERE clauses and targets for writes.
 */
import {
	unqualifiedName, nodeAt, nodesAt, unwrapNode, textAt, valueAt, type Node,
} from './ast.js';
import {
	functionTargetColumns, isAggregate, isStar, targetColumns, selectTargets,
} from './columns.js';
import {
	acquireLock, rowLockKey, createScope, type ExecutionContext,
} from './executionContext.js';
import {evaluate, isConditionTrue, type Row} from './expressions.js';
import {callServerFunction, isServerFunction} from './functions.js';
import {type StatementResult} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {findFromFunction} from './statements.js';
import {uniqueIndexValue, type TableDefinition} from './tables.js';
import {coerce, compareValues, type Value} from './values.js';

/** Runs a SELECT. */
export async function select(body: Node, execution: ExecutionContext): Promise<StatementResult> {
	if (findFromFunction(body)) {
		return selectFromFunction(body, execution);
	}

	const rows = body.fromClause ? await readTableRows(body, execution) : undefined;
	return rows ? projectRows(body, rows, execution) : selectConstants(body, execution);
}

/** Finds the ids and rows that match a WHERE clause. A condition that sets all columns of a unique key equal to constants uses its index. */
export function findMatchingRows(table: string, where: Node | undefined, execution: ExecutionContext): ReadonlyArray<readonly [number, Row]> {
	const {overlay} = execution.transaction;
	const indexed = findByUniqueKey(table, where, execution);
	const candidates = indexed ? indexed.ids.map(id => [id, overlay.findRow(table, id)!] as const) : overlay.visibleRows(table);
	return [...candidates].filter(([, row]) => isConditionTrue(where, createScope(execution, row)));
}

/** Evaluates the targets of a SELECT or RETURNING for a row. */
export function evaluateTargets(targets: readonly Node[], row: Row, definition: TableDefinition, execution: ExecutionContext): readonly Value[] {
	return targets.flatMap(target => {
		const value = nodeAt(target, 'ResTarget', 'val')!;
		return isStar(value)
			? definition.columns.map(column => row[column.name] ?? null)
			: [evaluate(value, createScope(execution, row))];
	});
}

async function selectFromFunction(body: Node, execution: ExecutionContext): Promise<StatementResult> {
	const call = findFromFunction(body)!;
	const name = unqualifiedName(nodesAt(call, 'funcname'));
	const result = await callServerFunction(name, execution.database, evaluateArguments(call, execution), execution.signal);
	const columns = functionTargetColumns(selectTargets(body), name);
	const values = columns.map(column => result.row[result.columns.findIndex(candidate => candidate.name === column.name)] ?? null);
	return {columns, rows: [values], commandTag: 'SELECT 1'};
}

async function selectConstants(body: Node, execution: ExecutionContext): Promise<StatementResult> {
	const targets = selectTargets(body);
	const values: Value[] = [];
	for (const target of targets) {
		const {tag, body: value} = unwrapNode(nodeAt(target, 'ResTarget', 'val')!);
		const name = tag === 'FuncCall' ? unqualifiedName(nodesAt(value, 'funcname')) : '';
		if (isServerFunction(name)) {
			const result = await callServerFunction(name, execution.database, evaluateArguments(value, execution), execution.signal);
			values.push(result.row[0] ?? null);
		} else {
			values.push(evaluate(nodeAt(target, 'ResTarget', 'val')!, createScope(execution)));
		}
	}

	const rows = isConditionTrue(nodeAt(body, 'whereClause'), createScope(execution)) ? [values] : [];
	return {columns: targetColumns(targets, undefined), rows, commandTag: `SELECT ${rows.length}`};
}

function evaluateArguments(call: Node, execution: ExecutionContext): readonly Value[] {
	return nodesAt(call, 'args').map(arg => evaluate(arg, createScope(execution)));
}

async function readTableRows(body: Node, execution: ExecutionContext): Promise<readonly Row[]> {
	const table = textAt(body, 'fromClause', 0, 'RangeVar', 'relname');
	if (table === '' || nodesAt(body, 'fromClause').length > 1 || body.groupClause) {
		throw new SqlError(serverSqlStates.featureNotSupported, 'only a SELECT from one table is supported');
	}

	execution.transaction.overlay.table(table);
	const matches = findMatchingRows(table, nodeAt(body, 'whereClause'), execution);
	if (!body.lockingClause) {
		return matches.map(([, row]) => row);
	}

	const rows: Row[] = [];
	for (const [id] of matches) {
		await acquireLock(execution, rowLockKey(table, id));
		const row = execution.transaction.overlay.findRow(table, id);
		if (row && isConditionTrue(nodeAt(body, 'whereClause'), createScope(execution, row))) {
			rows.push(row);
		}
	}

	return rows;
}

function projectRows(body: Node, rows: readonly Row[], execution: ExecutionContext): StatementResult {
	const {definition} = execution.transaction.overlay.table(textAt(body, 'fromClause', 0, 'RangeVar', 'relname'));
	const targets = selectTargets(body);
	const columns = targetColumns(targets, definition);
	if (targets.some(target => isAggregate(unqualifiedName(nodesAt(target, 'ResTarget', 'val', 'FuncCall', 'funcname'))))) {
		const values = targets.map(target => evaluateAggregate(nodeAt(target, 'ResTarget', 'val')!, rows, execution));
		return {columns, rows: [values], commandTag: 'SELECT 1'};
	}

	const resultRows = applyLimit(body, sortRows(body, rows, execution), execution);
	return {columns, rows: resultRows.map(row => evaluateTargets(targets, row, definition, execution)), commandTag: `SELECT ${resultRows.length}`};
}

function sortRows(body: Node, rows: readonly Row[], execution: ExecutionContext): readonly Row[] {
	const keys = nodesAt(body, 'sortClause').map(key => nodeAt(key, 'SortBy')!);
	if (keys.length === 0) {
		return rows;
	}

	const targets = selectTargets(body).map(target => nodeAt(target, 'ResTarget')!);
	const nodes = keys.map(key => {
		const name = unqualifiedName(nodesAt(key, 'node', 'ColumnRef', 'fields'));
		const target = targets.find(candidate => candidate.name !== undefined && candidate.name === name);
		return nodeAt(target, 'val') ?? nodeAt(key, 'node')!;
	});
	return rows.toSorted((a, b) => {
		for (const [index, node] of nodes.entries()) {
			const order = compareForSort(evaluate(node, createScope(execution, a)), evaluate(node, createScope(execution, b)));
			if (order !== 0) {
				return keys[index]!.sortby_dir === 'SORTBY_DESC' ? -order : order;
			}
		}

		return 0;
	});
}

/** Compares sort keys. Nulls sort last in ascending order. */
function compareForSort(left: Value, right: Value): number {
	return compareValues(left, right) ?? (Number(left === null) - Number(right === null));
}

function applyLimit(body: Node, rows: readonly Row[], execution: ExecutionContext): readonly Row[] {
	const offset = body.limitOffset ? Number(evaluate(nodeAt(body, 'limitOffset')!, createScope(execution))) : 0;
	const limitCount = body.limitCount ? evaluate(nodeAt(body, 'limitCount')!, createScope(execution)) : null;
	return rows.slice(offset, limitCount === null ? undefined : offset + Number(limitCount));
}

function findByUniqueKey(table: string, where: Node | undefined, execution: ExecutionContext): {readonly ids: readonly number[]} | undefined {
	const equalities = where ? findEqualities(where, execution) : {};
	const {overlay} = execution.transaction;
	const {definition} = overlay.table(table);
	const key = definition.uniqueKeys.find(candidate => candidate.columns.every(column => equalities[column] !== undefined && equalities[column] !== null));
	if (!key) {
		return undefined;
	}

	const types = new Map(definition.columns.map(column => [column.name, column.type]));
	const row = Object.fromEntries(key.columns.map(column => [column, coerce(equalities[column]!, types.get(column)!)]));
	const id = overlay.findUnique(table, key, uniqueIndexValue(key, row)!);
	return {ids: id === undefined ? [] : [id]};
}

/** Finds the columns that a condition compares for equality with a constant or parameter, with the values. */
function findEqualities(where: Node, execution: ExecutionContext): Readonly<Record<string, Value>> {
	const {tag, body} = unwrapNode(where);
	if (tag === 'BoolExpr' && body.boolop === 'AND_EXPR') {
		return Object.assign({}, ...nodesAt(body, 'args').map(arg => findEqualities(arg, execution))) as Readonly<Record<string, Value>>;
	}

	const isEquality = tag === 'A_Expr' && body.kind === 'AEXPR_OP' && unqualifiedName(nodesAt(body, 'name')) === '=';
	const isConstant = valueAt(body, 'rexpr', 'A_Const') ?? valueAt(body, 'rexpr', 'ParamRef');
	if (!isEquality || !valueAt(body, 'lexpr', 'ColumnRef') || !isConstant) {
		return {};
	}

	return {[unqualifiedName(nodesAt(body, 'lexpr', 'ColumnRef', 'fields'))]: evaluate(nodeAt(body, 'rexpr')!, createScope(execution))};
}

const aggregateFunctions: Readonly<Record<string, (values: readonly Value[]) => Value>> = {
	count: values => values.length,
	sum: values => values.length === 0 ? null : values.reduce<number>((total, value) => total + Number(value), 0),
	min: values => values.toSorted((a, b) => compareValues(a, b) ?? 0)[0] ?? null,
	max: values => values.toSorted((a, b) => compareValues(b, a) ?? 0)[0] ?? null,
};

function evaluateAggregate(value: Node, rows: readonly Row[], execution: ExecutionContext): Value {
	const call = nodeAt(value, 'FuncCall');
	const name = unqualifiedName(nodesAt(call, 'funcname'));
	if (!call || !isAggregate(name)) {
		return evaluate(value, createScope(execution));
	}

	const values = call.agg_star ? rows.map(() => 1) : rows.map(row => evaluate(nodeAt(call, 'args', 0)!, createScope(execution, row)));
	return aggregateFunctions[name]!(values.filter(candidate => candidate !== null));
}
