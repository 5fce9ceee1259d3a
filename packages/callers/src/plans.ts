import {classify, type Classification} from '@crocusloom/wire';
import {
	readLocalCommands, splitStatements, withoutLiterals, type LocalCommand,
} from './localCommands.js';

/** What the proxy does with a statement text. */
export type Plan = {
	readonly text: string;
	readonly classification: Classification;
	/** Commands that the proxy answers itself; undefined when the text goes to a backend server. */
	readonly commands?: readonly LocalCommand[];
	/** Why transaction pooling cannot serve the text. */
	readonly refusedBecause?: string;
};

/** Texts whose plan is kept. */
const maximumPlans = 10_000;
/** Texts longer than this are planned each time, so that the cache stays small. */
const maximumCachedTextLength = 4096;
const plans = new Map<string, Plan>();

/**
 * Plans a statement text; `loadClassifier` must have resolved before.
 * @param text - one or more statements
 */
export function planOf(text: string): Plan {
	const known = plans.get(text);
	if (known) {
		return known;
	}

	const plan = makePlan(text);
	if (text.length <= maximumCachedTextLength) {
		if (plans.size >= maximumPlans) {
			plans.delete(plans.keys().next().value!);
		}

		plans.set(text, plan);
	}

	return plan;
}

/**
 * Texts that leave state on the backend connection beyond the transaction, with the advice to the caller.
 * Repetitions are bounded where a pattern may start at many places, so that a long text cannot take quadratic time.
 */
const leavingState: ReadonlyArray<readonly [RegExp, string]> = [
	[/\bset_config\s*\([^;]{0,200},\s*(?:false|'(?:f|false|n|no|off|0)'|\$\d+)\s*\)/iv, 'set_config for the session; use SET LOCAL or set_config(…, true)'],
	[/\bpg_(?:try_)?advisory_(?:un)?lock(?:_shared|_all)?\s*\(/iv, 'a session-level advisory lock; use pg_advisory_xact_lock'],
	[/^\s*create\s+(?:(?:global|local)\s+)?temp(?:orary)?\s+(?!.*\bon\s+commit\s+drop\b)/isv, 'a temporary table without ON COMMIT DROP'],
	[/^\s*declare\b.*\bwith\s+hold\b/isv, 'a cursor WITH HOLD'],
];

/** Statements that set state, and those of them that a transaction keeps to itself. */
const settingState = /^(?:set|reset|discard|deallocate)\b/iv;
const transactionLocal = /^set\s+(?:local|transaction|constraints)\b/iv;

function makePlan(text: string): Plan {
	const classification = classify(text);
	if (classification.unsupported) {
		return {text, classification, refusedBecause: classification.unsupported};
	}

	const bareText = withoutLiterals(text);
	const state = leavingState.find(([pattern]) => pattern.test(bareText));
	if (state) {
		return {text, classification, refusedBecause: state[1]};
	}

	const isLocal = classification.sessionState || classification.proxySettings.length > 0;
	return isLocal && !isTransactionLocal(text) ? planLocal(text, classification) : {text, classification};
}

function isTransactionLocal(text: string): boolean {
	const setting = splitStatements(text).filter(part => settingState.test(part));
	return setting.length > 0 && setting.every(part => transactionLocal.test(part));
}

function planLocal(text: string, classification: Classification): Plan {
	const commands = readLocalCommands(text, classification.statementCount);
	if (commands) {
		return {text, classification, commands};
	}

	// SHOW of a parameter that the backend server answers.
	return classification.mode === 'read' && classification.proxySettings.length === 0
		? {text, classification}
		: {text, classification, refusedBecause: 'this session setting; use SET LOCAL inside a transaction, and one statement a message'};
}
