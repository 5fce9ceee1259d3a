import {assert} from 'chai';
import type pg from 'pg';
import {type BackendServer} from '../server.js';
import {outcome, TestServers, until} from './testServer.js';

describe('backend server terms and replication', () => {
	const servers = new TestServers();
	let group: readonly [BackendServer, BackendServer, BackendServer];
	let clients: readonly [pg.Client, pg.Client, pg.Client];

	beforeEach(async () => {
		group = await servers.startGroup(2) as unknown as typeof group;
		clients = await Promise.all(group.map(async server => servers.connect(server))) as unknown as typeof clients;
		await clients[0].query('create table t (id int primary key)');
		await Promise.all(group.map(async server => until(() => server.database.position.offsetBytes === group[0].database.position.offsetBytes)));
	});
	afterEach(async () => servers.stop());

	const call = async (index: number, text: string) => {
		const rows = await outcome(clients[index]!, `select ${text}`);
		return Array.isArray(rows) ? (rows as unknown[][])[0]![0] : rows;
	};

	const positionArgs = (index: number) => {
		const {term, offsetBytes} = group[index]!.database.position;
		return `${term}, ${offsetBytes}`;
	};

	type Step = {readonly at: number; readonly text: string; readonly expected: unknown};
	const fenceCases: ReadonlyArray<{readonly guards: string; readonly steps: readonly Step[]}> = [
		{
			guards: 'two owners of one term', steps: [
				{at: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_fence(2, \'b\')', expected: false},
				{at: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
			],
		},
		{
			guards: 'a term that goes back', steps: [
				{at: 1, text: 'crocusloom_fence(3, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_fence(2, \'a\')', expected: false},
			],
		},
		{
			guards: 'a promotion that a later fence has overtaken', steps: [
				{at: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_fence(3, \'b\')', expected: true},
				{at: 1, text: 'crocusloom_promote(2, \'a\')', expected: false},
				{at: 1, text: 'pg_is_in_recovery()', expected: true},
			],
		},
		{
			guards: 'a promotion by another owner, and a lost answer that cannot be repeated', steps: [
				{at: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_promote(2, \'b\')', expected: false},
				{at: 1, text: 'crocusloom_promote(2, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_promote(2, \'a\')', expected: true},
			],
		},
		{
			guards: 'following a term below the fenced one', steps: [
				{at: 1, text: 'crocusloom_fence(3, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_follow(2, \'127.0.0.1:1\')', expected: false},
			],
		},
		{
			guards: 'a wait that counts for a replaced primary', steps: [
				{at: 1, text: 'crocusloom_wait_position(1, 1, 0)', expected: 'reached'},
				{at: 1, text: 'crocusloom_wait_position(1, 999999, 0)', expected: 'timeout'},
				{at: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{at: 1, text: 'crocusloom_wait_position(1, 1, 0)', expected: 'superseded'},
				{at: 1, text: 'crocusloom_wait_position(2, 0, 0)', expected: 'timeout'},
			],
		},
	];

	for (const {guards, steps} of fenceCases) {
		it(`guards against ${guards}`, async () => {
			for (const {at, text, expected} of steps) {
				assert.equal(await call(at, text), expected, text);
			}
		});
	}

	it('guards against writes at a replica or at a fenced primary', async () => {
		assert.equal(await outcome(clients[1], 'insert into t values (1)'), '25006');
		await call(0, 'crocusloom_fence(2, \'a\')');
		assert.equal(await outcome(clients[0], 'insert into t values (1)'), '25006');
	});

	it('guards against a transaction that commits after the fence', async () => {
		await clients[0].query('begin');
		await clients[0].query('insert into t values (1)');
		const before = group[0].database.position;
		group[0].database.fence(2, 'a');
		assert.equal(await outcome(clients[0], 'commit'), '40001');
		assert.deepEqual(group[0].database.position, before);
	});

	it('guards against a single write whose service time a fence interrupts', async () => {
		group[0].faults.set({writeServiceMs: 500});
		const writing = outcome(clients[0], 'insert into t values (1)');
		await until(() => group[0].readCounters().statementsByKind.insert === 1);
		group[0].database.fence(2, 'a');
		assert.equal(await writing, '25006');
	});

	it('guards against a divergent tail that survives, or a record of a replaced primary that is applied', async () => {
		group[1].faults.set({cut: [group[0].address]});
		group[2].faults.set({cut: [group[0].address]});
		// Two rows, because one could be overwritten by the new primary's row in the same place.
		await clients[0].query('insert into t values (1), (3)');
		await call(1, 'crocusloom_fence(2, \'a\')');
		await call(2, 'crocusloom_fence(2, \'a\')');
		await call(1, 'crocusloom_promote(2, \'a\')');
		await call(2, `crocusloom_follow(2, '${group[1].address}')`);
		await clients[1].query('insert into t values (2)');
		group[1].faults.set({cut: []});
		group[2].faults.set({cut: []});
		await call(0, `crocusloom_follow(2, '${group[1].address}')`);
		for (const index of [0, 1, 2]) {
			assert.equal(await call(index, `crocusloom_wait_position(${positionArgs(1)}, 20000)`), 'reached');
			assert.deepEqual(await outcome(clients[index]!, 'select id from t'), [[2]]);
			assert.deepEqual(group[index]!.database.log.termEnds(), group[1].database.log.termEnds());
		}
	});

	it('guards against a fenced replica that still takes records of the replaced primary', async () => {
		await call(1, 'crocusloom_fence(2, \'a\')');
		await clients[0].query('insert into t values (1)');
		assert.equal(await call(2, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
		// A second record after the first has reached the other replica gives a wrongly open stream time to deliver.
		await clients[0].query('insert into t values (2)');
		assert.equal(await call(2, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
		assert.deepEqual(await outcome(clients[1], 'select id from t'), []);
	});

	it('guards against a replica that reports records which it has not applied', async () => {
		group[1].faults.set({replicationPaused: true});
		await clients[0].query('insert into t values (1)');
		assert.equal(await call(2, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
		assert.equal(await call(1, `crocusloom_wait_position(${positionArgs(0)}, 0)`), 'timeout');
		assert.deepEqual(await outcome(clients[1], 'select id from t'), []);
		group[1].faults.set({replicationPaused: false});
		assert.equal(await call(1, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
	});

	it('guards against a primary that comes back with empty memory and still leads', async () => {
		const restarted = await servers.start();
		const client = await servers.connect(restarted);
		assert.deepEqual(await outcome(client, 'select role, fenced_term, log_term from crocusloom_status()'), [['replica', '0', '0']]);
		assert.equal(await outcome(client, 'create table x (id int)'), '25006');
	});

	it('guards against a database that counts for a majority before it has rebuilt its state', async () => {
		const restarted = await servers.start();
		const client = await servers.connect(restarted);
		restarted.faults.set({replicationPaused: true});
		const ask = async (text: string) => (await outcome(client, text) as unknown[][])[0]!;
		assert.deepEqual(await ask(`select crocusloom_follow(1, '${group[0].address}')`), [true]);
		const status = 'select fenced_term, follows_term from crocusloom_status()';
		assert.deepEqual(await ask(status), ['0', '1']);
		assert.deepEqual(await ask('select crocusloom_fence(2, \'a\')'), [false]);
		assert.deepEqual(await ask('select crocusloom_follow(0, \'127.0.0.1:1\')'), [false]);
		assert.deepEqual(await ask('select crocusloom_wait_position(1, 1, 0)'), ['timeout']);
		assert.equal(await outcome(client, 'select id from t'), '57P03');
		restarted.faults.set({replicationPaused: false});
		assert.deepEqual(await ask(`select crocusloom_wait_position(${positionArgs(0)}, 20000)`), ['reached']);
		assert.deepEqual(await ask(status), ['1', '1']);
		assert.deepEqual(await ask('select crocusloom_fence(2, \'a\')'), [true]);
	});

	it('guards against a frozen server that answers or loses what it was asked', async () => {
		group[0].faults.set({frozen: true});
		let isAnswered = false;
		const answer = outcome(clients[0], 'insert into t values (7) returning id').finally(() => {
			isAnswered = true;
		});
		await outcome(clients[1], 'select pg_sleep(0.02)');
		assert.isFalse(isAnswered);
		group[0].faults.set({frozen: false});
		assert.deepEqual(await answer, [[7]]);
	});

	it('guards against a dropped answer without its effect', async () => {
		group[0].faults.set({dropAnswers: 1, dropKinds: ['insert']});
		assert.equal(await outcome(clients[0], 'insert into t values (8)'), 'connection lost');
		const client = await servers.connect(group[0]);
		assert.deepEqual(await outcome(client, 'select id from t'), [[8]]);
	});

	it('guards against a cut that holds back other clients', async () => {
		const cutOff = await servers.connect(group[0], {application_name: 'far'});
		group[0].faults.set({cut: ['far']});
		const held = outcome(cutOff, 'select 1');
		assert.deepEqual(await outcome(clients[0], 'select 1'), [[1]]);
		group[0].faults.set({cut: []});
		assert.deepEqual(await held, [[1]]);
	});
});
