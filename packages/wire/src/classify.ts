/**
 * Classifies SQL statements, so that reads can be routed to replicas and commits can wait for a majority.
 */
import {loadModule, parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {type StatementMode} from '@crocusloom/model';

/** A `SET crocusloom.name = value` statement, which the proxy executes itself. */
export type ProxySetting = {readonly name: string; readonly value: string};

/** A transaction control command. The names of savepoints are as PostgreSQL reads them. */
export type TransactionCommand
	= | {readonly kind: 'begin'}
		| {readonly kind: 'commit'; readonly isChained: boolean}
		| {readonly kind: 'rollback'; readonly isChained: boolean}
		| {readonly kind: 'savepoint'; readonly savepoint: string}
		| {readonly kind: 'release'; readonly savepoint: string}
		| {readonly kind: 'rollbackTo'; readonly savepoint: string};

/** Properties of a statement text that decide how it is routed. */
export type Classification = {
	readonly mode: StatementMode;
	/** First transaction control command in the text; `none` if there is none. */
	readonly transaction: 'none' | 'begin' | 'beginReadOnly' | 'commit' | 'rollback' | 'savepoint';
	/** All transaction control commands of the text, in order. */
	readonly transactionCommands: readonly TransactionCommand[];
	readonly statementCount: number;
	readonly proxySettings: readonly ProxySetting[];
	/** True if the text sets or shows session state of the backend connection. */
	readonly usesSessionState: boolean;
	/** Feature that the text uses and a pooled connection cannot support, for example COPY or LISTEN. */
	readonly unsupportedFeature?: string;
};

/** A node of the parse tree of libpg-query. */
type ParseNode = Readonly<Record<string, unknown>>;

/** Capacity of the classification cache. Caching saves the 30 to 70 microseconds that it takes to parse a text. */
const maximumCachedTexts = 10_000;
/** Length in characters above which a text is not cached, to bound the memory that the cache uses. */
const maximumCachedTextLength = 4096;

const classificationCache = new LRUCache<string, Classification>({max: maximumCachedTexts});

/** Loads the parser. The returned promise must resolve before `classify` is called. */
export async function loadClassifier(): Promise<void> {
	await loadModule();
}

/**
 * Classifies a statement text. A text that does not parse counts as a write, so that the primary reports the error.
 * @param text - one or more statements
 */
export function classify(text: string): Classification {
	const cached = classificationCache.get(text);
	if (cached) {
		return cached;
	}

	const classification = classifyUncached(text);
	if (text.length <= maximumCachedTextLength) {
		classificationCache.set(text, classification);
	}

	return classification;
}

const defaultClassification: Classification = {
	mode: 'write', transaction: 'none', transactionCommands: [], statementCount: 1, proxySettings: [], usesSessionState: false,
};

function classifyUncached(text: string): Classification {
	if (text.trim() === '') {
		return {...defaultClassification, mode: 'read', statementCount: 0};
	}

	let statements: readonly ParseNode[];
	try {
		const parsed = parseSync(text) as {readonly stmts?: ReadonlyArray<{readonly stmt: ParseNode}>};
		statements = (parsed.stmts ?? []).map(({stmt}) => stmt);
	} catch {
		return defaultClassification;
	}

	if (statements.length === 0) {
		return {...defaultClassification, mode: 'read', statementCount: 0};
	}

	const mayChangeLiteralRule = literalRulePattern.test(text);
	const classifications = statements.map(statement => ({
		...classifyStatement(statement),
		...(mayChangeLiteralRule && changesLiteralRule(statement) && changedLiteralRule),
	}));
	if (classifications.length === 1) {
		return classifications[0]!;
	}

	return {
		mode: classifications.every(classification => classification.mode === 'read') ? 'read' : 'write',
		transaction: classifications.find(classification => classification.transaction !== 'none')?.transaction ?? 'none',
		transactionCommands: classifications.flatMap(classification => classification.transactionCommands),
		statementCount: classifications.length,
		proxySettings: classifications.flatMap(classification => classification.proxySettings),
		usesSessionState: classifications.some(classification => classification.usesSessionState),
		unsupportedFeature: classifications.find(classification => classification.unsupportedFeature)?.unsupportedFeature,
	};
}

function classifyStatement(statement: ParseNode): Classification {
	const [nodeType, body] = Object.entries(statement)[0] as [string, ParseNode];
	const classifyBody = statementClassifiers[nodeType];
	return {...defaultClassification, ...classifyBody?.(body)};
}

/** Parameter by which a server reads backslashes in literals. The parser assumes its default, on. */
const literalRuleParameter = 'standard_conforming_strings';
const literalRulePattern = new RegExp(literalRuleParameter, 'iv');
const trueValuePattern = /^(?:on|true|yes|1)$/iv;
const changedLiteralRule: Partial<Classification> = {unsupportedFeature: `${literalRuleParameter} other than on`};

/** Returns whether a statement makes the server read later literals by other rules than the parser, which could not see where they end. */
function changesLiteralRule(statement: ParseNode): boolean {
	return hasNode(statement, (nodeType, node) => {
		if (nodeType === 'VariableSetStmt') {
			return node.kind === 'VAR_SET_VALUE' && isOtherLiteralRule([node.name, ...readConstants(node.args)]);
		}

		return nodeType === 'FuncCall' && functionNameOf(node) === 'set_config' && isOtherLiteralRule(readConstants(node.args));
	});
}

function isOtherLiteralRule([name, value]: readonly unknown[]): boolean {
	return String(name).toLowerCase() === literalRuleParameter && !trueValuePattern.test(String(value));
}

function readConstants(nodes: unknown): readonly string[] {
	return (nodes as ReadonlyArray<{readonly A_Const?: ParseNode}> | undefined ?? []).map(({A_Const: constant}) => constantToText(constant));
}

const statementClassifiers: Readonly<Record<string, (body: ParseNode) => Partial<Classification>>> = {
	SelectStmt: body => ({mode: isReadOnlySelect(body) ? 'read' : 'write'}),
	VariableShowStmt: () => ({mode: 'read', usesSessionState: true}),
	VariableSetStmt: classifySet,
	ExplainStmt: body => ({mode: Object.hasOwn(body.query as ParseNode, 'SelectStmt') ? 'read' : 'write'}),
	TransactionStmt: classifyTransaction,
	CopyStmt: () => ({unsupportedFeature: 'COPY'}),
	ListenStmt: () => ({unsupportedFeature: 'LISTEN'}),
	UnlistenStmt: () => ({unsupportedFeature: 'UNLISTEN'}),
	PrepareStmt: () => ({unsupportedFeature: 'SQL-level PREPARE'}),
	ExecuteStmt: () => ({unsupportedFeature: 'SQL-level EXECUTE'}),
	DeallocateStmt: () => ({usesSessionState: true}),
	DiscardStmt: () => ({usesSessionState: true}),
	DeclareCursorStmt: () => ({mode: 'read'}),
};

/** Matches functions that change state when a SELECT calls them. */
const writingFunctionPattern = /^(?:nextval|setval|lo_|pg_advisory|pg_try_advisory|crocusloom_|txid_current$|pg_current_xact_id$)/v;

function isReadOnlySelect(body: ParseNode): boolean {
	if (body.lockingClause ?? body.intoClause) {
		return false;
	}

	return !hasNode(body, (nodeType, node) => writingNodeTypes.has(nodeType) || (nodeType === 'FuncCall' && callsWritingFunction(node)));
}

const writingNodeTypes: ReadonlySet<string> = new Set(['InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt', 'LockingClause', 'IntoClause']);

function callsWritingFunction(call: ParseNode): boolean {
	return writingFunctionPattern.test(functionNameOf(call));
}

/** Returns the name of a function without its schema. */
function functionNameOf(call: ParseNode): string {
	const nameParts = (call.funcname as ReadonlyArray<{readonly String?: {readonly sval?: string}}> | undefined) ?? [];
	return nameParts.at(-1)?.String?.sval ?? '';
}

/** Returns whether a part of the parse tree contains a node that matches. */
function hasNode(value: unknown, matches: (nodeType: string, node: ParseNode) => boolean): boolean {
	if (Array.isArray(value)) {
		return value.some(item => hasNode(item, matches));
	}

	if (typeof value !== 'object' || value === null) {
		return false;
	}

	return Object.entries(value).some(([nodeType, node]) => {
		const isNode = typeof node === 'object' && node !== null;
		return isNode && (matches(nodeType, node as ParseNode) || hasNode(node, matches));
	});
}

const transactionByStatementKind: Readonly<Record<string, Classification['transaction']>> = {
	TRANS_STMT_BEGIN: 'begin',
	TRANS_STMT_START: 'begin',
	TRANS_STMT_COMMIT: 'commit',
	TRANS_STMT_ROLLBACK: 'rollback',
	TRANS_STMT_SAVEPOINT: 'savepoint',
	TRANS_STMT_RELEASE: 'savepoint',
	TRANS_STMT_ROLLBACK_TO: 'savepoint',
};

function endCommandOf(kind: 'commit' | 'rollback'): (body: ParseNode) => TransactionCommand {
	return body => ({kind, isChained: body.chain === true});
}

function savepointCommandOf(kind: 'savepoint' | 'release' | 'rollbackTo'): (body: ParseNode) => TransactionCommand {
	return body => ({kind, savepoint: body.savepoint_name as string});
}

const commandByStatementKind: Readonly<Record<string, (body: ParseNode) => TransactionCommand>> = {
	TRANS_STMT_BEGIN: () => ({kind: 'begin'}),
	TRANS_STMT_START: () => ({kind: 'begin'}),
	TRANS_STMT_COMMIT: endCommandOf('commit'),
	TRANS_STMT_ROLLBACK: endCommandOf('rollback'),
	TRANS_STMT_SAVEPOINT: savepointCommandOf('savepoint'),
	TRANS_STMT_RELEASE: savepointCommandOf('release'),
	TRANS_STMT_ROLLBACK_TO: savepointCommandOf('rollbackTo'),
};

function classifyTransaction(body: ParseNode): Partial<Classification> {
	const transaction = transactionByStatementKind[String(body.kind)];
	if (!transaction) {
		return {unsupportedFeature: 'two-phase commit'};
	}

	const transactionCommands = [commandByStatementKind[String(body.kind)]!(body)];
	const isReadOnly = hasNode(body.options, (nodeType, node) => nodeType === 'DefElem' && isReadOnlyOption(node));
	if (transaction === 'begin' && isReadOnly) {
		return {transaction: 'beginReadOnly', transactionCommands, mode: 'read'};
	}

	return {transaction, transactionCommands};
}

function isReadOnlyOption(option: ParseNode): boolean {
	const constant = (option.arg as {readonly A_Const?: {readonly ival?: {readonly ival?: number}}} | undefined)?.A_Const;
	return option.defname === 'transaction_read_only' && constant?.ival?.ival === 1;
}

const proxySettingPrefix = 'crocusloom.';

function classifySet(body: ParseNode): Partial<Classification> {
	const name = (body.name as string | undefined) ?? '';
	if (!name.startsWith(proxySettingPrefix)) {
		return {usesSessionState: true};
	}

	const value = readConstants(body.args).join(',');
	return {mode: 'read', proxySettings: [{name: name.slice(proxySettingPrefix.length), value}]};
}

function constantToText(constant: ParseNode | undefined): string {
	const valueNodes = [constant?.sval, constant?.ival, constant?.fval] as ReadonlyArray<Readonly<Record<string, string | number>> | undefined>;
	const valueNode = valueNodes.find(candidate => candidate !== undefined);
	return String(Object.values(valueNode ?? {})[0] ?? '');
}
