import {type z} from 'zod';
import {
	FailureError, type Clock, type KeyValueEntry, type KeyValueStore, type RandomSource, type WatchBatch, childSignal, withTimeout,
} from '@crocusloom/model';
import {backoffMs, type BackoffLimits} from './backoff.js';
import {
	encodeBase64, prefixRangeEnd, rangeResponseSchema, toKeyValueEntry, toKeyValueEvents, txnResponseSchema, watchResponseSchema, type WatchResult,
} from './etcdMessages.js';
import {freshConnectionHeaders} from './freshConnection.js';
import {readLines, readText} from './responseBody.js';

export type EtcdKeyValueStoreOptions = {
	/** Base URL of the gateway, without a path. */
	readonly url: string;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Time in milliseconds until the response of a call begins, and longest pause within it. */
	readonly callTimeoutMs?: number;
	/** Number of consecutive failures after which a watch throws. */
	readonly maximumConsecutiveWatchFailures?: number;
};

type WriteEffect = 'none' | 'unknown';
type GatewayRequest = {
	readonly path: string;
	readonly body: unknown;
	/** Effect to report if the response is lost. */
	readonly lostEffect: WriteEffect;
	/** Called for each received part of the response. */
	readonly onData?: () => void;
};

/** The platform usually responds within milliseconds, so a call without a response after this time has failed. */
const defaultCallTimeoutMs = 2000;
const defaultMaximumConsecutiveWatchFailures = 3;
const watchBackoff: BackoffLimits = {baseMs: 200, maximumMs: 5000};

/** Error codes that imply that the request was not sent. */
const unsentRequestCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** The platform's key-value service, accessed through the etcd v3 JSON gateway. */
export class EtcdKeyValueStore implements KeyValueStore {
	private readonly callTimeoutMs: number;

	constructor(private readonly options: EtcdKeyValueStoreOptions) {
		this.callTimeoutMs = options.callTimeoutMs ?? defaultCallTimeoutMs;
	}

	async list(prefix: string, signal: AbortSignal, onData?: () => void): Promise<{readonly revision: number; readonly entries: readonly KeyValueEntry[]}> {
		const body = {key: encodeBase64(prefix), range_end: encodeBase64(prefixRangeEnd(prefix))};
		const response = await this.call({
			path: '/v3/kv/range', body, lostEffect: 'none', onData,
		}, rangeResponseSchema, signal);
		return {revision: response.header.revision, entries: response.kvs.map(keyValue => toKeyValueEntry(keyValue))};
	}

	async get(key: string, signal: AbortSignal): Promise<{readonly revision: number; readonly entry?: KeyValueEntry}> {
		const response = await this.call({path: '/v3/kv/range', body: {key: encodeBase64(key)}, lostEffect: 'none'}, rangeResponseSchema, signal);
		const [keyValue] = response.kvs;
		return {revision: response.header.revision, entry: keyValue && toKeyValueEntry(keyValue)};
	}

	async compareAndSwap(key: string, expectedRevision: number, value: string | undefined, signal: AbortSignal): Promise<
		| {readonly succeeded: true; readonly revision: number}
		| {readonly succeeded: false; readonly revision: number; readonly current?: KeyValueEntry}
	> {
		const encodedKey = encodeBase64(key);
		const writeRequest = value === undefined
			? {request_delete_range: {key: encodedKey}}
			: {request_put: {key: encodedKey, value: encodeBase64(value)}};
		const body = {
			compare: [{
				key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision),
			}],
			success: [writeRequest],
			failure: [{request_range: {key: encodedKey}}],
		};
		const response = await this.call({path: '/v3/kv/txn', body, lostEffect: 'unknown'}, txnResponseSchema, signal);
		const {revision} = response.header;
		if (response.succeeded) {
			return {succeeded: true, revision};
		}

