/**
 * Runs `crocusloomd` with a switch for network partitions. On SIGUSR2 it reads the ports to cut off from the file named
 * as the settings file with `.cut` appended, a JSON list of numbers.
 */
import {readFileSync} from 'node:fs';
import {Partition} from './partition.js';

const settingsFile = process.argv[process.argv.indexOf('--settings') + 1]!;
const partition = new Partition();
partition.install();
process.on('SIGUSR2', () => {
	partition.set(JSON.parse(readFileSync(`${settingsFile}.cut`, 'utf8')) as readonly number[]);
});
const daemon = new URL('../../daemon/lib/main.js', import.meta.url).href;
await import(daemon);
