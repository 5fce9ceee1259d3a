import {type StatementKind} from './statements.js';

/** Counts that tests and the bench read over the control port. */
export type CounterValues = {
	readonly statements: number;
	readonly statementsByKind: Readonly<Partial<Record<StatementKind, number>>>;
	readonly maxConcurrentStatements: number;
	readonly connections: number;
	readonly maxConnections: number;
	readonly connectionsOpened: number;
	readonly connectionsRefused: number;
	readonly canceled: number;
	readonly answersDropped: number;
};

export class Counters {
	private readonly byKind = new Map<StatementKind, number>();
	private values = {
		connections: 0, maxConnections: 0, connectionsOpened: 0, connectionsRefused: 0, canceled: 0, answersDropped: 0,
	};

	get connections(): number {
		return this.values.connections;
	}

	statement(kind: StatementKind): void {
		this.byKind.set(kind, (this.byKind.get(kind) ?? 0) + 1);
	}

	connectionOpened(): void {
		this.values.connections++;
		this.values.connectionsOpened++;
		this.values.maxConnections = Math.max(this.values.maxConnections, this.values.connections);
	}

	connectionClosed(): void {
		this.values.connections--;
	}

	count(name: 'connectionsRefused' | 'canceled' | 'answersDropped'): void {
		this.values[name]++;
	}

	/** Starts counting afresh; open connections stay counted. */
	reset(): void {
		const {connections} = this.values;
		this.byKind.clear();
		this.values = {
			connections, maxConnections: connections, connectionsOpened: 0, connectionsRefused: 0, canceled: 0, answersDropped: 0,
		};
	}

	read(maxConcurrentStatements: number): CounterValues {
		const statementsByKind = Object.fromEntries(this.byKind) as Partial<Record<StatementKind, number>>;
		const statements = [...this.byKind.values()].reduce((total, count) => total + count, 0);
		return {
			statements, statementsByKind, maxConcurrentStatements, ...this.values,
		};
	}
}
