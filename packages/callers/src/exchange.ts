import {type PreparedStatement, type StatementMode} from '@crocusloom/model';
import {
	backendTypes, frontendTypes, buildFrame, cString,
} from '@crocusloom/wire';
import {type StatementPlan} from './plans.js';
import {type ExpectedResponse} from './response.js';
import {type TransactionStep} from './transactionParameters.js';

/** An exchange in the form in which it is sent to a backend server. */
export type PlannedExchange = {
	/** Frames for the backend server, without the final Sync. Empty if the proxy handles all messages itself. */
	readonly frames: readonly Buffer[];
	readonly protocol: 'simple' | 'extended';
	readonly mode: StatementMode;
	readonly plans: readonly StatementPlan[];
	/** Transaction control commands that are executed, in order. */
	readonly transactionSteps: readonly TransactionStep[];
	/** True if a statement is executed, not only parsed or described. */
	readonly hasExecution: boolean;
	readonly preparedStatements: readonly PreparedStatement[];
	readonly expectedResponses: readonly ExpectedResponse[];
	/** Named statements that this exchange adds to the session, with the response that confirms each to the caller. */
	readonly newStatements: ReadonlyArray<{readonly name: string; readonly response: ExpectedResponse}>;
	/** True if the response of the backend server has to be edited. */
	readonly needsResponseEditing: boolean;
};

/** Name of the portal in which server parameters are applied. Callers cannot use it. */
export const parametersPortalName = 'crocusloom_parameters';

export const syncFrame = buildFrame(frontendTypes.sync, Buffer.alloc(0));

const frameTypes = (...types: readonly number[]): ReadonlySet<number> => new Set(types);

/** Frame types that complete the response to each kind of message. */
export const responseEndTypes = {
	parse: frameTypes(backendTypes.parseComplete),
	bind: frameTypes(backendTypes.bindComplete),
	close: frameTypes(backendTypes.closeComplete),
	describe: frameTypes(backendTypes.rowDescription, backendTypes.noData),
	execute: frameTypes(backendTypes.commandComplete, backendTypes.emptyQueryResponse, backendTypes.portalSuspended),
	/** A simple query can contain several statements, so its response extends to ReadyForQuery. */
	simpleQuery: frameTypes(),
} as const;

/** Returns true if one of the texts begins a transaction. */
export function hasBegin(plans: readonly StatementPlan[]): boolean {
	return plans.some(({classification: {transaction}}) => transaction === 'begin' || transaction === 'beginReadOnly');
}

/** Returns true if the statements may end an open transaction. */
export function mayEndTransaction(plans: readonly StatementPlan[]): boolean {
	return plans.some(({classification: {transaction, statementCount}}) => transaction === 'commit' || transaction === 'rollback' || statementCount > 1);
}

/** Returns true if the text is a single COMMIT or ROLLBACK. */
export function isTransactionEnd(plan: StatementPlan): boolean {
	const {transaction, statementCount} = plan.classification;
	return statementCount === 1 && (transaction === 'commit' || transaction === 'rollback');
}

/**
 * Returns true if the exchange may commit.
 * @param isInTransaction - true if a transaction is open before the exchange
 */
export function mayCommit(exchange: PlannedExchange, isInTransaction: boolean): boolean {
	if (!exchange.hasExecution) {
		return false;
	}

	if (isInTransaction) {
		return mayEndTransaction(exchange.plans);
	}

	const isBeginOnly = exchange.plans.length === 1 && exchange.plans[0]!.classification.statementCount === 1 && hasBegin(exchange.plans);
	return exchange.mode === 'write' && !isBeginOnly;
}

/**
 * Adds a statement that applies the server parameters of the session until the end of the transaction. The caller does not receive its
 * response. The statement is inserted before all others, except that it follows a BEGIN, whose transaction modes must be set before
 * the first query.
 */
export function withServerParameters(exchange: PlannedExchange, setConfigText: string): PlannedExchange {
	const isAfterBegin = exchange.plans.length > 0 && exchange.plans[0]!.classification.statementCount === 1 && hasBegin([exchange.plans[0]!]);
	return exchange.protocol === 'simple' ? addToSimpleQuery(exchange, setConfigText, isAfterBegin) : addToExtendedQuery(exchange, setConfigText, isAfterBegin);
}

function addToSimpleQuery(exchange: PlannedExchange, setConfigText: string, isAfterBegin: boolean): PlannedExchange {
	const {text} = exchange.plans[0]!;
	const hiddenResponse: ExpectedResponse = {kind: 'hidden', endTypes: responseEndTypes.execute};
	// The line feed terminates a `--` comment at the end of the caller's text.
	const combinedText = isAfterBegin ? `${text}\n;${setConfigText}` : `${setConfigText};${text}`;
	return {
		...exchange,
		frames: [buildFrame(frontendTypes.query, cString(combinedText))],
		expectedResponses: isAfterBegin ? [{kind: 'forward', endTypes: responseEndTypes.execute}, hiddenResponse] : [hiddenResponse, {kind: 'forward', endTypes: responseEndTypes.simpleQuery}],
		needsResponseEditing: true,
	};
}

function addToExtendedQuery(exchange: PlannedExchange, setConfigText: string, isAfterBegin: boolean): PlannedExchange {
	const hiddenResponses: readonly ExpectedResponse[] = [
		responseEndTypes.parse, responseEndTypes.bind, responseEndTypes.execute, responseEndTypes.close,
	].map(endTypes => ({kind: 'hidden', endTypes}));
	const setConfigFrames = buildExecuteFrames(setConfigText);
	return {
		...exchange,
		frames: isAfterBegin ? [...exchange.frames, ...setConfigFrames] : [...setConfigFrames, ...exchange.frames],
		expectedResponses: isAfterBegin ? [...exchange.expectedResponses, ...hiddenResponses] : [...hiddenResponses, ...exchange.expectedResponses],
		needsResponseEditing: true,
	};
}

/** Builds the frames that execute a text in a portal with a reserved name, so that the unnamed portal of the caller stays open. */
function buildExecuteFrames(text: string): Buffer[] {
	const portal = cString(parametersPortalName);
	return [
		buildFrame(frontendTypes.parse, Buffer.concat([cString(''), cString(text), Buffer.alloc(2)])),
		buildFrame(frontendTypes.bind, Buffer.concat([portal, cString(''), Buffer.alloc(6)])),
		buildFrame(frontendTypes.execute, Buffer.concat([portal, Buffer.alloc(4)])),
		buildFrame(frontendTypes.close, Buffer.concat([Buffer.from('P'), portal])),
	];
}

/** Concatenates frames. A single frame is returned without a copy. */
export function concatFrames(frames: readonly Buffer[]): Buffer {
	return frames.length === 1 ? frames[0]! : Buffer.concat(frames);
}
