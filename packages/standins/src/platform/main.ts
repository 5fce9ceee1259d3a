/**
 * Platform process. Prints one JSON line when it is ready.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Platform} from './platform.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		host: {type: 'string', default: '127.0.0.1', describe: 'address to listen on'},
		port: {type: 'number', default: 0, describe: 'port of the service; 0 picks one'},
		'control-port': {type: 'number', describe: 'port of the fault switches; 0 picks one'},
		'writes-per-second': {type: 'number', default: 300, describe: 'rate of writes beyond which calls answer 429'},
		'reads-per-second': {type: 'number', default: 2000, describe: 'rate of reads beyond which calls answer 429'},
		'host-lag-ms': {type: 'number', default: 0, describe: 'lag of the list of hosts'},
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
