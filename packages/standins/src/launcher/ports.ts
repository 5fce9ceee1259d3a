import {createServer} from 'node:net';
import {listen, portOf} from '../common/jsonServer.js';

/**
 * Finds free ports. All of them are listened on until the last one is found, so that no port is returned twice.
 * @param count - number of ports
 * @param host - address on which the ports are free
 */
export async function findFreePorts(count: number, host: string): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer());
	await Promise.all(servers.map(async server => listen(server, host, 0)));
	const ports = servers.map(server => portOf(server));
	await Promise.all(servers.map(async server => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	})));
	return ports;
}
