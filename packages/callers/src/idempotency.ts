/**
 * Idempotency keys: the key and the answer are recorded in the same database transaction as the write.
 */
import {
	FailureError, sqlStates, type Clock, type ExchangeResult, type FrameSink, type WorkIntent,
} from '@crocusloom/model';
import {
	backend, buildFrame, cString, errorField, FrameReader, frontend, readDataRow, type Frame,
} from '@crocusloom/wire';
import {CapturedAnswer, type AnswerEditor} from './answer.js';
import {type CallerWork} from './callerWork.js';
import {callerSqlStates, failureOf, refusal} from './errors.js';
import {answerEnds, hasBegin, type PlannedExchange} from './exchange.js';
import {literal} from './settings.js';

/** Largest answer that is recorded, so that the table stays small. */
const maximumAnswerBytes = 64 * 1024;
/** Attempts at one write, the first included. */
const maximumAttempts = 3;

/** What running with a key needs of the session. */
export type IdempotentContext = {
	readonly key: string;
	readonly peer: string;
	readonly work: CallerWork;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Intent of a write; its wait limit bounds the attempts. */
	readonly intent: () => WorkIntent;
	readonly makeEditor: () => AnswerEditor | undefined;
};

/** Answer frames without ReadyForQuery, and what the last exchange came to. */
export type IdempotentAnswer = {readonly frames: Buffer; readonly result: ExchangeResult};

const noParse = {preparedStatements: []} as const;
const queryFrame = (text: string): Buffer => buildFrame(frontend.query, cString(text));
const ignoreFrames: FrameSink = () => undefined;

/** How an exchange uses a key: it is itself the write, it begins the transaction, or it does not use it. */
export function keyUseOf(exchange: PlannedExchange): 'write' | 'begin' | 'none' | 'mixed' {
	if (!exchange.executes || exchange.mode === 'read') {
		return 'none';
	}

	if (exchange.plans.every(({classification}) => classification.transaction === 'none')) {
		return 'write';
	}

	const isOneBegin = hasBegin(exchange.plans) && exchange.plans.every(plan => plan === exchange.plans[0] && plan.classification.statementCount === 1);
	return isOneBegin ? 'begin' : 'mixed';
}

/**
 * Runs a single write with a key, or replays the answer recorded for it. A lost attempt is repeated, because the key
 * makes that safe.
 * @param frames - the exchange as it goes to the backend server
 * @throws FailureError `unknown` if any attempt may have committed and none could be confirmed
 */
export async function runIdempotent(context: IdempotentContext, exchange: PlannedExchange, frames: Buffer): Promise<IdempotentAnswer> {
	const startMs = context.clock.nowMs();
	const limitMs = context.intent().waitLimitMs;
	let unknown: FailureError | undefined;
	for (let attempt = 1; ; attempt++) {
		try {
			return await attemptOnce(context, exchange, frames);
		} catch (error) {
			context.work.abandon();
			const failure = failureOf(error, context.peer);
			unknown ??= failure.kind === 'unknown' ? new FailureError(failure) : undefined;
			const isLate = attempt === maximumAttempts || context.clock.nowMs() - startMs >= limitMs || context.signal.aborted;
			if (failure.kind !== 'unknown' || isLate) {
				// An earlier attempt may have committed, so a refusal of this one does not say that nothing ran.
				throw unknown && failure.kind === 'notRun' ? unknown : error;
			}
		}
	}
}

async function attemptOnce(context: IdempotentContext, exchange: PlannedExchange, frames: Buffer): Promise<IdempotentAnswer> {
	await step(context, 'BEGIN');
	const inserted = await insertKey(context);
	if (inserted.sqlState === sqlStates.uniqueViolation) {
		context.work.abandon();
		return replay(context, exchange);
	}

	if (inserted.sqlState !== undefined) {
		throw refusal('execute', context.peer, inserted.sqlState, `the idempotency key could not be recorded: ${inserted.message}`);
	}

	const captured = new CapturedAnswer(maximumAnswerBytes);
	const editor = context.makeEditor();
	const sink: FrameSink = chunk => {
		captured.sink(editor ? editor.edit(chunk) : chunk);
	};

	const result = await run(context, frames, sink, {preparedStatements: exchange.preparedStatements, mayCommit: false});
	return result.sqlState === undefined ? record(context, captured) : giveUp(context, captured, result);
}

/** The statement failed, so nothing is recorded and the key stays free. */
function giveUp(context: IdempotentContext, captured: CapturedAnswer, result: ExchangeResult): IdempotentAnswer {
	context.work.abandon();
	return {frames: joinBytes(captured.frames()), result};
}

async function record(context: IdempotentContext, captured: CapturedAnswer): Promise<IdempotentAnswer> {
	if (captured.isTooLarge) {
		throw refusal('execute', context.peer, callerSqlStates.programLimitExceeded, `the answer is above the ${maximumAnswerBytes} bytes that an idempotency key can record; nothing was committed`);
	}

	const frames = joinBytes(captured.frames());
	await step(context, `UPDATE crocusloom_idempotency SET answer = ${literal(frames.toString('base64'))} WHERE key = ${literal(context.key)}`);
	const result = await step(context, 'COMMIT', true);
	return {frames, result};
}

