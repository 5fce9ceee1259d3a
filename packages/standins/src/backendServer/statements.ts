/**
 * Classification of statements before they run.
 */
import {
	unqualifiedName, nodeAt, nodesAt, unwrapNode, visitNodes, valueAt, type Node, type Statement,
} from './ast.js';

/** Kinds of statements that counters and fault settings distinguish. */
export type StatementKind
	= | 'select' | 'insert' | 'update' | 'delete' | 'ddl' | 'transaction' | 'setting' | 'control' | 'other';

const kindsByTag: Readonly<Record<string, StatementKind>> = {
	SelectStmt: 'select',
	InsertStmt: 'insert',
	UpdateStmt: 'update',
	DeleteStmt: 'delete',
	CreateStmt: 'ddl',
	DropStmt: 'ddl',
	TransactionStmt: 'transaction',
	VariableSetStmt: 'setting',
	VariableShowStmt: 'setting',
	DiscardStmt: 'setting',
	DeallocateStmt: 'setting',
};

/** Position and control functions, which run without a slot. */
const controlFunctions = /^(?:crocusloom_\w+|pg_current_wal_lsn|pg_last_wal_replay_lsn|pg_is_in_recovery)$/v;

const kindCache = new WeakMap<Statement, StatementKind>();

/** Returns the kind of a statement. A SELECT that only calls position or control functions is `control`. */
export function statementKind(statement: Statement): StatementKind {
	const cached = kindCache.get(statement);
	if (cached) {
		return cached;
	}

	const kind = isControlSelect(statement) ? 'control' : (kindsByTag[statement.tag] ?? 'other');
	kindCache.set(statement, kind);
	return kind;
}

const writingKinds: ReadonlySet<StatementKind> = new Set(['insert', 'update', 'delete', 'ddl']);

/** Checks whether a statement changes data or locks rows. */
export function isWrite(statement: Statement): boolean {
	return writingKinds.has(statementKind(statement)) || statement.body.lockingClause !== undefined;
}

/** Returns the number of parameters of a statement: the highest `$n` that it refers to. */
export function parameterCount(statement: Statement): number {
	let count = 0;
	visitNodes({[statement.tag]: statement.body}, (tag, body) => {
		if (tag === 'ParamRef') {
			count = Math.max(count, Number(body.number));
		}
	});
	return count;
}

/** Returns the function call in the FROM clause of a SELECT; undefined if there is none. */
export function findFromFunction(select: Node): Node | undefined {
	return nodeAt(select, 'fromClause', 0, 'RangeFunction', 'functions', 0, 'List', 'items', 0, 'FuncCall');
}

function isControlSelect({tag, body}: Statement): boolean {
	if (tag !== 'SelectStmt') {
		return false;
	}

	if (body.fromClause) {
		const call = findFromFunction(body);
		return call !== undefined && controlFunctions.test(unqualifiedName(nodesAt(call, 'funcname')));
	}

	const targets = nodesAt(body, 'targetList');
	return targets.length > 0 && targets.every(target => {
		const value = unwrapNode(nodeAt(target, 'ResTarget', 'val')!);
		return value.tag === 'FuncCall' && controlFunctions.test(unqualifiedName(nodesAt(value.body, 'funcname')));
	});
}

/** Checks whether a statement is ROLLBACK. */
export function isRollback({tag, body}: Statement): boolean {
	return tag === 'TransactionStmt' && body.kind === 'TRANS_STMT_ROLLBACK';
}

/** Checks whether a statement is COMMIT or ROLLBACK. */
export function endsTransaction(statement: Statement): boolean {
	return isRollback(statement) || statement.body.kind === 'TRANS_STMT_COMMIT';
}

/** Checks whether a BEGIN has the option READ ONLY. */
export function hasReadOnlyOption(body: Node): boolean {
	let isReadOnly = false;
	visitNodes(body.options, (tag, option) => {
		isReadOnly ||= tag === 'DefElem' && option.defname === 'transaction_read_only' && valueAt(option, 'arg', 'A_Const', 'ival', 'ival') === 1;
	});
	return isReadOnly;
}
