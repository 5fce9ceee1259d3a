import {expect} from 'chai';
import {FailureError, type Failure} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {AdmissionQueue} from '../admissionQueue.js';
import {type RankPolicy, type SlotGrant, type SlotRequest} from '../rankState.js';
import {
	neverAbortingSignal, failureIfRejected, seededRandom, runPendingTasks, rankSpecs,
} from './fakes.js';

const ranks: readonly RankPolicy[] = Object.entries(rankSpecs).map(([rank, spec]) => ({rank, ...spec}));
const slotLimit = 3;

type Admission = {acquire(request: SlotRequest, signal: AbortSignal): SlotGrant | Promise<SlotGrant>};

/** Baseline for comparison: one unbounded first-in, first-out queue for all ranks. */
class FifoQueue implements Admission {
	private busySlots = 0;
	private readonly waiting: Array<() => void> = [];

	async acquire(): Promise<SlotGrant> {
		if (this.busySlots === slotLimit) {
			await new Promise<void>(resolve => {
				this.waiting.push(resolve);
			});
		} else {
			this.busySlots++;
		}

		return {
			waitMs: 0,
			release: () => {
				const grantNextWaiter = this.waiting.shift();
				this.busySlots -= grantNextWaiter ? 0 : 1;
				grantNextWaiter?.();
			},
		};
	}
}

type Workload = {readonly rank: string; readonly callerKey: string; readonly perSecond: number};
type ServiceCounts = {arrived: number; inTargetCount: number; usedMs: number};

const durationMs = 3000;
/** Time before slot use is measured, so that the shares of slot time are stable. */
const warmUpMs = 1000;

/** Runs workloads of statements that take 2 to 6 ms, and counts the results of each caller. */
async function simulate(createQueue: (clock: FakeClock) => Admission, workloads: readonly Workload[]): Promise<ReadonlyMap<string, ServiceCounts>> {
	const clock = new FakeClock();
	const queue = createQueue(clock);
	const countsByCaller = new Map<string, ServiceCounts>();
	const random = seededRandom(7);
	const runStatement = async ({rank, callerKey}: Workload, counts: ServiceCounts) => {
		const arrivedMs = clock.nowMs();
		counts.arrived++;
		try {
			const grant = await queue.acquire({
				rank, callerKey, isInTransaction: false, waitLimitMs: 10_000,
			}, neverAbortingSignal());
			counts.inTargetCount += clock.nowMs() - arrivedMs <= rankSpecs[rank]!.targetMs ? 1 : 0;
			const runMs = 2 + (random() * 4);
			await clock.sleep(runMs);
			counts.usedMs += clock.nowMs() > warmUpMs ? runMs : 0;
			grant.release();
		} catch (error) {
			expect(error).to.be.instanceOf(FailureError);
		}
	};

	for (const workload of workloads) {
		const counts = {arrived: 0, inTargetCount: 0, usedMs: 0};
		countsByCaller.set(workload.callerKey, counts);
		const generateArrivals = async () => {
			while (clock.nowMs() < durationMs) {
				await clock.sleep((0.5 + random()) * 1000 / workload.perSecond);
				void runStatement(workload, counts);
			}
		};

		void generateArrivals();
	}

	await clock.advance(durationMs);
	return countsByCaller;
}

const createAdmissionQueue = (clock: FakeClock) => new AdmissionQueue('a', {slotLimit, ranks}, clock);
const createFifoQueue = () => new FifoQueue();

