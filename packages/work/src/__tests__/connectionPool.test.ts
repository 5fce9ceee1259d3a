import {expect} from 'chai';
import fc from 'fast-check';
import {FakeClock} from '@crocusloom/model/testing';
import {connectionBudget, ConnectionPool, type PooledConnection} from '../connectionPool.js';
import {
	neverAbortingSignal, FakeServer, failureIfRejected, runPendingTasks,
} from './fakes.js';

function setUpPool(budget: number) {
	const clock = new FakeClock();
	const server = new FakeServer();
	const pool = new ConnectionPool({
		database: 'a', address: '127.0.0.1', port: 1, budget,
	}, {dialer: server.dialer, clock, random: {next: () => 0.5}});
	return {clock, server, pool};
}

describe('ConnectionPool', () => {
	for (const [limit, budget] of [[20, 8], [40, 18], [6, 1]] as const) {
		it(`gives one holder ${budget} of ${limit} connections (guards against using up the connections of another holder)`, () => {
			expect(connectionBudget(limit)).to.equal(budget);
		});
	}

	it('never exceeds the budget or dials more than 2 connections at once (guards against connection storms)', async () => {
		const step = fc.record({kind: fc.constantFrom('acquire', 'release', 'discard', 'close', 'advance'), value: fc.nat(20)});
		await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 6}), fc.array(step, {maxLength: 60}), async (budget, steps) => {
			const {server, pool, clock} = setUpPool(budget);
			const leased: PooledConnection[] = [];
			void pool.warmUp(3);
			for (const {kind, value} of steps) {
				const returned = ['release', 'discard', 'close'].includes(kind) && leased.length > 0 ? leased.splice(value % leased.length, 1)[0] : undefined;
				if (kind === 'acquire') {
					pool.reserve();
					void pool.acquire(neverAbortingSignal()).then(pooled => leased.push(pooled), () => undefined);
				} else if (kind === 'advance') {
					await clock.advance(value * 10);
				} else if (returned) {
					if (kind === 'close') {
						returned.connection.close();
					}

					pool[kind === 'release' ? 'release' : 'discard'](returned);
				}

				expect(server.openCount).to.be.at.most(budget);
				expect(pool.openCount).to.be.at.most(budget);
			}

			await runPendingTasks();
			expect(server.maximumOpenCount).to.be.at.most(budget);
			expect(server.maximumDialingCount).to.be.at.most(2);
			expect(pool.availableCount).to.be.at.most(budget);
		}), {seed: 20_261, numRuns: 200});
	});

	it('backs off after failures (guards against a storm of connection attempts after a failover or mass restart)', async () => {
		const {server, pool, clock} = setUpPool(8);
		server.isRefusingDials = true;
		let refusedCount = 0;
		const acquire = async () => {
			pool.reserve();
			const failure = await failureIfRejected(pool.acquire(neverAbortingSignal()));
			refusedCount += failure?.kind === 'notRun' ? 1 : 0;
		};

		for (let round = 0; round < 1000; round++) {
			void acquire();
			await clock.advance(10);
		}

		expect(refusedCount, 'every caller is rejected').to.equal(1000);
		// Pauses of 37 ms doubling to 1.5 s allow about 12 attempts in 10 s, each of at most 2 connections.
		expect(server.dialCount).to.be.within(5, 24);
		expect(pool.availableCount, 'reservations are returned').to.equal(8);
		server.isRefusingDials = false;
		await clock.advance(2000);
		pool.reserve();
		expect(await pool.acquire(neverAbortingSignal())).to.have.property('connection');
	});

	it('times out a connection attempt that gets no response (guards against slots held because of a frozen server)', async () => {
		const {pool, clock} = setUpPool(8);
		const hangingPool = new ConnectionPool({
			database: 'a', address: '', port: 1, budget: 2,
		}, {
			clock,
			random: {next: () => 0.5},
			dialer: {
				dial: async (_database, _address, _port, signal) => new Promise((_resolve, reject) => {
					signal.addEventListener('abort', () => {
						reject(signal.reason as Error);
					});
				}),
			},
		});
		let rejectionMessage = '';
		hangingPool.reserve();
		void hangingPool.acquire(neverAbortingSignal()).catch((error: unknown) => {
			rejectionMessage = String(error);
		});
		await clock.advance(1100);
		expect(rejectionMessage).to.contain('timed out or was aborted');
		expect(hangingPool.openCount + pool.openCount).to.equal(0);
	});
});
