import {assert} from 'chai';
import type pg from 'pg';
import {type BackendServer} from '../server.js';
import {queryOutcome, TestServers, waitUntil} from './testServer.js';

describe('backend server terms and replication', () => {
	const servers = new TestServers();
	let group: readonly [BackendServer, BackendServer, BackendServer];
	let clients: readonly [pg.Client, pg.Client, pg.Client];

	beforeEach(async () => {
		group = await servers.startGroup(2) as unknown as typeof group;
		clients = await Promise.all(group.map(async server => servers.connect(server))) as unknown as typeof clients;
		await clients[0].query('create table t (id int primary key)');
		await Promise.all(group.map(async server => waitUntil(() => server.database.position.offsetBytes === group[0].database.position.offsetBytes)));
	});
	afterEach(async () => servers.stop());

	const callFunction = async (index: number, text: string) => {
		const rows = await queryOutcome(clients[index]!, `select ${text}`);
		return Array.isArray(rows) ? (rows as unknown[][])[0]![0] : rows;
	};

	const positionArgs = (index: number) => {
		const {term, offsetBytes} = group[index]!.database.position;
		return `${term}, ${offsetBytes}`;
	};

	type Step = {readonly serverIndex: number; readonly text: string; readonly expected: unknown};
	const fenceCases: ReadonlyArray<{readonly guards: string; readonly steps: readonly Step[]}> = [
		{
			guards: 'two fence owners of one term', steps: [
				{serverIndex: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_fence(2, \'b\')', expected: false},
				{serverIndex: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
			],
		},
		{
			guards: 'a fenced term that decreases', steps: [
				{serverIndex: 1, text: 'crocusloom_fence(3, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_fence(2, \'a\')', expected: false},
			],
		},
		{
			guards: 'a promotion at a term below the fenced one', steps: [
				{serverIndex: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_fence(3, \'b\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_promote(2, \'a\')', expected: false},
				{serverIndex: 1, text: 'pg_is_in_recovery()', expected: true},
			],
		},
		{
			guards: 'a promotion by another owner, and a promotion that fails when it is repeated after a lost response', steps: [
				{serverIndex: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_promote(2, \'b\')', expected: false},
				{serverIndex: 1, text: 'crocusloom_promote(2, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_promote(2, \'a\')', expected: true},
			],
		},
		{
			guards: 'following the primary of a term below the fenced one', steps: [
				{serverIndex: 1, text: 'crocusloom_fence(3, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_follow(2, \'127.0.0.1:1\')', expected: false},
			],
		},
		{
			guards: 'a wait that succeeds for a position of a replaced primary', steps: [
				{serverIndex: 1, text: 'crocusloom_wait_position(1, 1, 0)', expected: 'reached'},
				{serverIndex: 1, text: 'crocusloom_wait_position(1, 999999, 0)', expected: 'timeout'},
				{serverIndex: 1, text: 'crocusloom_fence(2, \'a\')', expected: true},
				{serverIndex: 1, text: 'crocusloom_wait_position(1, 1, 0)', expected: 'superseded'},
				{serverIndex: 1, text: 'crocusloom_wait_position(2, 0, 0)', expected: 'timeout'},
			],
		},
	];

	for (const {guards, steps} of fenceCases) {
		it(`guards against ${guards}`, async () => {
			for (const {serverIndex, text, expected} of steps) {
				assert.equal(await callFunction(serverIndex, text), expected, text);
			}
		});
	}

	it('guards against accepting writes at a replica or at a fenced primary', async () => {
		assert.equal(await queryOutcome(clients[1], 'insert into t values (1)'), '25006');
		await callFunction(0, 'crocusloom_fence(2, \'a\')');
		assert.equal(await queryOutcome(clients[0], 'insert into t values (1)'), '25006');
	});

	it('guards against a transaction that commits after the fence', async () => {
		await clients[0].query('begin');
		await clients[0].query('insert into t values (1)');
		const positionBefore = group[0].database.position;
		group[0].database.fence(2, 'a');
		assert.equal(await queryOutcome(clients[0], 'commit'), '40001');
		assert.deepEqual(group[0].database.position, positionBefore);
	});

	it('guards against a write that succeeds although a fence arrives during its service time', async () => {
		group[0].faults.set({writeServiceMs: 500});
		const pendingWrite = queryOutcome(clients[0], 'insert into t values (1)');
		await waitUntil(() => group[0].readCounters().statementsByKind.insert === 1);
		group[0].database.fence(2, 'a');
		assert.equal(await pendingWrite, '25006');
	});

	it('guards against a divergent log tail that is kept, and a record of a replaced primary that is applied', async () => {
		group[1].faults.set({cut: [group[0].address]});
		group[2].faults.set({cut: [group[0].address]});
		// Two rows, because the row of the new primary gets the same row id as the first one and could overwrite it.
		await clients[0].query('insert into t values (1), (3)');
		await callFunction(1, 'crocusloom_fence(2, \'a\')');
		await callFunction(2, 'crocusloom_fence(2, \'a\')');
		await callFunction(1, 'crocusloom_promote(2, \'a\')');
		await callFunction(2, `crocusloom_follow(2, '${group[1].address}')`);
		await clients[1].query('insert into t values (2)');
		group[1].faults.set({cut: []});
		group[2].faults.set({cut: []});
		await callFunction(0, `crocusloom_follow(2, '${group[1].address}')`);
		for (const index of [0, 1, 2]) {
			assert.equal(await callFunction(index, `crocusloom_wait_position(${positionArgs(1)}, 20000)`), 'reached');
			assert.deepEqual(await queryOutcome(clients[index]!, 'select id from t'), [[2]]);
			assert.deepEqual(group[index]!.database.log.termEnds(), group[1].database.log.termEnds());
		}
	});

	it('guards against a fenced replica that still applies records of the old primary', async () => {
		await callFunction(1, 'crocusloom_fence(2, \'a\')');
		await clients[0].query('insert into t values (1)');
		assert.equal(await callFunction(2, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
		// Waiting for a second record at the other replica gives a stream that was not closed the time to deliver the first.
		await clients[0].query('insert into t values (2)');
		assert.equal(await callFunction(2, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
		assert.deepEqual(await queryOutcome(clients[1], 'select id from t'), []);
	});

	it('guards against a replica that reports the position of records that it has not applied', async () => {
		group[1].faults.set({replicationPaused: true});
		await clients[0].query('insert into t values (1)');
		assert.equal(await callFunction(2, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
		assert.equal(await callFunction(1, `crocusloom_wait_position(${positionArgs(0)}, 0)`), 'timeout');
		assert.deepEqual(await queryOutcome(clients[1], 'select id from t'), []);
		group[1].faults.set({replicationPaused: false});
		assert.equal(await callFunction(1, `crocusloom_wait_position(${positionArgs(0)}, 20000)`), 'reached');
	});

	it('guards against a primary that restarts without data and is still primary', async () => {
		const restartedServer = await servers.start();
		const client = await servers.connect(restartedServer);
		assert.deepEqual(await queryOutcome(client, 'select role, fenced_term, log_term from crocusloom_status()'), [['replica', '0', '0']]);
		assert.equal(await queryOutcome(client, 'create table x (id int)'), '25006');
	});

	it('guards against a database that counts towards a majority before it has rebuilt its state', async () => {
		const restartedServer = await servers.start();
		const client = await servers.connect(restartedServer);
		restartedServer.faults.set({replicationPaused: true});
		const queryRow = async (text: string) => (await queryOutcome(client, text) as unknown[][])[0]!;
		assert.deepEqual(await queryRow(`select crocusloom_follow(1, '${group[0].address}')`), [true]);
		const status = 'select fenced_term, follows_term from crocusloom_status()';
		assert.deepEqual(await queryRow(status), ['0', '1']);
		assert.deepEqual(await queryRow('select crocusloom_fence(2, \'a\')'), [false]);
		assert.deepEqual(await queryRow('select crocusloom_follow(0, \'127.0.0.1:1\')'), [false]);
		assert.deepEqual(await queryRow('select crocusloom_wait_position(1, 1, 0)'), ['timeout']);
		assert.equal(await queryOutcome(client, 'select id from t'), '57P03');
		restartedServer.faults.set({replicationPaused: false});
		assert.deepEqual(await queryRow(`select crocusloom_wait_position(${positionArgs(0)}, 20000)`), ['reached']);
		assert.deepEqual(await queryRow(status), ['1', '1']);
		assert.deepEqual(await queryRow('select crocusloom_fence(2, \'a\')'), [true]);
	});

	it('guards against a frozen server that responds, or that loses a request', async () => {
		group[0].faults.set({frozen: true});
		let isAnswered = false;
		const pendingInsert = queryOutcome(clients[0], 'insert into t values (7) returning id').finally(() => {
			isAnswered = true;
		});
		await queryOutcome(clients[1], 'select pg_sleep(0.02)');
		assert.isFalse(isAnswered);
		group[0].faults.set({frozen: false});
		assert.deepEqual(await pendingInsert, [[7]]);
	});

	it('guards against a dropped response to a write that was not applied', async () => {
		group[0].faults.set({dropAnswers: 1, dropKinds: ['insert']});
		assert.equal(await queryOutcome(clients[0], 'insert into t values (8)'), 'connection lost');
		const client = await servers.connect(group[0]);
		assert.deepEqual(await queryOutcome(client, 'select id from t'), [[8]]);
	});

	it('guards against a cut that also blocks other clients', async () => {
		const cutOffClient = await servers.connect(group[0], {application_name: 'far'});
		group[0].faults.set({cut: ['far']});
		const heldQuery = queryOutcome(cutOffClient, 'select 1');
		assert.deepEqual(await queryOutcome(clients[0], 'select 1'), [[1]]);
		group[0].faults.set({cut: []});
		assert.deepEqual(await heldQuery, [[1]]);
	});
});
