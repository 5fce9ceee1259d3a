import {expect} from 'chai';
import {serialize} from 'pg-protocol';
import {systemClock} from '@crocusloom/model';
import {commandComplete, dataRow} from '@crocusloom/wire';
import {Holder} from '../holder.js';
import {sinkStallLimitMs} from '../stallGuard.js';
import {TcpBackendDialer} from '../tcpBackendDialer.js';
import {
	exchangeOptions, failureOf, FakeConfiguration, FakeServer, FakeTcpServer, FakeView, groupState, holderPorts, never, query, RecordingSink, setUp, settle, until, workRequest,
} from './fakes.js';

const extended = Buffer.concat([serialize.bind({statement: 's1'}), serialize.execute(), serialize.sync()]);
const preparedStatements = [{name: 's1', parseFrame: serialize.parse({name: 's1', text: 'SELECT 1', types: []})}];

describe('Holder', () => {
	it('withholds the completion of a commit until a majority holds it (guards against an early acknowledgement)', async () => {
		const {server, view, holder} = setUp();
		let reached!: () => void;
		view.gate = new Promise(resolve => {
			reached = resolve;
		});
		const sink = new RecordingSink();
		const work = holder.openNow(workRequest());
		const running = work.exchange(query('INSERT 1'), sink.sink, exchangeOptions());
		await until(() => view.waits.length === 1);
		expect(sink.types).not.to.contain('C');
		expect(holder.stats()[0]!.busySlots, 'the slot is free during the wait').to.equal(0);
		reached();
		const result = await running;
		expect(sink.types).to.equal('TDCZ');
		expect(result).to.include({transactionStatus: 'I', database: 'a'});
		expect(result.position).to.deep.equal(server.position);
	});

	for (const answer of ['superseded', 'timeout'] as const) {
		it(`reports unknown when the majority answers ${answer} (guards against acknowledging at a replaced primary)`, async () => {
			const {view, holder, server} = setUp();
			view.answer = answer;
			const sink = new RecordingSink();
			const work = holder.openNow(workRequest());
			expect(await failureOf(work.exchange(query('INSERT 1'), sink.sink, exchangeOptions()))).to.include({kind: 'unknown', step: 'acknowledge'});
			expect(sink.types).not.to.contain('Z');
			work.release();
			expect(server.openNow, 'the connection is not reused').to.equal(0);
		});
	}

	it('skips the majority wait when the group acknowledges at the primary (guards against ignoring the option)', async () => {
		const {view, holder} = setUp('primary');
		view.answer = 'superseded';
		const sink = new RecordingSink();
		await holder.openNow(workRequest()).exchange(query('INSERT 1'), sink.sink, exchangeOptions());
		expect(sink.types).to.equal('TDCZ');
		expect(view.waits).to.be.empty;
	});

	it('parses a missing statement once per connection and hides the answer (guards against shifted answers)', async () => {
		const {holder, server} = setUp();
		for (let round = 0; round < 2; round++) {
			const sink = new RecordingSink();
			const work = holder.openNow(workRequest());
			await work.exchange(extended, sink.sink, exchangeOptions({preparedStatements}));
			work.release();
			expect(sink.types).to.equal('2TDCZ');
		}

		expect(server.dials).to.equal(1);
	});

	it('passes the error of a failed extra Parse as the answer (guards against a lost error and a wrong record)', async () => {
		const {holder, server} = setUp();
		const sink = new RecordingSink();
		const bad = [{name: 's1', parseFrame: serialize.parse({name: 's1', text: 'BAD', types: []})}];
		const result = await holder.openNow(workRequest()).exchange(extended, sink.sink, exchangeOptions({preparedStatements: bad}));
		expect(sink.types).to.equal('EZ');
		expect(result.sqlState).to.equal('42601');
		expect(server.sessions[0]!.connection.preparedStatements.size).to.equal(0);
	});

	it('holds back everything behind a COMMIT inside one exchange (guards against an early acknowledgement by a later row)', async () => {
		const {holder, view, server} = setUp();
		server.answers.set('COMMIT; SELECT', () => Buffer.concat([commandComplete('COMMIT'), dataRow(['x']), commandComplete('SELECT 1')]));
		view.answer = 'superseded';
		const sink = new RecordingSink();
		await failureOf(holder.openNow(workRequest()).exchange(query('COMMIT; SELECT'), sink.sink, exchangeOptions()));
		expect(sink.types).to.equal('');
	});

	const releases: ReadonlyArray<{readonly name: string; readonly statements: readonly string[]; readonly log: readonly string[]; readonly open: number}> = [
		{
			name: 'keeps an idle connection', statements: ['SELECT'], log: ['SELECT'], open: 1,
		},
		{
			name: 'rolls an open transaction back', statements: ['BEGIN', 'UPDATE'], log: ['BEGIN', 'UPDATE', 'ROLLBACK'], open: 1,
		},
		{
			name: 'rolls a failed transaction back', statements: ['BEGIN', 'FAIL'], log: ['BEGIN', 'FAIL', 'ROLLBACK'], open: 1,
		},
	];
	for (const {name, statements, log, open} of releases) {
		it(`release ${name} (guards against statements of two transactions being mixed)`, async () => {
			const {holder, server} = setUp();
			const work = holder.openNow(workRequest());
			for (const statement of statements) {
				await work.exchange(query(statement), () => undefined, exchangeOptions({mayCommit: false}));
			}

			work.release();
			await settle();
			expect(server.log).to.deep.equal(log);
			expect(server.openNow).to.equal(open);
			expect(server.sessions[0]!.status).to.equal('I');
		});
	}

	it('never reuses a cancelled or half-read connection (guards against a late cancel or answer reaching another caller)', async () => {
		for (const end of ['cancel', 'release'] as const) {
			const {holder, server} = setUp();
			let open!: () => void;
			server.gate = new Promise(resolve => {
				open = resolve;
			});
			const work = holder.openNow(workRequest());
			const running = work.exchange(query('SLOW'), () => undefined, exchangeOptions());
			running.catch(() => undefined);
			await until(() => server.log.length === 1);
			work[end]();
			open();
			await running.catch(() => undefined);
			work.release();
			const second = new RecordingSink();
			await holder.openNow(workRequest()).exchange(query('NEXT'), second.sink, exchangeOptions());
			expect(server.dials).to.equal(2);
			expect(second.text).to.contain('NEXT').and.not.contain('SLOW');
		}
	});

	it('frees the slot when the caller stops reading (guards against a slot held for ever)', async () => {
		const {holder, server, clock} = setUp();
		// The answer never completes, so that its row is passed on while the statement runs.
		server.answers.set('ROWS', async session => {
			session.put(dataRow(['1']));
			return never<Buffer>();
		});
		const work = holder.openNow(workRequest());
		const running = failureOf(work.exchange(query('ROWS'), async () => never(), exchangeOptions()));
		await until(() => server.log.length === 1);
		await settle();
		await clock.advance(sinkStallLimitMs + 1);
		expect(await running).to.include({kind: 'unknown', step: 'forward'});
		expect(holder.stats()[0]!.busySlots).to.equal(0);
	});

	const demands = [
		{name: 'a write at a replica', request: {database: 'b'}, reason: 'notPrimary'},
		{name: 'an age that is not proven', request: {mode: 'read', maxAgeMs: 100}, reason: 'tooStale'},
		{name: 'a position that is not reached', request: {mode: 'read', database: 'b', minimumPosition: {term: 1, offsetBytes: 900}}, reason: 'tooStale'},
		{name: 'a database that leaves', request: {database: 'c', mode: 'read'}, reason: 'leaving'},
	] as const;
	for (const {name, request, reason} of demands) {
		it(`refuses ${name} before anything is sent (guards against stale or misplaced work)`, async () => {
			const {holder, server, view, configuration} = setUp();
			view.reaches = false;
			configuration.markLeaving('c');
			const failure = await failureOf((async () => holder.openNow(workRequest(request)).exchange(query('X'), () => undefined, exchangeOptions()))());
			expect(failure).to.include({kind: 'notRun', reason});
			expect(server.log).to.be.empty;
			expect(server.dials).to.equal(0);
		});
	}
});

