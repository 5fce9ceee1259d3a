import {expect} from 'chai';
import {serialize} from 'pg-protocol';
import {systemClock} from '@crocusloom/model';
import {commandComplete, dataRow} from '@crocusloom/wire';
import {Holder} from '../holder.js';
import {sinkStallLimitMs} from '../stallGuard.js';
import {TcpBackendDialer} from '../tcpBackendDialer.js';
import {
	exchangeOptions, failureOf, FakeConfiguration, FakeServer, FakeTcpServer, FakeView, groupState, holderPorts, neverSettling, query, RecordingSink, setUp, runPendingTasks, waitUntil, workRequest,
} from './fakes.js';

const extendedQuery = Buffer.concat([serialize.bind({statement: 's1'}), serialize.execute(), serialize.sync()]);
const preparedStatements = [{name: 's1', parseFrame: serialize.parse({name: 's1', text: 'SELECT 1', types: []})}];

describe('Holder', () => {
	it('withholds the completion of a commit until a majority holds it (guards against an early acknowledgement)', async () => {
		const {server, view, holder} = setUp();
		let reachMajority!: () => void;
		view.majorityGate = new Promise(resolve => {
			reachMajority = resolve;
		});
		const sink = new RecordingSink();
		const work = holder.openSync(workRequest());
		const running = work.exchange(query('INSERT 1'), sink.sink, exchangeOptions());
		await waitUntil(() => view.majorityWaits.length === 1);
		expect(sink.types).not.to.contain('C');
		expect(holder.stats()[0]!.busySlots, 'the slot is free during the wait').to.equal(0);
		reachMajority();
		const result = await running;
		expect(sink.types).to.equal('TDCZ');
		expect(result).to.include({transactionStatus: 'I', database: 'a'});
		expect(result.position).to.deep.equal(server.position);
	});

	for (const waitResult of ['superseded', 'timeout'] as const) {
		it(`reports unknown when the wait for a majority results in ${waitResult} (guards against acknowledging at a replaced primary)`, async () => {
			const {view, holder, server} = setUp();
			view.majorityResult = waitResult;
			const sink = new RecordingSink();
			const work = holder.openSync(workRequest());
			expect(await failureOf(work.exchange(query('INSERT 1'), sink.sink, exchangeOptions()))).to.include({kind: 'unknown', step: 'acknowledge'});
			expect(sink.types).not.to.contain('Z');
			work.release();
			expect(server.openCount, 'the connection is not reused').to.equal(0);
		});
	}

	it('skips the majority wait when the group acknowledges at the primary (guards against an ignored setting)', async () => {
		const {view, holder} = setUp('primary');
		view.majorityResult = 'superseded';
		const sink = new RecordingSink();
		await holder.openSync(workRequest()).exchange(query('INSERT 1'), sink.sink, exchangeOptions());
		expect(sink.types).to.equal('TDCZ');
		expect(view.majorityWaits).to.be.empty;
	});

	it('prepares a missing statement once per connection and hides the response (guards against responses that are shifted by one)', async () => {
		const {holder, server} = setUp();
		for (let round = 0; round < 2; round++) {
			const sink = new RecordingSink();
			const work = holder.openSync(workRequest());
			await work.exchange(extendedQuery, sink.sink, exchangeOptions({preparedStatements}));
			work.release();
			expect(sink.types).to.equal('2TDCZ');
		}

		expect(server.dialCount).to.equal(1);
	});

	it('replaces a connection whose prepared statements have many bytes (guards against statements that fill the memory of a server)', async () => {
		const {holder, server} = setUp();
		for (let round = 0; round < 6; round++) {
			const name = `s${round}`;
			const longStatements = [{name, parseFrame: serialize.parse({name, text: `SELECT 1 /* ${'x'.repeat(4 * 1024 * 1024)} */`, types: []})}];
			const frames = Buffer.concat([serialize.bind({statement: name}), serialize.execute({}), serialize.sync()]);
			const work = holder.openSync(workRequest());
			await work.exchange(frames, new RecordingSink().sink, exchangeOptions({preparedStatements: longStatements}));
			work.release();
			await runPendingTasks();
		}

		expect(server.dialCount).to.equal(2);
		expect(server.sessions[1]!.connection.preparedStatements.size).to.be.below(3);
	});

	it('returns the error of a failed inserted Parse as the response (guards against a lost error and a statement wrongly recorded as prepared)', async () => {
		const {holder, server} = setUp();
		const sink = new RecordingSink();
		const invalidStatements = [{name: 's1', parseFrame: serialize.parse({name: 's1', text: 'BAD', types: []})}];
		const result = await holder.openSync(workRequest()).exchange(extendedQuery, sink.sink, exchangeOptions({preparedStatements: invalidStatements}));
		expect(sink.types).to.equal('EZ');
		expect(result.sqlState).to.equal('42601');
		expect(server.sessions[0]!.connection.preparedStatements.size).to.equal(0);
	});

	it('withholds everything after a COMMIT within one exchange (guards against an early acknowledgement by a later row)', async () => {
		const {holder, view, server} = setUp();
		server.responses.set('COMMIT; SELECT', () => Buffer.concat([commandComplete('COMMIT'), dataRow(['x']), commandComplete('SELECT 1')]));
		view.majorityResult = 'superseded';
		const sink = new RecordingSink();
		await failureOf(holder.openSync(workRequest()).exchange(query('COMMIT; SELECT'), sink.sink, exchangeOptions()));
		expect(sink.types).to.equal('');
	});

	const releaseCases: ReadonlyArray<{readonly name: string; readonly statements: readonly string[]; readonly log: readonly string[]; readonly open: number}> = [
		{
			name: 'keeps an idle connection', statements: ['SELECT'], log: ['SELECT'], open: 1,
		},
		{
			name: 'rolls back an open transaction', statements: ['BEGIN', 'UPDATE'], log: ['BEGIN', 'UPDATE', 'ROLLBACK'], open: 1,
		},
		{
			name: 'rolls back a failed transaction', statements: ['BEGIN', 'FAIL'], log: ['BEGIN', 'FAIL', 'ROLLBACK'], open: 1,
		},
	];
	for (const {name, statements, log, open} of releaseCases) {
		it(`release ${name} (guards against statements of two transactions being mixed)`, async () => {
			const {holder, server} = setUp();
			const work = holder.openSync(workRequest());
			for (const statement of statements) {
				await work.exchange(query(statement), () => undefined, exchangeOptions({mayCommit: false}));
			}

			work.release();
			await runPendingTasks();
			expect(server.executedTexts).to.deep.equal(log);
			expect(server.openCount).to.equal(open);
			expect(server.sessions[0]!.status).to.equal('I');
		});
	}

	it('never reuses a cancelled or half-read connection (guards against a late cancel request or response reaching another caller)', async () => {
		for (const end of ['cancel', 'release'] as const) {
			const {holder, server} = setUp();
			let open!: () => void;
			server.responseGate = new Promise(resolve => {
				open = resolve;
			});
			const work = holder.openSync(workRequest());
			const running = work.exchange(query('SLOW'), () => undefined, exchangeOptions());
			running.catch(() => undefined);
			await waitUntil(() => server.executedTexts.length === 1);
			work[end]();
			open();
			await running.catch(() => undefined);
			work.release();
			const second = new RecordingSink();
			await holder.openSync(workRequest()).exchange(query('NEXT'), second.sink, exchangeOptions());
			expect(server.dialCount).to.equal(2);
			expect(second.text).to.contain('NEXT').and.not.contain('SLOW');
		}
	});

	it('releases the slot when the caller stops reading (guards against a slot that is held forever)', async () => {
		const {holder, server, clock} = setUp();
		// The response never completes, so its row is sent to the caller while the statement runs.
		server.responses.set('ROWS', async session => {
			session.emit(dataRow(['1']));
			return neverSettling<Buffer>();
		});
		const work = holder.openSync(workRequest());
		const running = failureOf(work.exchange(query('ROWS'), async () => neverSettling(), exchangeOptions()));
		await waitUntil(() => server.executedTexts.length === 1);
		await runPendingTasks();
		await clock.advance(sinkStallLimitMs + 1);
		expect(await running).to.include({kind: 'unknown', step: 'forward'});
		expect(holder.stats()[0]!.busySlots).to.equal(0);
	});

	const requirementCases = [
		{name: 'a write at a replica', request: {database: 'b'}, reason: 'notPrimary'},
		{name: 'a read whose maximum age is not proven', request: {mode: 'read', maxAgeMs: 100}, reason: 'tooStale'},
		{name: 'a read whose position is not reached', request: {mode: 'read', database: 'b', minimumPosition: {term: 1, offsetBytes: 900}}, reason: 'tooStale'},
		{name: 'work at a leaving database', request: {database: 'c', mode: 'read'}, reason: 'leaving'},
	] as const;
	for (const {name, request, reason} of requirementCases) {
		it(`refuses ${name} before anything is sent (guards against stale or misplaced work)`, async () => {
			const {holder, server, view, configuration} = setUp();
			view.isPositionReached = false;
			configuration.markLeaving('c');
			const failure = await failureOf((async () => holder.openSync(workRequest(request)).exchange(query('X'), () => undefined, exchangeOptions()))());
			expect(failure).to.include({kind: 'notRun', reason});
			expect(server.executedTexts).to.be.empty;
			expect(server.dialCount).to.equal(0);
		});
	}
});