async function replay(context: IdempotentContext, exchange: PlannedExchange): Promise<IdempotentAnswer> {
	const captured = new CapturedAnswer(4 * maximumAnswerBytes);
	const text = `SELECT answer FROM crocusloom_idempotency WHERE key = ${literal(context.key)}`;
	// The answer counts only when a majority holds the commit that recorded it.
	const result = await run(context, queryFrame(text), captured.sink, {...noParse, mayCommit: true});
	const row = captured.frames().find(({type}) => type === backend.dataRow);
	const recorded = row && readDataRow(row.bytes)[0];
	if (!recorded) {
		throw refusal('execute', context.peer, sqlStates.uniqueViolation, `idempotency key "${context.key}" was used by a transaction, for which no answer is recorded`);
	}

	const frames = new FrameReader(context.peer).push(Buffer.from(recorded, 'base64'));
	return {frames: exchange.protocol === 'simple' ? joinBytes(withoutSteps(frames)) : fitAnswer(frames, exchange), result};
}

const stepFrames: ReadonlySet<number> = new Set([backend.parseComplete, backend.bindComplete, backend.closeComplete]);
const descriptionFrames: ReadonlySet<number> = new Set([backend.parameterDescription, backend.rowDescription, backend.noData]);

function withoutSteps(frames: readonly Frame[]): readonly Frame[] {
	return frames.filter(({type}) => !stepFrames.has(type) && type !== backend.noData && type !== backend.parameterDescription);
}

/** Orders a recorded answer by what the exchange asks for, because a retry may have parsed or described already. */
function fitAnswer(recorded: readonly Frame[], exchange: PlannedExchange): Buffer {
	const queue = recorded.filter(({type}) => !stepFrames.has(type));
	const output: Buffer[] = [];
	for (const expected of exchange.expected) {
		if (expected.kind === 'local') {
			output.push(expected.frames);
		} else if (expected.kind === 'forward') {
			output.push(...takeAnswer(queue, expected.ends));
		}
	}

	return Buffer.concat(output);
}

function takeAnswer(queue: Frame[], ends: ReadonlySet<number>): Buffer[] {
	if (ends === answerEnds.describe) {
		const description = takeWhile(queue, type => descriptionFrames.has(type));
		return description.length > 0 ? description : [buildFrame(backend.noData, Buffer.alloc(0))];
	}

	if (ends !== answerEnds.execute) {
		return [...ends].map(type => buildFrame(type, Buffer.alloc(0)));
	}

	takeWhile(queue, type => descriptionFrames.has(type));
	const rows = takeWhile(queue, type => !ends.has(type));
	return [...rows, ...queue.splice(0, 1).map(({bytes}) => bytes)];
}

function takeWhile(queue: Frame[], matches: (type: number) => boolean): Buffer[] {
	const end = queue.findIndex(({type}) => !matches(type));
	return queue.splice(0, end === -1 ? queue.length : end).map(({bytes}) => bytes);
}

/**
 * Records the key in a transaction that has just begun.
 * @throws FailureError with the backend server's SQLSTATE, 23505 when the key was used before
 */
export async function recordKeyOfTransaction(context: IdempotentContext): Promise<void> {
	const {sqlState, message} = await insertKey(context);
	if (sqlState !== undefined) {
		const text = sqlState === sqlStates.uniqueViolation ? `idempotency key "${context.key}" was used before` : `the idempotency key could not be recorded: ${message}`;
		throw refusal('execute', context.peer, sqlState, text);
	}
}

async function insertKey(context: IdempotentContext): Promise<{readonly sqlState?: string; readonly message: string}> {
	const captured = new CapturedAnswer(maximumAnswerBytes);
	const text = `INSERT INTO crocusloom_idempotency (key, answer) VALUES (${literal(context.key)}, '')`;
	const {sqlState} = await run(context, queryFrame(text), captured.sink, {...noParse, mayCommit: false});
	const error = captured.frames().find(({type}) => type === backend.errorResponse);
	return {sqlState, message: (error && errorField(error.bytes, 'M')) ?? ''};
}

async function step(context: IdempotentContext, text: string, mayCommit = false): Promise<ExchangeResult> {
	const result = await run(context, queryFrame(text), ignoreFrames, {...noParse, mayCommit});
	if (result.sqlState !== undefined) {
		throw refusal('execute', context.peer, result.sqlState, `${text.split(' ', 1)[0]!} of the idempotent write failed; nothing was committed`);
	}

	return result;
}

async function run(
	context: IdempotentContext,
	frames: Buffer,
	sink: FrameSink,
	options: {readonly preparedStatements: PlannedExchange['preparedStatements']; readonly mayCommit: boolean},
): Promise<ExchangeResult> {
	return context.work.run(frames, sink, {...options, signal: context.signal}, context.intent);
}

function joinBytes(frames: readonly Frame[]): Buffer {
	return Buffer.concat(frames.map(({bytes}) => bytes));
}
