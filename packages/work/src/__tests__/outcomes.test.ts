import {expect} from 'chai';
import fc from 'fast-check';
import {commandComplete, dataRow, rowDescription} from '@crocusloom/wire';
import {
	exchangeOptions, failureIfRejected, query, RecordingSink, setUp, runPendingTasks, workRequest, type FakeSession,
} from './fakes.js';

/** Faults that are injected into a unit of work. A function runs when the statement executes; the test itself sets up the others. */
const faults = {
	none: () => undefined,
	refusedDial: 'the server refuses dials',
	closedIdle: 'the idle connection is closed before the exchange',
	closedAfterWrite(session: FakeSession) {
		session.close();
	},
	closedInResponse(session: FakeSession) {
		session.emit(rowDescription([{name: 'x'}]));
		session.emit(dataRow(['1']));
		session.close();
	},
} as const;

describe('outcomes of local work', () => {
	it('never reports notRun after a byte was written to the backend server (guards against work that runs twice)', async () => {
		const fault = fc.constantFrom(...Object.keys(faults) as ReadonlyArray<keyof typeof faults>);
		const interruption = fc.constantFrom('none', 'abort', 'cancel', 'release');
		await fc.assert(fc.asyncProperty(fault, interruption, fc.nat(8), fc.boolean(), async (faultName, interruptionName, microtaskDelay, isWarm) => {
			const {holder, server, clock} = setUp();
			let writeCount = 0;
			const dial = server.dialer.dial.bind(server.dialer);
			server.dialer.dial = async (...parameters) => {
				const connection = await dial(...parameters);
				const write = connection.write.bind(connection);
				connection.write = frames => {
					writeCount++;
					write(frames);
				};

				return connection;
			};

			if (isWarm) {
				const warmUpWork = holder.openSync(workRequest());
				await warmUpWork.exchange(query('WARM'), () => undefined, exchangeOptions());
				warmUpWork.release();
				writeCount = 0;
			}

			server.isRefusingDials = faultName === 'refusedDial';
			if (faultName === 'closedIdle') {
				server.sessions[0]?.close();
			}

			const injectFault = faults[faultName];
			server.responses.set('INSERT', session => {
				if (typeof injectFault === 'function') {
					injectFault(session);
				}

				return commandComplete('INSERT 0 1');
			});
			const abortController = new AbortController();
			const sink = new RecordingSink();
			const work = holder.openSync(workRequest());
			const running = failureIfRejected(work.exchange(query('INSERT'), sink.sink, exchangeOptions({signal: abortController.signal})));
			for (let tick = 0; tick < microtaskDelay; tick++) {
				await Promise.resolve();
			}

			const interruptions: Readonly<Record<string, () => void>> = {
				abort() {
					abortController.abort();
				},
				cancel() {
					work.cancel();
				},
				release() {
					work.release();
				},
			};
			interruptions[interruptionName]?.();
			const failure = await running;
			const outcome = failure?.kind;
			work.release();
			await runPendingTasks();
			await clock.advance(2000);
			expect(outcome === 'notRun' && writeCount > 0, 'notRun although bytes were written').to.equal(false);
			expect(outcome === 'unknown' && writeCount === 0, 'unknown although nothing was written').to.equal(false);
			expect(outcome === undefined && sink.types !== 'CZ', 'completed without the whole response').to.equal(false);
			expect(holder.stats()[0]!.busySlots, 'slots are released').to.equal(0);
			expect(server.openCount).to.be.at.most(1);
		}), {seed: 20_264, numRuns: 300});
	});
});
