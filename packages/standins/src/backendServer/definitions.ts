/**
 * CREATE TABLE and DROP TABLE.
 */
import {
	lastName, nodeAt, nodesAt, tagged, textAt, type Node,
} from './ast.js';
import {type Result} from './result.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	type ColumnDefinition, type Overlay, type TableDefinition, type UniqueKey,
} from './tables.js';
import {columnTypeOf} from './values.js';

/** Creates a table. @throws SqlError 42P07 if it exists */
export function createTable(body: Node, overlay: Overlay): Result {
	const name = textAt(body, 'relation', 'relname');
	if (overlay.findTable(name)) {
		if (body.if_not_exists) {
			return {rows: [], tag: 'CREATE TABLE'};
		}

		throw new SqlError(serverSqlStates.duplicateTable, `relation "${name}" already exists`);
	}

	overlay.create(definitionOf(name, (body.tableElts ?? []) as readonly Node[]));
	return {rows: [], tag: 'CREATE TABLE'};
}

/** Drops tables. @throws SqlError 42P01 if one does not exist */
export function dropTables(body: Node, overlay: Overlay): Result {
	for (const object of nodesAt(body, 'objects')) {
		const name = lastName(nodesAt(object, 'List', 'items'));
		if (overlay.findTable(name)) {
			overlay.drop(name);
		} else if (!body.missing_ok) {
			throw new SqlError(serverSqlStates.undefinedTable, `table "${name}" does not exist`);
		}
	}

	return {rows: [], tag: 'DROP TABLE'};
}

function definitionOf(table: string, elements: readonly Node[]): TableDefinition {
	const parts = elements.map(element => tagged(element));
	const columns = parts.filter(part => part.tag === 'ColumnDef').map(part => part.body);
	const constraints = parts.filter(part => part.tag === 'Constraint').map(part => part.body);
	const ofColumns = columns.flatMap(column => constraintsOf(column).map(constraint => uniqueKey(table, constraint, [textAt(column, 'colname')])));
	const ofTable = constraints.map(constraint => uniqueKey(table, constraint, nodesAt(constraint, 'keys').map(key => textAt(key, 'String', 'sval'))));
	const uniqueKeys = [...ofColumns, ...ofTable].filter(key => key !== undefined);
	const primary = uniqueKeys.find(key => key.name.endsWith('_pkey'));
	return {
		name: table,
		columns: columns.map(column => columnDefinition(column, primary)),
		uniqueKeys,
	};
}

function constraintsOf(column: Node): readonly Node[] {
	return nodesAt(column, 'constraints').map(constraint => nodeAt(constraint, 'Constraint')!);
}

function uniqueKey(table: string, constraint: Node, columns: readonly string[]): UniqueKey | undefined {
	if (constraint.contype === 'CONSTR_PRIMARY') {
		return {name: `${table}_pkey`, columns};
	}

	return constraint.contype === 'CONSTR_UNIQUE' ? {name: `${table}_${columns.join('_')}_key`, columns} : undefined;
}

function columnDefinition(column: Node, primary: UniqueKey | undefined): ColumnDefinition {
	const name = textAt(column, 'colname');
	const typeName = lastName(nodesAt(column, 'typeName', 'names'));
	const constraints = constraintsOf(column);
	const isRequired = constraints.some(constraint => constraint.contype === 'CONSTR_NOTNULL');
	return {
		name,
		typeName,
		type: columnTypeOf(typeName),
		notNull: isRequired || (primary?.columns.includes(name) ?? false),
		isSerial: typeName === 'serial' || typeName === 'bigserial',
		defaultValue: constraints.find(constraint => constraint.contype === 'CONSTR_DEFAULT')?.raw_expr as Node | undefined,
	};
}
