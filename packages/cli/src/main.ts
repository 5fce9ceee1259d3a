#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {systemClock} from '@crocusloom/model';
import {run} from './run.js';

const interruptController = new AbortController();
process.once('SIGINT', () => {
	interruptController.abort();
});

process.exitCode = await run(process.argv.slice(2), {
	environmentVariables: process.env,
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	printError(line) {
		process.stderr.write(`${line}\n`);
	},
	readInput: async path => path === '-' ? text(process.stdin) : readFile(path, 'utf8'),
	fetch,
	clock: systemClock,
	signal: interruptController.signal,
});
