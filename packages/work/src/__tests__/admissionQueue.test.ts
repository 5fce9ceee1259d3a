import {expect} from 'chai';
import {FailureError, type Failure} from '@crocusloom/model';
import {AdmissionQueue} from '../admissionQueue.js';
import {type RankPolicy, type SlotGrant, type SlotRequest} from '../rankState.js';
import {
	endlessSignal, ManualClock, outcomeOf, seededRandom, settle, threeRanks,
} from './fakes.js';

const ranks: readonly RankPolicy[] = Object.entries(threeRanks).map(([rank, spec]) => ({rank, ...spec}));
const slotLimit = 3;

type Admission = {acquire(request: SlotRequest, signal: AbortSignal): SlotGrant | Promise<SlotGrant>};

/** The naive version: one first-in, first-out queue for all ranks, without bounds. */
class FifoQueue implements Admission {
	private busy = 0;
	private readonly waiting: Array<() => void> = [];

	async acquire(): Promise<SlotGrant> {
		if (this.busy === slotLimit) {
			await new Promise<void>(resolve => {
				this.waiting.push(resolve);
			});
		} else {
			this.busy++;
		}

		return {
			waitMs: 0,
			release: () => {
				const next = this.waiting.shift();
				this.busy -= next ? 0 : 1;
				next?.();
			},
		};
	}
}

type Stream = {readonly rank: string; readonly callerKey: string; readonly perSecond: number};
type Service = {arrived: number; inTarget: number; usedMs: number};

const durationMs = 3000;
/** Time after which service is measured, so that the shares of slot time have settled. */
const settledMs = 1000;

/** Runs streams of statements of 2 to 6 ms, and counts the service of each caller. */
async function simulate(make: (clock: ManualClock) => Admission, streams: readonly Stream[]): Promise<ReadonlyMap<string, Service>> {
	const clock = new ManualClock();
	const queue = make(clock);
	const services = new Map<string, Service>();
	const random = seededRandom(7);
	const run = async ({rank, callerKey}: Stream, service: Service) => {
		const arrivedMs = clock.nowMs();
		service.arrived++;
		try {
			const grant = await queue.acquire({
				rank, callerKey, inTransaction: false, waitLimitMs: 10_000,
			}, endlessSignal());
			service.inTarget += clock.nowMs() - arrivedMs <= threeRanks[rank]!.targetMs ? 1 : 0;
			const runMs = 2 + (random() * 4);
			await clock.sleep(runMs);
			service.usedMs += clock.nowMs() > settledMs ? runMs : 0;
			grant.release();
		} catch (error) {
			expect(error).to.be.instanceOf(FailureError);
		}
	};

	for (const stream of streams) {
		const service = {arrived: 0, inTarget: 0, usedMs: 0};
		services.set(stream.callerKey, service);
		const arrive = async () => {
			while (clock.nowMs() < durationMs) {
				await clock.sleep((0.5 + random()) * 1000 / stream.perSecond);
				void run(stream, service);
			}
		};

		void arrive();
	}

	await clock.advance(durationMs);
	return services;
}

const admission = (clock: ManualClock) => new AdmissionQueue('a', {slotLimit, ranks}, clock);
const naive = () => new FifoQueue();

