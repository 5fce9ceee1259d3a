/**
 * Entry point of the backend server process. Prints a JSON line when it is ready.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {BackendServer} from './server.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		host: {type: 'string', default: '127.0.0.1', describe: 'address to listen on'},
		port: {type: 'number', default: 0, describe: 'port for clients and replicas; 0 picks a free port'},
		'control-port': {type: 'number', describe: 'port of the control API, which injects faults; 0 picks a free port'},
		slots: {type: 'number', default: 3, describe: 'maximum number of concurrent statements'},
		connections: {type: 'number', default: 20, describe: 'maximum number of connections'},
		'connect-ms': {type: 'number', default: 10, describe: 'delay before a new connection is ready'},
		password: {type: 'string', describe: 'clear-text password that clients must send'},
		'service-ms': {type: 'number', default: 2, describe: 'time that a statement takes'},
		'write-service-ms': {type: 'number', describe: 'time that a write takes; default: --service-ms'},
		'lag-ms': {type: 'number', default: 0, describe: 'delay before a received record is applied'},
		'initial-primary': {type: 'boolean', default: false, describe: 'start as the primary of term 1'},
		follow: {type: 'string', describe: 'address of the primary of term 1 to follow'},
		name: {type: 'string', describe: 'name shown in process lists'},
	})
	.parse();

const server = new BackendServer({...options, connectionLimit: options.connections});
await server.start();
console.log(JSON.stringify({ready: true, port: server.port, controlPort: server.controlPort}));

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(0);
	});
}
