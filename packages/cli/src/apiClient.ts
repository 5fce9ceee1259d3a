import {randomUUID} from 'node:crypto';
import {
	type Clock, type FieldProblem, type Resource, type ResourceKind,
} from '@crocusloom/model';
import {CommandError, exitCodes, refused} from './errors.js';

export type ApiClientOptions = {
	/** Base URL of the resource API of any proxy. */
	readonly server: string;
	readonly clock: Clock;
	readonly fetch: typeof fetch;
	readonly signal: AbortSignal;
};

/** An answer that is not an error. */
export type ApiAnswer = Readonly<Record<string, unknown>>;

export type ResourceChange = {
	readonly method: 'PUT' | 'DELETE';
	readonly kind: ResourceKind;
	readonly name: string;
	/** Revision to replace or delete; absent to create. */
	readonly revision?: number;
	readonly spec?: unknown;
};

type ErrorBody = {
	readonly error?: string;
	readonly message?: string;
	readonly effect?: 'none' | 'unknown';
	readonly problems?: readonly FieldProblem[];
};

const callLimitMs = 15_000;
/** A change is repeated with its change id, so that one whose answer got lost is applied once. */
const changeAttempts = 3;
const retryPauseMs = 500;

/** The resource API, with its errors as `CommandError`. */
export class ApiClient {
	constructor(private readonly options: ApiClientOptions) {}

	/**
	 * Reads an endpoint.
	 * @throws CommandError with the exit code that fits
	 */
	async get(path: string): Promise<ApiAnswer> {
		const response = await this.request(path, {});
		return readAnswer(response);
	}

	/** Reads a resource; undefined if it does not exist. */
	async read(kind: ResourceKind, name: string): Promise<Resource | undefined> {
		const response = await this.request(resourcePath(kind, name), {});
		if (response.status === 404) {
			await response.body?.cancel();
			return undefined;
		}

		return await readAnswer(response) as unknown as Resource;
	}

	/** Sends a change; repeats it by its change id while no certain answer comes. */
	async change(change: ResourceChange): Promise<ApiAnswer> {
		const changeId = randomUUID();
		for (let attempt = 1; ; attempt++) {
			try {
				return await readAnswer(await this.sendChange(change, changeId));
			} catch (error) {
				if (!(error instanceof CommandError) || error.exitCode !== exitCodes.unavailable || attempt === changeAttempts) {
					throw error;
				}
			}

			await this.options.clock.sleep(retryPauseMs, this.options.signal);
		}
	}

	/** Lines of an endpoint that streams. */
	async * stream(path: string): AsyncGenerator<string> {
		const response = await this.fetch(path, {signal: this.options.signal});
		if (!response.ok) {
			await readAnswer(response);
		}

		const decoder = new TextDecoder();
		let rest = '';
		try {
			for await (const chunk of response.body!) {
				const lines = (rest + decoder.decode(chunk as Uint8Array, {stream: true})).split('\n');
				rest = lines.pop()!;
				yield * lines.filter(line => line !== '');
			}
		} catch (error) {
			throw this.unreachable(error);
		}
	}

	private async sendChange(change: ResourceChange, changeId: string): Promise<Response> {
		const headers: Record<string, string> = {'change-id': changeId};
		if (change.revision !== undefined) {
			headers['if-match'] = String(change.revision);
		}

		if (change.method === 'DELETE') {
			return this.request(resourcePath(change.kind, change.name), {method: 'DELETE', headers});
		}

		headers['content-type'] = 'application/json';
		return this.request(resourcePath(change.kind, change.name), {method: 'PUT', headers, body: JSON.stringify({spec: change.spec})});
	}

	private async request(path: string, init: RequestInit): Promise<Response> {
		const limit = new AbortController();
		const ended = new AbortController();
		void abortAfter(this.options.clock, limit, ended.signal);
		try {
			const response = await this.fetch(path, {...init, signal: AbortSignal.any([this.options.signal, limit.signal])});
			// The body is read within the limit too.
			const body = await response.arrayBuffer();
			return new Response(response.status === 204 ? undefined : body, {status: response.status, headers: response.headers});
		} catch (error) {
			throw error instanceof CommandError ? error : this.unreachable(error);
		} finally {
			ended.abort();
		}
	}

	private async fetch(path: string, init: RequestInit): Promise<Response> {
		const url = parseUrl(path, this.options.server);
		try {
			return await this.options.fetch(url, init);
		} catch (error) {
			throw this.unreachable(error);
		}
	}

	private unreachable(error: unknown): CommandError {
		const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error;
		const code = (cause as {readonly code?: string} | undefined)?.code;
		const reason = code ?? (cause instanceof Error ? cause.message : String(cause));
		return new CommandError([`${this.options.server} does not answer: ${reason}`], exitCodes.unavailable);
	}
}

async function abortAfter(clock: Clock, limit: AbortController, ended: AbortSignal): Promise<void> {
	try {
		await clock.sleep(callLimitMs, ended);
		limit.abort(new Error(`no answer within ${callLimitMs} ms`));
	} catch {
		// The call ended before its limit.
	}
}

/** Path of a resource. */
export function resourcePath(kind: ResourceKind, name: string): string {
	return `/v1/${kind}/${encodeURIComponent(name)}`;
}

function parseUrl(path: string, server: string): URL {
	try {
		return new URL(path, server);
	} catch {
		throw refused(`${server} is not a URL, for example http://127.0.0.1:7400`);
	}
}

async function readAnswer(response: Response): Promise<ApiAnswer> {
	const text = await response.text();
	const body = parseBody(text);
	if (response.ok && body) {
		return body;
	}

	throw toError(response.status, body);
}

function parseBody(text: string): ApiAnswer | undefined {
	try {
		return JSON.parse(text) as ApiAnswer;
	} catch {
		return undefined;
	}
}

function toError(status: number, body: ErrorBody | undefined): CommandError {
	const message = body?.message ?? `the server answered status ${status}`;
	if (status >= 500) {
		const effect = body?.effect === 'unknown' ? ' (the change may have been accepted)' : '';
		return new CommandError([message + effect], exitCodes.unavailable);
	}

	const problems = (body?.problems ?? []).map(problem => `${problem.path}: ${problem.message}`);
	return new CommandError(problems.length > 0 ? problems : [message], exitCodes.refused);
}
