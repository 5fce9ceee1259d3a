/**
 * Committed tables, and the uncommitted writes of a transaction.
 */
import {type Row} from './expressions.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {type ColumnType, type Value} from './values.js';

export type ColumnDefinition = {
	readonly name: string;
	readonly typeName: string;
	readonly type: ColumnType;
	readonly notNull: boolean;
	readonly isSerial: boolean;
	/** Parse tree of the DEFAULT expression, if any. */
	readonly defaultValue?: Readonly<Record<string, unknown>>;
};

/** A primary key or unique constraint. */
export type UniqueKey = {readonly name: string; readonly columns: readonly string[]};

export type TableDefinition = {
	readonly name: string;
	readonly columns: readonly ColumnDefinition[];
	readonly uniqueKeys: readonly UniqueKey[];
};

/** A change in a log record. */
export type Change
	= | {readonly op: 'create'; readonly definition: TableDefinition}
		| {readonly op: 'drop'; readonly table: string}
		| {readonly op: 'put'; readonly table: string; readonly id: number; readonly row: Row}
		| {readonly op: 'delete'; readonly table: string; readonly id: number};

/**
 * Computes the value under which the index of a unique key holds a row.
 * @returns undefined if a column is null, since nulls are distinct in unique keys
 */
export function uniqueIndexValue(key: UniqueKey, row: Row): string | undefined {
	const values = key.columns.map(column => row[column] ?? null);
	return values.includes(null) ? undefined : JSON.stringify(values);
}

/** A committed table with an index per unique key. */
export class Table {
	readonly rows = new Map<number, Row>();
	/** Id of the next inserted row. Ids are assigned before commit, so that two transactions never use the same one. */
	nextId = 1;
	private readonly indexes: ReadonlyMap<UniqueKey, Map<string, number>>;

	constructor(readonly definition: TableDefinition) {
		this.indexes = new Map(definition.uniqueKeys.map(key => [key, new Map<string, number>()]));
	}

	/** Returns the id of the committed row with the given index value. */
	findId(key: UniqueKey, indexValue: string): number | undefined {
		return this.indexes.get(key)?.get(indexValue);
	}

	put(id: number, row: Row): void {
		this.delete(id);
		this.rows.set(id, row);
		this.nextId = Math.max(this.nextId, id + 1);
		for (const [key, index] of this.indexes) {
			const value = uniqueIndexValue(key, row);
			if (value !== undefined) {
				index.set(value, id);
			}
		}
	}

	delete(id: number): void {
		const row = this.rows.get(id);
		if (!row) {
			return;
		}

		this.rows.delete(id);
		for (const [key, index] of this.indexes) {
			const value = uniqueIndexValue(key, row);
			// An earlier change of the same record may have assigned the value to another row.
			if (value !== undefined && index.get(value) === id) {
				index.delete(value);
			}
		}
	}
}

/** All committed tables. */
export class Tables {
	private readonly tables = new Map<string, Table>();

	get(name: string): Table | undefined {
		return this.tables.get(name);
	}

	apply(changes: readonly Change[]): void {
		for (const change of changes) {
			this.applyChange(change);
		}
	}

	clear(): void {
		this.tables.clear();
	}

	private applyChange(change: Change): void {
		switch (change.op) {
			case 'create': {
				this.tables.set(change.definition.name, new Table(change.definition));
				break;
			}

			case 'drop': {
				this.tables.delete(change.table);
				break;
			}

			case 'put': {
				this.tables.get(change.table)?.put(change.id, change.row);
				break;
			}

			case 'delete': {
				this.tables.get(change.table)?.delete(change.id);
				break;
			}
		}
	}
}

/** Copy of an overlay for a savepoint. */
type OverlaySnapshot = {
	readonly tableChanges: ReadonlyMap<string, Table | undefined>;
	readonly rowChanges: ReadonlyMap<string, ReadonlyMap<number, Row | undefined>>;
};

