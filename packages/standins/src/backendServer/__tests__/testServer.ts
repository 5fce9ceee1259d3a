import pg from 'pg';
import {BackendServer, type BackendServerOptions} from '../server.js';

/** Servers and clients of one test, closed together. */
export class TestServers {
	private readonly servers: BackendServer[] = [];
	private readonly clients: pg.Client[] = [];

	async start(options: BackendServerOptions = {}): Promise<BackendServer> {
		const server = new BackendServer({serviceMs: 0, connectMs: 0, ...options});
		await server.start();
		this.servers.push(server);
		return server;
	}

	/** A primary and replicas that follow it. */
	async startGroup(replicas: number): Promise<readonly BackendServer[]> {
		const primary = await this.start({initialPrimary: true});
		const others: BackendServer[] = [];
		for (let index = 0; index < replicas; index++) {
			others.push(await this.start({follow: primary.address}));
		}

		return [primary, ...others];
	}

	async connect(server: BackendServer, config: pg.ClientConfig = {}): Promise<pg.Client> {
		const client = new pg.Client({
			host: '127.0.0.1', port: server.port, user: 'tester', database: 'test', ...config,
		});
		client.on('error', () => {
			// Tests that break connections look at the rejected queries.
		});
		await client.connect();
		this.clients.push(client);
		return client;
	}

	async stop(): Promise<void> {
		await Promise.all(this.servers.map(async server => server.stop()));
		this.servers.length = 0;
		this.clients.length = 0;
	}
}

/** Rows of a statement as arrays, or its SQLSTATE. */
export async function outcome(client: pg.Client, text: string, values?: readonly unknown[]): Promise<unknown> {
	try {
		const result = await client.query<unknown[]>({text, values: values && [...values], rowMode: 'array'});
		return result.rows;
	} catch (error) {
		return (error as {readonly code?: string}).code ?? 'connection lost';
	}
}

/** Polls until the condition holds; the test's own time limit ends a wait that never does. */
export async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
