/**
 * Runs `crocusloomd` with a simulated network partition. On SIGUSR2 it reads the remote ports to block from a JSON array of
 * numbers in the file named like the settings file with `.cut` appended.
 */
import {readFileSync} from 'node:fs';
import {NetworkPartition} from './partition.js';

const settingsFile = process.argv[process.argv.indexOf('--settings') + 1]!;
const partition = new NetworkPartition();
partition.install();
process.on('SIGUSR2', () => {
	partition.setBlockedPorts(JSON.parse(readFileSync(`${settingsFile}.cut`, 'utf8')) as readonly number[]);
});
const daemonUrl = new URL('../../daemon/lib/main.js', import.meta.url).href;
await import(daemonUrl);
