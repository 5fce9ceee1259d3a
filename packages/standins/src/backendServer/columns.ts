/**
 * Result columns of statements, derived without running them.
 */
import {
	unqualifiedName, nodeAt, nodesAt, unwrapNode, textAt, type Node, type Statement,
} from './ast.js';
import {returningTargets} from './executionContext.js';
import {functionColumns, functionTypeId} from './functions.js';
import {type ResultColumn} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {findFromFunction} from './statements.js';
import {type Overlay, type TableDefinition} from './tables.js';
import {typeIdOf} from './values.js';

const typeIds = {
	boolean: 16, bigint: 20, integer: 23, text: 25,
} as const;

/**
 * Derives the result columns of a statement.
 * @returns undefined for a statement that returns no rows
 * @throws SqlError 42P01 or 42703 if a table or column does not exist
 */
export function describeColumns({tag, body}: Statement, overlay: Overlay): readonly ResultColumn[] | undefined {
	if (tag === 'VariableShowStmt') {
		return [{name: textAt(body, 'name'), typeId: typeIds.text}];
	}

	const targets = tag === 'SelectStmt' ? selectTargets(body) : returningTargets(body);
	if (!targets) {
		return undefined;
	}

	const call = findFromFunction(body);
	if (call) {
		return functionTargetColumns(targets, unqualifiedName(nodesAt(call, 'funcname')));
	}

	const table = textAt(body, 'relation', 'relname') || textAt(body, 'fromClause', 0, 'RangeVar', 'relname');
	return targetColumns(targets, table === '' ? undefined : overlay.table(table).definition);
}

/** Derives the result columns of the targets of a SELECT or RETURNING. */
export function targetColumns(targets: readonly Node[], definition: TableDefinition | undefined): readonly ResultColumn[] {
	return targets.flatMap(target => {
		const expression = nodeAt(target, 'ResTarget', 'val')!;
		if (isStar(expression)) {
			return (definition?.columns ?? []).map(column => ({name: column.name, typeId: typeIdOf(column.typeName)}));
		}

		const value = unwrapNode(expression);
		return [{name: textAt(target, 'ResTarget', 'name') || defaultColumnName(value), typeId: expressionTypeId(value, definition)}];
	});
}

/** Derives the result columns of the targets of a SELECT from a function. */
export function functionTargetColumns(targets: readonly Node[], name: string): readonly ResultColumn[] {
	const functionResultColumns = functionColumns[name] ?? [{name, typeId: functionTypeId(name)}];
	return targets.flatMap(target => {
		const value = nodeAt(target, 'ResTarget', 'val')!;
		if (isStar(value)) {
			return functionResultColumns;
		}

		const requestedName = defaultColumnName(unwrapNode(value));
		const column = functionResultColumns.find(candidate => candidate.name === requestedName);
		if (!column) {
			throw new SqlError(serverSqlStates.undefinedColumn, `column "${requestedName}" does not exist`);
		}

		return [column];
	});
}

/** Returns the target list of a SELECT. */
export function selectTargets(body: Node): readonly Node[] {
	return (body.targetList ?? []) as readonly Node[];
}

/** Checks whether a target is `*`. */
export function isStar(value: Node): boolean {
	return nodesAt(value, 'ColumnRef', 'fields').at(-1)?.A_Star !== undefined;
}

function defaultColumnName({tag, body}: Statement): string {
	if (tag === 'ColumnRef') {
		return unqualifiedName(nodesAt(body, 'fields'));
	}

	return tag === 'FuncCall' ? unqualifiedName(nodesAt(body, 'funcname')) : '?column?';
}

function expressionTypeId({tag, body}: Statement, definition: TableDefinition | undefined): number {
	switch (tag) {
		case 'ColumnRef': {
			const name = unqualifiedName(nodesAt(body, 'fields'));
			const column = definition?.columns.find(candidate => candidate.name === name);
			if (!column) {
				throw new SqlError(serverSqlStates.undefinedColumn, `column "${name}" does not exist`);
			}

			return typeIdOf(column.typeName);
		}

		case 'A_Const': {
			return body.ival ? typeIds.integer : (body.boolval ? typeIds.boolean : typeIds.text);
		}

		case 'TypeCast': {
			return typeIdOf(unqualifiedName(nodesAt(body, 'typeName', 'names')));
		}

		case 'FuncCall': {
			const name = unqualifiedName(nodesAt(body, 'funcname'));
			return isAggregate(name) ? aggregateTypeId(name, body, definition) : functionTypeId(name);
		}

		case 'BoolExpr':
		case 'NullTest': {
			return typeIds.boolean;
		}

		case 'A_Expr': {
			return operatorTypeId(unqualifiedName(nodesAt(body, 'name')));
		}

		default: {
			return typeIds.text;
		}
	}
}

function operatorTypeId(operator: string): number {
	if (operator === '||') {
		return typeIds.text;
	}

	return ['+', '-', '*', '/', '%'].includes(operator) ? typeIds.bigint : typeIds.boolean;
}

function aggregateTypeId(name: string, body: Node, definition: TableDefinition | undefined): number {
	return name === 'count' || name === 'sum' ? typeIds.bigint : expressionTypeId(unwrapNode(nodeAt(body, 'args', 0)!), definition);
}

const aggregateNames: ReadonlySet<string> = new Set(['count', 'sum', 'min', 'max']);

/** Checks whether a name is that of an aggregate function. */
export function isAggregate(name: string): boolean {
	return aggregateNames.has(name);
}
