import {expect} from 'chai';
import {type Failure} from '@crocusloom/model';
import {HarnessScope, rejectionOf} from './harness.js';

const unknownFailure: Failure = {
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

	/** Makes the next exchanges whose frames include the text fail with an unknown outcome, before or after they run. */
	function failExchanges(text: string, times: number, isAfterExchange: boolean): void {
		let remainingCount = times;
		scope.harness.fakeBackend.findFault = frames => frames.includes(text) && remainingCount-- > 0 ? {failure: unknownFailure, isAfterExchange} : undefined;
	}

	const protocols: ReadonlyArray<readonly [string, string, readonly string[] | undefined, string | undefined]> = [
		['simple', 'INSERT INTO t VALUES (\'x\')', undefined, undefined],
		['extended', 'INSERT INTO t VALUES ($1)', ['x'], undefined],
		['named', 'INSERT INTO t VALUES ($1)', ['x'], 'insert'],
	];
	for (const [name, text, values, statement] of protocols) {
		const query = {text, values: values && [...values], name: statement};
		it(`replays the response to a repeated ${name} write; guards against a write that is applied twice`, async () => {
			const client = await scope.harness.connect();
			const counts: Array<number | null> = [];
			for (let round = 0; round < 2; round++) {
				await client.query('SET crocusloom.idempotency_key = \'k\'');
				const {rowCount} = await client.query(query);
				counts.push(rowCount);
			}

			expect(counts).to.deep.equal([1, 1]);
			expect(scope.harness.fakeBackend.rows).to.deep.equal(['x']);
			await client.query(query);
			expect(scope.harness.fakeBackend.rows).to.deep.equal(['x', 'x']);
			expect(scope.harness.fakeBackend.openUnitCount).to.equal(0);
		});

		for (const isAfter of [true, false]) {
			it(`retries a write (${name}) whose COMMIT failed ${isAfter ? 'after' : 'before'} it took effect; guards against a write that is applied twice or not at all`, async () => {
				const client = await scope.harness.connect();
				await client.query('SET crocusloom.idempotency_key = \'k\'');
				failExchanges('COMMIT', 1, isAfter);
				const {rowCount} = await client.query(query);
				expect(rowCount).to.equal(1);
				expect(scope.harness.fakeBackend.rows).to.deep.equal(['x']);
			});
		}
	}

	it('reports an unknown outcome if no attempt is confirmed; guards against endless retries', async () => {
		const client = await scope.harness.connect();
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		failExchanges('COMMIT', 10, false);
		expect(await rejectionOf(client.query('INSERT INTO t VALUES (\'x\')'))).to.include({code: '08007'});
		expect(scope.harness.fakeBackend.rows).to.deep.equal([]);
	});

	it('reports an unknown outcome if a later attempt is refused by the server (guards against "not run" for a write that an earlier attempt committed)', async () => {
		const client = await scope.harness.connect();
		const {fakeBackend} = scope.harness;
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		fakeBackend.findFault = frames => {
			if (!frames.includes('COMMIT')) {
				return undefined;
			}

			fakeBackend.failingText = 'INSERT INTO crocusloom_idempotency';
			return {failure: unknownFailure, isAfterExchange: true};
		};

		expect(await rejectionOf(client.query('INSERT INTO t VALUES (\'x\')'))).to.include({code: '08007', detail: 'outcome=unknown; step=acknowledge; peer=db-a'});
		expect(fakeBackend.rows).to.deep.equal(['x']);
	});

	it('refuses a write before COMMIT if its response is too large to record; guards against a committed write without a recorded response', async () => {
		const client = await scope.harness.connect();
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		const error = await rejectionOf(client.query('INSERT INTO t VALUES (\'x\'); SELECT generate(100)'));
		expect(error.code).to.equal('54000');
		expect(scope.harness.fakeBackend.rows).to.deep.equal([]);
		expect(scope.harness.fakeBackend.recordedResponses.size).to.equal(0);
	});

	it('does not record the key of a failed write; guards against a key that cannot be used again after an error', async () => {
		const client = await scope.harness.connect();
		await client.query('SET crocusloom.idempotency_key = \'k\'');
		expect(await rejectionOf(client.query('INSERT INTO t VALUES (fail())'))).to.include({code: '22012'});
		expect(scope.harness.fakeBackend.recordedResponses.size).to.equal(0);
	});

	it('refuses a second transaction with the same key (23505); guards against a transaction that runs twice', async () => {
		const client = await scope.harness.connect();
		for (const code of [undefined, '23505']) {
			await client.query('SET crocusloom.idempotency_key = \'k\'');
			if (code) {
				expect(await rejectionOf(client.query('BEGIN'))).to.include({code});
			} else {
				await client.query('BEGIN');
			}

			await client.query('INSERT INTO t VALUES (\'x\')').catch(() => undefined);
			await client.query('COMMIT');
		}

		expect(scope.harness.fakeBackend.rows).to.deep.equal(['x']);
		expect(scope.harness.fakeBackend.openUnitCount).to.equal(0);
	});
});
