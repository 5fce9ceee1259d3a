/**
 * Access to the parse trees of libpg-query.
 */
import {loadModule, parseSync} from 'libpg-query';
import {serverSqlStates, SqlError} from './sqlError.js';

/** Fields of a parse tree node, or an object that holds such fields under the tag of the node. */
export type Node = Readonly<Record<string, unknown>>;

/** A statement or expression node split into its tag, for example `SelectStmt`, and its fields. */
export type Statement = {readonly tag: string; readonly body: Node};

/** Number of SQL texts whose parse trees are cached. */
const maximumCachedStatements = 2000;
const cache = new Map<string, readonly Statement[]>();

/** Loads the parser. Must be awaited before the first call of `parseStatements`. */
export async function loadParser(): Promise<void> {
	await loadModule();
}

/**
 * Parses SQL text into its statements.
 * @throws SqlError 42601 if the text is not valid SQL
 */
export function parseStatements(text: string): readonly Statement[] {
	const cached = cache.get(text);
	if (cached) {
		return cached;
	}

	const statements = parseUncached(text);
	if (cache.size >= maximumCachedStatements) {
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
		return (parsed.stmts ?? []).map(({stmt}) => unwrapNode(stmt));
	} catch (error) {
		throw new SqlError(serverSqlStates.syntaxError, error instanceof Error ? error.message : String(error));
	}
}

/** Splits a node into its tag and its fields. */
export function unwrapNode(node: Node): Statement {
	const [entry] = Object.entries(node);
	return {tag: entry?.[0] ?? '', body: (entry?.[1] ?? {}) as Node};
}

/** Returns the last part of a name that may be qualified. */
export function unqualifiedName(names: readonly Node[] | undefined): string {
	return textAt(names?.at(-1), 'String', 'sval');
}

/** Calls `visit` for every node below a value, with the tag or other key of the node. */
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

/** Returns the value at a path of keys and indexes below a node; undefined if a step does not exist. */
export function valueAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): unknown {
	let value: unknown = node;
	for (const step of path) {
		value = typeof value === 'object' && value !== null ? (value as Readonly<Record<string | number, unknown>>)[step] : undefined;
	}

	return value;
}

/** Returns the node at a path below a node. */
export function nodeAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): Node | undefined {
	return valueAt(node, ...path) as Node | undefined;
}

/** Returns the list of nodes at a path below a node; empty if there is none. */
export function nodesAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): readonly Node[] {
	return (valueAt(node, ...path) as readonly Node[] | undefined) ?? [];
}

/** Returns the string or number at a path below a node as a string; empty if there is none. */
export function textAt(node: Node | undefined, ...path: ReadonlyArray<string | number>): string {
	const value = valueAt(node, ...path);
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}
