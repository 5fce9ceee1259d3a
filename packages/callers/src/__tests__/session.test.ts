import {expect} from 'chai';
import {sqlStates} from '@crocusloom/model';
import {fakeConfiguration} from './fakeBackend.js';
import {HarnessScope, queryFirstColumn, rejectionOf} from './harness.js';

describe('caller sessions', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	it('serves simple and extended queries; guards against responses that a client cannot parse', async () => {
		const client = await scope.harness.connect();
		expect(await queryFirstColumn(client, 'SELECT \'a\'')).to.deep.equal(['a']);
		expect(await queryFirstColumn(client, 'SELECT $1', ['b'])).to.deep.equal(['b']);
		expect(await queryFirstColumn(client, '')).to.deep.equal([]);
		const {rowCount} = await client.query('INSERT INTO t VALUES (\'x\')');
		expect(rowCount).to.equal(1);
		await client.end();
	});

	it('runs a transaction on one backend connection; guards against statements that run in the transaction of another caller', async () => {
		const clients = await Promise.all([scope.harness.connect(), scope.harness.connect()]);
		await Promise.all(clients.map(async (client, index) => {
			await client.query('BEGIN');
			await client.query('INSERT INTO t VALUES ($1)', [`first ${index}`]);
			await client.query('INSERT INTO t VALUES ($1)', [`second ${index}`]);
			await client.query(index === 0 ? 'COMMIT' : 'ROLLBACK');
		}));
		expect(scope.harness.fakeBackend.rows).to.deep.equal(['first 0', 'second 0']);
		expect(scope.harness.fakeBackend.openUnitCount).to.equal(0);
		const connections = [0, 1].map(index => new Set(scope.harness.fakeBackend.executedStatements.filter(({values}) => values[0]?.endsWith(String(index))).map(({connection}) => connection)));
		expect(connections.map(({size}) => size)).to.deep.equal([1, 1]);
		await Promise.all(clients.map(async client => client.end()));
	});

	const routes: ReadonlyArray<readonly [string, string, string]> = [
		['desk', '', 'g1'],
		['desk', 'board', 'g2'],
		['clerk', '', 'g3'],
		['clerk', 'board', 'g3'],
	];
	for (const [user, application, group] of routes) {
		it(`routes ${user} with application "${application}" to ${group}; guards against a general route that takes precedence over a specific one`, async () => {
			const client = await scope.harness.connect({user, application_name: application});
			await queryFirstColumn(client, 'SELECT 1');
			expect(scope.harness.fakeBackend.intents.map(intent => intent.group)).to.deep.equal([group]);
		});
	}

	it('refuses a database without a route; guards against work in a group that no route names', async () => {
		const error = await rejectionOf(scope.harness.connect({database: 'other'}));
		expect(error.code).to.equal(sqlStates.invalidCatalogName);
	});

	for (const {name, setUp} of [{name: 'without a key', setUp: []}, {name: 'with an idempotency key', setUp: ['SET crocusloom.idempotency_key = \'k\'']}]) {
		it(`confirms a write ${name} whose route is removed while it runs (guards against "not run" for a write that ran)`, async () => {
			scope.close();
			let configuration = fakeConfiguration;
			await scope.start({configuration: {current: () => configuration, onChange: () => undefined}});
			const client = await scope.harness.connect();
			for (const text of setUp) {
				await client.query(text);
			}

			const {fakeBackend} = scope.harness;
			fakeBackend.findFault = frames => {
				configuration = frames.includes(setUp.length === 0 ? 'INSERT' : 'COMMIT') ? {...fakeConfiguration, routes: new Map()} : configuration;
				return undefined;
			};

			const {rowCount} = await client.query('INSERT INTO t VALUES (\'x\')');
			expect(rowCount).to.equal(1);
			expect(fakeBackend.rows).to.deep.equal(['x']);
		});
	}

	for (const text of ['INSERT INTO t VALUES (\'x\')', 'SELECT 1', 'BEGIN']) {
		it(`refuses ${text} as not run after its route was removed (guards against an unknown outcome of a statement that no server got)`, async () => {
			scope.close();
			let configuration = fakeConfiguration;
			await scope.start({configuration: {current: () => configuration, onChange: () => undefined}});
			const client = await scope.harness.connect();
			await queryFirstColumn(client, 'SELECT 1');
			configuration = {...fakeConfiguration, routes: new Map()};
			const error = await rejectionOf(client.query(text));
			expect(error).to.include({code: sqlStates.invalidCatalogName});
			expect(error.detail).to.match(/^outcome=not_run; step=route; /v);
			expect(scope.harness.fakeBackend.intents.length).to.equal(1);
		});
	}

	it('records the position of a transaction in the group in which it began (guards against a session token of a group that never had the commit)', async () => {
		scope.close();
		let configuration = fakeConfiguration;
		await scope.start({configuration: {current: () => configuration, onChange: () => undefined}});
		const client = await scope.harness.connect();
		await client.query('BEGIN');
		await client.query('INSERT INTO t VALUES (\'x\')');
		const movedRoute = fakeConfiguration.routes.get('all')!;
		configuration = {...fakeConfiguration, routes: new Map([['all', {...movedRoute, spec: {...movedRoute.spec, group: 'g2'}}]])};
		await client.query('COMMIT');
		const [token] = await queryFirstColumn(client, 'SHOW crocusloom.session');
		expect(token).to.match(/^g1=1:[0-9a-f]+$/v);
	});
});
