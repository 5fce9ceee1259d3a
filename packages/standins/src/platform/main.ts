/**
 * Entry point of the platform process. Prints a JSON line when it is ready.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Platform} from './platform.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		host: {type: 'string', default: '127.0.0.1', describe: 'address to listen on'},
		port: {type: 'number', default: 0, describe: 'port of the service; 0 picks a free port'},
		'control-port': {type: 'number', describe: 'port of the control API, which injects faults; 0 picks a free port'},
		'writes-per-second': {type: 'number', default: 300, describe: 'write calls per second beyond which the service responds with 429'},
		'reads-per-second': {type: 'number', default: 2000, describe: 'read calls per second beyond which the service responds with 429'},
		'host-lag-ms': {type: 'number', default: 0, describe: 'delay before a change of the host list becomes visible'},
		name: {type: 'string', describe: 'name shown in process lists'},
	})
	.parse();

const platform = new Platform(options);
await platform.start();
console.log(JSON.stringify({ready: true, port: platform.port, controlPort: platform.controlPort}));

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(0);
	});
}
