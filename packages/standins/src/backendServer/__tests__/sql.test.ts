import {assert} from 'chai';
import fc from 'fast-check';
import pg from 'pg';
import {queryOutcome, TestServers} from './testServer.js';

type Case = {readonly text: string; readonly values?: readonly unknown[]; readonly expected: unknown; readonly guards: string};

const setUp = [
	'create table bookings (id int primary key, who text not null unique, n bigint default 0, at timestamptz)',
	'insert into bookings (id, who, n) values (1, \'ann\', 5), (2, \'bob\', 7), (3, \'cy\', null)',
];

const cases: readonly Case[] = [
	{text: 'select 1', expected: [[1]], guards: 'a health check that fails'},
	{text: 'select count(*) from bookings', expected: [['3']], guards: 'a count that is not a bigint'},
	{text: 'select who from bookings where id >= 1 and n = 7', expected: [['bob']], guards: 'an AND condition of which only one side is evaluated'},
	{text: 'select id from bookings order by who desc limit 2', expected: [[3], [2]], guards: 'ORDER BY or LIMIT being ignored'},
	{text: 'select id from bookings order by n', expected: [[1], [2], [3]], guards: 'nulls that sort first'},
	{
		text: 'select id from bookings where id = $1', values: [2], expected: [[2]], guards: 'a text parameter that does not match an integer',
	},
	{
		text: 'select id from bookings where n = $1', values: [null], expected: [], guards: 'null that compares as equal',
	},
	{
		text: 'insert into bookings (id, who) values ($1, $2) returning id, n', values: [4, 'dee'], expected: [[4, '0']], guards: 'RETURNING without default values',
	},
	{text: 'insert into bookings (id, who) values (1, \'x\')', expected: '23505', guards: 'accepting a duplicate primary key'},
	{text: 'insert into bookings (id, who) values (9, \'ann\')', expected: '23505', guards: 'accepting a duplicate value in a unique column'},
	{text: 'insert into bookings (id) values (9)', expected: '23502', guards: 'accepting null in a NOT NULL column'},
	{text: 'insert into bookings (id, who) values (1, \'x\') on conflict do nothing', expected: [], guards: 'an error despite ON CONFLICT DO NOTHING'},
	{text: 'insert into bookings (id, who) values (\'x\', \'x\')', expected: '22P02', guards: 'accepting text in an integer column'},
	{text: 'update bookings set n = n + 1 where who = \'ann\' returning n', expected: [['6']], guards: 'an update whose expression does not read the row'},
	{text: 'update bookings set id = 2 where id = 1', expected: '23505', guards: 'an update that violates a unique key'},
	{text: 'delete from bookings where id = 2 returning who', expected: [['bob']], guards: 'a delete that returns nothing'},
	{text: 'select * from missing', expected: '42P01', guards: 'a missing table that reads as empty'},
	{text: 'select missing from bookings', expected: '42703', guards: 'a missing column that reads as null'},
	{text: 'selec 1', expected: '42601', guards: 'a syntax error that closes the connection'},
	{text: 'select no_such_function()', expected: '42883', guards: 'an unknown function that returns null'},
	{text: 'create table if not exists bookings (id int)', expected: [], guards: 'IF NOT EXISTS that replaces the table'},
	{text: 'create table bookings (id int)', expected: '42P07', guards: 'CREATE TABLE that replaces an existing table'},
	{text: 'set application_name = \'x\'', expected: [], guards: 'a rejected SET'},
];

describe('backend server SQL', () => {
	const servers = new TestServers();
	const fixture: {client: pg.Client} = {client: new pg.Client()};

	beforeEach(async () => {
		fixture.client = await servers.connect(await servers.start({initialPrimary: true}));
		for (const text of setUp) {
			await fixture.client.query(text);
		}
	});
	afterEach(async () => servers.stop());

	for (const {text, values, expected, guards} of cases) {
		it(`${text} guards against ${guards}`, async () => {
			assert.deepEqual(await queryOutcome(fixture.client, text, values), expected);
			if (values === undefined) {
				await fixture.client.query('begin; rollback');
			}

			assert.deepEqual(await queryOutcome(fixture.client, 'select 1'), [[1]]);
		});
	}

	it('guards against a failed transaction that commits', async () => {
		await fixture.client.query('begin');
		await fixture.client.query('insert into bookings (id, who) values (10, \'z\')');
		assert.equal(await queryOutcome(fixture.client, 'insert into bookings (id, who) values (10, \'y\')'), '23505');
		assert.equal(await queryOutcome(fixture.client, 'select 1'), '25P02');
		const {command} = await fixture.client.query('commit');
		assert.equal(command, 'ROLLBACK');
		assert.deepEqual(await queryOutcome(fixture.client, 'select id from bookings where id = 10'), []);
	});

	it('guards against ROLLBACK TO that keeps writes after the savepoint or discards those before it', async () => {
		await fixture.client.query('begin');
		await fixture.client.query('insert into bookings (id, who) values (10, \'kept\')');
		await fixture.client.query('savepoint a');
		await fixture.client.query('insert into bookings (id, who) values (11, \'lost\')');
		assert.equal(await queryOutcome(fixture.client, 'select * from missing'), '42P01');
		await fixture.client.query('rollback to a');
		await fixture.client.query('commit');
		assert.deepEqual(await queryOutcome(fixture.client, 'select id from bookings where id >= 10'), [[10]]);
	});

	it('guards against accepting a write in a read-only transaction', async () => {
		await fixture.client.query('begin read only');
		assert.equal(await queryOutcome(fixture.client, 'delete from bookings'), '25006');
		await fixture.client.query('rollback');
	});

	it('guards against a simple query whose first statement is committed although a later one fails', async () => {
		assert.equal(await queryOutcome(fixture.client, 'insert into bookings (id, who) values (12, \'p\'); select * from missing'), '42P01');
		assert.deepEqual(await queryOutcome(fixture.client, 'select id from bookings where id = 12'), []);
	});

	it('guards against an index that differs from the rows after any sequence of writes', async () => {
		const write = fc.record({kind: fc.constantFrom('insert', 'update', 'delete'), id: fc.integer({min: 1, max: 5}), n: fc.integer({min: 0, max: 9})});
		await fixture.client.query('create table model (id int primary key, n int)');
		await fc.assert(fc.asyncProperty(fc.array(write, {maxLength: 12}), async writes => {
			const model = new Map<number, number>();
			await fixture.client.query('delete from model');
			for (const {kind, id, n} of writes) {
				await runOnDatabaseAndModel(fixture.client, model, {kind, id, n});
			}

			const expected = [...model].toSorted(([a], [b]) => a - b);
			assert.deepEqual(await queryOutcome(fixture.client, 'select id, n from model order by id'), expected);
			for (const [id, n] of expected) {
				assert.deepEqual(await queryOutcome(fixture.client, 'select n from model where id = $1', [id]), [[n]]);
			}
		}), {seed: 7, numRuns: 30});
	});
});

async function runOnDatabaseAndModel(client: pg.Client, model: Map<number, number>, {kind, id, n}: {readonly kind: string; readonly id: number; readonly n: number}): Promise<void> {
	if (kind === 'delete') {
		await client.query('delete from model where id = $1', [id]);
		model.delete(id);
		return;
	}

	if (kind === 'insert') {
		assert.deepEqual(await queryOutcome(client, 'insert into model values ($1, $2)', [id, n]), model.has(id) ? '23505' : []);
		model.set(id, model.get(id) ?? n);
		return;
	}

	await client.query('update model set n = $2 where id = $1', [id, n]);
	if (model.has(id)) {
		model.set(id, n);
	}
}
