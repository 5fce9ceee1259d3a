/**
 * CREATE TABLE and DROP TABLE.
 */
import {
	unqualifiedName, nodeAt, nodesAt, unwrapNode, textAt, type Node,
} from './ast.js';
import {type StatementResult} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	type ColumnDefinition, type Overlay, type TableDefinition, type UniqueKey,
} from './tables.js';
import {columnTypeOf} from './values.js';

/** Runs CREATE TABLE. @throws SqlError 42P07 if the table exists */
export function createTable(body: Node, overlay: Overlay): StatementResult {
	const name = textAt(body, 'relation', 'relname');
	if (overlay.findTable(name)) {
		if (body.if_not_exists) {
			return {rows: [], commandTag: 'CREATE TABLE'};
		}

		throw new SqlError(serverSqlStates.duplicateTable, `relation "${name}" already exists`);
	}

	overlay.createTable(buildTableDefinition(name, (body.tableElts ?? []) as readonly Node[]));
	return {rows: [], commandTag: 'CREATE TABLE'};
}

/** Runs DROP TABLE. @throws SqlError 42P01 if a table does not exist */
export function dropTables(body: Node, overlay: Overlay): StatementResult {
	for (const object of nodesAt(body, 'objects')) {
		const name = unqualifiedName(nodesAt(object, 'List', 'items'));
		if (overlay.findTable(name)) {
			overlay.dropTable(name);
		} else if (!body.missing_ok) {
			throw new SqlError(serverSqlStates.undefinedTable, `table "${name}" does not exist`);
		}
	}

	return {rows: [], commandTag: 'DROP TABLE'};
}

function buildTableDefinition(table: string, elements: readonly Node[]): TableDefinition {
	const taggedElements = elements.map(element => unwrapNode(element));
	const columns = taggedElements.filter(part => part.tag === 'ColumnDef').map(part => part.body);
	const constraints = taggedElements.filter(part => part.tag === 'Constraint').map(part => part.body);
	const columnKeys = columns.flatMap(column => columnConstraints(column).map(constraint => buildUniqueKey(table, constraint, [textAt(column, 'colname')])));
	const tableKeys = constraints.map(constraint => buildUniqueKey(table, constraint, nodesAt(constraint, 'keys').map(key => textAt(key, 'String', 'sval'))));
	const uniqueKeys = [...columnKeys, ...tableKeys].filter(key => key !== undefined);
	const primaryKey = uniqueKeys.find(key => key.name.endsWith('_pkey'));
	return {
		name: table,
		columns: columns.map(column => buildColumnDefinition(column, primaryKey)),
		uniqueKeys,
	};
}

function columnConstraints(column: Node): readonly Node[] {
	return nodesAt(column, 'constraints').map(constraint => nodeAt(constraint, 'Constraint')!);
}

function buildUniqueKey(table: string, constraint: Node, columns: readonly string[]): UniqueKey | undefined {
	if (constraint.contype === 'CONSTR_PRIMARY') {
		return {name: `${table}_pkey`, columns};
	}

	return constraint.contype === 'CONSTR_UNIQUE' ? {name: `${table}_${columns.join('_')}_key`, columns} : undefined;
}

function buildColumnDefinition(column: Node, primaryKey: UniqueKey | undefined): ColumnDefinition {
	const name = textAt(column, 'colname');
	const typeName = unqualifiedName(nodesAt(column, 'typeName', 'names'));
	const constraints = columnConstraints(column);
	const hasNotNullConstraint = constraints.some(constraint => constraint.contype === 'CONSTR_NOTNULL');
	return {
		name,
		typeName,
		type: columnTypeOf(typeName),
		notNull: hasNotNullConstraint || (primaryKey?.columns.includes(name) ?? false),
		isSerial: typeName === 'serial' || typeName === 'bigserial',
		defaultValue: constraints.find(constraint => constraint.contype === 'CONSTR_DEFAULT')?.raw_expr as Node | undefined,
	};
}