describe('TcpBackendDialer', () => {
	for (const method of ['trust', 'cleartext', 'md5'] as const) {
		it(`logs in by ${method}, cuts at frame boundaries and cancels (guards against a wrong login or split frames)`, async () => {
			const fake = new FakeServer();
			const server = new FakeTcpServer(fake, method);
			const port = await server.listen();
			const dialer = new TcpBackendDialer({user: 'u', databaseName: 'd', password: 'p'});
			const ending = new AbortController();
			const holder = new Holder(holderPorts(systemClock, dialer, new FakeView(groupState())), new FakeConfiguration(port), ending.signal);
			const sink = new RecordingSink();
			const work = holder.openNow(workRequest());
			await work.exchange(query('SELECT 1'), sink.sink, exchangeOptions());
			expect(sink.types).to.equal('TDCZ');
			fake.gate = never();
			work.exchange(query('SLOW'), () => undefined, exchangeOptions()).catch(() => undefined);
			await until(() => fake.log.length === 2);
			work.cancel();
			await until(() => server.cancels.length === 1);
			expect([...server.cancels[0]!]).to.deep.equal([0, 0, 0, 7, 0, 0, 0, 9]);
			expect(server.startups[0]).to.contain('user\0u\0database\0d\0');
			// Independent figure: echo -n pu | md5sum, then its hex digits and the salt 01020304.
			expect(server.passwords).to.deep.equal({trust: [], cleartext: ['p'], md5: ['md5facdc455923b0a58efea84a6d9ee0e76']}[method]);
			work.release();
			ending.abort();
			server.close();
		});
	}
});
