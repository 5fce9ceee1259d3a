/**
 * Classification of statements, so that reads can go to replicas and commits can be awaited.
 */
import {loadModule, parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {type StatementMode} from '@crocusloom/model';

/** A `SET crocusloom.name = value`, which the proxy answers itself. */
export type ProxySetting = {readonly name: string; readonly value: string};

/** What routing has to know of a statement text. */
export type Classification = {
	readonly mode: StatementMode;
	/** Transaction control in the text; `none` for anything else. */
	readonly transaction: 'none' | 'begin' | 'beginReadOnly' | 'commit' | 'rollback' | 'savepoint';
	readonly statementCount: number;
	readonly proxySettings: readonly ProxySetting[];
	/** True for a statement that sets or shows state of the backend connection. */
	readonly sessionState: boolean;
	/** True for COPY, LISTEN and other statements that a pooled connection cannot serve. */
	readonly unsupported?: string;
};

type Node = Readonly<Record<string, unknown>>;

/** Texts whose classification is kept; a text costs 30 to 70 microseconds to parse. */
const maximumCachedTexts = 10_000;
/** Texts longer than this are classified each time, so that the cache stays small. */
const maximumCachedTextLength = 4096;

const cache = new LRUCache<string, Classification>({max: maximumCachedTexts});

/** Loads the parser; must have resolved before `classify` is called. */
export async function loadClassifier(): Promise<void> {
	await loadModule();
}

/**
 * Classifies a statement text. A text that does not parse is a write, so that the primary reports the error.
 * @param text - one or more statements
 */
export function classify(text: string): Classification {
	const known = cache.get(text);
	if (known) {
		return known;
	}

	const classification = classifyUncached(text);
	if (text.length <= maximumCachedTextLength) {
		cache.set(text, classification);
	}

	return classification;
}

const unparsed: Classification = {
	mode: 'write', transaction: 'none', statementCount: 1, proxySettings: [], sessionState: false,
};

function classifyUncached(text: string): Classification {
	if (text.trim() === '') {
		return {...unparsed, mode: 'read', statementCount: 0};
	}

	let statements: readonly Node[];
	try {
		const parsed = parseSync(text) as {readonly stmts?: ReadonlyArray<{readonly stmt: Node}>};
		statements = (parsed.stmts ?? []).map(({stmt}) => stmt);
	} catch {
		return unparsed;
	}

	if (statements.length === 0) {
		return {...unparsed, mode: 'read', statementCount: 0};
	}

	const parts = statements.map(statement => classifyStatement(statement));
	if (parts.length === 1) {
		return parts[0]!;
	}

	return {
		mode: parts.every(part => part.mode === 'read') ? 'read' : 'write',
		transaction: parts.find(part => part.transaction !== 'none')?.transaction ?? 'none',
		statementCount: parts.length,
		proxySettings: parts.flatMap(part => part.proxySettings),
		sessionState: parts.some(part => part.sessionState),
		unsupported: parts.find(part => part.unsupported)?.unsupported,
	};
}

function classifyStatement(statement: Node): Classification {
	const [tag, body] = Object.entries(statement)[0] as [string, Node];
	const handler = handlers[tag];
	return {...unparsed, ...handler?.(body)};
}

const handlers: Readonly<Record<string, (body: Node) => Partial<Classification>>> = {
	SelectStmt: body => ({mode: isPlainSelect(body) ? 'read' : 'write'}),
	VariableShowStmt: () => ({mode: 'read', sessionState: true}),
	VariableSetStmt: classifySet,
	ExplainStmt: body => ({mode: Object.hasOwn(body.query as Node, 'SelectStmt') ? 'read' : 'write'}),
	TransactionStmt: classifyTransaction,
	CopyStmt: () => ({unsupported: 'COPY'}),
	ListenStmt: () => ({unsupported: 'LISTEN'}),
	UnlistenStmt: () => ({unsupported: 'UNLISTEN'}),
	PrepareStmt: () => ({unsupported: 'SQL-level PREPARE'}),
	ExecuteStmt: () => ({unsupported: 'SQL-level EXECUTE'}),
	DeallocateStmt: () => ({sessionState: true}),
	DiscardStmt: () => ({sessionState: true}),
	DeclareCursorStmt: () => ({mode: 'read'}),
};

/** Functions that change state although they are called by SELECT. */
const writingFunctions = /^(?:nextval|setval|lo_|pg_advisory|pg_try_advisory|crocusloom_|txid_current$|pg_current_xact_id$)/v;

function isPlainSelect(body: Node): boolean {
	if (body.lockingClause ?? body.intoClause) {
		return false;
	}

	return !findNode(body, (tag, node) => writingTags.has(tag) || (tag === 'FuncCall' && callsWritingFunction(node)));
}

const writingTags: ReadonlySet<string> = new Set(['InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt', 'LockingClause', 'IntoClause']);

function callsWritingFunction(call: Node): boolean {
	const names = (call.funcname as ReadonlyArray<{readonly String?: {readonly sval?: string}}> | undefined) ?? [];
	const name = names.at(-1)?.String?.sval ?? '';
	return writingFunctions.test(name);
}

function findNode(value: unknown, matches: (tag: string, node: Node) => boolean): boolean {
	if (Array.isArray(value)) {
		return value.some(item => findNode(item, matches));
	}

	if (typeof value !== 'object' || value === null) {
		return false;
	}

	return Object.entries(value).some(([tag, node]) => {
		const isNode = typeof node === 'object' && node !== null;
		return isNode && (matches(tag, node as Node) || findNode(node, matches));
	});
}

const transactionKinds: Readonly<Record<string, Classification['transaction']>> = {
	TRANS_STMT_BEGIN: 'begin',
	TRANS_STMT_START: 'begin',
	TRANS_STMT_COMMIT: 'commit',
	TRANS_STMT_ROLLBACK: 'rollback',
	TRANS_STMT_SAVEPOINT: 'savepoint',
	TRANS_STMT_RELEASE: 'savepoint',
	TRANS_STMT_ROLLBACK_TO: 'savepoint',
};

function classifyTransaction(body: Node): Partial<Classification> {
	const kind = transactionKinds[String(body.kind)];
	if (!kind) {
		return {unsupported: 'two-phase commit'};
	}

	const isReadOnly = findNode(body.options, (tag, node) => tag === 'DefElem' && setsReadOnly(node));
	if (kind === 'begin' && isReadOnly) {
		return {transaction: 'beginReadOnly', mode: 'read'};
	}

	return {transaction: kind};
}

function setsReadOnly(option: Node): boolean {
	const constant = (option.arg as {readonly A_Const?: {readonly ival?: {readonly ival?: number}}} | undefined)?.A_Const;
	return option.defname === 'transaction_read_only' && constant?.ival?.ival === 1;
}

const proxySettingPrefix = 'crocusloom.';

function classifySet(body: Node): Partial<Classification> {
	const name = (body.name as string | undefined) ?? '';
	if (!name.startsWith(proxySettingPrefix)) {
		return {sessionState: true};
	}

	const values = (body.args as ReadonlyArray<{readonly A_Const?: Node}> | undefined) ?? [];
	const value = values.map(({A_Const: constant}) => constantText(constant)).join(',');
	return {mode: 'read', proxySettings: [{name: name.slice(proxySettingPrefix.length), value}]};
}

function constantText(constant: Node | undefined): string {
	const kinds = [constant?.sval, constant?.ival, constant?.fval] as ReadonlyArray<Readonly<Record<string, string | number>> | undefined>;
	const kind = kinds.find(candidate => candidate !== undefined);
	return String(Object.values(kind ?? {})[0] ?? '');
}
