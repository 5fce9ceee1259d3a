import {createServer} from 'node:net';
import {listen, portOf} from '../common/jsonServer.js';

/** Ports that were returned before. A process may not listen on its port yet when another search finds it free. */
const returnedPorts = new Set<number>();

/**
 * Finds free ports. No port is returned twice, also to concurrent calls.
 * @param count - number of ports
 * @param host - address on which the ports are free
 */
export async function findFreePorts(count: number, host: string): Promise<readonly number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const candidates = await listenOnFreePorts(count - ports.length, host);
		const newPorts = candidates.filter(port => !returnedPorts.has(port));
		for (const port of newPorts) {
			returnedPorts.add(port);
		}

		ports.push(...newPorts);
	}

	return ports;
}

/** Listens on ports that the system chooses until the last one is known, and closes them. */
async function listenOnFreePorts(count: number, host: string): Promise<readonly number[]> {
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
