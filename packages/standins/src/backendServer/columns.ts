/**
 * Columns of results, known without running a statement.
 */
import {
	lastName, nodeAt, nodesAt, tagged, textAt, type Node, type Statement,
} from './ast.js';
import {returningOf} from './execution.js';
import {functionColumns, functionTypeId} from './functions.js';
import {type ResultColumn} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {fromFunction} from './statements.js';
import {type Overlay, type TableDefinition} from './tables.js';
import {typeIdOf} from './values.js';

const typeId = {
	boolean: 16, bigint: 20, integer: 23, text: 25,
} as const;

/**
 * Columns of a statement's result without running it.
 * @returns undefined for a statement without rows
 */
export function describeColumns({tag, body}: Statement, overlay: Overlay): readonly ResultColumn[] | undefined {
	if (tag === 'VariableShowStmt') {
		return [{name: textAt(body, 'name'), typeId: typeId.text}];
	}

	const targets = tag === 'SelectStmt' ? targetsOf(body) : returningOf(body);
	if (!targets) {
		return undefined;
	}

	const call = fromFunction(body);
	if (call) {
		return functionTargetColumns(targets, lastName(nodesAt(call, 'funcname')));
	}

	const table = textAt(body, 'relation', 'relname') || textAt(body, 'fromClause', 0, 'RangeVar', 'relname');
	return targetColumns(targets, table === '' ? undefined : overlay.table(table).definition);
}

/** Columns of select targets. */
export function targetColumns(targets: readonly Node[], definition: TableDefinition | undefined): readonly ResultColumn[] {
	return targets.flatMap(target => {
		const expression = nodeAt(target, 'ResTarget', 'val')!;
		if (isStar(expression)) {
			return (definition?.columns ?? []).map(column => ({name: column.name, typeId: typeIdOf(column.typeName)}));
		}

		const value = tagged(expression);
		return [{name: textAt(target, 'ResTarget', 'name') || defaultName(value), typeId: expressionTypeId(value, definition)}];
	});
}

/** Columns of select targets when a function stands in FROM. */
export function functionTargetColumns(targets: readonly Node[], name: string): readonly ResultColumn[] {
	const known = functionColumns[name] ?? [{name, typeId: functionTypeId(name)}];
	return targets.flatMap(target => {
		const value = nodeAt(target, 'ResTarget', 'val')!;
		if (isStar(value)) {
			return known;
		}

		const wanted = defaultName(tagged(value));
		const column = known.find(candidate => candidate.name === wanted);
		if (!column) {
			throw new SqlError(serverSqlStates.undefinedColumn, `column "${wanted}" does not exist`);
		}

		return [column];
	});
}

/** Select targets of a SELECT. */
export function targetsOf(body: Node): readonly Node[] {
	return (body.targetList ?? []) as readonly Node[];
}

/** True for `*`. */
export function isStar(value: Node): boolean {
	return nodesAt(value, 'ColumnRef', 'fields').at(-1)?.A_Star !== undefined;
}

function defaultName({tag, body}: Statement): string {
	if (tag === 'ColumnRef') {
		return lastName(nodesAt(body, 'fields'));
	}

	return tag === 'FuncCall' ? lastName(nodesAt(body, 'funcname')) : '?column?';
}

function expressionTypeId({tag, body}: Statement, definition: TableDefinition | undefined): number {
	switch (tag) {
		case 'ColumnRef': {
			const name = lastName(nodesAt(body, 'fields'));
			const column = definition?.columns.find(candidate => candidate.name === name);
			if (!column) {
				throw new SqlError(serverSqlStates.undefinedColumn, `column "${name}" does not exist`);
			}

			return typeIdOf(column.typeName);
		}

		case 'A_Const': {
			return body.ival ? typeId.integer : (body.boolval ? typeId.boolean : typeId.text);
		}

		case 'TypeCast': {
			return typeIdOf(lastName(nodesAt(body, 'typeName', 'names')));
		}

		case 'FuncCall': {
			const name = lastName(nodesAt(body, 'funcname'));
			return isAggregate(name) ? aggregateTypeId(name, body, definition) : functionTypeId(name);
		}

		case 'BoolExpr':
		case 'NullTest': {
			return typeId.boolean;
		}

		case 'A_Expr': {
			return operatorTypeId(lastName(nodesAt(body, 'name')));
		}

		default: {
			return typeId.text;
		}
	}
}

function operatorTypeId(operator: string): number {
	if (operator === '||') {
		return typeId.text;
	}

	return ['+', '-', '*', '/', '%'].includes(operator) ? typeId.bigint : typeId.boolean;
}

function aggregateTypeId(name: string, body: Node, definition: TableDefinition | undefined): number {
	return name === 'count' || name === 'sum' ? typeId.bigint : expressionTypeId(tagged(nodeAt(body, 'args', 0)!), definition);
}

const aggregateNames: ReadonlySet<string> = new Set(['count', 'sum', 'min', 'max']);

/** True for the name of an aggregate function. */
export function isAggregate(name: string): boolean {
	return aggregateNames.has(name);
}
