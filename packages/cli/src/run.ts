import yargs, {type Argv} from 'yargs';
import {resourceKinds, type Clock} from '@crocusloom/model';
import {ApiClient} from './apiClient.js';
import {
	applyCommand, deleteCommand, explainCommand, getCommand, promotionsCommand, statusCommand, watchCommand, type CommandContext, type OutputFormat,
} from './commands.js';
import {
	CommandError, createRefusalError, exitCodes, type ExitCode,
} from './errors.js';

/** The parts of the process that the command uses, which tests replace. */
export type CommandEnvironment = {
	readonly environmentVariables: Readonly<Record<string, string | undefined>>;
	/** Prints a line to standard output. */
	readonly print: (line: string) => void;
	/** Prints a line to standard error. */
	readonly printError: (line: string) => void;
	/** Reads a file; `-` is standard input. */
	readonly readInput: (path: string) => Promise<string>;
	readonly fetch: typeof fetch;
	readonly clock: Clock;
	/** Aborts the command. */
	readonly signal: AbortSignal;
};

/** Options that every command accepts. */
type GlobalOptions = {readonly server: string | undefined; readonly output: OutputFormat};

const outputFormats: readonly OutputFormat[] = ['table', 'json'];
const exitCodeHelp = [
	'Exit codes:',
	'  0  done',
	'  1  the command line or a resource is wrong, or the change was refused (conflict, invalid, not found)',
	'  2  no server answered, or the platform\'s store is unavailable; the same command may succeed later',
].join('\n');

/**
 * Runs one command line.
 * @param args - arguments after `crocusloom`
 * @returns the exit code
 */
export async function run(args: readonly string[], environment: CommandEnvironment): Promise<ExitCode> {
	try {
		await buildParser(args, environment).parseAsync();
		return exitCodes.done;
	} catch (error) {
		const commandError = error instanceof CommandError ? error : new CommandError([error instanceof Error ? error.message : String(error)], exitCodes.refused);
		for (const line of commandError.lines) {
			environment.printError(`crocusloom: ${line}`);
		}

		return commandError.exitCode;
	}
}

function buildParser(args: readonly string[], environment: CommandEnvironment): Argv<GlobalOptions> {
	const parser = yargs([...args])
		.scriptName('crocusloom')
		.option('server', {
			type: 'string', default: environment.environmentVariables.CROCUSLOOM_SERVER, defaultDescription: 'CROCUSLOOM_SERVER', describe: 'URL of the resource API of any proxy',
		})
		.option('output', {
			alias: 'o', choices: outputFormats, default: 'table', describe: 'form of lists and reports',
		}) as Argv<GlobalOptions>;
	const parserWithCommands = addReportCommands(addResourceCommands(parser, environment), environment);
	return parserWithCommands
		.demandCommand(1, 'a command is needed; see crocusloom --help')
		.strict()
		.exitProcess(false)
		.showHelpOnFail(false)
		.fail((message, error: Error | undefined) => {
			throw error ?? createRefusalError(message.replaceAll(/\s*\n\s*/gv, ' '));
		})
		.epilogue(exitCodeHelp);
}

function addResourceCommands(parser: Argv<GlobalOptions>, environment: CommandEnvironment): Argv<GlobalOptions> {
	const kindPositional = {choices: resourceKinds, demandOption: true, describe: 'kind of resource'} as const;
	return parser
		.command('get <kind> [name]', 'print a resource, or all of a kind', command => command
			.positional('kind', kindPositional)
			.positional('name', {type: 'string'}), async ({kind, name, ...globalOptions}) => {
			await getCommand(createContext(globalOptions, environment), kind, name, globalOptions.output);
		})
		.command('apply', 'create or replace the resources of a file', command => command.option('file', {
			alias: 'f', type: 'string', demandOption: true, describe: 'JSON: a resource or a list; - for standard input',
		}), async ({file, ...globalOptions}) => {
			await applyCommand(createContext(globalOptions, environment), file);
		})
		.command('delete <kind> <name>', 'delete a resource', command => command.positional('kind', kindPositional).positional('name', {type: 'string', demandOption: true})
			.option('revision', {type: 'number', describe: 'delete only at this revision'}), async ({kind, name, revision, ...globalOptions}) => {
			await deleteCommand(createContext(globalOptions, environment), kind, name, revision);
		})
		.command('watch', 'print changes as JSON lines', command => command
			.option('since', {type: 'number', default: 0, describe: 'revision after which changes are printed'}), async ({since, ...globalOptions}) => {
			await watchCommand(createContext(globalOptions, environment), since);
		});
}

function addReportCommands(parser: Argv<GlobalOptions>, environment: CommandEnvironment): Argv<GlobalOptions> {
	return parser
		.command('status', 'print conditions, groups, hosts and held databases', command => command, async globalOptions => {
			await statusCommand(createContext(globalOptions, environment), globalOptions.output);
		})
		.command('explain <database> <statement>', 'print why a statement goes where it goes now', command => command
			.positional('database', {type: 'string', demandOption: true, describe: 'database name of the caller\'s startup message'})
			.positional('statement', {type: 'string', demandOption: true})
			.option('user', {type: 'string'})
			.option('application', {type: 'string'})
			.option('session', {type: 'string', describe: 'session token'}), async ({application, database, session, statement, user, ...globalOptions}) => {
			await explainCommand(createContext(globalOptions, environment), {
				database, statement, user, application, session,
			}, globalOptions.output);
		})
		.command('promotions', 'print the promotions that the server has seen', command => command, async globalOptions => {
			await promotionsCommand(createContext(globalOptions, environment), globalOptions.output);
		});
}

function createContext({server}: Pick<GlobalOptions, 'server'>, environment: CommandEnvironment): CommandContext {
	if (!server) {
		throw new CommandError(['no server is given; use --server URL or set CROCUSLOOM_SERVER'], exitCodes.refused);
	}

	const {clock, fetch: fetchFunction, print, readInput, signal} = environment;
	return {
		client: new ApiClient({
			server, clock, fetch: fetchFunction, signal,
		}), print, readInput,
	};
}