		const currentKeyValue = response.responses[0]?.response_range?.kvs[0];
		return {succeeded: false, revision, current: currentKeyValue && toKeyValueEntry(currentKeyValue)};
	}

	/**
	 * Yields the events under a prefix. The first batch is empty and confirms that the platform has accepted the watch. After
	 * a failure, the watch is resumed from the next revision and confirmed again.
	 * @throws FailureError `platform` if the number of consecutive failures reaches the limit or the revision has been compacted
	 */
	async * watch(prefix: string, fromRevision: number, signal: AbortSignal): AsyncGenerator<WatchBatch> {
		let nextRevision = fromRevision;
		let consecutiveFailures = 0;
		while (!signal.aborted) {
			try {
				for await (const batch of this.openWatchStream(prefix, nextRevision, signal)) {
					consecutiveFailures = 0;
					nextRevision = Math.max(nextRevision, batch.revision + 1);
					yield batch;
				}

				signal.throwIfAborted();
				throw this.platformFailure('/v3/watch', 'the stream ended', 'none');
			} catch (error) {
				consecutiveFailures++;
				if (signal.aborted || error instanceof CompactedError || consecutiveFailures >= (this.options.maximumConsecutiveWatchFailures ?? defaultMaximumConsecutiveWatchFailures)) {
					throw error;
				}

				await this.options.clock.sleep(backoffMs(consecutiveFailures, watchBackoff, this.options.random), signal);
			}
		}
	}

	private async * openWatchStream(prefix: string, fromRevision: number, signal: AbortSignal): AsyncGenerator<WatchBatch> {
		const body = {create_request: {key: encodeBase64(prefix), range_end: encodeBase64(prefixRangeEnd(prefix)), start_revision: String(fromRevision)}};
		const streamController = childSignal(signal);
		try {
			const response = await withTimeout(this.options.clock, this.callTimeoutMs, signal, async () => this.post('/v3/watch', body, streamController.signal));
			const lines = readLines(response.body!);
			const firstLine = await withTimeout(this.options.clock, this.callTimeoutMs, signal, async () => lines.next());
			if (firstLine.done) {
				return;
			}

			const firstResult = this.parseResult(firstLine.value);
			yield {revision: fromRevision - 1, events: [], storeRevision: firstResult.header.revision};
			yield * toBatches(firstResult);
			for await (const line of lines) {
				yield * toBatches(this.parseResult(line));
			}
		} catch (error) {
			throw error instanceof FailureError || signal.aborted ? error : this.platformFailure('/v3/watch', describeError(error), 'none', error);
		} finally {
			streamController.abort();
			streamController.release();
		}
	}

	/** @throws FailureError `platform` if the line reports that the watch has ended */
	private parseResult(line: string): WatchResult {
		const {error, result} = watchResponseSchema.parse(JSON.parse(line));
		if (!result || result.canceled) {
			throw this.toWatchError(result, error?.message);
		}

		return result;
	}

	private toWatchError(result: WatchResult | undefined, message: string | undefined): Error {
		if (result && result.compact_revision > 0) {
			return new CompactedError({
				kind: 'platform', step: 'platform', peer: this.options.url, effect: 'none', message: `revisions before ${result.compact_revision} have been compacted`,
			});
		}

		return this.platformFailure('/v3/watch', result?.cancel_reason ?? message ?? 'the watch was refused', 'none');
	}

	private async call<S extends z.ZodType>(request: GatewayRequest, schema: S, signal: AbortSignal): Promise<z.infer<S>> {
		const {body, lostEffect, onData, path} = request;
		try {
			return await withTimeout(this.options.clock, this.callTimeoutMs, signal, async (callSignal, restart) => {
				const response = await this.post(path, body, callSignal);
				const text = await readText(response.body!, () => {
					restart(this.callTimeoutMs);
					onData?.();
				});
				return schema.parse(JSON.parse(text));
			});
		} catch (error) {
			throw error instanceof FailureError ? error : this.platformFailure(path, describeError(error), isRequestUnsent(error) ? 'none' : lostEffect, error);
		}
	}

	private async post(path: string, body: unknown, signal: AbortSignal): Promise<Response> {
		const response = await fetch(new URL(path, this.options.url), {
			method: 'POST', headers: {...freshConnectionHeaders, 'content-type': 'application/json'}, body: JSON.stringify(body), signal,
		});
		if (response.ok) {
			return response;
		}

		await response.body?.cancel();
		// A client error means that the request had no effect. A server error may occur after the write took effect.
		const isClientError = response.status >= 400 && response.status < 500 && response.status !== 408;
		throw this.platformFailure(path, `status ${response.status}`, path === '/v3/kv/txn' && !isClientError ? 'unknown' : 'none');
	}

	private platformFailure(path: string, message: string, effect: WriteEffect, cause?: unknown): FailureError {
		return new FailureError({
			kind: 'platform', step: 'platform', peer: this.options.url, message: `${path}: ${message}`, effect,
		}, {cause});
	}
}

/** The revision from which a watch was requested has been compacted, so a new snapshot is needed. */
class CompactedError extends FailureError {}

function * toBatches(result: WatchResult): Generator<WatchBatch> {
	// The header revision of a `created` or progress response may be above that of events not yet received.
	const revision = Math.max(0, ...result.events.map(event => event.kv.mod_revision));
	if (revision > 0) {
		yield {revision, events: toKeyValueEvents(result)};
	}
}

function isRequestUnsent(error: unknown): boolean {
	const code = ((error as Error | undefined)?.cause as {readonly code?: string} | undefined)?.code;
	return code !== undefined && unsentRequestCodes.has(code);
}

function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.cause instanceof Error && error.cause.message !== '' ? error.cause.message : error.message;
}
