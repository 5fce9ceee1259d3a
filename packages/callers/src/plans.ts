import {classify, type Classification} from '@crocusloom/wire';
import {
	parseLocalCommands, splitStatements, withoutLiterals, type LocalCommand,
} from './localCommands.js';

/** How the proxy handles a statement text. */
export type StatementPlan = {
	readonly text: string;
	readonly classification: Classification;
	/** Commands that the proxy handles itself; undefined if the text is sent to a backend server. */
	readonly localCommands?: readonly LocalCommand[];
	/** Feature that transaction pooling does not support, if the text is refused. Completes the error message. */
	readonly refusalReason?: string;
};

/** Maximum number of cached plans. */
const maximumCachedPlans = 10_000;
/** Plans of longer texts are not cached, which bounds the size of the cache. */
const maximumCachedTextLength = 4096;
const planCache = new Map<string, StatementPlan>();

/**
 * Plans a statement text. `loadClassifier` must have resolved before.
 * @param text - one or more statements
 */
export function planStatement(text: string): StatementPlan {
	const cachedPlan = planCache.get(text);
	if (cachedPlan) {
		return cachedPlan;
	}

	const plan = createPlan(text);
	if (text.length <= maximumCachedTextLength) {
		if (planCache.size >= maximumCachedPlans) {
			planCache.delete(planCache.keys().next().value!);
		}

		planCache.set(text, plan);
	}

	return plan;
}

/**
 * Patterns of statements that leave state on the backend connection after the transaction, with the text for the error message.
 * Repetitions are bounded if a pattern can match at many positions, so that a long text cannot take quadratic time.
 */
const leakedStatePatterns: ReadonlyArray<readonly [RegExp, string]> = [
	[/\bset_config\s*\([^;]{0,200},\s*(?:false|'(?:f|false|n|no|off|0)'|\$\d+)\s*\)/iv, 'set_config for the session; use SET LOCAL or set_config(…, true)'],
	[/\bpg_(?:try_)?advisory_(?:un)?lock(?:_shared|_all)?\s*\(/iv, 'a session-level advisory lock; use pg_advisory_xact_lock'],
	[/^\s*create\s+(?:(?:global|local)\s+)?temp(?:orary)?\s+(?!.*\bon\s+commit\s+drop\b)/isv, 'a temporary table without ON COMMIT DROP'],
	[/^\s*declare\b.*\bwith\s+hold\b/isv, 'a cursor WITH HOLD'],
];

/** Statements that change session state, and those of them whose effect ends with the transaction. */
const stateStatementPattern = /^(?:set|reset|discard|deallocate)\b/iv;
const transactionLocalPattern = /^set\s+(?:local|transaction|constraints)\b/iv;

function createPlan(text: string): StatementPlan {
	const classification = classify(text);
	if (classification.unsupportedFeature) {
		return {text, classification, refusalReason: classification.unsupportedFeature};
	}

	const bareText = withoutLiterals(text);
	const leakedState = leakedStatePatterns.find(([pattern]) => pattern.test(bareText));
	if (leakedState) {
		return {text, classification, refusalReason: leakedState[1]};
	}

	const isSessionStatement = classification.usesSessionState || classification.proxySettings.length > 0;
	return isSessionStatement && !isTransactionLocal(text) ? planSessionStatement(text, classification) : {text, classification};
}

function isTransactionLocal(text: string): boolean {
	const stateStatements = splitStatements(text).filter(part => stateStatementPattern.test(part));
	return stateStatements.length > 0 && stateStatements.every(part => transactionLocalPattern.test(part));
}

function planSessionStatement(text: string, classification: Classification): StatementPlan {
	const localCommands = parseLocalCommands(text, classification.statementCount);
	if (localCommands) {
		return {text, classification, localCommands};
	}

	// A read, such as SHOW of a server parameter, leaves no state and is sent to the backend server.
	return classification.mode === 'read' && classification.proxySettings.length === 0
		? {text, classification}
		: {text, classification, refusalReason: 'this session setting; use SET LOCAL inside a transaction, and one statement per message'};
}
