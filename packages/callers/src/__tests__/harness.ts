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

/** A caller server on a fake backend. */
export class Harness {
	static async start(options: Partial<CallerServerOptions> = {}): Promise<Harness> {
		const harness = new Harness(new FakeBackend(), options);
		harness.port = await harness.server.listen(harness.closeController.signal);
		return harness;
	}

	port = 0;
	readonly server: CallerServer;
	private readonly closeController = new AbortController();

	constructor(readonly fakeBackend: FakeBackend, options: Partial<CallerServerOptions> = {}) {
		this.server = new CallerServer({
			address: '127.0.0.1',
			port: 0,
			configuration,
			dispatcher: fakeBackend,
			directory,
			clock: systemClock,
			random: systemRandom,
			log: noopLogger,
			metrics: noopMetrics,
			tracer: noopTracer,
			...options,
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
		this.closeController.abort();
	}
}

/** Holds the harness of the current test. */
export class HarnessScope {
	private currentHarness: Harness | undefined;

	get harness(): Harness {
		return this.currentHarness!;
	}

	async start(options?: Partial<CallerServerOptions>): Promise<void> {
		this.currentHarness = await Harness.start(options);
	}

	close(): void {
		this.currentHarness?.close();
	}
}

/** Returns the error with which the promise rejects, typed as an error of the PostgreSQL client. */
export async function rejectionOf(promise: Promise<unknown>): Promise<pg.DatabaseError> {
	try {
		await promise;
	} catch (error) {
		return error as pg.DatabaseError;
	}

	throw new Error('expected the promise to reject');
}

/** Runs a query and returns the first column of its rows. */
export async function queryFirstColumn(client: pg.Client, text: string, values?: readonly string[]): Promise<readonly unknown[]> {
	const result = await client.query<Readonly<Record<string, unknown>>>(text, values && [...values]);
	return result.rows.map(row => Object.values(row)[0]);
}

/** Polls until the condition holds. If it never does, mocha's timeout fails the test. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await systemClock.sleep(2);
	}
}
