import pg from 'pg';
import {BackendServer, type BackendServerOptions} from '../server.js';

/** Servers and clients of a test, which are closed together. */
export class TestServers {
	private readonly servers: BackendServer[] = [];
	private readonly clients: pg.Client[] = [];

	async start(options: BackendServerOptions = {}): Promise<BackendServer> {
		const server = new BackendServer({serviceMs: 0, connectMs: 0, ...options});
		await server.start();
		this.servers.push(server);
		return server;
	}

	/** Starts a primary and replicas that follow it. */
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
			// Ignored: tests that break connections check the rejected queries.
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

/** Runs a statement. @returns its rows as arrays, its SQLSTATE, or `connection lost` */
export async function queryOutcome(client: pg.Client, text: string, values?: readonly unknown[]): Promise<unknown> {
	try {
		const result = await client.query<unknown[]>({text, values: values && [...values], rowMode: 'array'});
		return result.rows;
	} catch (error) {
		return (error as {readonly code?: string}).code ?? 'connection lost';
	}
}

/** Polls until the condition holds. The timeout of the test ends a wait for a condition that never does. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
