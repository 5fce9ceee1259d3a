import {assert} from 'chai';
import type pg from 'pg';
import {type BackendServer} from '../server.js';
import {outcome, TestServers, until} from './testServer.js';

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

	it('guards against other transactions seeing uncommitted writes', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin');
		await a.query('update t set n = 9 where id = 1');
		assert.deepEqual(await outcome(b, 'select n from t where id = 1'), [[0]]);
		await a.query('commit');
		assert.deepEqual(await outcome(b, 'select n from t where id = 1'), [[9]]);
	});

	it('guards against a lost update between two writers of one row', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin');
		await a.query('update t set n = n + 1 where id = 1');
		const waiting = outcome(b, 'update t set n = n + 1 where id = 1 returning n');
		await untilRunning(server, 2);
		await a.query('commit');
		assert.deepEqual(await waiting, [[2]]);
	});

	it('guards against a duplicate key while the first insert is not committed', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin');
		await a.query('insert into t values (3, 0)');
		const waiting = outcome(b, 'insert into t values (3, 1)');
		await untilRunning(server, 2);
		await a.query('commit');
		assert.equal(await waiting, '23505');
	});

	it('guards against a lock waiter occupying a slot', async () => {
		const [a, ...others] = clients as [pg.Client, ...pg.Client[]];
		await a.query('begin');
		await a.query('update t set n = 1 where id = 1');
		const waiting = others.slice(0, 3).map(async client => outcome(client, 'update t set n = n + 1 where id = 1'));
		await untilRunning(server, 4);
		assert.deepEqual(await outcome(others[3]!, 'select 1'), [[1]]);
		await a.query('commit');
		assert.deepEqual(await Promise.all(waiting), [[], [], []]);
	});

	it('guards against a deadlock that lasts', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin; update t set n = 1 where id = 1');
		await b.query('begin; update t set n = 1 where id = 2');
		const waiting = outcome(a, 'update t set n = 1 where id = 2');
		await untilRunning(server, 3);
		assert.equal(await outcome(b, 'update t set n = 1 where id = 1'), '40P01');
		await b.query('rollback');
		assert.deepEqual(await waiting, []);
	});

	it('guards against more statements at once than slots', async () => {
		server.faults.set({serviceMs: 5});
		await Promise.all(clients.map(async client => client.query('select 1')));
		const {maxConcurrentStatements, statements} = server.readCounters();
		assert.deepEqual({maxConcurrentStatements, statements}, {maxConcurrentStatements: 3, statements: 5});
	});

	it('guards against position functions waiting for a slot', async () => {
		const sleeping = clients.slice(0, 3).map(async client => outcome(client, 'select pg_sleep(60)'));
		await until(() => server.readCounters().statements === 3);
		assert.equal((await outcome(clients[3]!, 'select * from crocusloom_position()') as unknown[]).length, 1);
		server.killConnections();
		assert.deepEqual(await Promise.all(sleeping), ['connection lost', 'connection lost', 'connection lost']);
	});

	it('guards against a canceled statement that goes on, or a connection that is lost with it', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		const {rows: before} = await b.query<{n: number}>('select n from t where id = 1');
		const sleeping = outcome(a, 'select pg_sleep(60)');
		await until(() => server.readCounters().statementsByKind.select === 2);
		// The types of pg leave out how it cancels a query.
		const canceler = new (a.constructor as new (config: object) => {cancel(client: unknown, query: unknown): void})({host: '127.0.0.1', port: server.port});
		canceler.cancel(a, (a as unknown as {readonly activeQuery: unknown}).activeQuery);
		assert.equal(await sleeping, '57014');
		assert.deepEqual(await outcome(a, 'select n from t where id = 1'), [[before[0]!.n]]);
	});

	it('guards against more connections than the limit', async () => {
		await servers.connect(server);
		const refused = await servers.connect(server).catch((error: unknown) => (error as {readonly code: string}).code);
		assert.equal(refused, '53300');
		assert.equal(server.readCounters().connectionsRefused, 1);
	});

	it('guards against locks of a connection that is gone', async () => {
		const [a, b] = clients as [pg.Client, pg.Client];
		await a.query('begin; update t set n = 5 where id = 1');
		await a.end();
		assert.deepEqual(await outcome(b, 'update t set n = n + 1 where id = 1 returning n'), [[1]]);
	});
});

/** Waits until the server has begun to run so many updates or inserts since the counters were reset. */
async function untilRunning(server: BackendServer, writes: number): Promise<void> {
	await until(() => {
		const {update = 0, insert = 0} = server.readCounters().statementsByKind;
		return update + insert >= writes;
	});
}
