import {createServer} from 'node:net';
import {listen, portOf} from '../common/jsonServer.js';

/**
 * Finds free ports. All are held open until the last is found, so that they differ.
 * @param count - number of ports
 * @param host - address on which they are free
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
