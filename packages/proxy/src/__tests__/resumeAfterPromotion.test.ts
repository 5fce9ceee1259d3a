import {noopMetrics, systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {PromotionTask} from '../promotions/promotion.js';
import {recordVisibleMs} from '../servers/termRecorder.js';
import {MemoryLease, MemoryService, MemoryServiceRecords} from '../testing/index.js';
import {createPromotionService, type Harness, startProxy} from './proxyHarness.js';

const promotionTimeoutMs = 10_000;
/** Time after which a replica would have been resumed if nothing had to be recorded. */
const usualResumeMs = 5000;

describe('replica that has not heard of the new term', () => {
	let service: MemoryService;
	let records: MemoryServiceRecords;
	let harness: Harness;
	let lifetime: AbortController;
	/** Time at which the record of the new term was confirmed. */
	let recordedMs: number | undefined;

	beforeEach(async () => {
		service = new MemoryService('ledger', ['a', 'b', 'c']);
		records = new MemoryServiceRecords();
		records.addReached('ledger', service.ids);
		recordedMs = undefined;
		harness = await startProxy(service, systemClock, {
			serviceRecords: {
				recordOf: name => records.recordOf(name),
				isPartlyLost: () => false,
				read: async name => records.read(name),
				async change(name, change) {
					const isChanged = await records.change(name, change);
					recordedMs ??= isChanged && records.recordOf(name).term > 0 ? systemClock.nowMs() : undefined;
					return isChanged;
				},
			},
		});
		lifetime = new AbortController();
		service.server('b').receive({position: {term: 1, offsetBytes: 1}, writeId: 'first'});
		service.server('c').partitionedFrom.add(service.server('b'));
	});

	afterEach(() => {
		lifetime.abort(new Error('the test ends'));
		harness.stop();
	});

	function startPromotions(): void {
		new PromotionTask(() => harness.proxy.services, {
			clock: systemClock, log: harness.log, metrics: noopMetrics, lease: new MemoryLease('h'), promotionService: createPromotionService(service),
		}).run(lifetime.signal).catch(() => undefined);
	}

	/** Lets the hosts know of a promotion that an earlier lease holder ordered, and whose pause of a replica is left. */
	async function promoteEarlier(): Promise<void> {
		const {view} = harness;
		service.server('a').isUnresponsive = true;
		service.server('c').pausedTerm = 2;
		service.promote('b', 1);
		view.invalidatePrimary(view.currentPrimary!, 'the test promoted another server');
		await waitUntil(() => view.currentPrimary?.backend.id === 'b', promotionTimeoutMs);
	}

	const isResumed = () => service.server('c').pausedTerm === 0;

	it('stays paused until all hosts know of the term after the promotion (guards against acknowledged commits of the former primary)', async () => {
		startPromotions();
		service.server('a').isUnresponsive = true;
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await waitUntil(isResumed, promotionTimeoutMs);
		expect(systemClock.nowMs() - recordedMs!).to.be.at.least(recordVisibleMs);
		expect(records.recordOf('ledger').term).to.equal(service.server('b').term);
	}).timeout(20_000);

	it('stays paused while the term cannot be recorded (guards against acknowledged commits of the former primary)', async () => {
		startPromotions();
		records.isAvailable = false;
		service.server('a').isUnresponsive = true;
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await systemClock.sleep(usualResumeMs);
		expect(isResumed()).to.equal(false);
		records.isAvailable = true;
		await waitUntil(isResumed, promotionTimeoutMs);
	}).timeout(30_000);

	it('stays paused by an earlier lease holder until all hosts know of the term (guards against acknowledged commits of the former primary)', async () => {
		await promoteEarlier();
		startPromotions();
		await waitUntil(isResumed, promotionTimeoutMs);
		expect(systemClock.nowMs() - recordedMs!).to.be.at.least(recordVisibleMs);
	}).timeout(20_000);

	it('stays paused after a further promotion that orders nothing (guards against acknowledged commits of the former primary)', async () => {
		service.server('c').receive({position: {term: 1, offsetBytes: 1}, writeId: 'first'});
		await promoteEarlier();
		service.server('b').isUnresponsive = true;
		startPromotions();
		await waitUntil(() => harness.log.withMessage('a promotion was not made').some(({fields}) => String(fields.reason).includes('could not be paused')), promotionTimeoutMs);
		const resumed = await Promise.race([waitUntil(isResumed, promotionTimeoutMs).then(() => 'resumed'), systemClock.sleep(usualResumeMs)]);
		expect(resumed).to.equal(undefined);
	}).timeout(20_000);
});
