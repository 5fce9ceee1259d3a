import {type PreparedStatement, type StatementMode} from '@crocusloom/model';
import {
	backend, frontend, buildFrame, cString,
} from '@crocusloom/wire';
import {type ExpectedAnswer} from './answer.js';
import {type Plan} from './plans.js';

/** An exchange as it goes to a backend server. */
export type PlannedExchange = {
	/** Frames for the backend server without the last Sync; empty when the proxy answers everything. */
	readonly frames: readonly Buffer[];
	readonly protocol: 'simple' | 'extended';
	readonly mode: StatementMode;
	readonly plans: readonly Plan[];
	/** True when a statement runs, not only parsed or described. */
	readonly executes: boolean;
	readonly preparedStatements: readonly PreparedStatement[];
	readonly expected: readonly ExpectedAnswer[];
	/** Statements named in this exchange, with the answer that tells the caller so. */
	readonly parsed: ReadonlyArray<{readonly name: string; readonly answer: ExpectedAnswer}>;
	/** True when the backend server's answer must be edited. */
	readonly needsEditing: boolean;
};

export const syncFrame = buildFrame(frontend.sync, Buffer.alloc(0));

const ends = (...types: readonly number[]): ReadonlySet<number> => new Set(types);

/** Frame types that complete the answer to each request. */
export const answerEnds = {
	parse: ends(backend.parseComplete),
	bind: ends(backend.bindComplete),
	close: ends(backend.closeComplete),
	describe: ends(backend.rowDescription, backend.noData),
	execute: ends(backend.commandComplete, backend.emptyQueryResponse, backend.portalSuspended),
	/** Several statements: everything up to ReadyForQuery. */
	rest: ends(),
} as const;

export function hasBegin(plans: readonly Plan[]): boolean {
	return plans.some(({classification: {transaction}}) => transaction === 'begin' || transaction === 'beginReadOnly');
}

/** True when the statements may end an open transaction. */
export function mayEndTransaction(plans: readonly Plan[]): boolean {
	return plans.some(({classification: {transaction, statementCount}}) => transaction === 'commit' || transaction === 'rollback' || statementCount > 1);
}

/** True when one of the texts is just ROLLBACK or COMMIT. */
export function isTransactionEnd(plan: Plan): boolean {
	const {transaction, statementCount} = plan.classification;
	return statementCount === 1 && (transaction === 'commit' || transaction === 'rollback');
}

/**
 * Tells whether a commit may happen.
 * @param isInTransaction - true when a transaction is open before the exchange
 */
export function mayCommit(exchange: PlannedExchange, isInTransaction: boolean): boolean {
	if (!exchange.executes) {
		return false;
	}

	if (isInTransaction) {
		return mayEndTransaction(exchange.plans);
	}

	const isOnlyBegin = exchange.plans.length === 1 && exchange.plans[0]!.classification.statementCount === 1 && hasBegin(exchange.plans);
	return exchange.mode === 'write' && !isOnlyBegin;
}

/**
 * Adds a statement that applies session parameters, local to the transaction, without the caller seeing its answer.
 * It follows BEGIN, because BEGIN may set what must come before the first query, and precedes all else.
 */
export function withParameters(exchange: PlannedExchange, applyText: string): PlannedExchange {
	const isAfter = exchange.plans.length > 0 && exchange.plans[0]!.classification.statementCount === 1 && hasBegin([exchange.plans[0]!]);
	return exchange.protocol === 'simple' ? addToSimple(exchange, applyText, isAfter) : addToExtended(exchange, applyText, isAfter);
}

function addToSimple(exchange: PlannedExchange, applyText: string, isAfter: boolean): PlannedExchange {
	const {text} = exchange.plans[0]!;
	const hidden: ExpectedAnswer = {kind: 'hidden', ends: answerEnds.execute};
	// The line feed ends a comment at the end of the caller's text.
	const joined = isAfter ? `${text}\n;${applyText}` : `${applyText};${text}`;
	return {
		...exchange,
		frames: [buildFrame(frontend.query, cString(joined))],
		expected: isAfter ? [{kind: 'forward', ends: answerEnds.execute}, hidden] : [hidden, {kind: 'forward', ends: answerEnds.rest}],
		needsEditing: true,
	};
}

function addToExtended(exchange: PlannedExchange, applyText: string, isAfter: boolean): PlannedExchange {
	const hidden: readonly ExpectedAnswer[] = [answerEnds.parse, answerEnds.bind, answerEnds.execute, answerEnds.close].map(types => ({kind: 'hidden', ends: types}));
	const frames = executeUnnamed(applyText);
	return {
		...exchange,
		frames: isAfter ? [...exchange.frames, ...frames] : [...frames, ...exchange.frames],
		expected: isAfter ? [...exchange.expected, ...hidden] : [...hidden, ...exchange.expected],
		needsEditing: true,
	};
}

/** Frames that run a text in a portal of the proxy's own, so that the caller's unnamed portal stays open. */
function executeUnnamed(text: string): Buffer[] {
	const portal = cString(ownName);
	return [
		buildFrame(frontend.parse, Buffer.concat([cString(''), cString(text), Buffer.alloc(2)])),
		buildFrame(frontend.bind, Buffer.concat([portal, cString(''), Buffer.alloc(6)])),
		buildFrame(frontend.execute, Buffer.concat([portal, Buffer.alloc(4)])),
		buildFrame(frontend.close, Buffer.concat([Buffer.from('P'), portal])),
	];
}

const ownName = 'crocusloom_parameters';

/** Joins frames into one buffer, without a copy when they are one already. */
export function joinFrames(frames: readonly Buffer[]): Buffer {
	return frames.length === 1 ? frames[0]! : Buffer.concat(frames);
}
