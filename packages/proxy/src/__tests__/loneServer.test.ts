import {noopMetrics, systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {PromotionTask} from '../promotions/promotion.js';
import {MemoryLease, type MemoryServer, MemoryService} from '../testing/index.js';
import {
	createPromotionService, createProxy, type Harness, waitUntilServed,
} from './proxyHarness.js';

/** Longer than a service stays without a known primary until a server is promoted. */
const noPromotionMs = 4000;

describe('lone replica', () => {
	let harness: Harness;
	let lifetime: AbortController;

	afterEach(() => {
		lifetime.abort(new Error('the test ends'));
		harness.stop();
	});

	it('is not promoted by a host that never knew the others (guards against commits that were acknowledged without it)', async () => {
		const service = new MemoryService('ledger', ['a', 'b', 'c']);
		const [primary, replica, lone] = service.servers as [MemoryServer, MemoryServer, MemoryServer];
		primary.receive({position: {term: 1, offsetBytes: 1}, writeId: 'acknowledged'});
		service.replicate(primary, replica);
		harness = createProxy(service, undefined, {servers: [lone.listing()]});
		lifetime = new AbortController();
		const task = new PromotionTask(() => harness.proxy.services, {
			clock: systemClock,
			log: harness.log,
			metrics: noopMetrics,
			lease: new MemoryLease('h'),
			promotionService: createPromotionService(service),
		});
		task.run(lifetime.signal).catch(() => undefined);
		await systemClock.sleep(noPromotionMs);
		expect(service.promotions).to.deep.equal([]);
		const reasons = harness.log.withMessage('a promotion was not made').map(({fields}) => fields.reason);
		expect(reasons).to.include('the servers that answer are not known to have each acknowledged commit: no primary was known, and servers beside the 1 listed may have acknowledged commits');
		primary.isUnresponsive = true;
		harness.proxy.setServers([replica.listing(), lone.listing()]);
		await waitUntil(() => service.promotions.length > 0);
		expect(service.promotions[0]!.server).to.equal(replica.id);
		await waitUntilServed(harness);
	}).timeout(15_000);
});
