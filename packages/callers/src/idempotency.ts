/**
 * Idempotency keys. The key and the response are recorded in the same database transaction as the write.
 */
import {
	FailureError, sqlStates, type Clock, type ExchangeResult, type FrameSink, type WorkIntent,
} from '@crocusloom/model';
import {
	backendTypes, buildFrame, cString, readErrorField, FrameReader, frontendTypes, quoteLiteral, readDataRow, type Frame,
} from '@crocusloom/wire';
import {callerSqlStates, protocolError, toCallerFailure} from './errors.js';
import {hasBegin, responseEndTypes, type PlannedExchange} from './exchange.js';
import {CapturedResponse, type ResponseEditor} from './response.js';
import {type SessionUnitOfWork} from './sessionUnitOfWork.js';

/** Maximum size of a recorded response, which keeps the table small. */
const maximumRecordedBytes = 64 * 1024;
/** Maximum number of attempts at one write, including the first. */
const maximumAttempts = 3;

/** State of the session that a statement with an idempotency key uses. */
export type IdempotencyContext = {
	readonly key: string;
	readonly peer: string;
	readonly unitOfWork: SessionUnitOfWork;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Creates the intent of the write. Its wait limit also limits the total time of all attempts. */
	readonly createIntent: () => WorkIntent;
	readonly createEditor: () => ResponseEditor | undefined;
};

/** Response frames without ReadyForQuery, and the result of the last exchange. */
export type IdempotentResponse = {readonly frames: Buffer; readonly result: ExchangeResult};

const noPreparedStatements = {preparedStatements: []} as const;
const queryFrame = (text: string): Buffer => buildFrame(frontendTypes.query, cString(text));
const discardFrames: FrameSink = () => undefined;

/**
 * Returns how an exchange uses an idempotency key: it is the write itself, it begins the transaction, or it does not use the key.
 * `mixed` is any other exchange that contains transaction control.
 */
export function keyUseOf(exchange: PlannedExchange): 'write' | 'begin' | 'none' | 'mixed' {
	if (!exchange.hasExecution || exchange.mode === 'read') {
		return 'none';
	}

	if (exchange.plans.every(({classification}) => classification.transaction === 'none')) {
		return 'write';
	}

	const isSingleBegin = hasBegin(exchange.plans) && exchange.plans.every(plan => plan === exchange.plans[0] && plan.classification.statementCount === 1);
	return isSingleBegin ? 'begin' : 'mixed';
}

/**
 * Runs a single write with an idempotency key, or replays the response recorded for the key. An attempt with an unknown outcome is
 * retried, which the key makes safe.
 * @param frames - frames for the backend server
 * @throws FailureError `unknown` if an attempt may have committed and none could be confirmed
 */
export async function runIdempotent(context: IdempotencyContext, exchange: PlannedExchange, frames: Buffer): Promise<IdempotentResponse> {
	const startMs = context.clock.nowMs();
	const limitMs = context.createIntent().waitLimitMs;
	let unknownFailure: FailureError | undefined;
	for (let attempt = 1; ; attempt++) {
		try {
			return await attemptWrite(context, exchange, frames);
		} catch (error) {
			context.unitOfWork.rollBack();
			const failure = toCallerFailure(error, context.peer);
			unknownFailure ??= failure.kind === 'unknown' ? new FailureError(failure) : undefined;
			const isLastAttempt = attempt === maximumAttempts || context.clock.nowMs() - startMs >= limitMs || context.signal.aborted;
			if (failure.kind !== 'unknown' || isLastAttempt) {
				// An earlier attempt may have committed, so the outcome is unknown even if this attempt did not run or was refused.
				throw unknownFailure ?? error;
			}
		}
	}
}

async function attemptWrite(context: IdempotencyContext, exchange: PlannedExchange, frames: Buffer): Promise<IdempotentResponse> {
	await runStep(context, 'BEGIN');
	const insertResult = await insertKey(context);
	if (insertResult.sqlState === sqlStates.uniqueViolation) {
		context.unitOfWork.rollBack();
		return replayResponse(context, exchange);
	}

	if (insertResult.sqlState !== undefined) {
		throw protocolError('execute', context.peer, insertResult.sqlState, `the idempotency key could not be recorded: ${insertResult.message}`);
	}

	const capturedResponse = new CapturedResponse(maximumRecordedBytes);
	const editor = context.createEditor();
	const sink: FrameSink = chunk => {
		capturedResponse.sink(editor ? editor.editChunk(chunk) : chunk);
	};

	const result = await runFrames(context, frames, sink, {preparedStatements: exchange.preparedStatements, mayCommit: false});
	return result.sqlState === undefined ? recordResponse(context, capturedResponse) : rollBackFailedWrite(context, capturedResponse, result);
}

/** Rolls back after the statement failed, so that nothing is recorded and the key can be used again. */
function rollBackFailedWrite(context: IdempotencyContext, capturedResponse: CapturedResponse, result: ExchangeResult): IdempotentResponse {
	context.unitOfWork.rollBack();
	return {frames: concatFrameBytes(capturedResponse.frames()), result};
}

async function recordResponse(context: IdempotencyContext, capturedResponse: CapturedResponse): Promise<IdempotentResponse> {
	if (capturedResponse.isTooLarge) {
		throw protocolError(
			'execute',
			context.peer,
			callerSqlStates.programLimitExceeded,
			`the response exceeds the ${maximumRecordedBytes} bytes that can be recorded for an idempotency key; nothing was committed`,
		);
	}

	const frames = concatFrameBytes(capturedResponse.frames());
	await runStep(context, `UPDATE crocusloom_idempotency SET answer = ${quoteLiteral(frames.toString('base64'))} WHERE key = ${quoteLiteral(context.key)}`);
	const result = await runStep(context, 'COMMIT', true);
	return {frames, result};
}

