import {expect} from 'chai';
import fc from 'fast-check';
import {connectionBudget, ConnectionPool, type PooledConnection} from '../connectionPool.js';
import {
	endlessSignal, FakeServer, ManualClock, outcomeOf, settle,
} from './fakes.js';

function setUpPool(budget: number) {
	const clock = new ManualClock();
	const server = new FakeServer();
	const pool = new ConnectionPool({
		database: 'a', address: '127.0.0.1', port: 1, budget,
	}, {dialer: server.dialer, clock, random: {next: () => 0.5}});
	return {clock, server, pool};
}

describe('ConnectionPool', () => {
	for (const [limit, budget] of [[20, 8], [40, 18], [6, 1]] as const) {
		it(`may open ${budget} of ${limit} connections (guards against taking those of another holder)`, () => {
			expect(connectionBudget(limit)).to.equal(budget);
		});
	}

	it('never passes the budget nor opens more than 2 at once (guards against connection storms)', async () => {
		const step = fc.record({kind: fc.constantFrom('acquire', 'giveBack', 'discard', 'die', 'settle'), pick: fc.nat(20)});
		await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 6}), fc.array(step, {maxLength: 60}), async (budget, steps) => {
			const {server, pool, clock} = setUpPool(budget);
			const held: PooledConnection[] = [];
			void pool.warmUp(3);
			for (const {kind, pick} of steps) {
				const taken = ['giveBack', 'discard', 'die'].includes(kind) && held.length > 0 ? held.splice(pick % held.length, 1)[0] : undefined;
				if (kind === 'acquire') {
					pool.reserve();
					void pool.acquire(endlessSignal()).then(pooled => held.push(pooled), () => undefined);
				} else if (kind === 'settle') {
					await clock.advance(pick * 10);
				} else if (taken) {
					if (kind === 'die') {
						taken.connection.close();
					}

					pool[kind === 'giveBack' ? 'giveBack' : 'discard'](taken);
				}

				expect(server.openNow).to.be.at.most(budget);
				expect(pool.openCount).to.be.at.most(budget);
			}

			await settle();
			expect(server.mostOpen).to.be.at.most(budget);
			expect(server.mostDialing).to.be.at.most(2);
			expect(pool.availableCount).to.be.at.most(budget);
		}), {seed: 20_261, numRuns: 200});
	});

	it('backs off after failures (guards against a storm of connects after a failover or mass restart)', async () => {
		const {server, pool, clock} = setUpPool(8);
		server.refuses = true;
		let refused = 0;
		const ask = async () => {
			pool.reserve();
			const failure = await outcomeOf(pool.acquire(endlessSignal()));
			refused += failure?.kind === 'notRun' ? 1 : 0;
		};

		for (let round = 0; round < 1000; round++) {
			void ask();
			await clock.advance(10);
		}

		expect(refused, 'nobody waits for ever').to.equal(1000);
		// Pauses of 37 ms doubling to 1.5 s allow about 12 attempts in 10 s, each of at most 2 connections.
		expect(server.dials).to.be.within(5, 24);
		expect(pool.availableCount, 'reservations are returned').to.equal(8);
		server.refuses = false;
		await clock.advance(2000);
		pool.reserve();
		expect(await pool.acquire(endlessSignal())).to.have.property('connection');
	});

	it('gives up a connect that is not answered (guards against a frozen server holding slots)', async () => {
		const {pool, clock} = setUpPool(8);
		const hanging = new ConnectionPool({
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
		let reason = '';
		hanging.reserve();
		void hanging.acquire(endlessSignal()).catch((error: unknown) => {
			reason = String(error);
		});
		await clock.advance(1100);
		expect(reason).to.contain('given up');
		expect(hanging.openCount + pool.openCount).to.equal(0);
	});
});
