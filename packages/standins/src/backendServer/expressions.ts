/**
 * Evaluation of scalar expressions.
 */
import {
	unqualifiedName, nodeAt, nodesAt, unwrapNode, textAt, valueAt, type Node,
} from './ast.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {
	coerce, columnTypeOf, compareValues, toText, type Value,
} from './values.js';

export type Row = Readonly<Record<string, Value>>;

/** Names and values that an expression can refer to. */
export type Scope = {
	readonly row?: Row;
	readonly parameters: readonly Value[];
	/** Calls a function that depends on the server; undefined if there is none of that name. */
	readonly callFunction: (name: string, values: readonly Value[]) => Value | undefined;
};

/**
 * Evaluates an expression.
 * @throws SqlError 42703 or 42883 for an unknown column or function, 0A000 for an unsupported expression
 */
export function evaluate(node: Node, scope: Scope): Value {
	const {tag, body} = unwrapNode(node);
	const evaluator = evaluators[tag];
	if (!evaluator) {
		throw new SqlError(serverSqlStates.featureNotSupported, `expressions of kind ${tag} are not supported`);
	}

	return evaluator(body, scope);
}

/** Checks whether a condition is true for a row. A missing condition is true; null is not. */
export function isConditionTrue(condition: Node | undefined, scope: Scope): boolean {
	return condition === undefined || evaluate(condition, scope) === true;
}

const evaluators: Readonly<Record<string, (body: Node, scope: Scope) => Value>> = {
	A_Const: evaluateConstant,
	ColumnRef: evaluateColumn,
	ParamRef: (body, scope) => scope.parameters[Number(body.number) - 1] ?? null,
	TypeCast: (body, scope) => coerce(evaluate(nodeAt(body, 'arg')!, scope), columnTypeOf(unqualifiedName(nodesAt(body, 'typeName', 'names')))),
	NullTest: (body, scope) => (evaluate(nodeAt(body, 'arg')!, scope) === null) === (body.nulltesttype === 'IS_NULL'),
	BoolExpr: evaluateBoolean,
	A_Expr: evaluateOperator,
	FuncCall: evaluateFunctionCall,
	CoalesceExpr: (body, scope) => nodesAt(body, 'args').map(arg => evaluate(arg, scope)).find(value => value !== null) ?? null,
	SQLValueFunction: () => new Date().toISOString(),
};

function evaluateConstant(body: Node): Value {
	if (body.ival) {
		return Number(valueAt(body, 'ival', 'ival') ?? 0);
	}

	if (body.fval) {
		return Number(valueAt(body, 'fval', 'fval'));
	}

	if (body.boolval) {
		return Boolean(valueAt(body, 'boolval', 'boolval'));
	}

	return body.sval ? textAt(body, 'sval', 'sval') : null;
}

function evaluateColumn(body: Node, scope: Scope): Value {
	const name = unqualifiedName(nodesAt(body, 'fields'));
	const value = scope.row?.[name];
	if (value === undefined) {
		throw new SqlError(serverSqlStates.undefinedColumn, `column "${name}" does not exist`);
	}

	return value;
}

function evaluateBoolean(body: Node, scope: Scope): Value {
	const args = nodesAt(body, 'args');
	if (body.boolop === 'NOT_EXPR') {
		const value = evaluate(args[0]!, scope);
		return value === null ? null : !value;
	}

	const shortCircuitValue = body.boolop === 'OR_EXPR';
	let hasNull = false;
	for (const arg of args) {
		const value = evaluate(arg, scope);
		if (value === shortCircuitValue) {
			return shortCircuitValue;
		}

		hasNull ||= value === null;
	}

	return hasNull ? null : !shortCircuitValue;
}

const comparisonOperators: Readonly<Record<string, (order: number) => boolean>> = {
	'=': order => order === 0,
	'<>': order => order !== 0,
	'<': order => order < 0,
	'>': order => order > 0,
	'<=': order => order <= 0,
	'>=': order => order >= 0,
};

const arithmeticOperators: Readonly<Record<string, (left: number, right: number) => number>> = {
	'+': (left, right) => left + right,
	'-': (left, right) => left - right,
	'*': (left, right) => left * right,
	'/': divide,
	'%': (left, right) => left % right,
};

function divide(left: number, right: number): number {
	if (right === 0) {
		throw new SqlError(serverSqlStates.divisionByZero, 'division by zero');
	}

	return Math.trunc(left / right);
}

function evaluateOperator(body: Node, scope: Scope): Value {
	const operator = unqualifiedName(nodesAt(body, 'name'));
	const left = body.lexpr ? evaluate(nodeAt(body, 'lexpr')!, scope) : 0;
	if (body.kind === 'AEXPR_IN') {
		const items = nodesAt(body, 'rexpr', 'List', 'items');
		const isInList = items.some(item => compareValues(left, evaluate(item, scope)) === 0);
		return isInList === (operator === '=');
	}

	const right = evaluate(nodeAt(body, 'rexpr')!, scope);
	if (left === null || right === null) {
		return null;
	}

	if (operator === '||') {
		return `${toText(left)}${toText(right)}`;
	}

	const compare = comparisonOperators[operator];
	if (compare) {
		return compare(compareValues(left, right)!);
	}

	const calculate = arithmeticOperators[operator];
	if (!calculate) {
		throw new SqlError(serverSqlStates.featureNotSupported, `operator ${operator} is not supported`);
	}

	return calculate(Number(left), Number(right));
}

const scalarFunctions: Readonly<Record<string, (values: readonly Value[]) => Value>> = {
	now: () => new Date().toISOString(),
	clock_timestamp: () => new Date().toISOString(),
	version: () => 'PostgreSQL 16.0 (crocusloom stand-in)',
	current_schema: () => 'public',
	lower: ([value]) => toText(value ?? null)?.toLowerCase() ?? null,
	upper: ([value]) => toText(value ?? null)?.toUpperCase() ?? null,
	length: ([value]) => toText(value ?? null)?.length ?? null,
};

function evaluateFunctionCall(body: Node, scope: Scope): Value {
	const name = unqualifiedName(nodesAt(body, 'funcname'));
	const values = nodesAt(body, 'args').map(arg => evaluate(arg, scope));
	const value = Object.hasOwn(scalarFunctions, name) ? scalarFunctions[name]!(values) : scope.callFunction(name, values);
	if (value === undefined) {
		throw new SqlError(serverSqlStates.undefinedFunction, `function ${name} does not exist`);
	}

	return value;
}