async function replayResponse(context: IdempotencyContext, exchange: PlannedExchange): Promise<IdempotentResponse> {
	const capturedResponse = new CapturedResponse(4 * maximumRecordedBytes);
	const text = `SELECT answer FROM crocusloom_idempotency WHERE key = ${quoteLiteral(context.key)}`;
	// With `mayCommit`, the holder waits until a majority has the commit that recorded the response; otherwise the response could be of a write that is lost.
	const result = await runFrames(context, queryFrame(text), capturedResponse.sink, {...noPreparedStatements, mayCommit: true});
	const row = capturedResponse.frames().find(({type}) => type === backendTypes.dataRow);
	const recordedResponse = row && readDataRow(row.bytes)[0];
	if (!recordedResponse) {
		throw protocolError('execute', context.peer, sqlStates.uniqueViolation, `idempotency key "${context.key}" was used by a transaction, for which no response is recorded`);
	}

	const frames = new FrameReader(context.peer).push(Buffer.from(recordedResponse, 'base64'));
	return {frames: exchange.protocol === 'simple' ? concatFrameBytes(withoutExtendedFrames(frames)) : adaptResponse(frames, exchange), result};
}

/** Frames that only confirm a message of the extended protocol. */
const completionFrameTypes: ReadonlySet<number> = new Set([backendTypes.parseComplete, backendTypes.bindComplete, backendTypes.closeComplete]);
const descriptionFrameTypes: ReadonlySet<number> = new Set([backendTypes.parameterDescription, backendTypes.rowDescription, backendTypes.noData]);

/** Removes the frames that the simple protocol does not use. */
function withoutExtendedFrames(frames: readonly Frame[]): readonly Frame[] {
	return frames.filter(({type}) => !completionFrameTypes.has(type) && type !== backendTypes.noData && type !== backendTypes.parameterDescription);
}

/** Adapts a recorded response to the messages of the exchange, because a retry need not parse or describe the statement again. */
function adaptResponse(recordedFrames: readonly Frame[], exchange: PlannedExchange): Buffer {
	const queue = recordedFrames.filter(({type}) => !completionFrameTypes.has(type));
	const output: Buffer[] = [];
	for (const expectedResponse of exchange.expectedResponses) {
		if (expectedResponse.kind === 'local') {
			output.push(expectedResponse.frames);
		} else if (expectedResponse.kind === 'forward') {
			output.push(...takeResponse(queue, expectedResponse.endTypes));
		}
	}

	return Buffer.concat(output);
}

function takeResponse(queue: Frame[], endTypes: ReadonlySet<number>): Buffer[] {
	if (endTypes === responseEndTypes.describe) {
		const description = takeWhile(queue, type => descriptionFrameTypes.has(type));
		return description.length > 0 ? description : [buildFrame(backendTypes.noData, Buffer.alloc(0))];
	}

	if (endTypes !== responseEndTypes.execute) {
		return [...endTypes].map(type => buildFrame(type, Buffer.alloc(0)));
	}

	takeWhile(queue, type => descriptionFrameTypes.has(type));
	const rows = takeWhile(queue, type => !endTypes.has(type));
	return [...rows, ...queue.splice(0, 1).map(({bytes}) => bytes)];
}

function takeWhile(queue: Frame[], matches: (type: number) => boolean): Buffer[] {
	const end = queue.findIndex(({type}) => !matches(type));
	return queue.splice(0, end === -1 ? queue.length : end).map(({bytes}) => bytes);
}

/**
 * Records the key in a transaction that has just begun.
 * @throws FailureError with the SQLSTATE of the backend server, which is 23505 if the key was used before
 */
export async function recordTransactionKey(context: IdempotencyContext): Promise<void> {
	const {sqlState, message} = await insertKey(context);
	if (sqlState !== undefined) {
		const text = sqlState === sqlStates.uniqueViolation ? `idempotency key "${context.key}" was used before` : `the idempotency key could not be recorded: ${message}`;
		throw protocolError('execute', context.peer, sqlState, text);
	}
}

async function insertKey(context: IdempotencyContext): Promise<{readonly sqlState?: string; readonly message: string}> {
	const capturedResponse = new CapturedResponse(maximumRecordedBytes);
	const text = `INSERT INTO crocusloom_idempotency (key, answer) VALUES (${quoteLiteral(context.key)}, '')`;
	const {sqlState} = await runFrames(context, queryFrame(text), capturedResponse.sink, {...noPreparedStatements, mayCommit: false});
	const error = capturedResponse.frames().find(({type}) => type === backendTypes.errorResponse);
	return {sqlState, message: (error && readErrorField(error.bytes, 'M')) ?? ''};
}

async function runStep(context: IdempotencyContext, text: string, mayCommit = false): Promise<ExchangeResult> {
	const result = await runFrames(context, queryFrame(text), discardFrames, {...noPreparedStatements, mayCommit});
	if (result.sqlState !== undefined) {
		throw protocolError('execute', context.peer, result.sqlState, `${text.split(' ', 1)[0]!} of the idempotent write failed; nothing was committed`);
	}

	return result;
}

async function runFrames(
	context: IdempotencyContext,
	frames: Buffer,
	sink: FrameSink,
	options: {readonly preparedStatements: PlannedExchange['preparedStatements']; readonly mayCommit: boolean},
): Promise<ExchangeResult> {
	return context.unitOfWork.run(frames, sink, {...options, signal: context.signal}, context.createIntent);
}

function concatFrameBytes(frames: readonly Frame[]): Buffer {
	return Buffer.concat(frames.map(({bytes}) => bytes));
}
