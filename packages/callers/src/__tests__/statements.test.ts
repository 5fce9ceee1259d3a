import {expect} from 'chai';
import {type Failure} from '@crocusloom/model';
import {
	HarnessScope, queryFirstColumn, rejectionOf,
} from './harness.js';

describe('session statements', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	it('prepares named statements on each backend connection that needs them; guards against a name that refers to another text or to none', async () => {
		const clients = await Promise.all([scope.harness.connect(), scope.harness.connect()]);
		for (let round = 0; round < 5; round++) {
			for (const [index, client] of clients.entries()) {
				const {rows} = await client.query({name: 'same', text: `SELECT $1 /* ${index} */`, values: [`${index}-${round}`]});
				expect(rows).to.deep.equal([{value: `${index}-${round}`}]);
			}
		}

		expect(new Set(scope.harness.fakeBackend.executedStatements.map(({connection}) => connection)).size).to.equal(3);
		expect(scope.harness.fakeBackend.executedStatements.every(({text, values}) => text.includes(`/* ${values[0]![0]!} */`))).to.equal(true);
	});

	it('removes a statement that failed to parse; guards against 42P05 when the corrected text uses the same name', async () => {
		const client = await scope.harness.connect();
		const error = await rejectionOf(client.query({name: 'q', text: 'SELECT syntax!', values: []}));
		expect(error.code).to.equal('42601');
		const {rows} = await client.query({name: 'q', text: 'SELECT $1', values: ['right']});
		expect(rows).to.deep.equal([{value: 'right'}]);
	});

	it('keeps a statement that was parsed but failed to execute; guards against 26000 on the next use', async () => {
		const client = await scope.harness.connect();
		for (let round = 0; round < 2; round++) {
			const error = await rejectionOf(client.query({name: 'q', text: 'SELECT fail()', values: []}));
			expect(error.code).to.equal('22012');
		}
	});

	const refusedTexts: ReadonlyArray<readonly [string, string]> = [
		['COPY t FROM STDIN', '0A000'],
		['LISTEN changes', '0A000'],
		['PREPARE p AS SELECT 1', '0A000'],
		['SELECT pg_advisory_lock(1)', '0A000'],
		['SELECT set_config(\'a.b\', \'c\', false)', '0A000'],
		['CREATE TEMP TABLE t (a int)', '0A000'],
		['SELECT set_config(\'a.b\', $1, $2)', '0A000'],
		['SET LOCAL a.b = \'1\'; SET a.b = \'2\'', '0A000'],
		['SELECT 1; SET crocusloom.rank = \'late\'', '0A000'],
		['SET ROLE admin', '0A000'],
		['SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY', '0A000'],
		['SET client_encoding = \'LATIN1\'', '22023'],
		['SET crocusloom.rank = \'none\'', '22023'],
		['SET crocusloom.freshness = \'none\'', '22023'],
		['SET crocusloom.session = \'no token\'', '22023'],
		['SET crocusloom.other = \'x\'', '22023'],
		['SHOW crocusloom.other', '22023'],
		['SET standard_conforming_strings = off', '0A000'],
		['SET LOCAL standard_conforming_strings TO 0', '0A000'],
		['SET LOCAL "Standard_Conforming_Strings" = \'off\'', '0A000'],
		['SELECT set_config(\'standard_conforming_strings\', \'off\', true)', '0A000'],
		['SELECT pg_catalog.set_config(E\'Standard_conforming_strings\', $1, true)', '0A000'],
		['INSERT INTO t SELECT set_config(\'standard_conforming_strings\', \'no\', true)', '0A000'],
	];
	for (const [text, code] of refusedTexts) {
		it(`refuses ${text}; guards against session state that leaks into the pool`, async () => {
			const client = await scope.harness.connect();
			for (const attempt of [client.query(text), client.query({text, values: [], name: 'n'})]) {
				const error = await rejectionOf(attempt);
				expect(error.code).to.equal(code);
				expect(error.detail).to.match(/outcome=not_run; step=\w+; peer=/v);
			}

			expect(scope.harness.fakeBackend.executedStatements).to.deep.equal([]);
			expect(await queryFirstColumn(client, 'SELECT \'next\'')).to.deep.equal(['next']);
		});
	}

	const servedTexts = [
		'INSERT INTO t VALUES (\'pg_advisory_lock(1); set_config(a, b, false)\')',
		'SELECT set_config(\'a.b\', \'c\', true)',
		'SET LOCAL a.b = \'1\'',
		'-- comment\nSET TRANSACTION READ ONLY',
		'SHOW server_version',
		'SET LOCAL standard_conforming_strings = on',
		'SELECT set_config(\'standard_conforming_strings\', \'on\', true)',
		'SELECT \'set_config(standard_conforming_strings, off, true)\'',
	];
	for (const text of servedTexts) {
		it(`serves ${JSON.stringify(text)}; guards against refusal of statements that transaction pooling supports`, async () => {
			const client = await scope.harness.connect();
			await client.query(text);
			expect(scope.harness.fakeBackend.executedStatements).to.have.length.above(0);
		});
	}

	for (const isExtended of [false, true]) {
		it(`applies the server parameters of the session to each ${isExtended ? 'extended' : 'simple'} exchange; guards against parameters that leak to other callers`, async () => {
			const client = await scope.harness.connect();
			const otherClient = await scope.harness.connect();
			const values = isExtended ? ['x'] : undefined;
			const query = 'SELECT current_setting(\'search_path\')';
			await client.query({text: 'SET search_path TO \'a\', b', values: isExtended ? [] : undefined, name: isExtended ? 'set' : undefined});
			for (let round = 0; round < 4; round++) {
				expect(await queryFirstColumn(client, query, values)).to.deep.equal(['"a", b']);
				expect(await queryFirstColumn(otherClient, query, values)).to.deep.equal(['default']);
			}

			await client.query('BEGIN');
			expect(await queryFirstColumn(client, query, values)).to.deep.equal(['"a", b']);
			await client.query('SET search_path = c');
			expect(await queryFirstColumn(client, query, values)).to.deep.equal(['c']);
			await client.query('ROLLBACK');
			expect(await queryFirstColumn(client, query, values)).to.deep.equal(['"a", b']);
			await client.query('RESET ALL');
			expect(await queryFirstColumn(client, query, values)).to.deep.equal(['default']);
		});
	}

	it('accepts the settings that drivers send when they connect; guards against drivers that cannot connect', async () => {
		const client = await scope.harness.connect({application_name: 'board', options: '-c extra_float_digits=3 -c DateStyle=ISO --crocusloom.rank=urgent', client_encoding: 'utf8'});
		await client.query('SET client_encoding TO \'UTF8\'; SET TIME ZONE \'UTC\'; SET extra_float_digits = 3;');
		await queryFirstColumn(client, 'SELECT 1');
		const [intent] = scope.harness.fakeBackend.intents;
		expect([intent!.group, intent!.rank, intent!.mode, intent!.hasSessionToken]).to.deep.equal(['g2', 'urgent', 'read', false]);
		expect(scope.harness.fakeBackend.executedStatements.map(({text}) => text)).to.deep.equal(['SELECT 1']);
	});

	it('reports the session token and accepts one from an earlier connection; guards against stale reads after a change of proxy', async () => {
		const client = await scope.harness.connect();
		const reports: string[] = [];
		(client as unknown as {readonly connection: NodeJS.EventEmitter}).connection.on('parameterStatus', (message: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (message.parameterName === 'crocusloom.session') {
				reports.push(message.parameterValue);
			}
		});
		await client.query('INSERT INTO t VALUES (\'x\')');
		expect(reports).to.deep.equal(['g1=1:10']);
		expect(await queryFirstColumn(client, 'SHOW crocusloom.session')).to.deep.equal(['g1=1:10']);
		const secondClient = await scope.harness.connect({options: '-c crocusloom.session=g1=1:10 -c crocusloom.freshness=recent'});
		await queryFirstColumn(secondClient, 'SELECT 1');
		const intent = scope.harness.fakeBackend.intents.at(-1)!;
		expect(intent.sessionPosition).to.deep.equal({term: 1, offsetBytes: 16});
		expect(intent.hasSessionToken).to.equal(true);
		expect(intent.freshness).to.deep.equal({mode: 'bounded', maxAgeMs: 500});
	});

	it('keeps the transaction failed after a refused BEGIN, until ROLLBACK or BEGIN; guards against statements of the transaction that commit individually', async () => {
		const client = await scope.harness.connect();
		for (const recoveryText of ['ROLLBACK', 'BEGIN']) {
			scope.harness.fakeBackend.findFault = () => ({
				failure: {
					kind: 'notRun', reason: 'shed', step: 'admission', peer: 'db-a', message: 'full',
				}, isAfterExchange: false,
			});
			expect(await rejectionOf(client.query('BEGIN'))).to.include({code: '53000'});
			scope.harness.fakeBackend.findFault = undefined;
			expect(await rejectionOf(client.query('INSERT INTO t VALUES (\'rest\')'))).to.include({code: '25P02'});
			await client.query(recoveryText);
			await client.query('INSERT INTO t VALUES (\'next\')');
		}

		await client.query('ROLLBACK');
		expect(scope.harness.fakeBackend.rows).to.deep.equal(['next']);
	});

	it('reports an error of any other kind as an unknown outcome; guards against "not run" for a write that ran', async () => {
		const client = await scope.harness.connect();
		scope.harness.fakeBackend.findFault = () => ({
			failure: {
				kind: 'peer', step: 'peer', peer: 'two', message: 'lost',
			}, isAfterExchange: true,
		});
		expect(await rejectionOf(client.query('INSERT INTO t VALUES (\'x\')'))).to.include({code: '08007', detail: 'outcome=unknown; step=peer; peer=two'});
	});

	const failures: ReadonlyArray<readonly [Failure, string, RegExp]> = [
		[{
			kind: 'notRun', reason: 'shed', step: 'admission', peer: 'db-a', message: 'full', retryAfterMs: 12,
		}, '53000', /^outcome=not_run; step=admission; peer=db-a$/v],
		[{
			kind: 'notRun', reason: 'noPrimary', step: 'route', peer: 'g1', message: 'none',
		}, '57P03', /^outcome=not_run; step=route; peer=g1$/v],
		[{
			kind: 'unknown', step: 'acknowledge', peer: 'db-a', message: 'lost',
		}, '08007', /^outcome=unknown; step=acknowledge; peer=db-a$/v],
	];
	for (const [failure, code, detail] of failures) {
		it(`reports ${code} and ends an open transaction; guards against later statements of the transaction that run outside it`, async () => {
			const client = await scope.harness.connect();
			scope.harness.fakeBackend.findFault = frames => frames.includes('fault') ? {failure, isAfterExchange: failure.kind === 'unknown'} : undefined;
			const error = await rejectionOf(client.query('INSERT INTO t VALUES (\'fault\')'));
			expect([error.code, error.hint]).to.deep.equal([code, failure.kind === 'notRun' && failure.retryAfterMs ? 'retry after 12 ms' : undefined]);
			expect(error.detail).to.match(detail);
			await client.query('BEGIN');
			expect(await rejectionOf(client.query('INSERT INTO t VALUES (\'fault\')'))).to.include({code});
			expect(scope.harness.fakeBackend.openUnitCount).to.equal(0);
			expect(await rejectionOf(client.query('INSERT INTO t VALUES (\'rest\')'))).to.include({code: '25P02'});
			await client.query('ROLLBACK');
			expect(scope.harness.fakeBackend.rows).not.to.include('rest');
			expect(await queryFirstColumn(client, 'SELECT \'next\'')).to.deep.equal(['next']);
		});
	}
});
