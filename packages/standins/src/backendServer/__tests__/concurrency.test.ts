import {assert} from 'chai';
import type pg from 'pg';
import {type BackendServer} from '../server.js';
import {queryOutcome, TestServers, waitUntil} from './testServer.js';

describe('backend server concurrency', () => {
	const servers = new TestServers();
	let server: BackendServer;
	let clients: readonly pg.Client[];

	beforeEach(async () => {
		server = await servers.start({initialPrimary: true, connectionLimit: 6});
		clients = await Promise.all(Array.from({length: 5}, async () => servers.connect(server)));
		await clients[0]!.query('create table t (id int primary key, n int); insert into t values (1, 0), (2, 0)');
		server.resetCounters();
	});
	afterEach(async () => servers.stop());

	it('guards against uncommitted writes that other transactions see', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin');
		await a.query('update t set n = 9 where id = 1');
		assert.deepEqual(await queryOutcome(b, 'select n from t where id = 1'), [[0]]);
		await a.query('commit');
		assert.deepEqual(await queryOutcome(b, 'select n from t where id = 1'), [[9]]);
	});

	it('guards against a lost update between two writers of one row', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin');
		await a.query('update t set n = n + 1 where id = 1');
		const pendingUpdate = queryOutcome(b, 'update t set n = n + 1 where id = 1 returning n');
		await waitForWrites(server, 2);
		await a.query('commit');
		assert.deepEqual(await pendingUpdate, [[2]]);
	});

	it('guards against a duplicate key while the first insert is not committed', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin');
		await a.query('insert into t values (3, 0)');
		const pendingInsert = queryOutcome(b, 'insert into t values (3, 1)');
		await waitForWrites(server, 2);
		await a.query('commit');
		assert.equal(await pendingInsert, '23505');
	});

	it('guards against a statement that occupies a slot while it waits for a lock', async () => {
		const [a, ...others] = clients as [pg.Client, ...pg.Client[]];
		await a.query('begin');
		await a.query('update t set n = 1 where id = 1');
		const pendingUpdates = others.slice(0, 3).map(async client => queryOutcome(client, 'update t set n = n + 1 where id = 1'));
		await waitForWrites(server, 4);
		assert.deepEqual(await queryOutcome(others[3]!, 'select 1'), [[1]]);
		await a.query('commit');
		assert.deepEqual(await Promise.all(pendingUpdates), [[], [], []]);
	});

	it('guards against a deadlock that is not detected', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin; update t set n = 1 where id = 1');
		await b.query('begin; update t set n = 1 where id = 2');
		const pendingUpdate = queryOutcome(a, 'update t set n = 1 where id = 2');
		await waitForWrites(server, 3);
		assert.equal(await queryOutcome(b, 'update t set n = 1 where id = 1'), '40P01');
		await b.query('rollback');
		assert.deepEqual(await pendingUpdate, []);
	});

	it('guards against more concurrent statements than slots', async () => {
		server.faults.set({serviceMs: 5});
		await Promise.all(clients.map(async client => client.query('select 1')));
		const {maxConcurrentStatements, statements} = server.readCounters();
		assert.deepEqual({maxConcurrentStatements, statements}, {maxConcurrentStatements: 3, statements: 5});
	});

	it('guards against position functions that wait for a slot', async () => {
		const sleepingQueries = clients.slice(0, 3).map(async client => queryOutcome(client, 'select pg_sleep(60)'));
		await waitUntil(() => server.readCounters().statements === 3);
		assert.equal((await queryOutcome(clients[3]!, 'select * from crocusloom_position()') as unknown[]).length, 1);
		server.killConnections();
		assert.deepEqual(await Promise.all(sleepingQueries), ['connection lost', 'connection lost', 'connection lost']);
	});

	it('guards against a canceled statement that keeps running, and a cancel request that closes the connection', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		const {rows: before} = await b.query<{n: number}>('select n from t where id = 1');
		const sleepingQuery = queryOutcome(a, 'select pg_sleep(60)');
		await waitUntil(() => server.readCounters().statementsByKind.select === 2);
		// The types of pg do not declare the method that sends a cancel request.
		const cancelClient = new (a.constructor as new (config: object) => {cancel(client: unknown, query: unknown): void})({host: '127.0.0.1', port: server.port});
		cancelClient.cancel(a, (a as unknown as {readonly activeQuery: unknown}).activeQuery);
		assert.equal(await sleepingQuery, '57014');
		assert.deepEqual(await queryOutcome(a, 'select n from t where id = 1'), [[before[0]!.n]]);
	});

	it('guards against more connections than the limit', async () => {
		await servers.connect(server);
		const errorCode = await servers.connect(server).catch((error: unknown) => (error as {readonly code: string}).code);
		assert.equal(errorCode, '53300');
		assert.equal(server.readCounters().connectionsRefused, 1);
	});

	it('guards against locks that outlive the connection of their transaction', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin; update t set n = 5 where id = 1');
		await a.end();
		assert.deepEqual(await queryOutcome(b, 'update t set n = n + 1 where id = 1 returning n'), [[1]]);
	});
});

/** Waits until the server has started `writes` updates or inserts since the counters were reset. */
async function waitForWrites(server: BackendServer, writes: number): Promise<void> {
	await waitUntil(() => {
		const {update = 0, insert = 0} = server.readCounters().statementsByKind;
		return update + insert >= writes;
	});
}
