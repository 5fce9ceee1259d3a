import {expect} from 'chai';
import {type Failure} from '@crocusloom/model';
import {errorOf, HarnessScope} from './harness.js';

const lost: Failure = {
	kind: 'unknown', step: 'acknowledge', peer: 'db-a', message: 'lost',
};

describe('idempotency keys', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	/** Failures are counted down over exchanges whose frames include the text. */
	function failOn(text: string, times: number, isAfter: boolean): void {
		let left = times;
		scope.harness.fake.fault = frames => frames.includes(text) && left-- > 0 ? {failure: lost, isAfter} : undefined;
	}

	const protocols: ReadonlyArray<readonly [string, string, readonly string[] | undefined, string | undefined]> = [
		['simple', 'INSERT INTO t VALUES (\'x\')', undefined, undefined],
		['extended', 'INSERT INTO t VALUES ($1)', ['x'], undefined],
		['named', 'INSERT INTO t VALUES ($1)', ['x'], 'insert'],
	];
	for (const [name, text, values, statement] of protocols) {
		const query = {text, values: values && [...values], name: statement};
		it(`replays the answer to a ${name} write; guards against a booking that is made twice`, async () => {
			const client = await scope.harness.connect();
			const counts: Array<number | null> = [];
			for (let round = 0; round < 2; round++) {
				await client.query('SET crocusloom.idempotency_key = \'k\'');
				const {rowCount} = await client.query(query);
				counts.push(rowCount);
			}

			expect(counts).to.deep.equal([1, 1]);
			expect(scope.harness.fake.rows).to.deep.equal(['x']);
			await client.query(query);
			expect(scope.harness.fake.rows).to.deep.equal(['x', 'x']);
			expect(scope.harness.fake.openUnits).to.equal(0);
		});

		for (const isAfter of [true, false]) {
			it(`repeats a ${name} write whose COMMIT was lost ${isAfter ? 'after' : 'before'} its effect; guards against none or two`, async () => {
				const client = await scope.harness.connect();
				await client.query('SET crocusloom.idempotency_key = \'k\'');
				failOn('COMMIT', 1, isAfter);
				const {rowCount} = await client.query(query);
				expect(rowCount).to.equal(1);
				expect(scope.harness.fake.rows).to.deep.equal(['x']);
			});
		}
	}

	it('reports unknown when no attempt was confirmed; guards against endless retries', async () => {
		const client = await scope.harness.connect();
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		failOn('COMMIT', 10, false);
		expect(await errorOf(client.query('INSERT INTO t VALUES (\'x\')'))).to.include({code: '08007'});
		expect(scope.harness.fake.rows).to.deep.equal([]);
	});

	it('refuses an answer that is too large before it commits; guards against a write without a record', async () => {
		const client = await scope.harness.connect();
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		const error = await errorOf(client.query('INSERT INTO t VALUES (\'x\'); SELECT generate(100)'));
		expect(error.code).to.equal('54000');
		expect(scope.harness.fake.rows).to.deep.equal([]);
		expect(scope.harness.fake.answers.size).to.equal(0);
	});

	it('leaves the key free when the write fails; guards against a key that is used up by an error', async () => {
		const client = await scope.harness.connect();
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		expect(await errorOf(client.query('INSERT INTO t VALUES (fail())'))).to.include({code: '22012'});
		expect(scope.harness.fake.answers.size).to.equal(0);
	});

	it('refuses a second transaction of the key with 23505; guards against a transaction that runs twice', async () => {
		const client = await scope.harness.connect();
		for (const code of [undefined, '23505']) {
			await client.query('SET crocusloom.idempotency_key = \'k\'');
			if (code) {
				expect(await errorOf(client.query('BEGIN'))).to.include({code});
			} else {
				await client.query('BEGIN');
			}

			await client.query('INSERT INTO t VALUES (\'x\')').catch(() => undefined);
			await client.query('COMMIT');
		}

		expect(scope.harness.fake.rows).to.deep.equal(['x']);
		expect(scope.harness.fake.openUnits).to.equal(0);
	});
});
