import {type z} from 'zod';
import {
	FailureError, type Clock, type KeyValueEntry, type KeyValueEvent, type KeyValueStore, type RandomSource, childSignal,
} from '@crocusloom/model';
import {backoffMs, type BackoffLimits} from './backoff.js';
import {
	encodeText, prefixEnd, rangeAnswerSchema, toEntry, toEvents, txnAnswerSchema, watchAnswerSchema, type WatchAnswer,
} from './etcdMessages.js';
import {readLines} from './jsonLines.js';
import {withTimeLimit} from './timeLimit.js';

export type EtcdOptions = {
	/** Base URL of the gateway, without a path. */
	readonly url: string;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Limit of one call in milliseconds. */
	readonly callLimitMs?: number;
	/** Failures in a row after which a watch gives up. */
	readonly maximumWatchFailures?: number;
};

type WatchBatch = {readonly revision: number; readonly events: readonly KeyValueEvent[]};
type Effect = 'none' | 'unknown';
type GatewayRequest = {
	readonly path: string;
	readonly body: unknown;
	/** Effect to report when the answer is lost. */
	readonly lostEffect: Effect;
};

/** The platform answers in milliseconds; a call that takes this long has failed for all purposes. */
const defaultCallLimitMs = 2000;
const defaultMaximumWatchFailures = 3;
const watchBackoff: BackoffLimits = {baseMs: 200, maximumMs: 5000};

/** Error codes that mean that the request was not sent. */
const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** The platform's key-value service, accessed through the etcd v3 JSON gateway. */
export class EtcdKeyValueStore implements KeyValueStore {
	private readonly callLimitMs: number;

	constructor(private readonly options: EtcdOptions) {
		this.callLimitMs = options.callLimitMs ?? defaultCallLimitMs;
	}

	async list(prefix: string, signal: AbortSignal): Promise<{readonly revision: number; readonly entries: readonly KeyValueEntry[]}> {
		const body = {key: encodeText(prefix), range_end: encodeText(prefixEnd(prefix))};
		const answer = await this.call({path: '/v3/kv/range', body, lostEffect: 'none'}, rangeAnswerSchema, signal);
		return {revision: answer.header.revision, entries: answer.kvs.map(keyValue => toEntry(keyValue))};
	}

	async get(key: string, signal: AbortSignal): Promise<{readonly revision: number; readonly entry?: KeyValueEntry}> {
		const answer = await this.call({path: '/v3/kv/range', body: {key: encodeText(key)}, lostEffect: 'none'}, rangeAnswerSchema, signal);
		const [found] = answer.kvs;
		return {revision: answer.header.revision, entry: found && toEntry(found)};
	}

	async compareAndSwap(key: string, expectedRevision: number, value: string | undefined, signal: AbortSignal): Promise<
		| {readonly succeeded: true; readonly revision: number}
		| {readonly succeeded: false; readonly revision: number; readonly current?: KeyValueEntry}
	> {
		const encodedKey = encodeText(key);
		const write = value === undefined
			? {request_delete_range: {key: encodedKey}}
			: {request_put: {key: encodedKey, value: encodeText(value)}};
		const body = {
			compare: [{
				key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision),
			}],
			success: [write],
			failure: [{request_range: {key: encodedKey}}],
		};
		const answer = await this.call({path: '/v3/kv/txn', body, lostEffect: 'unknown'}, txnAnswerSchema, signal);
		const {revision} = answer.header;
		if (answer.succeeded) {
			return {succeeded: true, revision};
		}