describe('TcpBackendDialer', () => {
	for (const method of ['trust', 'cleartext', 'md5'] as const) {
		it(`logs in with ${method}, reassembles split frames and sends cancel requests (guards against a wrong login or split frames)`, async () => {
			const fake = new FakeServer();
			const server = new FakeTcpServer(fake, method);
			const port = await server.listen();
			const dialer = new TcpBackendDialer({user: 'u', databaseName: 'd', password: 'p'});
			const shutdownController = new AbortController();
			const holder = new Holder(holderPorts(systemClock, dialer, new FakeView(groupState())), new FakeConfiguration(port), shutdownController.signal);
			const sink = new RecordingSink();
			const work = holder.openSync(workRequest());
			await work.exchange(query('SELECT 1'), sink.sink, exchangeOptions());
			expect(sink.types).to.equal('TDCZ');
			fake.responseGate = neverSettling();
			work.exchange(query('SLOW'), () => undefined, exchangeOptions()).catch(() => undefined);
			await waitUntil(() => fake.executedTexts.length === 2);
			work.cancel();
			await waitUntil(() => server.cancelKeys.length === 1);
			expect([...server.cancelKeys[0]!]).to.deep.equal([0, 0, 0, 7, 0, 0, 0, 9]);
			expect(server.startupMessages[0]).to.contain('user\0u\0database\0d\0');
			// Computed independently: `echo -n pu | md5sum`, then the MD5 sum of its hex digits and the salt 01020304.
			expect(server.passwords).to.deep.equal({trust: [], cleartext: ['p'], md5: ['md5facdc455923b0a58efea84a6d9ee0e76']}[method]);
			work.release();
			shutdownController.abort();
			server.close();
		});
	}
});
