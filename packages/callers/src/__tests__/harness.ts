import pg from 'pg';
import {
	noopLogger, noopMetrics, noopTracer, systemClock, systemRandom, type ConfigurationSource, type GroupDirectory,
} from '@crocusloom/model';
import {CallerServer} from '../server.js';
import {type CallerServerOptions} from '../types.js';
import {FakeBackend, fakeConfiguration} from './fakeBackend.js';

const configuration: ConfigurationSource = {current: () => fakeConfiguration, onChange: () => undefined};

const directory: GroupDirectory = {
	stateOf: () => undefined,
	states: () => [],
	commitPosition: async () => ({term: 0, offsetBytes: 0}),
	promotions: () => [],
};

/** A server over a fake backend, with what a test opened on it. */
export class Harness {
	static async start(options: Partial<CallerServerOptions> = {}): Promise<Harness> {
		const harness = new Harness(new FakeBackend(), options);
		harness.port = await harness.server.listen(harness.stop.signal);
		return harness;
	}

	port = 0;
	readonly server: CallerServer;
	private readonly stop = new AbortController();

	constructor(readonly fake: FakeBackend, options: Partial<CallerServerOptions> = {}) {
		this.server = new CallerServer({
			address: '127.0.0.1', port: 0, configuration, dispatcher: fake, directory, clock: systemClock, random: systemRandom, log: noopLogger, metrics: noopMetrics, tracer: noopTracer, ...options,
		});
	}

	async connect(options: pg.ClientConfig = {}): Promise<pg.Client> {
		const client = new pg.Client({
			host: '127.0.0.1', port: this.port, user: 'desk', database: 'app', password: 'secret', ...options,
		});
		client.on('error', () => undefined);
		await client.connect();
		return client;
	}

	close(): void {
		this.stop.abort();
	}
}

/** The harness of the test that runs now. */
export class HarnessScope {
	private current: Harness | undefined;

	get harness(): Harness {
		return this.current!;
	}

	async start(options?: Partial<CallerServerOptions>): Promise<void> {
		this.current = await Harness.start(options);
	}

	close(): void {
		this.current?.close();
	}
}

/** Gives what an awaited call threw, as the error fields of the PostgreSQL client. */
export async function errorOf(promise: Promise<unknown>): Promise<pg.DatabaseError> {
	try {
		await promise;
	} catch (error) {
		return error as pg.DatabaseError;
	}

	throw new Error('an error was expected');
}

/** Rows of a query. */
export async function rowsOf(client: pg.Client, text: string, values?: readonly string[]): Promise<readonly unknown[]> {
	const result = await client.query<Readonly<Record<string, unknown>>>(text, values && [...values]);
	return result.rows.map(row => Object.values(row)[0]);
}

/** Polls until a condition holds; mocha's timeout ends a wait in vain. */
export async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await systemClock.sleep(2);
	}
}