describe('AdmissionQueue', () => {
	const leastUrgentFlood = [
		{rank: 'first', callerKey: '1', perSecond: 150}, {rank: 'second', callerKey: '2', perSecond: 100}, {rank: 'third', callerKey: '3', perSecond: 2000},
	];
	const firstFlood = [
		{rank: 'first', callerKey: '1', perSecond: 2000}, {rank: 'second', callerKey: '2', perSecond: 200}, {rank: 'third', callerKey: '3', perSecond: 200},
	];
	const callerFlood = [{rank: 'first', callerKey: 'noisy', perSecond: 2000}, {rank: 'first', callerKey: 'quiet', perSecond: 50}];
	const share = (service: Service) => service.usedMs / (slotLimit * (durationMs - settledMs));
	const inTarget = (service: Service) => service.inTarget / service.arrived;

	it('keeps the first rank in its target in a flood of the least urgent (guards against urgent work behind a backlog)', async () => {
		const served = await simulate(admission, leastUrgentFlood);
		expect(inTarget(served.get('1')!)).to.be.at.least(0.99);
		const fifo = await simulate(naive, leastUrgentFlood);
		expect(inTarget(fifo.get('1')!), 'naive').to.be.below(0.5);
	});

	it('keeps 90% of the other floors in a flood of the first rank (guards against starved ranks)', async () => {
		const served = await simulate(admission, firstFlood);
		expect(share(served.get('2')!)).to.be.at.least(0.9 * threeRanks.second!.floorShare);
		expect(share(served.get('3')!)).to.be.at.least(0.9 * threeRanks.third!.floorShare);
		expect(share(served.get('1')!), 'the first rank keeps the rest').to.be.at.least(0.5);
		const fifo = await simulate(naive, firstFlood);
		expect(share(fifo.get('2')!), 'naive').to.be.below(0.9 * threeRanks.second!.floorShare);
	});

	it('lets callers of one rank take turns (guards against one caller starving the others of its rank)', async () => {
		const served = await simulate(admission, callerFlood);
		expect(inTarget(served.get('quiet')!)).to.be.at.least(0.99);
		const fifo = await simulate(naive, callerFlood);
		expect(inTarget(fifo.get('quiet')!), 'naive').to.be.below(0.5);
	});

	/** Fills all slots, queues the requests, and gives the order in which they are served. */
	async function orderOf(clock: ManualClock, queue: AdmissionQueue, requests: ReadonlyArray<Partial<SlotRequest> & {readonly callerKey: string}>, beforeRelease?: () => void) {
		const base = {rank: 'third', inTransaction: false, waitLimitMs: 10_000};
		const fillers = await Promise.all([0, 1, 2].map(async () => queue.acquire({...base, callerKey: 'filler'}, endlessSignal())));
		const order: string[] = [];
		for (const request of requests) {
			const serve = async () => {
				const grant = await queue.acquire({...base, ...request}, endlessSignal());
				order.push(request.callerKey);
				grant.release();
			};

			void serve();
		}

		beforeRelease?.();
		for (const filler of fillers) {
			filler.release();
			await settle();
		}

		return order;
	}

	const orders = [
		{
			name: 'a transaction before urgent work (guards against lock holders that wait)',
			requests: [{callerKey: 'urgent', rank: 'first'}, {callerKey: 'open', inTransaction: true}],
			expected: ['open', 'urgent'],
		},
		{
			name: 'a rank below its floor before an urgent one (guards against floors that are ignored)',
			requests: [{callerKey: 'urgent', rank: 'second'}, {callerKey: 'floor', rank: 'low'}],
			expected: ['floor', 'urgent'],
		},
		{name: 'callers in turn (guards against first-in, first-out inside a rank)', requests: [{callerKey: 'x'}, {callerKey: 'x'}, {callerKey: 'y'}], expected: ['x', 'y', 'x']},
	];
	for (const {name, requests, expected} of orders) {
		it(`serves ${name}`, async () => {
			const clock = new ManualClock();
			const policies = [...ranks.map(policy => ({...policy, floorShare: 0})), {
				rank: 'low', order: 4, targetMs: 5000, floorShare: 0.1,
			}];
			expect(await orderOf(clock, new AdmissionQueue('a', {slotLimit, ranks: policies}, clock), requests)).to.deep.equal(expected);
		});
	}

	it('puts changed ranks in force for waiting statements (guards against an order kept from an old configuration)', async () => {
		const clock = new ManualClock();
		const queue = new AdmissionQueue('a', {slotLimit, ranks: ranks.map(policy => ({...policy, floorShare: 0}))}, clock);
		const requests = [{callerKey: 'was first', rank: 'first'}, {callerKey: 'is first', rank: 'second'}];
		const order = await orderOf(clock, queue, requests, () => {
			queue.configure({slotLimit, ranks: ranks.map(policy => ({...policy, floorShare: 0, order: 10 - policy.order}))});
		});
		expect(order).to.deep.equal(['is first', 'was first']);
	});

	it('sheds early with a hint and expires waits by the clock (guards against queues that only grow)', async () => {
		const clock = new ManualClock();
		const queue = admission(clock);
		const refusals: Array<Extract<Failure, {kind: 'notRun'}>> = [];
		const ask = async (callerKey: string) => {
			const request = {
				rank: 'first', callerKey, inTransaction: false, waitLimitMs: 100,
			};
			const failure = await outcomeOf((async () => queue.acquire(request, endlessSignal()))());
			if (failure?.kind === 'notRun') {
				refusals.push(failure);
			}
		};

		for (let index = 0; index < 200; index++) {
			void ask(`c${index}`);
		}

		await settle();
		expect(refusals.length, 'shed on arrival').to.be.within(50, 196);
		await clock.advance(110);
		expect(refusals).to.have.length(197);
		expect(refusals.every(({reason, retryAfterMs = 0}) => reason === 'shed' && retryAfterMs > 0)).to.equal(true);
		expect(queue.stats().find(({rank}) => rank === 'first')).to.include({queued: 0, shed: 197});
	});
});
