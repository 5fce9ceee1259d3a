#!/usr/bin/env node
import {setMaxListeners} from 'node:events';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import './decoratorMetadata.js';
import {createContainer} from './composition.js';
import {Daemon} from './daemon.js';
import {formatProblem, readSettings, type Settings} from './settings.js';
import {tokens} from './tokens.js';
import {reportUnexpectedErrors} from './unexpectedErrors.js';

/** Exit code if the settings file is invalid. */
const invalidSettingsExitCode = 2;

/** Time after the drain deadline after which the process exits even if some parts have not closed. */
const exitGraceMs = 1000;

function loadSettings(file: string): Settings {
	const result = readSettings(file);
	if (result.kind === 'valid') {
		return result.settings;
	}

	for (const problem of result.problems) {
		console.error(formatProblem(result.file, problem));
	}

	process.exit(invalidSettingsExitCode);
}

async function run(settings: Settings): Promise<void> {
	const shutdownController = new AbortController();
	// Every part of the process listens to this signal, so the warning about a possible listener leak does not apply.
	setMaxListeners(0, shutdownController.signal);
	const container = createContainer(settings, shutdownController.signal);
	const daemon = container.resolve(Daemon);
	let isShuttingDown = false;
	const shutDown = async () => {
		if (isShuttingDown) {
			return;
		}

		isShuttingDown = true;
		const forcedExitTimer = setTimeout(() => process.exit(1), settings.drain.deadlineMs + exitGraceMs);
		forcedExitTimer.unref();
		await daemon.drain();
		shutdownController.abort(new Error('the proxy is shutting down'));
		process.exit(0);
	};

	for (const name of ['SIGTERM', 'SIGINT'] as const) {
		process.on(name, () => {
			void shutDown();
		});
	}

	await daemon.start();
	// An error during the start ends the process; only one that serves callers goes on.
	reportUnexpectedErrors(process, daemon.log, container.resolve(tokens.promMetrics));
}

await yargs(hideBin(process.argv))
	.scriptName('crocusloomd')
	.command(['run', '$0'], 'Run the proxy', builder => builder.option('settings', {type: 'string', demandOption: true, describe: 'INI file'}), async ({settings}) => run(loadSettings(settings)))
	.command('check-settings <file>', 'Check a settings file and report every problem', builder => builder.positional('file', {type: 'string', demandOption: true}), ({file}) => {
		loadSettings(file);
		console.log(`${file}: valid`);
	})
	.demandCommand(1)
	.strict()
	.help()
	.parseAsync();
