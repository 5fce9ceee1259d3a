#!/usr/bin/env node
import 'reflect-metadata';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {createContainer} from './composition.js';
import {Daemon} from './daemon.js';
import {formatProblem, readSettings, type Settings} from './settings.js';

/** Exit code for settings that do not pass the check. */
const invalidSettingsExitCode = 2;

/** Time after the drain's deadline at which the process ends although something still runs. */
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
	const lifetime = new AbortController();
	// Every connection and task may listen to the signal of the whole process.
	const daemon = createContainer(settings, lifetime.signal).resolve(Daemon);
	let isStopping = false;
	const stop = async () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		const overdue = setTimeout(() => process.exit(1), settings.drain.deadlineMs + exitGraceMs);
		overdue.unref();
		await daemon.drain();
		lifetime.abort(new Error('the process stops'));
		process.exit(0);
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	await daemon.start();
}

await yargs(hideBin(process.argv))
	.scriptName('crocusloomd')
	.command('run', 'Run the proxy', builder => builder.option('settings', {type: 'string', demandOption: true, describe: 'INI file'}), async ({settings}) => run(loadSettings(settings)))
	.command('check-settings <file>', 'Check a settings file and report every problem', builder => builder.positional('file', {type: 'string', demandOption: true}), ({file}) => {
		loadSettings(file);
		console.log(`${file}: valid`);
	})
	.demandCommand(1)
	.strict()
	.help()
	.parseAsync();
