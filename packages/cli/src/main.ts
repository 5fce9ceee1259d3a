#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {systemClock} from '@crocusloom/model';
import {run} from './run.js';

const abort = new AbortController();
process.once('SIGINT', () => {
	abort.abort();
});

process.exitCode = await run(process.argv.slice(2), {
	variables: process.env,
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	printError(line) {
		process.stderr.write(`${line}\n`);
	},
	readInput: async path => path === '-' ? text(process.stdin) : readFile(path, 'utf8'),
	fetch,
	clock: systemClock,
	signal: abort.signal,
});