describe('AdmissionQueue', () => {
	const leastUrgentFlood = [
		{rank: 'first', callerKey: '1', perSecond: 150}, {rank: 'second', callerKey: '2', perSecond: 100}, {rank: 'third', callerKey: '3', perSecond: 2000},
	];
	const firstFlood = [
		{rank: 'first', callerKey: '1', perSecond: 2000}, {rank: 'second', callerKey: '2', perSecond: 200}, {rank: 'third', callerKey: '3', perSecond: 200},
	];
	const callerFlood = [{rank: 'first', callerKey: 'noisy', perSecond: 2000}, {rank: 'first', callerKey: 'quiet', perSecond: 50}];
	const slotShareOf = (counts: ServiceCounts) => counts.usedMs / (slotLimit * (durationMs - warmUpMs));
	const inTargetShareOf = (counts: ServiceCounts) => counts.inTargetCount / counts.arrived;

	it('keeps the most urgent rank within its target while the least urgent one is overloaded (guards against urgent work that waits behind a backlog)', async () => {
		const served = await simulate(createAdmissionQueue, leastUrgentFlood);
		expect(inTargetShareOf(served.get('1')!)).to.be.at.least(0.99);
		const fifo = await simulate(createFifoQueue, leastUrgentFlood);
		expect(inTargetShareOf(fifo.get('1')!), 'FIFO baseline').to.be.below(0.5);
	});

	it('gives the other ranks 90% of their floors while the most urgent one is overloaded (guards against starved ranks)', async () => {
		const served = await simulate(createAdmissionQueue, firstFlood);
		expect(slotShareOf(served.get('2')!)).to.be.at.least(0.9 * rankSpecs.second!.floorShare);
		expect(slotShareOf(served.get('3')!)).to.be.at.least(0.9 * rankSpecs.third!.floorShare);
		expect(slotShareOf(served.get('1')!), 'the most urgent rank keeps the rest').to.be.at.least(0.5);
		const fifo = await simulate(createFifoQueue, firstFlood);
		expect(slotShareOf(fifo.get('2')!), 'FIFO baseline').to.be.below(0.9 * rankSpecs.second!.floorShare);
	});

	it('serves the callers of one rank in turn (guards against one caller starving the others of its rank)', async () => {
		const served = await simulate(createAdmissionQueue, callerFlood);
		expect(inTargetShareOf(served.get('quiet')!)).to.be.at.least(0.99);
		const fifo = await simulate(createFifoQueue, callerFlood);
		expect(inTargetShareOf(fifo.get('quiet')!), 'FIFO baseline').to.be.below(0.5);
	});

	/** Fills all slots, queues the requests, and returns the order in which they are served. */
	async function serviceOrder(clock: FakeClock, queue: AdmissionQueue, requests: ReadonlyArray<Partial<SlotRequest> & {readonly callerKey: string}>, beforeRelease?: () => void) {
		const base = {rank: 'third', isInTransaction: false, waitLimitMs: 10_000};
		const fillers = await Promise.all([0, 1, 2].map(async () => queue.acquire({...base, callerKey: 'filler'}, neverAbortingSignal())));
		const order: string[] = [];
		for (const request of requests) {
			const serve = async () => {
				const grant = await queue.acquire({...base, ...request}, neverAbortingSignal());
				order.push(request.callerKey);
				grant.release();
			};

			void serve();
		}

		beforeRelease?.();
		for (const filler of fillers) {
			filler.release();
			await runPendingTasks();
		}

		return order;
	}

	const orderCases = [
		{
			name: 'an open transaction before urgent work (guards against transactions that wait for a slot while they hold locks)',
			requests: [{callerKey: 'urgent', rank: 'first'}, {callerKey: 'open', isInTransaction: true}],
			expected: ['open', 'urgent'],
		},
		{
			name: 'a rank below its floor before an urgent one (guards against floors that are ignored)',
			requests: [{callerKey: 'urgent', rank: 'second'}, {callerKey: 'floor', rank: 'low'}],
			expected: ['floor', 'urgent'],
		},
		{name: 'callers in turn (guards against first-in, first-out order within a rank)', requests: [{callerKey: 'x'}, {callerKey: 'x'}, {callerKey: 'y'}], expected: ['x', 'y', 'x']},
	];
	for (const {name, requests, expected} of orderCases) {
		it(`serves ${name}`, async () => {
			const clock = new FakeClock();
			const policies = [...ranks.map(policy => ({...policy, floorShare: 0})), {
				rank: 'low', order: 4, targetMs: 5000, floorShare: 0.1,
			}];
			expect(await serviceOrder(clock, new AdmissionQueue('a', {slotLimit, ranks: policies}, clock), requests)).to.deep.equal(expected);
		});
	}

	it('applies changed ranks to waiting statements (guards against an order that is kept from an old configuration)', async () => {
		const clock = new FakeClock();
		const queue = new AdmissionQueue('a', {slotLimit, ranks: ranks.map(policy => ({...policy, floorShare: 0}))}, clock);
		const requests = [{callerKey: 'was first', rank: 'first'}, {callerKey: 'is first', rank: 'second'}];
		const order = await serviceOrder(clock, queue, requests, () => {
			queue.configure({slotLimit, ranks: ranks.map(policy => ({...policy, floorShare: 0, order: 10 - policy.order}))});
		});
		expect(order).to.deep.equal(['is first', 'was first']);
	});

	it('sheds statements on arrival with a retry hint, and rejects them when their wait limit passes (guards against queues that only grow)', async () => {
		const clock = new FakeClock();
		const queue = createAdmissionQueue(clock);
		const refusals: Array<Extract<Failure, {kind: 'notRun'}>> = [];
		const acquire = async (callerKey: string) => {
			const request = {
				rank: 'first', callerKey, isInTransaction: false, waitLimitMs: 100,
			};
			const failure = await failureIfRejected((async () => queue.acquire(request, neverAbortingSignal()))());
			if (failure?.kind === 'notRun') {
				refusals.push(failure);
			}
		};

		for (let index = 0; index < 200; index++) {
			void acquire(`c${index}`);
		}

		await runPendingTasks();
		expect(refusals.length, 'shed on arrival').to.be.within(50, 196);
		await clock.advance(110);
		expect(refusals).to.have.length(197);
		expect(refusals.every(({reason, retryAfterMs = 0}) => reason === 'shed' && retryAfterMs > 0)).to.equal(true);
		expect(queue.stats().find(({rank}) => rank === 'first')).to.include({queued: 0, shed: 197});
	});
});
