/**
 * SELECT, and the targets of RETURNING.
 */
import {
	lastName, nodeAt, nodesAt, tagged, textAt, valueAt, type Node,
} from './ast.js';
import {
	functionTargetColumns, isAggregate, isStar, targetColumns, targetsOf,
} from './columns.js';
import {
	lock, rowLockKey, scopeOf, type Execution,
} from './execution.js';
import {evaluate, holds, type Row} from './expressions.js';
import {callServerFunction, isServerFunction} from './functions.js';
import {type Result} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {fromFunction} from './statements.js';
import {uniqueKeyOf, type TableDefinition} from './tables.js';
import {coerce, compareValues, type Value} from './values.js';

/** Runs a SELECT. */
export async function select(body: Node, execution: Execution): Promise<Result> {
	if (fromFunction(body)) {
		return selectFromFunction(body, execution);
	}

	const rows = body.fromClause ? await tableRows(body, execution) : undefined;
	return rows ? project(body, rows, execution) : selectConstants(body, execution);
}

/** Ids and rows that match a WHERE clause; an equality on a unique key uses its index. */
export function matchRows(table: string, where: Node | undefined, execution: Execution): ReadonlyArray<readonly [number, Row]> {
	const {overlay} = execution.transaction;
	const found = findByUniqueKey(table, where, execution);
	const candidates = found ? found.ids.map(id => [id, overlay.row(table, id)!] as const) : overlay.visibleRows(table);
	return [...candidates].filter(([, row]) => holds(where, scopeOf(execution, row)));
}

/** Values of select targets for one row. */
export function targetValues(targets: readonly Node[], row: Row, definition: TableDefinition, execution: Execution): readonly Value[] {
	return targets.flatMap(target => {
		const value = nodeAt(target, 'ResTarget', 'val')!;
		return isStar(value)
			? definition.columns.map(column => row[column.name] ?? null)
			: [evaluate(value, scopeOf(execution, row))];
	});
}

async function selectFromFunction(body: Node, execution: Execution): Promise<Result> {
	const call = fromFunction(body)!;
	const name = lastName(nodesAt(call, 'funcname'));
	const answer = await callServerFunction(name, execution.database, argumentsOf(call, execution), execution.signal);
	const columns = functionTargetColumns(targetsOf(body), name);
	const values = columns.map(column => answer.row[answer.columns.findIndex(candidate => candidate.name === column.name)] ?? null);
	return {columns, rows: [values], tag: 'SELECT 1'};
}

async function selectConstants(body: Node, execution: Execution): Promise<Result> {
	const targets = targetsOf(body);
	const values: Value[] = [];
	for (const target of targets) {
		const {tag, body: value} = tagged(nodeAt(target, 'ResTarget', 'val')!);
		const name = tag === 'FuncCall' ? lastName(nodesAt(value, 'funcname')) : '';
		if (isServerFunction(name)) {
			const answer = await callServerFunction(name, execution.database, argumentsOf(value, execution), execution.signal);
			values.push(answer.row[0] ?? null);
		} else {
			values.push(evaluate(nodeAt(target, 'ResTarget', 'val')!, scopeOf(execution)));
		}
	}

	const rows = holds(nodeAt(body, 'whereClause'), scopeOf(execution)) ? [values] : [];
	return {columns: targetColumns(targets, undefined), rows, tag: `SELECT ${rows.length}`};
}

function argumentsOf(call: Node, execution: Execution): readonly Value[] {
	return nodesAt(call, 'args').map(arg => evaluate(arg, scopeOf(execution)));
}

async function tableRows(body: Node, execution: Execution): Promise<readonly Row[]> {
	const table = textAt(body, 'fromClause', 0, 'RangeVar', 'relname');
	if (table === '' || nodesAt(body, 'fromClause').length > 1 || body.groupClause) {
		throw new SqlError(serverSqlStates.featureNotSupported, 'only a SELECT from one table is supported');
	}

	execution.transaction.overlay.table(table);
	const matches = matchRows(table, nodeAt(body, 'whereClause'), execution);
	if (!body.lockingClause) {
		return matches.map(([, row]) => row);
	}

	const rows: Row[] = [];
	for (const [id] of matches) {
		await lock(execution, rowLockKey(table, id));
		const row = execution.transaction.overlay.row(table, id);
		if (row && holds(nodeAt(body, 'whereClause'), scopeOf(execution, row))) {
			rows.push(row);
		}
	}

	return rows;
}

