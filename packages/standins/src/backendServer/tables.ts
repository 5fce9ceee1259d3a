/**
 * Committed tables, and the writes of a transaction that is not committed yet.
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
	/** Parse tree of the default, if any. */
	readonly defaultValue?: Readonly<Record<string, unknown>>;
};

export type UniqueKey = {readonly name: string; readonly columns: readonly string[]};

export type TableDefinition = {
	readonly name: string;
	readonly columns: readonly ColumnDefinition[];
	readonly uniqueKeys: readonly UniqueKey[];
};

/** One change of a log record. */
export type Change
	= | {readonly op: 'create'; readonly definition: TableDefinition}
		| {readonly op: 'drop'; readonly table: string}
		| {readonly op: 'put'; readonly table: string; readonly id: number; readonly row: Row}
		| {readonly op: 'delete'; readonly table: string; readonly id: number};

/**
 * Value by which a unique key finds a row.
 * @returns undefined if a column is null, since nulls never collide
 */
export function uniqueKeyOf(key: UniqueKey, row: Row): string | undefined {
	const values = key.columns.map(column => row[column] ?? null);
	return values.includes(null) ? undefined : JSON.stringify(values);
}

/** A committed table with an index for each unique key. */
export class Table {
	readonly rows = new Map<number, Row>();
	/** Also counts ids of rows that are not committed yet, so that two transactions never share one. */
	nextId = 1;
	private readonly indexes: ReadonlyMap<UniqueKey, Map<string, number>>;

	constructor(readonly definition: TableDefinition) {
		this.indexes = new Map(definition.uniqueKeys.map(key => [key, new Map<string, number>()]));
	}

	/** Id of the committed row with the given index value. */
	idOf(key: UniqueKey, indexValue: string): number | undefined {
		return this.indexes.get(key)?.get(indexValue);
	}

	put(id: number, row: Row): void {
		this.delete(id);
		this.rows.set(id, row);
		this.nextId = Math.max(this.nextId, id + 1);
		for (const [key, index] of this.indexes) {
			const value = uniqueKeyOf(key, row);
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
			const value = uniqueKeyOf(key, row);
			// Another row may have taken over the value earlier in the same record.
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
			this.applyOne(change);
		}
	}

	clear(): void {
		this.tables.clear();
	}

	private applyOne(change: Change): void {
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

type Saved = {
	readonly created: ReadonlyMap<string, Table | undefined>;
	readonly rows: ReadonlyMap<string, ReadonlyMap<number, Row | undefined>>;
};

/** Writes of one transaction on top of the committed tables. */
export class Overlay {
	private created = new Map<string, Table | undefined>();
	private rows = new Map<string, Map<number, Row | undefined>>();

	constructor(private readonly tables: Tables) {}

	get isEmpty(): boolean {
		return this.created.size === 0 && this.rows.size === 0;
	}

	/** @throws SqlError 42P01 if there is no such table */
	table(name: string): Table {
		const table = this.findTable(name);
		if (!table) {
			throw new SqlError(serverSqlStates.undefinedTable, `relation "${name}" does not exist`);
		}

		return table;
	}

	findTable(name: string): Table | undefined {
		return this.created.has(name) ? this.created.get(name) : this.tables.get(name);
	}

	create(definition: TableDefinition): void {
		this.created.set(definition.name, new Table(definition));
	}

	drop(name: string): void {
		this.created.set(name, undefined);
		this.rows.delete(name);
	}

	row(name: string, id: number): Row | undefined {
		const changed = this.rows.get(name);
		return changed?.has(id) ? changed.get(id) : this.table(name).rows.get(id);
	}

	write(name: string, id: number, row: Row | undefined): void {
		const changed = this.rows.get(name) ?? new Map<number, Row | undefined>();
		changed.set(id, row);
		this.rows.set(name, changed);
	}

	/** Rows that this transaction sees. */
	* visibleRows(name: string): Iterable<readonly [number, Row]> {
		const changed = this.rows.get(name);
		for (const [id, row] of this.table(name).rows) {
			if (!changed?.has(id)) {
				yield [id, row];
			}
		}

		for (const [id, row] of changed ?? []) {
			if (row) {
				yield [id, row];
			}
		}
	}

	/** Id of the visible row with a unique value. */
	findUnique(name: string, key: UniqueKey, indexValue: string): number | undefined {
		const changed = this.rows.get(name);
		const committed = this.table(name).idOf(key, indexValue);
		if (committed !== undefined && !changed?.has(committed)) {
			return committed;
		}

		for (const [id, row] of changed ?? []) {
			if (row && uniqueKeyOf(key, row) === indexValue) {
				return id;
			}
		}

		return undefined;
	}

	save(): Saved {
		return {
			created: new Map(this.created),
			rows: new Map([...this.rows].map(([name, rows]) => [name, new Map(rows)])),
		};
	}

	restore(saved: Saved): void {
		this.created = new Map(saved.created);
		this.rows = new Map([...saved.rows].map(([name, rows]) => [name, new Map(rows)]));
	}

	/** Changes to log at commit. */
	changes(): readonly Change[] {
		const definitions = [...this.created].map(([name, table]): Change => table ? {op: 'create', definition: table.definition} : {op: 'drop', table: name});
		const rows = [...this.rows].flatMap(([table, changed]) => [...changed].map(([id, row]): Change => row
			? {
				op: 'put', table, id, row,
			}
			: {op: 'delete', table, id}));
		// Deletes come first so that a unique value can move from one row to another.
		return [...definitions, ...rows.filter(change => change.op === 'delete'), ...rows.filter(change => change.op === 'put')];
	}
}

export type {Value} from './values.js';
