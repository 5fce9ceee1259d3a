import {expect} from 'chai';
import {sqlStates} from '@crocusloom/model';
import {errorOf, HarnessScope, rowsOf} from './harness.js';

describe('sessions of callers', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	it('serves simple and extended statements; guards against answers that a client cannot read', async () => {
		const client = await scope.harness.connect();
		expect(await rowsOf(client, 'SELECT \'a\'')).to.deep.equal(['a']);
		expect(await rowsOf(client, 'SELECT $1', ['b'])).to.deep.equal(['b']);
		expect(await rowsOf(client, '')).to.deep.equal([]);
		const {rowCount} = await client.query('INSERT INTO t VALUES (\'x\')');
		expect(rowCount).to.equal(1);
		await client.end();
	});

	it('keeps a transaction on one connection; guards against mixed transactions', async () => {
		const clients = await Promise.all([scope.harness.connect(), scope.harness.connect()]);
		await Promise.all(clients.map(async (client, index) => {
			await client.query('BEGIN');
			await client.query('INSERT INTO t VALUES ($1)', [`first ${index}`]);
			await client.query('INSERT INTO t VALUES ($1)', [`second ${index}`]);
			await client.query(index === 0 ? 'COMMIT' : 'ROLLBACK');
		}));
		expect(scope.harness.fake.rows).to.deep.equal(['first 0', 'second 0']);
		expect(scope.harness.fake.openUnits).to.equal(0);
		const connections = [0, 1].map(index => new Set(scope.harness.fake.log.filter(({values}) => values[0]?.endsWith(String(index))).map(({connection}) => connection)));
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
		it(`routes ${user} with application "${application}" to ${group}; guards against a general route that wins`, async () => {
			const client = await scope.harness.connect({user, application_name: application});
			await rowsOf(client, 'SELECT 1');
			expect(scope.harness.fake.intents.map(intent => intent.group)).to.deep.equal([group]);
		});
	}

	it('refuses an unknown database; guards against work on a group that no route names', async () => {
		const error = await errorOf(scope.harness.connect({database: 'other'}));
		expect(error.code).to.equal(sqlStates.invalidCatalogName);
	});
});