function project(body: Node, rows: readonly Row[], execution: Execution): Result {
	const {definition} = execution.transaction.overlay.table(textAt(body, 'fromClause', 0, 'RangeVar', 'relname'));
	const targets = targetsOf(body);
	const columns = targetColumns(targets, definition);
	if (targets.some(target => isAggregate(lastName(nodesAt(target, 'ResTarget', 'val', 'FuncCall', 'funcname'))))) {
		const values = targets.map(target => aggregate(nodeAt(target, 'ResTarget', 'val')!, rows, execution));
		return {columns, rows: [values], tag: 'SELECT 1'};
	}

	const limited = limit(body, sort(body, rows, execution), execution);
	return {columns, rows: limited.map(row => targetValues(targets, row, definition, execution)), tag: `SELECT ${limited.length}`};
}

function sort(body: Node, rows: readonly Row[], execution: Execution): readonly Row[] {
	const keys = nodesAt(body, 'sortClause').map(key => nodeAt(key, 'SortBy')!);
	if (keys.length === 0) {
		return rows;
	}

	const targets = targetsOf(body).map(target => nodeAt(target, 'ResTarget')!);
	const nodes = keys.map(key => {
		const name = lastName(nodesAt(key, 'node', 'ColumnRef', 'fields'));
		const target = targets.find(candidate => candidate.name !== undefined && candidate.name === name);
		return nodeAt(target, 'val') ?? nodeAt(key, 'node')!;
	});
	return rows.toSorted((a, b) => {
		for (const [index, node] of nodes.entries()) {
			const order = compareForSort(evaluate(node, scopeOf(execution, a)), evaluate(node, scopeOf(execution, b)));
			if (order !== 0) {
				return keys[index]!.sortby_dir === 'SORTBY_DESC' ? -order : order;
			}
		}

		return 0;
	});
}

/** Nulls sort last in ascending order. */
function compareForSort(left: Value, right: Value): number {
	return compareValues(left, right) ?? (Number(left === null) - Number(right === null));
}

function limit(body: Node, rows: readonly Row[], execution: Execution): readonly Row[] {
	const offset = body.limitOffset ? Number(evaluate(nodeAt(body, 'limitOffset')!, scopeOf(execution))) : 0;
	const count = body.limitCount ? evaluate(nodeAt(body, 'limitCount')!, scopeOf(execution)) : null;
	return rows.slice(offset, count === null ? undefined : offset + Number(count));
}

function findByUniqueKey(table: string, where: Node | undefined, execution: Execution): {readonly ids: readonly number[]} | undefined {
	const equalities = where ? equalitiesOf(where, execution) : {};
	const {overlay} = execution.transaction;
	const {definition} = overlay.table(table);
	const key = definition.uniqueKeys.find(candidate => candidate.columns.every(column => equalities[column] !== undefined && equalities[column] !== null));
	if (!key) {
		return undefined;
	}

	const types = new Map(definition.columns.map(column => [column.name, column.type]));
	const row = Object.fromEntries(key.columns.map(column => [column, coerce(equalities[column]!, types.get(column)!)]));
	const id = overlay.findUnique(table, key, uniqueKeyOf(key, row)!);
	return {ids: id === undefined ? [] : [id]};
}

/** Columns that a condition sets equal to a value that does not depend on the row. */
function equalitiesOf(where: Node, execution: Execution): Readonly<Record<string, Value>> {
	const {tag, body} = tagged(where);
	if (tag === 'BoolExpr' && body.boolop === 'AND_EXPR') {
		return Object.assign({}, ...nodesAt(body, 'args').map(arg => equalitiesOf(arg, execution))) as Readonly<Record<string, Value>>;
	}

	const isEquality = tag === 'A_Expr' && body.kind === 'AEXPR_OP' && lastName(nodesAt(body, 'name')) === '=';
	const isConstant = valueAt(body, 'rexpr', 'A_Const') ?? valueAt(body, 'rexpr', 'ParamRef');
	if (!isEquality || !valueAt(body, 'lexpr', 'ColumnRef') || !isConstant) {
		return {};
	}

	return {[lastName(nodesAt(body, 'lexpr', 'ColumnRef', 'fields'))]: evaluate(nodeAt(body, 'rexpr')!, scopeOf(execution))};
}

const aggregates: Readonly<Record<string, (values: readonly Value[]) => Value>> = {
	count: values => values.length,
	sum: values => values.length === 0 ? null : values.reduce<number>((total, value) => total + Number(value), 0),
	min: values => values.toSorted((a, b) => compareValues(a, b) ?? 0)[0] ?? null,
	max: values => values.toSorted((a, b) => compareValues(b, a) ?? 0)[0] ?? null,
};

function aggregate(value: Node, rows: readonly Row[], execution: Execution): Value {
	const call = nodeAt(value, 'FuncCall');
	const name = lastName(nodesAt(call, 'funcname'));
	if (!call || !isAggregate(name)) {
		return evaluate(value, scopeOf(execution));
	}

	const values = call.agg_star ? rows.map(() => 1) : rows.map(row => evaluate(nodeAt(call, 'args', 0)!, scopeOf(execution, row)));
	return aggregates[name]!(values.filter(candidate => candidate !== null));
}
