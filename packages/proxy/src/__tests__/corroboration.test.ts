import {systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {MemoryService} from '../testing/index.js';
import {advanceableClock, errorOf, startProxy} from './proxyHarness.js';

/** Time for which each server has been listed before the promotion, and the part of it that passes in real time. */
const listedMs = 20_000;
const settleMs = 400;

describe('commit that only a restarted server has', () => {
	it('is not confirmed because a server that follows the new primary is not paused (guards against acknowledged commits that the new primary lacks)', async () => {
		const service = new MemoryService('ledger', ['a', 'b', 'c', 'r']);
		service.acknowledgesLateCommits = true;
		const clock = advanceableClock();
		const harness = await startProxy(service, clock);
		expect(await errorOf(harness.proxy.openSession('strict', 'u'), 'WRITE a 1')).to.equal(undefined);
		clock.offsetMs += listedMs;
		harness.proxy.configurationAge.confirm();
		await systemClock.sleep(settleMs);
		const session = harness.proxy.openSession('strict', 'u');
		for (const text of ['BEGIN', 'WRITE a 1']) {
			expect(await errorOf(session, text)).to.equal(undefined);
		}

		for (const id of ['b', 'r']) {
			service.server('a').partitionedFrom.add(service.server(id));
		}

		service.server('c').partitionedFrom.add(service.server('b'));
		service.promote('b', 1);
		service.server('c').restart();
		const error = await errorOf(session, 'COMMIT');
		harness.stop();
		expect(error).to.be.oneOf(['inDoubt', 'aborted']);
	});
});
