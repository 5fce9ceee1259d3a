import {type StatementKind} from './statements.js';

/** Counters as the control API returns them to tests and the bench. */
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

/** Counts statements, connections and injected faults. */
export class Counters {
	private readonly countsByKind = new Map<StatementKind, number>();
	private values = {
		connections: 0, maxConnections: 0, connectionsOpened: 0, connectionsRefused: 0, canceled: 0, answersDropped: 0,
	};

	get connections(): number {
		return this.values.connections;
	}

	countStatement(kind: StatementKind): void {
		this.countsByKind.set(kind, (this.countsByKind.get(kind) ?? 0) + 1);
	}

	connectionOpened(): void {
		this.values.connections++;
		this.values.connectionsOpened++;
		this.values.maxConnections = Math.max(this.values.maxConnections, this.values.connections);
	}

	connectionClosed(): void {
		this.values.connections--;
	}

	increment(name: 'connectionsRefused' | 'canceled' | 'answersDropped'): void {
		this.values[name]++;
	}

	/** Resets all counters except the number of open connections. */
	reset(): void {
		const {connections} = this.values;
		this.countsByKind.clear();
		this.values = {
			connections, maxConnections: connections, connectionsOpened: 0, connectionsRefused: 0, canceled: 0, answersDropped: 0,
		};
	}

	snapshot(maxConcurrentStatements: number): CounterValues {
		const statementsByKind = Object.fromEntries(this.countsByKind) as Partial<Record<StatementKind, number>>;
		const statements = [...this.countsByKind.values()].reduce((total, count) => total + count, 0);
		return {
			statements, statementsByKind, maxConcurrentStatements, ...this.values,
		};
	}
}
