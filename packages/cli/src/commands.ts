import {
	type PromotionRecord, type Resource, type ResourceKind, type RoutingExplanation,
} from '@crocusloom/model';
import {resourcePath, type ApiClient} from './apiClient.js';
import {CommandError, exitCodes, refused} from './errors.js';
import {
	formatExplanation, formatPromotions, formatResources, formatStatus, type StatusReport,
} from './reports.js';
import {isUnchanged, parseResources, type GivenResource} from './resourceFile.js';

export type OutputFormat = 'table' | 'json';

/** What a command works with. */
export type CommandContext = {
	readonly client: ApiClient;
	/** Prints a line to standard output. */
	readonly print: (line: string) => void;
	/** Reads a file; `-` is standard input. */
	readonly readInput: (path: string) => Promise<string>;
};

/** Prints a resource, or all of a kind. */
export async function getCommand(context: CommandContext, kind: ResourceKind, name: string | undefined, output: OutputFormat): Promise<void> {
	if (name !== undefined) {
		printJson(context, await context.client.get(resourcePath(kind, name)));
		return;
	}

	const answer = await context.client.get(`/v1/${kind}`);
	show(context, output, answer, () => formatResources(answer.items as readonly Resource[]));
}

/** Creates or replaces the resources of a file; ends at the first that is refused. */
export async function applyCommand(context: CommandContext, path: string): Promise<void> {
	const resources = parseResources(await readFileOf(context, path), path);
	for (const resource of resources) {
		context.print(`${resource.kind}/${resource.name} ${await applyOne(context, resource)}`);
	}
}

async function applyOne({client}: CommandContext, given: GivenResource): Promise<string> {
	const {kind, name, spec} = given;
	try {
		const current = await client.read(kind, name);
		if (current && isUnchanged(given, current)) {
			return `unchanged at revision ${current.revision}`;
		}

		const revision = given.revision ?? current?.revision;
		const answer = await client.change({
			method: 'PUT', kind, name, spec, revision,
		});
		return `accepted at revision ${String(answer.acceptedRevision ?? answer.revision)}`;
	} catch (error) {
		throw error instanceof CommandError ? new CommandError(error.lines.map(line => `${kind}/${name}: ${line}`), error.exitCode) : error;
	}
}

async function readFileOf(context: CommandContext, path: string): Promise<string> {
	try {
		return await context.readInput(path);
	} catch (error) {
		throw refused(`${path} can't be read: ${error instanceof Error ? error.message : String(error)}`);
	}
}

/** Deletes a resource at the given revision, or at the one that stands. */
export async function deleteCommand(context: CommandContext, kind: ResourceKind, name: string, revision: number | undefined): Promise<void> {
	const current = revision === undefined ? await context.client.read(kind, name) : undefined;
	const expected = revision ?? current?.revision;
	if (expected === undefined) {
		throw refused(`${kind}/${name} does not exist`);
	}

	const answer = await context.client.change({
		method: 'DELETE', kind, name, revision: expected,
	});
	context.print(`${kind}/${name} deleted at revision ${String(answer.revision)}`);
}

/** Prints changes as JSON lines until the server ends the watch. */
export async function watchCommand(context: CommandContext, sinceRevision: number): Promise<void> {
	let revision = sinceRevision;
	try {
		for await (const line of context.client.stream(`/v1/watch?since=${sinceRevision}`)) {
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
	const answer = await context.client.get('/v1/status');
	show(context, output, answer, () => formatStatus(answer as unknown as StatusReport));
}

export type ExplainArguments = {
	readonly database: string;
	readonly statement: string;
	readonly user?: string;
	readonly application?: string;
	readonly session?: string;
};

/** Prints why a statement goes where it goes now. */
export async function explainCommand(context: CommandContext, question: ExplainArguments, output: OutputFormat): Promise<void> {
	const given = Object.entries(question).filter((entry): entry is [string, string] => entry[1] !== undefined);
	const answer = await context.client.get(`/v1/explain?${new URLSearchParams(given).toString()}`);
	show(context, output, answer, () => formatExplanation(answer as unknown as RoutingExplanation));
}

/** Prints the promotions that the server has seen. */
export async function promotionsCommand(context: CommandContext, output: OutputFormat): Promise<void> {
	const answer = await context.client.get('/v1/promotions');
	show(context, output, answer, () => formatPromotions(answer.items as readonly PromotionRecord[]));
}

function show(context: CommandContext, output: OutputFormat, answer: unknown, format: () => readonly string[]): void {
	if (output === 'json') {
		printJson(context, answer);
		return;
	}

	for (const line of format()) {
		context.print(line);
	}
}

function printJson(context: CommandContext, value: unknown): void {
	context.print(JSON.stringify(value, undefined, '\t'));
}
