/**
 * Access to the parse trees of libpg-query.
 */
import {loadModule, parseSync} from 'libpg-query';
import {serverSqlStates, SqlError} from './sqlError.js';

/** A node of the parse tree; its fields depend on its tag. */
export type Node = Readonly<Record<string, unknown>>;

/** A statement with its tag, for example `SelectStmt`. */
export type Statement = {readonly tag: string; readonly body: Node};

/** Texts whose parse trees are kept. */
const maximumCachedTexts = 2000;
const cache = new Map<string, readonly Statement[]>();

/** Loads the parser; must have resolved before `parseStatements` is called. */
export async function loadParser(): Promise<void> {
	await loadModule();
}

/**
 * Parses a text into its statements.
 * @throws SqlError 42601 if the text is not valid SQL
 */
export function parseStatements(text: string): readonly Statement[] {
	const known = cache.get(text);
	if (known) {
		return known;
	}

	const statements = parseUncached(text);
	if (cache.size >= maximumCachedTexts) {
		cache.clear();
	}

	cache.set(text, statements);
	return statements;
}

function parseUncached(text: string): readonly Statement[] {
	if (text.trim() === '') {
		return [];
	}

	try {
		const parsed = parseSync(text) as {readonly stmts?: ReadonlyArray<{readonly stmt: Node}>};
		return (parsed.stmts ?? []).map(({stmt}) => tagged(stmt));
	} catch (error) {
		throw new SqlError(serverSqlStates.syntaxError, error instanceof Error ? error.message : String(error));
	}
}

/** Splits a node into its tag and its fields. */
export function tagged(node: Node): Statement {
	const [entry] = Object.entries(node);
	return {tag: entry?.[0] ?? '', body: (entry?.[1] ?? {}) as Node};
}

/** Last part of a possibly qualified name. */
export function lastName(names: readonly Node[] | undefined): string {
	return textAt(names?.at(-1), 'String', 'sval');
}

/** Calls the function with every node below a value, tags included. */
export function visitNodes(value: unknown, visit: (tag: string, body: Node) => void): void {
	if (typeof value !== 'object' || value === null) {
		return;
	}

	for (const [tag, body] of Object.entries(value)) {
		if (typeof body === 'object' && body !== null) {
			visit(tag, body as Node);
			visitNodes(body, visit);
		}
	}
}

/** Value below a node by the names and indexes that lead to it; undefined if a step is missing. */
export function valueAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): unknown {
	let value: unknown = node;
	for (const step of path) {
		value = typeof value === 'object' && value !== null ? (value as Readonly<Record<string | number, unknown>>)[step] : undefined;
	}

	return value;
}

/** Node below a node. */
export function nodeAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): Node | undefined {
	return valueAt(node, ...path) as Node | undefined;
}

/** List of nodes below a node; empty if there is none. */
export function nodesAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): readonly Node[] {
	return (valueAt(node, ...path) as readonly Node[] | undefined) ?? [];
}

/** Text or number below a node, as text; empty if there is none. */
export function textAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): string {
	const value = valueAt(node, ...path);
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}
