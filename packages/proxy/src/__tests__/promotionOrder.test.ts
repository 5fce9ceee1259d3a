import {type Metrics, noopMetrics, systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {type PromotionOrder, type PromotionResult, type PromotionService} from '../ports.js';
import {PromotionTask} from '../promotions/promotion.js';
import {orderSettleMs, unsettledOrderMs} from '../promotions/promotionOrder.js';
import {MemoryLease, type MemoryServer, promotionServiceOf} from '../testing/index.js';
import {
	advanceableClock, createPromotionService, type Harness, startProxy,
} from './proxyHarness.js';

/** Time in which a wrong promotion would happen; tests that expect none wait for it. */
const noPromotionMs = 2500;
/** Time by which a check may be late beside other work. */
const marginMs = 1000;
const pausePollIntervalMs = 5;
const promotionTimeoutMs = 3000;

const orderOf = (server: string, isRepeated = false, service = 'ledger'): PromotionOrder => ({
	service, server, priorTerm: 1, isRepeated,
});

describe('order of an earlier holder', () => {
	let harness: Harness;
	let lifetime: AbortController;
	let clock: ReturnType<typeof advanceableClock>;

	beforeEach(async () => {
		clock = advanceableClock();
		harness = await startProxy(undefined, clock);
		lifetime = new AbortController();
	});

	afterEach(() => {
		lifetime.abort(new Error('the test ends'));
		harness.stop();
	});

	function start(lease: MemoryLease, promotionService: PromotionService = createPromotionService(harness.service)): void {
		const task = new PromotionTask(() => harness.proxy.services, {
			clock, log: harness.log, metrics: noopMetrics, lease, promotionService,
		});
		task.run(lifetime.signal).catch(() => undefined);
	}

	function createLease(service: string, order: PromotionOrder | undefined): MemoryLease {
		const lease = new MemoryLease('h', {nowMs: () => clock.nowMs()});
		lease.addPrior(service, order, clock.nowMs());
		return lease;
	}

	/** Returns the terms with which replicas are paused, and the roles of the primary, during a time in which nothing may happen. */
	async function watchServers(): Promise<readonly string[]> {
		const [primary, ...replicas] = harness.service.servers as [MemoryServer, ...MemoryServer[]];
		const seen = new Set<string>();
		const timer = setInterval(() => {
			seen.add(primary.role);
			for (const {pausedTerm} of replicas) {
				seen.add(`paused ${pausedTerm}`);
			}
		}, pausePollIntervalMs);
		await systemClock.sleep(noPromotionMs);
		clearInterval(timer);
		return [...seen];
	}

	const waitForPromotion = async (count = 1) => waitUntil(() => harness.service.promotions.length >= count, promotionTimeoutMs);

	const failures: ReadonlyArray<{readonly title: string; readonly fail: (primary: MemoryServer) => void}> = [
		{
			title: 'failed',
			fail(primary) {
				primary.isUnresponsive = true;
			},
		},
		{
			title: 'leaving',
			fail(primary) {
				primary.isLeaving = true;
			},
		},
	];

	for (const {title, fail} of failures) {
		it(`keeps a ${title} primary from being replaced, stepped down or paused for until its time has passed (guards against two orders that take effect)`, async () => expectWait(fail));
	}

	async function expectWait(fail: (primary: MemoryServer) => void): Promise<void> {
		const lease = createLease('ledger', orderOf('c'));
		start(lease);
		fail(harness.service.server('a'));
		harness.proxy.setServers(harness.service.listings());
		expect(await watchServers()).to.have.members(['primary', 'paused 0']);
		expect(harness.service.promotions).to.deep.equal([]);
		clock.offsetMs += orderSettleMs;
		await waitForPromotion();
		expect(lease.recordedOrders('ledger').map(({order}) => order?.server), 'the earlier order is still recorded').to.include('c');
	}

	it('keeps its pauses from being ended until its time has passed (guards against commits that the promoted server lacks)', async () => {
		const [, ...replicas] = harness.service.servers as [MemoryServer, ...MemoryServer[]];
		start(createLease('ledger', orderOf('b')));
		for (const replica of replicas) {
			replica.pausedTerm = 5;
		}

		await systemClock.sleep(300);
		clock.offsetMs += orderSettleMs * 3 / 4;
		await systemClock.sleep(500);
		expect(replicas.map(({pausedTerm}) => pausedTerm)).to.deep.equal([5, 5]);
	});

	it('is not awaited any more once its server leads a new term, and settled once all servers know of it (guards against a service that waits needlessly)', async () => {
		const lease = createLease('ledger', orderOf('c'));
		start(lease);
		harness.service.server('a').isUnresponsive = true;
		harness.service.promote('c', 6);
		const promotedMs = systemClock.nowMs();
		const notAwaited = () => harness.log.withMessage('the order of an earlier holder of the promotion lease is not awaited any more');
		await waitUntil(() => notAwaited().length > 0);
		expect(systemClock.nowMs() - promotedMs).to.be.below(orderSettleMs / 4);
		expect(notAwaited()[0]!.fields).to.include({server: 'c', hasTakenEffect: true});
		const formerPrimary = harness.service.server('a');
		formerPrimary.role = 'replica';
		formerPrimary.term = harness.service.server('c').term;
		formerPrimary.isUnresponsive = false;
		await waitUntil(() => lease.cleared.length > 0);
	});

	it('stays recorded if it is of a holder between two leases of this process (guards against an order with a lower token after one with a higher token)', async () => {
		let token = 7;
		const lease = new MemoryLease('h', {nowMs: () => clock.nowMs(), fencingToken: () => token});
		start(lease, {
			async requestPromotion({service, server, mayBeSent}) {
				if (token === 7) {
					token = 9;
					lease.addPrior(service, orderOf(server), clock.nowMs());
				}

				return await mayBeSent() ? 'accepted' : 'notSent';
			},
		});
		harness.service.server('a').isUnresponsive = true;
		await waitUntil(() => token === 9);
		await systemClock.sleep(noPromotionMs);
		expect(lease.cleared).to.deep.equal([]);
		expect(lease.orders).to.deep.equal([]);
	});

	const unsettledCases: ReadonlyArray<{readonly title: string; readonly order: PromotionOrder | undefined}> = [
		{title: 'its requests were repeated', order: orderOf('c', true)},
		{title: 'another server leads', order: orderOf('b')},
		{title: 'the record is unreadable', order: undefined},
		{title: 'its server is not listed', order: orderOf('z')},
		{title: 'the term of its server was known before', order: {...orderOf('c'), priorTerm: 2}},
	];

	for (const {title, order} of unsettledCases) {
		it(`stays pending if ${title} (guards against an order that takes effect later)`, async () => expectPending(order));
	}

	async function expectPending(order: PromotionOrder | undefined): Promise<void> {
		const lease = createLease('ledger', order);
		start(lease);
		harness.service.promote('c', 6);
		await systemClock.sleep(noPromotionMs / 2);
		clock.offsetMs += unsettledOrderMs - noPromotionMs - marginMs;
		await systemClock.sleep(noPromotionMs / 2);
		expect(lease.cleared).to.deep.equal([]);
		clock.offsetMs += noPromotionMs;
		await waitUntil(() => lease.cleared.length > 0);
	}

	it('of another service holds up nothing (guards against promotions that wait needlessly)', async () => {
		start(createLease('bookings', orderOf('c', false, 'bookings')));
		harness.service.server('a').isUnresponsive = true;
		const failedMs = systemClock.nowMs();
		await waitForPromotion();
		expect(systemClock.nowMs() - failedMs).to.be.below(orderSettleMs / 2);
	});
});

describe('promotion order', () => {
	let harness: Harness;
	let lifetime: AbortController;
	let clock: ReturnType<typeof advanceableClock>;
	let counts: string[];
	const countMetric: Metrics['count'] = name => {
		counts.push(name);
	};

	beforeEach(async () => {
		clock = advanceableClock();
		counts = [];
		harness = await startProxy(undefined, clock);
		lifetime = new AbortController();
	});

	afterEach(() => {
		lifetime.abort(new Error('the test ends'));
		harness.stop();
	});

	function start(lease: MemoryLease, promotionService: PromotionService = createPromotionService(harness.service)): void {
		const task = new PromotionTask(() => harness.proxy.services, {
			clock, log: harness.log, metrics: {...noopMetrics, count: countMetric}, lease, promotionService,
		});
		task.run(lifetime.signal).catch(() => undefined);
		harness.service.server('a').isUnresponsive = true;
	}

	const lateEffects = () => harness.log.withMessage('an order of an abandoned promotion took effect, so that acknowledged commits may be lost');
	const orderedServer = () => String(harness.log.withMessage('a promotion was ordered')[0]!.fields.server);
	const halts = () => harness.log.withMessage('a promotion was not made');

	/** Cases in which the lease may have been passed on when the order would be sent. Each is called with each confirmation of the lease. */
	const lostLeases: ReadonlyArray<{readonly title: string; readonly onConfirm: (count: number, state: {token: number | undefined}) => void}> = [
		{
			title: 'the lease ran out while the order was recorded',
			onConfirm(count, state) {
				if (count === 2) {
					state.token = undefined;
				}
			},
		},
		{
			title: 'the process was suspended between the record and the request',
			onConfirm(count) {
				if (count === 2) {
					clock.offsetMs += 1300;
				}
			},
		},
		{
			title: 'the lease was lost and acquired again since the promotion began',
			onConfirm(count, state) {
				if (count === 1) {
					state.token = 9;
				}
			},
		},
	];

	for (const {title, onConfirm} of lostLeases) {
		it(`is not sent if ${title} (guards against an order beside those of the next holder)`, async () => expectNotSent(onConfirm));
	}

	async function expectNotSent(onConfirm: (count: number, state: {token: number | undefined}) => void): Promise<void> {
		const state: {token: number | undefined} = {token: 7};
		let count = 0;
		const lease = new MemoryLease('h', {
			fencingToken: () => state.token,
			async confirm() {
				count++;
				onConfirm(count, state);
				return true;
			},
		});
		let promotionsAtHalt: number | undefined;
		start(lease, promotionServiceOf(() => {
			promotionsAtHalt ??= halts().length;
			return 'notRunning';
		}));
		await waitUntil(() => halts().length > 0);
		expect(promotionsAtHalt).to.equal(undefined);
		expect(String(halts()[0]!.fields.reason)).to.include('not sent');
		// Only a holder of the lease ends pauses.
		state.token ??= 9;
		await waitUntil(() => harness.service.servers.every(({pausedTerm, isUnresponsive}) => isUnresponsive || pausedTerm === 0));
	}

	it('is recorded before the first request and as repeated before the second one (guards against an order of which the next holder does not know)', async () => {
		const lease = new MemoryLease('h');
		const recordsBeforeRequests: Array<readonly boolean[]> = [];
		let unansweredCount = 0;
		start(lease, promotionServiceOf(({server}) => {
			recordsBeforeRequests.push(lease.orders.map(({isRepeated}) => isRepeated));
			harness.service.promote(server, 7);
			unansweredCount++;
			return unansweredCount <= 3 ? 'unanswered' : 'accepted';
		}));
		await waitUntil(() => recordsBeforeRequests.length === 4);
		expect(recordsBeforeRequests).to.deep.equal([[false], [false, true], [false, true], [false, true]]);
		expect(lease.orders[0]).to.include({service: 'ledger', priorTerm: 1});
	});

	it('is reported if it takes effect after its promotion was abandoned (guards against lost commits that nobody hears of)', async () => {
		let requestCount = 0;
		start(new MemoryLease('h'), promotionServiceOf(() => {
			requestCount++;
			return requestCount === 1 ? 'unanswered' : 'notRunning';
		}));
		await waitUntil(() => requestCount > 0);
		harness.service.server('a').isUnresponsive = false;
		await waitUntil(() => halts().length > 0, 2 * promotionTimeoutMs);
		expect(lateEffects()).to.deep.equal([]);
		harness.service.promote(orderedServer(), 7);
		await waitUntil(() => lateEffects().length > 0);
		expect(lateEffects()[0]!.fields).to.include({service: 'ledger', token: 7});
		expect(counts).to.deep.equal(['late_promotions']);
	});

	it('is cleared once all servers know of its effect (guards against servers that must have each commit for longer than needed)', async () => {
		const lease = new MemoryLease('h');
		start(lease);
		await waitUntil(() => harness.service.promotions.length > 0, promotionTimeoutMs);
		await systemClock.sleep(noPromotionMs);
		expect(lease.cleared, 'while the former primary has not heard of the new term').to.deep.equal([]);
		harness.service.server('a').isUnresponsive = false;
		await waitUntil(() => lease.cleared.length > 0, promotionTimeoutMs);
		expect(harness.service.promotions.length).to.equal(1);
		expect(lease.recordedOrders('ledger')).to.deep.equal([]);
	});

	it('is cleared if it was refused (guards against servers that must have each commit for longer than needed)', async () => {
		const lease = new MemoryLease('h');
		start(lease, promotionServiceOf(() => 'notRunning'));
		await waitUntil(() => lease.cleared.length > 0, promotionTimeoutMs);
	});

	const unclearedCases: ReadonlyArray<{readonly title: string; readonly results: readonly PromotionResult[]}> = [
		{title: 'has no answer', results: ['unanswered']},
		{title: 'was accepted without an effect', results: ['accepted']},
		{title: 'was refused after a request without an answer', results: ['unanswered', 'notRunning']},
	];

	for (const {title, results} of unclearedCases) {
		it(`stays recorded for long if it ${title} (guards against commits that the server lacks when the order takes effect)`, async () => expectRecordedForLong(results)).timeout(30_000);
	}

	async function expectRecordedForLong(results: readonly PromotionResult[]): Promise<void> {
		const lease = new MemoryLease('h', {nowMs: () => clock.nowMs()});
		let requestCount = 0;
		start(lease, promotionServiceOf(() => {
			requestCount++;
			return results[Math.min(requestCount, results.length) - 1]!;
		}));
		await waitUntil(() => requestCount > 0);
		harness.service.server('a').isUnresponsive = false;
		await waitUntil(() => halts().length > 0, 2 * promotionTimeoutMs);
		clock.offsetMs += unsettledOrderMs / 2;
		await systemClock.sleep(noPromotionMs / 2);
		expect(lease.cleared).to.deep.equal([]);
		clock.offsetMs += unsettledOrderMs / 2;
		await waitUntil(() => lease.cleared.length > 0);
	}
});
