import {
	type PromotionRecord, type Resource, type ResourceKind, type RoutingExplanation,
} from '@crocusloom/model';
import {resourcePath, type ApiClient} from './apiClient.js';
import {CommandError, createRefusalError, exitCodes} from './errors.js';
import {
	formatExplanation, formatPromotions, formatResources, formatStatus, type StatusReport,
} from './reports.js';
import {isUnchanged, parseResources, type ResourceInput} from './resourceFile.js';

export type OutputFormat = 'table' | 'json';

/** API client and input and output of a command. */
export type CommandContext = {
	readonly client: ApiClient;
	/** Prints a line to standard output. */
	readonly print: (line: string) => void;
	/** Reads a file; `-` is standard input. */
	readonly readInput: (path: string) => Promise<string>;
};

/** Prints a resource, or all resources of a kind. */
export async function getCommand(context: CommandContext, kind: ResourceKind, name: string | undefined, output: OutputFormat): Promise<void> {
	if (name !== undefined) {
		printJson(context, await context.client.get(resourcePath(kind, name)));
		return;
	}

	const response = await context.client.get(`/v1/${kind}`);
	printResponse(context, output, response, () => formatResources(response.items as readonly Resource[]));
}

/** Creates or replaces the resources of a file. Stops at the first error. */
export async function applyCommand(context: CommandContext, path: string): Promise<void> {
	const resources = parseResources(await readInputFile(context, path), path);
	for (const resource of resources) {
		context.print(`${resource.kind}/${resource.name} ${await applyResource(context, resource)}`);
	}
}

/** Creates or replaces one resource and returns the outcome to print. */
async function applyResource({client}: CommandContext, input: ResourceInput): Promise<string> {
	const {kind, name, spec} = input;
	try {
		const existingResource = await client.readResource(kind, name);
		if (existingResource && isUnchanged(input, existingResource)) {
			return `unchanged at revision ${existingResource.revision}`;
		}

		const revision = input.revision ?? existingResource?.revision;
		const response = await client.sendChange({
			method: 'PUT', kind, name, spec, revision,
		});
		return `accepted at revision ${String(response.acceptedRevision ?? response.revision)}`;
	} catch (error) {
		throw error instanceof CommandError ? new CommandError(error.lines.map(line => `${kind}/${name}: ${line}`), error.exitCode) : error;
	}
}

async function readInputFile(context: CommandContext, path: string): Promise<string> {
	try {
		return await context.readInput(path);
	} catch (error) {
		throw createRefusalError(`${path} cannot be read: ${error instanceof Error ? error.message : String(error)}`);
	}
}

/** Deletes a resource at the given revision, or at its current revision if none is given. */
export async function deleteCommand(context: CommandContext, kind: ResourceKind, name: string, revision: number | undefined): Promise<void> {
	const existingResource = revision === undefined ? await context.client.readResource(kind, name) : undefined;
	const expectedRevision = revision ?? existingResource?.revision;
	if (expectedRevision === undefined) {
		throw createRefusalError(`${kind}/${name} does not exist`);
	}

	const response = await context.client.sendChange({
		method: 'DELETE', kind, name, revision: expectedRevision,
	});
	context.print(`${kind}/${name} deleted at revision ${String(response.revision)}`);
}

/**
 * Prints changes as JSON lines until the server ends the watch.
 * @param sinceRevision - revision after which changes are printed
 * @throws CommandError that names the revision from which the watch can be continued, also if the connection is lost
 */
export async function watchCommand(context: CommandContext, sinceRevision: number): Promise<void> {
	let revision = sinceRevision;
	try {
		for await (const line of context.client.streamLines(`/v1/watch?since=${sinceRevision}`)) {
			const event = JSON.parse(line) as {readonly type: string; readonly revision: number};
			if (event.type === 'revision') {
				({revision} = event);
			} else {
				context.print(line);
			}
		}
	} catch (error) {
		if (!(error instanceof CommandError) || error.exitCode !== exitCodes.unavailable) {
			throw error;
		}
	}

	throw new CommandError([`the watch ended; continue with --since ${revision}`], exitCodes.unavailable);
}

/** Prints the status of the deployment. */
export async function statusCommand(context: CommandContext, output: OutputFormat): Promise<void> {
	const response = await context.client.get('/v1/status');
	printResponse(context, output, response, () => formatStatus(response as unknown as StatusReport));
}

/** Statement to explain, and the connection parameters that affect its routing. */
export type ExplainArguments = {
	readonly database: string;
	readonly statement: string;
	readonly user?: string;
	readonly application?: string;
	readonly session?: string;
};

/** Prints how a statement would be routed now, and why. */
export async function explainCommand(context: CommandContext, request: ExplainArguments, output: OutputFormat): Promise<void> {
	const queryParameters = Object.entries(request).filter((entry): entry is [string, string] => entry[1] !== undefined);
	const response = await context.client.get(`/v1/explain?${new URLSearchParams(queryParameters).toString()}`);
	printResponse(context, output, response, () => formatExplanation(response as unknown as RoutingExplanation));
}

/** Prints the promotions that the server has recorded. */
export async function promotionsCommand(context: CommandContext, output: OutputFormat): Promise<void> {
	const response = await context.client.get('/v1/promotions');
	printResponse(context, output, response, () => formatPromotions(response.items as readonly PromotionRecord[]));
}

/** Prints a response as JSON or as formatted lines. */
function printResponse(context: CommandContext, output: OutputFormat, response: unknown, format: () => readonly string[]): void {
	if (output === 'json') {
		printJson(context, response);
		return;
	}

	for (const line of format()) {
		context.print(line);
	}
}

function printJson(context: CommandContext, value: unknown): void {
	context.print(JSON.stringify(value, undefined, '\t'));
}
