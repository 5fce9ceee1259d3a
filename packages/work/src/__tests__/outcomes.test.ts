import {expect} from 'chai';
import fc from 'fast-check';
import {commandComplete, dataRow, rowDescription} from '@crocusloom/wire';
import {
	exchangeOptions, outcomeOf, query, RecordingSink, setUp, settle, workRequest, type FakeSession,
} from './fakes.js';

/** Points at which a unit of work can be disturbed; each returns the bytes of a statement that is answered. */
const faults = {
	none: () => undefined,
	refusedDial: 'refuses',
	closedIdle: 'close before the exchange',
	closedAfterWrite(session: FakeSession) {
		session.end();
	},
	closedInAnswer(session: FakeSession) {
		session.put(rowDescription([{name: 'x'}]));
		session.put(dataRow(['1']));
		session.end();
	},
} as const;

describe('outcomes of local work', () => {
	it('never says notRun after a byte was written to the backend server (guards against work that runs twice)', async () => {
		const fault = fc.constantFrom(...Object.keys(faults) as ReadonlyArray<keyof typeof faults>);
		const interruption = fc.constantFrom('none', 'abort', 'cancel', 'release');
		await fc.assert(fc.asyncProperty(fault, interruption, fc.nat(8), fc.boolean(), async (name, kind, delay, isWarm) => {
			const {holder, server, clock} = setUp();
			let written = 0;
			const dial = server.dialer.dial.bind(server.dialer);
			server.dialer.dial = async (...parameters) => {
				const connection = await dial(...parameters);
				const write = connection.write.bind(connection);
				connection.write = frames => {
					written++;
					write(frames);
				};

				return connection;
			};

			if (isWarm) {
				const first = holder.openNow(workRequest());
				await first.exchange(query('WARM'), () => undefined, exchangeOptions());
				first.release();
				written = 0;
			}

			server.refuses = name === 'refusedDial';
			if (name === 'closedIdle') {
				server.sessions[0]?.end();
			}

			const act = faults[name];
			server.answers.set('INSERT', session => {
				if (typeof act === 'function') {
					act(session);
				}

				return commandComplete('INSERT 0 1');
			});
			const aborting = new AbortController();
			const sink = new RecordingSink();
			const work = holder.openNow(workRequest());
			const running = outcomeOf(work.exchange(query('INSERT'), sink.sink, exchangeOptions({signal: aborting.signal})));
			for (let tick = 0; tick < delay; tick++) {
				await Promise.resolve();
			}

			const interruptions: Readonly<Record<string, () => void>> = {
				abort() {
					aborting.abort();
				},
				cancel() {
					work.cancel();
				},
				release() {
					work.release();
				},
			};
			interruptions[kind]?.();
			const failure = await running;
			const outcome = failure?.kind;
			work.release();
			await settle();
			await clock.advance(2000);
			expect(outcome === 'notRun' && written > 0, 'notRun although bytes were written').to.equal(false);
			expect(outcome === 'unknown' && written === 0, 'unknown although nothing was written').to.equal(false);
			expect(outcome === undefined && sink.types !== 'CZ', 'completed without the whole answer').to.equal(false);
			expect(holder.stats()[0]!.busySlots, 'slots are released').to.equal(0);
			expect(server.openNow).to.be.at.most(1);
		}), {seed: 20_264, numRuns: 300});
	});
});