		const found = answer.responses[0]?.response_range?.kvs[0];
		return {succeeded: false, revision, current: found && toEntry(found)};
	}

	/**
	 * Events under a prefix. The first batch is empty and says that the platform has accepted the watch. A broken stream
	 * is continued from the next revision; failures in a row are bounded.
	 * @throws FailureError `platform` when the failures in a row reach the limit or the revision has been compacted
	 */
	async * watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncGenerator<WatchBatch> {
		let nextRevision = fromRevision;
		let failures = 0;
		while (!signal.aborted) {
			try {
				for await (const batch of this.watchOnce(prefix, nextRevision, signal)) {
					failures = 0;
					nextRevision = Math.max(nextRevision, batch.revision + 1);
					yield batch;
				}

				signal.throwIfAborted();
				throw this.failure('/v3/watch', 'the stream ended', 'none');
			} catch (error) {
				failures++;
				if (signal.aborted || error instanceof CompactedError || failures >= (this.options.maximumWatchFailures ?? defaultMaximumWatchFailures)) {
					throw error;
				}

				await this.options.clock.sleep(backoffMs(failures, watchBackoff, this.options.random), signal);
			}
		}
	}

	private async * watchOnce(prefix: string, fromRevision: number, signal: AbortSignal): AsyncGenerator<WatchBatch> {
		const body = {create_request: {key: encodeText(prefix), range_end: encodeText(prefixEnd(prefix)), start_revision: String(fromRevision)}};
		const stream = childSignal(signal);
		try {
			const response = await withTimeLimit(this.options.clock, this.callLimitMs, signal, async () => this.post('/v3/watch', body, stream.signal));
			const lines = readLines(response.body!);
			const first = await withTimeLimit(this.options.clock, this.callLimitMs, signal, async () => lines.next());
			if (first.done) {
				return;
			}

			const firstBatches = [...this.batchOf(first.value)];
			yield {revision: fromRevision - 1, events: []};
			yield * firstBatches;
			for await (const line of lines) {
				yield * this.batchOf(line);
			}
		} catch (error) {
			throw error instanceof FailureError || signal.aborted ? error : this.failure('/v3/watch', describe(error), 'none', error);
		} finally {
			stream.abort();
			stream.release();
		}
	}

	private * batchOf(line: string): Generator<WatchBatch> {
		const answer = watchAnswerSchema.parse(JSON.parse(line));
		const {result} = answer;
		if (!result || result.canceled) {
			throw this.watchRefusal(result, answer.error?.message);
		}

		// The header of a `created` or progress answer may be ahead of events that are still to come.
		const revision = Math.max(0, ...result.events.map(event => event.kv.mod_revision));
		if (revision > 0) {
			yield {revision, events: toEvents(result)};
		}
	}

	private watchRefusal(result: WatchAnswer | undefined, message: string | undefined): Error {
		if (result && result.compact_revision > 0) {
			return new CompactedError({
				kind: 'platform', step: 'platform', peer: this.options.url, effect: 'none', message: `revisions before ${result.compact_revision} have been compacted`,
			});
		}

		return this.failure('/v3/watch', result?.cancel_reason ?? message ?? 'the watch was refused', 'none');
	}

	private async call<S extends z.ZodType>(request: GatewayRequest, schema: S, signal: AbortSignal): Promise<z.infer<S>> {
		const {body, lostEffect, path} = request;
		try {
			return await withTimeLimit(this.options.clock, this.callLimitMs, signal, async callSignal => {
				const response = await this.post(path, body, callSignal);
				return schema.parse(await response.json());
			});
		} catch (error) {
			throw error instanceof FailureError ? error : this.failure(path, describe(error), isNotSent(error) ? 'none' : lostEffect, error);
		}
	}

	private async post(path: string, body: unknown, signal: AbortSignal): Promise<Response> {
		const response = await fetch(new URL(path, this.options.url), {
			method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body), signal,
		});
		if (response.ok) {
			return response;
		}

		await response.body?.cancel();
		// A request that was refused as such had no effect; an error of the server may follow the effect.
		const isRefused = response.status >= 400 && response.status < 500 && response.status !== 408;
		throw this.failure(path, `status ${response.status}`, path === '/v3/kv/txn' && !isRefused ? 'unknown' : 'none');
	}

	private failure(path: string, message: string, effect: Effect, cause?: unknown): FailureError {
		return new FailureError({
			kind: 'platform', step: 'platform', peer: this.options.url, message: `${path}: ${message}`, effect,
		}, {cause});
	}
}

/** The platform no longer holds the revision from which a watch was asked, so a new snapshot is needed. */
class CompactedError extends FailureError {}

function isNotSent(error: unknown): boolean {
	const code = ((error as Error | undefined)?.cause as {readonly code?: string} | undefined)?.code;
	return code !== undefined && notSentCodes.has(code);
}

function describe(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.cause instanceof Error && error.cause.message !== '' ? error.cause.message : error.message;
}
