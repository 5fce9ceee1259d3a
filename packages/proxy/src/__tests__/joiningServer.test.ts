import {noopMetrics, systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {type PromotionResult, type PromotionService} from '../ports.js';
import {PromotionTask} from '../promotions/promotion.js';
import {
	HostDialer, MemoryLease, type MemoryServer, MemoryService, promotionServiceOf,
} from '../testing/index.js';
import {
	advanceableClock, type Harness, run as runStatement, startProxy,
} from './proxyHarness.js';

/** Time between an order of a promotion and its effect. */
const effectDelayMs = 800;
/** Time for which each server has been listed when the primary is cut off, and the part of it that passes in real time. */
const listedMs = 20_000;
const settleMs = 400;
/** Time in which a write reaches the primary. */
const writeDelayMs = 30;
/** Such a time within the time limit of a write. */
const earlyEffectDelayMs = 150;
/** Time after the effect in which running writes finish. */
const finishMs = 700;
/** Time in which one promotion must take effect, with all its repetitions. */
const promotionTimeoutMs = 15_000;
/** Term of a pause that an earlier holder of the promotion lease made. */
const foreignPauseTerm = 9;

const moments = ['before the order', 'between the order and its effect'] as const;
type Moment = typeof moments[number];

/** A service whose primary `a` one host reaches, and the host that promotes does not. */
type Scene = {
	readonly service: MemoryService;
	readonly promoterDialer: HostDialer;
	/** Gives the present list of servers to both hosts. */
	readonly publishServers: () => void;
};

type Event = {
	readonly title: string;
	/** Lets a write wait for a replica from before the event. */
	readonly hasWaitingWrite?: boolean;
	/** Prepares the event before the primary is cut off from the host that promotes. */
	readonly prepare?: (scene: Scene) => void;
	readonly run: (scene: Scene) => void;
};

/** Lets a replica receive the log of the primary. */
function receiveLog(service: MemoryService, replica: MemoryServer): void {
	service.replicate(service.server('a'), replica);
}

function joinService({service, publishServers}: Scene, isListed: boolean): void {
	const joined = service.join('d', isListed);
	publishServers();
	receiveLog(service, joined);
}

const events: readonly Event[] = [
	{
		title: 'a server that joins and is listed',
		run(scene) {
			joinService(scene, true);
		},
	},
	{
		title: 'a server that joins and is not listed',
		run(scene) {
			joinService(scene, false);
		},
	},
	{
		title: 'a server that joins unlisted while a commit waits for a replica',
		hasWaitingWrite: true,
		run(scene) {
			joinService(scene, false);
		},
	},
	{
		title: 'a paused server that restarts without its log',
		run({service, publishServers}) {
			service.server('c').restartEmpty();
			publishServers();
			receiveLog(service, service.server('c'));
		},
	},
	{
		title: 'a paused server that restarts before its new entry is listed',
		run({service}) {
			service.server('c').restart();
			receiveLog(service, service.server('c'));
		},
	},
	{
		title: 'a server at the address of a paused one, with its log',
		run({service, publishServers}) {
			const replaced = service.server('c');
			replaced.isReplaced = true;
			const successor = service.join('d', true);
			for (const entry of replaced.log) {
				successor.receive(entry);
			}

			publishServers();
			receiveLog(service, successor);
		},
	},
	{
		title: 'a server whose pause had no effect, as an earlier lease holder had paused it,',
		prepare({service, promoterDialer}) {
			promoterDialer.onCommand = (serverId, {kind}) => {
				if (serverId === 'c' && kind === 'pause') {
					promoterDialer.onCommand = undefined;
					service.server('c').pausedTerm = foreignPauseTerm;
				}
			};
		},
		run({service}) {
			const server = service.server('c');
			server.pausedTerm = server.pausedTerm === foreignPauseTerm ? 0 : server.pausedTerm;
			receiveLog(service, server);
		},
	},
];

/** Creates a promotion service that promotes servers after a delay, and tells when an order has arrived. */
function createDelayedPromotions(service: MemoryService, delayMs: number, onOrder: () => PromotionResult): PromotionService {
	return promotionServiceOf(({server}) => {
		setTimeout(() => {
			service.promote(server, 1);
		}, delayMs);
		return onOrder();
	});
}

describe('server that receives commits during a promotion', () => {
	let lifetime: AbortController;
	let hosts: Harness[];
	let service: MemoryService;
	let promoterDialer: HostDialer;
	let scene: Scene;
	/** Rows with which writes were answered without an error. */
	let servedRows: string[];

	/** Starts the host of the callers and the one that promotes. */
	async function startHosts(): Promise<void> {
		service = new MemoryService('ledger', ['a', 'b', 'c']);
		service.acknowledgesLateCommits = true;
		promoterDialer = new HostDialer(service, systemClock);
		const clock = advanceableClock();
		hosts = [await startProxy(service, clock), await startProxy(service, clock, {dialer: promoterDialer})];
		scene = {
			service,
			promoterDialer,
			publishServers() {
				for (const {proxy} of hosts) {
					proxy.setServers(service.listings());
				}
			},
		};
		servedRows = [];
		await write();
		clock.offsetMs += listedMs;
		await systemClock.sleep(settleMs);
	}

	/** Writes on a session of its own, and records whether the caller was told that the write succeeded. */
	async function write(): Promise<void> {
		const {error, rows} = await runStatement(hosts[0]!.proxy.openSession('strict', 'u'), 'WRITE a 1');
		servedRows.push(...error ? [] : rows);
	}

	/**
	 * Starts promotions on the second host.
	 * @param onPaused - called once when all replicas are paused and nothing is ordered yet
	 */
	function startPromotions(promotionService: PromotionService, onPaused: () => Promise<void>): void {
		let isNotified = false;
		const confirm = async () => {
			if (!isNotified && ['b', 'c'].every(id => service.server(id).pausedTerm > 0)) {
				isNotified = true;
				await onPaused();
			}

			return true;
		};

		const [, {proxy, log}] = hosts as [Harness, Harness];
		new PromotionTask(() => proxy.services, {
			clock: systemClock, log, metrics: noopMetrics, lease: new MemoryLease('h', {confirm}), promotionService,
		}).run(lifetime.signal).catch(() => undefined);
	}

	/** Checks that the promoted server has each write that a caller was told to have succeeded. */
	async function expectNoLoss(): Promise<void> {
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await systemClock.sleep(finishMs);
		const promotedRows = new Set(service.server(service.promotions.at(-1)!.server).log.map(({writeId}) => `row of ${writeId}`));
		expect(servedRows.filter(row => !promotedRows.has(row)), 'lost writes that callers were told to have succeeded').to.deep.equal([]);
	}

	/** Lets an event happen at a moment of a promotion, with a write of a caller after it, and checks what the callers were told. */
	async function play({hasWaitingWrite = false, prepare, run}: Event, moment: Moment): Promise<void> {
		await startHosts();
		const writes: Array<Promise<void>> = [];
		const runEventAt = (reachedMoment: Moment) => {
			if (moment === reachedMoment) {
				run(scene);
				writes.push(write());
			}
		};

		let orderCount = 0;
		const promotions = createDelayedPromotions(service, effectDelayMs, () => {
			orderCount++;
			if (orderCount === 1) {
				runEventAt('between the order and its effect');
			}

			return 'accepted';
		});
		prepare?.(scene);
		startPromotions(promotions, async () => {
			if (hasWaitingWrite) {
				writes.push(write());
				await systemClock.sleep(writeDelayMs);
			}

			runEventAt('before the order');
		});
		promoterDialer.cutServers.add('a');
		await expectNoLoss();
		await Promise.all(writes);
		expect(writes.length, 'writes during the promotion').to.be.above(0);
	}

	beforeEach(() => {
		lifetime = new AbortController();
		hosts = [];
	});

	afterEach(() => {
		lifetime.abort(new Error('the test ends'));
		for (const host of hosts) {
			host.stop();
		}
	});

	for (const event of events) {
		for (const moment of moments) {
			it(`makes no caller rely on it: ${event.title} ${moment} (guards against acknowledged commits that the promoted server lacks)`, async () => {
				await play(event, moment);
			});
		}
	}

	it('makes no caller rely on the old primary itself, whose commit is acknowledged when its successor is known (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		let waitingWrite: Promise<void> | undefined;
		startPromotions(createDelayedPromotions(service, earlyEffectDelayMs, () => 'accepted'), async () => {
			waitingWrite = write();
			await systemClock.sleep(writeDelayMs);
		});
		promoterDialer.cutServers.add('a');
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		scene.publishServers();
		await waitUntil(() => hosts[0]!.view.currentPrimary?.backend.id !== 'a');
		joinService(scene, false);
		await expectNoLoss();
		await waitingWrite;
		expect(service.acknowledged.length).to.be.above(1);
	});

	it('makes no caller rely on it: a replica whose pause ended before an unanswered order took effect (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		let orderCount = 0;
		const lateEffectMs = 3300;
		const promotions = createDelayedPromotions(service, lateEffectMs, () => {
			orderCount++;
			return orderCount === 1 ? 'unanswered' : 'notRunning';
		});
		startPromotions(promotions, async () => undefined);
		promoterDialer.cutServers.add('a');
		await waitUntil(() => orderCount > 1, promotionTimeoutMs);
		await waitUntil(() => ['b', 'c'].every(id => service.server(id).pausedTerm === 0), promotionTimeoutMs);
		service.server('a').partitionedFrom.add(service.server('b'));
		const lateWrite = write();
		await expectNoLoss();
		await lateWrite;
	});
});