/** Uncommitted writes of a transaction, on top of the committed tables. */
export class Overlay {
	/** Created tables; undefined for dropped ones. */
	private tableChanges = new Map<string, Table | undefined>();
	/** Written rows by table and id; undefined for deleted ones. */
	private rowChanges = new Map<string, Map<number, Row | undefined>>();

	constructor(private readonly tables: Tables) {}

	get isEmpty(): boolean {
		return this.tableChanges.size === 0 && this.rowChanges.size === 0;
	}

	/** Returns a table by its name. @throws SqlError 42P01 if there is none */
	table(name: string): Table {
		const table = this.findTable(name);
		if (!table) {
			throw new SqlError(serverSqlStates.undefinedTable, `relation "${name}" does not exist`);
		}

		return table;
	}

	findTable(name: string): Table | undefined {
		return this.tableChanges.has(name) ? this.tableChanges.get(name) : this.tables.get(name);
	}

	createTable(definition: TableDefinition): void {
		this.tableChanges.set(definition.name, new Table(definition));
	}

	dropTable(name: string): void {
		this.tableChanges.set(name, undefined);
		this.rowChanges.delete(name);
	}

	findRow(name: string, id: number): Row | undefined {
		const changedRows = this.rowChanges.get(name);
		return changedRows?.has(id) ? changedRows.get(id) : this.table(name).rows.get(id);
	}

	writeRow(name: string, id: number, row: Row | undefined): void {
		const changedRows = this.rowChanges.get(name) ?? new Map<number, Row | undefined>();
		changedRows.set(id, row);
		this.rowChanges.set(name, changedRows);
	}

	/** Returns the rows that the transaction sees: the committed ones with its own writes. */
	* visibleRows(name: string): Iterable<readonly [number, Row]> {
		const changedRows = this.rowChanges.get(name);
		for (const [id, row] of this.table(name).rows) {
			if (!changedRows?.has(id)) {
				yield [id, row];
			}
		}

		for (const [id, row] of changedRows ?? []) {
			if (row) {
				yield [id, row];
			}
		}
	}

	/** Returns the id of the visible row with the given index value. */
	findUnique(name: string, key: UniqueKey, indexValue: string): number | undefined {
		const changedRows = this.rowChanges.get(name);
		const committedId = this.table(name).findId(key, indexValue);
		if (committedId !== undefined && !changedRows?.has(committedId)) {
			return committedId;
		}

		for (const [id, row] of changedRows ?? []) {
			if (row && uniqueIndexValue(key, row) === indexValue) {
				return id;
			}
		}

		return undefined;
	}

	/** Copies the writes made so far. */
	createSnapshot(): OverlaySnapshot {
		return {
			tableChanges: new Map(this.tableChanges),
			rowChanges: new Map([...this.rowChanges].map(([name, rows]) => [name, new Map(rows)])),
		};
	}

	/** Discards the writes made since a snapshot. */
	restore(snapshot: OverlaySnapshot): void {
		this.tableChanges = new Map(snapshot.tableChanges);
		this.rowChanges = new Map([...snapshot.rowChanges].map(([name, rows]) => [name, new Map(rows)]));
	}

	/** Returns the changes to log at commit. */
	changes(): readonly Change[] {
		const changedTables = [...this.tableChanges].map(([name, table]): Change => table ? {op: 'create', definition: table.definition} : {op: 'drop', table: name});
		const changedRows = [...this.rowChanges].flatMap(([table, rowsById]) => [...rowsById].map(([id, row]): Change => row
			? {
				op: 'put', table, id, row,
			}
			: {op: 'delete', table, id}));
		// Deletes are applied first, so that a unique value can move from one row to another.
		return [...changedTables, ...changedRows.filter(change => change.op === 'delete'), ...changedRows.filter(change => change.op === 'put')];
	}
}

export type {Value} from './values.js';
