import {randomUUID} from 'node:crypto';
import {
	type Clock, type FieldProblem, type Resource, type ResourceKind,
} from '@crocusloom/model';
import {CommandError, createRefusalError, exitCodes} from './errors.js';

export type ApiClientOptions = {
	/** Base URL of the resource API of any proxy. */
	readonly server: string;
	readonly clock: Clock;
	readonly fetch: typeof fetch;
	/** Aborts all requests. */
	readonly signal: AbortSignal;
};

/** Parsed body of a successful response. */
export type ApiResponseBody = Readonly<Record<string, unknown>>;

/** A request to create, replace or delete a resource. */
export type ResourceChange = {
	readonly method: 'PUT' | 'DELETE';
	readonly kind: ResourceKind;
	readonly name: string;
	/** Revision that the change replaces or deletes; absent if it creates the resource. */
	readonly revision?: number;
	readonly spec?: unknown;
};

/** Body of an error response. */
type ErrorBody = {
	readonly error?: string;
	readonly message?: string;
	readonly effect?: 'none' | 'unknown';
	readonly problems?: readonly FieldProblem[];
};

/** Time limit of a request, including the body of the response. */
const requestTimeoutMs = 15_000;
/** Attempts to send a change. All carry the same change ID, so that a change whose response was lost is applied only once. */
const maximumChangeAttempts = 3;
const retryDelayMs = 500;

/** Client of the resource API. Its methods throw errors as `CommandError`. */
export class ApiClient {
	constructor(private readonly options: ApiClientOptions) {}

	/**
	 * Reads an endpoint.
	 * @param path - path with the query string
	 * @throws CommandError with exit code `unavailable` if there is no response or its status is 5xx, otherwise `refused`
	 */
	async get(path: string): Promise<ApiResponseBody> {
		const response = await this.request(path, {});
		return readSuccessBody(response);
	}

	/** Reads a resource. Returns undefined if it does not exist. */
	async readResource(kind: ResourceKind, name: string): Promise<Resource | undefined> {
		const response = await this.request(resourcePath(kind, name), {});
		if (response.status === 404) {
			await response.body?.cancel();
			return undefined;
		}

		return await readSuccessBody(response) as unknown as Resource;
	}

	/** Sends a change and retries it with the same change ID while the server is unavailable. */
	async sendChange(change: ResourceChange): Promise<ApiResponseBody> {
		const changeId = randomUUID();
		for (let attempt = 1; ; attempt++) {
			try {
				return await readSuccessBody(await this.sendChangeOnce(change, changeId));
			} catch (error) {
				if (!(error instanceof CommandError) || error.exitCode !== exitCodes.unavailable || attempt === maximumChangeAttempts) {
					throw error;
				}
			}

			await this.options.clock.sleep(retryDelayMs, this.options.signal);
		}
	}

	/** Yields the non-empty lines of a streaming endpoint. */
	async * streamLines(path: string): AsyncGenerator<string> {
		const response = await this.fetchPath(path, {signal: this.options.signal});
		if (!response.ok) {
			await readSuccessBody(response);
		}

		const decoder = new TextDecoder();
		let incompleteLine = '';
		try {
			for await (const chunk of response.body!) {
				const lines = (incompleteLine + decoder.decode(chunk as Uint8Array, {stream: true})).split('\n');
				incompleteLine = lines.pop()!;
				yield * lines.filter(line => line !== '');
			}
		} catch (error) {
			throw this.createUnreachableError(error);
		}
	}

	private async sendChangeOnce(change: ResourceChange, changeId: string): Promise<Response> {
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
		const timeoutController = new AbortController();
		const timerController = new AbortController();
		void abortAfterTimeout(this.options.clock, timeoutController, timerController.signal);
		try {
			const response = await this.fetchPath(path, {...init, signal: AbortSignal.any([this.options.signal, timeoutController.signal])});
			// The body is read here so that the timeout covers it.
			const body = await response.arrayBuffer();
			return new Response(response.status === 204 ? undefined : body, {status: response.status, headers: response.headers});
		} catch (error) {
			throw error instanceof CommandError ? error : this.createUnreachableError(error);
		} finally {
			timerController.abort();
		}
	}

	private async fetchPath(path: string, init: RequestInit): Promise<Response> {
		const url = parseUrl(path, this.options.server);
		try {
			return await this.options.fetch(url, init);
		} catch (error) {
			throw this.createUnreachableError(error);
		}
	}

	/** Creates the error for a request that got no response. */
	private createUnreachableError(error: unknown): CommandError {
		const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error;
		const code = (cause as {readonly code?: string} | undefined)?.code;
		const reason = code ?? (cause instanceof Error ? cause.message : String(cause));
		return new CommandError([`${this.options.server} does not answer: ${reason}`], exitCodes.unavailable);
	}
}

/** Aborts the controller when the request timeout has passed, unless the cancel signal aborts first. */
async function abortAfterTimeout(clock: Clock, controller: AbortController, cancelSignal: AbortSignal): Promise<void> {
	try {
		await clock.sleep(requestTimeoutMs, cancelSignal);
		controller.abort(new Error(`no response within ${requestTimeoutMs} ms`));
	} catch {
		// The request ended before its timeout.
	}
}

/** Returns the API path of a resource. */
export function resourcePath(kind: ResourceKind, name: string): string {
	return `/v1/${kind}/${encodeURIComponent(name)}`;
}

function parseUrl(path: string, server: string): URL {
	try {
		return new URL(path, server);
	} catch {
		throw createRefusalError(`${server} is not a URL, for example http://127.0.0.1:7400`);
	}
}

/** Parses the body of a successful response. Throws the error that any other response reports. */
async function readSuccessBody(response: Response): Promise<ApiResponseBody> {
	const text = await response.text();
	const body = parseBody(text);
	if (response.ok && body) {
		return body;
	}

	throw toCommandError(response.status, body);
}

function parseBody(text: string): ApiResponseBody | undefined {
	try {
		return JSON.parse(text) as ApiResponseBody;
	} catch {
		return undefined;
	}
}

function toCommandError(status: number, body: ErrorBody | undefined): CommandError {
	const message = body?.message ?? `the server responded with status ${status}`;
	if (status >= 500) {
		const effectNote = body?.effect === 'unknown' ? ' (the change may have been accepted)' : '';
		return new CommandError([message + effectNote], exitCodes.unavailable);
	}

	const problems = (body?.problems ?? []).map(problem => `${problem.path}: ${problem.message}`);
	return new CommandError(problems.length > 0 ? problems : [message], exitCodes.refused);
}
