/**
 * What a statement is, as far as the server has to know before it runs it.
 */
import {
	lastName, nodeAt, nodesAt, tagged, visitNodes, valueAt, type Node, type Statement,
} from './ast.js';

/** Kinds of statement by which the server counts. */
export type StatementKind
	= | 'select' | 'insert' | 'update' | 'delete' | 'ddl' | 'transaction' | 'setting' | 'control' | 'other';

const kindOfTag: Readonly<Record<string, StatementKind>> = {
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

/** Functions that take no slot. */
const controlFunctions = /^(?:crocusloom_\w+|pg_current_wal_lsn|pg_last_wal_replay_lsn|pg_is_in_recovery)$/v;

const kinds = new WeakMap<Statement, StatementKind>();

/** Kind of a statement; a SELECT that only calls position or control functions is `control`. */
export function kindOf(statement: Statement): StatementKind {
	const known = kinds.get(statement);
	if (known) {
		return known;
	}

	const kind = isControl(statement) ? 'control' : (kindOfTag[statement.tag] ?? 'other');
	kinds.set(statement, kind);
	return kind;
}

const writingKinds: ReadonlySet<StatementKind> = new Set(['insert', 'update', 'delete', 'ddl']);

/** True if the statement changes data or locks rows. */
export function isWrite(statement: Statement): boolean {
	return writingKinds.has(kindOf(statement)) || statement.body.lockingClause !== undefined;
}

/** Number of parameters that a statement refers to. */
export function parameterCount(statement: Statement): number {
	let count = 0;
	visitNodes({[statement.tag]: statement.body}, (tag, body) => {
		if (tag === 'ParamRef') {
			count = Math.max(count, Number(body.number));
		}
	});
	return count;
}

/** Call of a function in the FROM clause, if the statement selects from one. */
export function fromFunction(select: Node): Node | undefined {
	return nodeAt(select, 'fromClause', 0, 'RangeFunction', 'functions', 0, 'List', 'items', 0, 'FuncCall');
}

function isControl({tag, body}: Statement): boolean {
	if (tag !== 'SelectStmt') {
		return false;
	}

	if (body.fromClause) {
		const call = fromFunction(body);
		return call !== undefined && controlFunctions.test(lastName(nodesAt(call, 'funcname')));
	}

	const targets = nodesAt(body, 'targetList');
	return targets.length > 0 && targets.every(target => {
		const value = tagged(nodeAt(target, 'ResTarget', 'val')!);
		return value.tag === 'FuncCall' && controlFunctions.test(lastName(nodesAt(value.body, 'funcname')));
	});
}

/** True for ROLLBACK. */
export function isRollback({tag, body}: Statement): boolean {
	return tag === 'TransactionStmt' && body.kind === 'TRANS_STMT_ROLLBACK';
}

/** True for COMMIT and ROLLBACK. */
export function endsTransaction(statement: Statement): boolean {
	return isRollback(statement) || statement.body.kind === 'TRANS_STMT_COMMIT';
}

/** True if a BEGIN says READ ONLY. */
export function hasReadOnlyOption(body: Node): boolean {
	let isReadOnly = false;
	visitNodes(body.options, (tag, option) => {
		isReadOnly ||= tag === 'DefElem' && option.defname === 'transaction_read_only' && valueAt(option, 'arg', 'A_Const', 'ival', 'ival') === 1;
	});
	return isReadOnly;
}
