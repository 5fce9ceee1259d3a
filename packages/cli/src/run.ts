import yargs, {type Argv} from 'yargs';
import {resourceKinds, type Clock} from '@crocusloom/model';
import {ApiClient} from './apiClient.js';
import {
	applyCommand, deleteCommand, explainCommand, getCommand, promotionsCommand, statusCommand, watchCommand, type CommandContext, type OutputFormat,
} from './commands.js';
import {
	CommandError, exitCodes, refused, type ExitCode,
} from './errors.js';

/** The process around the command. */
export type CommandEnvironment = {
	readonly variables: Readonly<Record<string, string | undefined>>;
	readonly print: (line: string) => void;
	readonly printError: (line: string) => void;
	/** Reads a file; `-` is standard input. */
	readonly readInput: (path: string) => Promise<string>;
	readonly fetch: typeof fetch;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

type GlobalArguments = {readonly server: string | undefined; readonly output: OutputFormat};

const outputFormats: readonly OutputFormat[] = ['table', 'json'];
const exitCodeHelp = [
	'Exit codes:',
	'  0  done',
	'  1  the command line or a resource is wrong, or the change was refused (conflict, invalid, not found)',
	'  2  no server answered, or the platform\'s store is unavailable; the same command may succeed later',
].join('\n');

/**
 * Runs the command line.
 * @param args - arguments behind the command's name
 * @returns exit code
 */
export async function run(args: readonly string[], environment: CommandEnvironment): Promise<ExitCode> {
	try {
		await buildParser(args, environment).parseAsync();
		return exitCodes.done;
	} catch (error) {
		const failure = error instanceof CommandError ? error : new CommandError([error instanceof Error ? error.message : String(error)], exitCodes.refused);
		for (const line of failure.lines) {
			environment.printError(`crocusloom: ${line}`);
		}

		return failure.exitCode;
	}
}

function buildParser(args: readonly string[], environment: CommandEnvironment): Argv<GlobalArguments> {
	const parser = yargs([...args])
		.scriptName('crocusloom')
		.option('server', {
			type: 'string', default: environment.variables.CROCUSLOOM_SERVER, defaultDescription: 'CROCUSLOOM_SERVER', describe: 'URL of the resource API of any proxy',
		})
		.option('output', {
			alias: 'o', choices: outputFormats, default: 'table', describe: 'form of lists and reports',
		}) as Argv<GlobalArguments>;
	const commands = addReports(addResourceCommands(parser, environment), environment);
	return commands
		.demandCommand(1, 'a command is needed; see crocusloom --help')
		.strict()
		.exitProcess(false)
		.showHelpOnFail(false)
		.fail((message, error: Error | undefined) => {
			throw error ?? refused(message.replaceAll(/\s*\n\s*/gv, ' '));
		})
		.epilogue(exitCodeHelp);
}

function addResourceCommands(parser: Argv<GlobalArguments>, environment: CommandEnvironment): Argv<GlobalArguments> {
	const kind = {choices: resourceKinds, demandOption: true, describe: 'kind of resource'} as const;
	return parser
		.command('get <kind> [name]', 'print a resource, or all of a kind', command => command
			.positional('kind', kind)
			.positional('name', {type: 'string'}), async ({kind: givenKind, name, ...rest}) => {
			await getCommand(toContext(rest, environment), givenKind, name, rest.output);
		})
		.command('apply', 'create or replace the resources of a file', command => command.option('file', {
			alias: 'f', type: 'string', demandOption: true, describe: 'JSON: a resource or a list; - for standard input',
		}), async ({file, ...rest}) => {
			await applyCommand(toContext(rest, environment), file);
		})
		.command('delete <kind> <name>', 'delete a resource', command => command.positional('kind', kind).positional('name', {type: 'string', demandOption: true})
			.option('revision', {type: 'number', describe: 'delete only at this revision'}), async ({kind: givenKind, name, revision, ...rest}) => {
			await deleteCommand(toContext(rest, environment), givenKind, name, revision);
		})
		.command('watch', 'print changes as JSON lines', command => command
			.option('since', {type: 'number', default: 0, describe: 'revision after which changes are printed'}), async ({since, ...rest}) => {
			await watchCommand(toContext(rest, environment), since);
		});
}

function addReports(parser: Argv<GlobalArguments>, environment: CommandEnvironment): Argv<GlobalArguments> {
	return parser
		.command('status', 'print conditions, groups, hosts and held databases', command => command, async given => {
			await statusCommand(toContext(given, environment), given.output);
		})
		.command('explain <database> <statement>', 'print why a statement goes where it goes now', command => command
			.positional('database', {type: 'string', demandOption: true, describe: 'database name of the caller\'s startup message'})
			.positional('statement', {type: 'string', demandOption: true})
			.option('user', {type: 'string'})
			.option('application', {type: 'string'})
			.option('session', {type: 'string', describe: 'session token'}), async ({application, database, session, statement, user, ...rest}) => {
			await explainCommand(toContext(rest, environment), {
				database, statement, user, application, session,
			}, rest.output);
		})
		.command('promotions', 'print the promotions that the server has seen', command => command, async given => {
			await promotionsCommand(toContext(given, environment), given.output);
		});
}

function toContext({server}: Pick<GlobalArguments, 'server'>, environment: CommandEnvironment): CommandContext {
	if (!server) {
		throw new CommandError(['no server is given; use --server URL or set CROCUSLOOM_SERVER'], exitCodes.refused);
	}

	const {clock, fetch: fetchUrl, print, readInput, signal} = environment;
	return {
		client: new ApiClient({
			server, clock, fetch: fetchUrl, signal,
		}), print, readInput,
	};
}
