import {noopMetrics, systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {
	type BackendConnection, type BackendDialer, type BackendServer,
} from '../ports.js';
import {PromotionTask} from '../promotions/promotion.js';
import {
	HostDialer, MemoryLease, MemoryService, MemoryServiceRecords, promotionServiceOf,
} from '../testing/index.js';
import {
	advanceableClock, type Harness, run as runStatement, startProxy,
} from './proxyHarness.js';

const effectDelayMs = 800;
const listedMs = 20_000;
const settleMs = 400;
const promotionTimeoutMs = 15_000;

/** Dialer of a lease holder that is suspended just before it pauses replication. */
class PauseHoldingDialer implements BackendDialer {
	onPause: (() => Promise<void>) | undefined;

	constructor(private readonly dialer: BackendDialer) {}

	async dial(server: BackendServer, timeoutMs: number): Promise<BackendConnection> {
		const connection = await this.dialer.dial(server, timeoutMs);
		return {
			get isOpen() {
				return connection.isOpen;
			},
			run: async request => {
				if (request.command.kind === 'pause') {
					await this.onPause?.();
				}

				return connection.run(request);
			},
			readStatus: answer => connection.readStatus(answer),
			onClose(listener) {
				connection.onClose(listener);
			},
			close() {
				connection.close();
			},
		};
	}

	async isReachable(server: BackendServer, timeoutMs: number): Promise<boolean> {
		return this.dialer.isReachable(server, timeoutMs);
	}
}

describe('acknowledged commits that the promoted server lacks, by other ways', () => {
	let lifetime: AbortController;
	let hosts: Harness[];
	let service: MemoryService;
	let promoterDialer: HostDialer;
	let servedRows: string[];
	/** Whether the list of servers of the callers' host is up to date when they write. */
	let isListCurrent = true;

	let clock: ReturnType<typeof advanceableClock>;

	async function startHosts(cutFromStart: readonly string[] = []): Promise<void> {
		service = new MemoryService('ledger', ['a', 'b', 'c', 'd']);
		service.acknowledgesLateCommits = true;
		promoterDialer = new HostDialer(service, systemClock);
		for (const id of cutFromStart) {
			promoterDialer.cutServers.add(id);
		}

		clock = advanceableClock();
		const serviceRecords = new MemoryServiceRecords();
		serviceRecords.addReached(service.name, service.ids.filter(id => !cutFromStart.includes(id)));
		hosts = [await startProxy(service, clock, {serviceRecords}), await startProxy(service, clock, {dialer: promoterDialer, serviceRecords})];
		servedRows = [];
		await write();
		await Promise.all(hosts[0]!.view.listBackends().map(async backend => backend.runControlCommand({kind: 'status'}, 250)));
		await systemClock.sleep(settleMs);
		clock.offsetMs += listedMs;
		await systemClock.sleep(settleMs);
	}

	async function write(): Promise<void> {
		if (isListCurrent) {
			hosts[0]!.proxy.configurationAge.confirm();
		}

		const {error, rows} = await runStatement(hosts[0]!.proxy.openSession('strict', 'u'), 'WRITE a 1');
		servedRows.push(...error ? [] : rows);
	}

	function startPromotions({proxy, log}: Harness, lease: MemoryLease, onOrder: () => void): void {
		const promotionService = promotionServiceOf(({server}) => {
			setTimeout(() => {
				service.promote(server, 1);
			}, effectDelayMs);
			onOrder();
			return 'accepted';
		});
		new PromotionTask(() => proxy.services, {
			clock, log, lease, promotionService, metrics: noopMetrics,
		}).run(lifetime.signal).catch(() => undefined);
	}

	async function expectNoLoss(): Promise<void> {
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await systemClock.sleep(200);
		const promotedRows = new Set(service.server(service.promotions.at(-1)!.server).log.map(({writeId}) => `row of ${writeId}`));
		expect(servedRows.filter(row => !promotedRows.has(row)), 'lost writes that callers were told to have succeeded').to.deep.equal([]);
	}

	beforeEach(() => {
		lifetime = new AbortController();
		hosts = [];
		isListCurrent = true;
	});

	afterEach(() => {
		lifetime.abort(new Error('the test ends'));
		for (const host of hosts) {
			host.stop();
		}
	});

	it('a restarted replica, corroborated by one that follows the new primary (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		hosts[0]!.proxy.configurationAge.confirm();
		startPromotions(hosts[1]!, new MemoryLease('h'), () => {
			const restarted = service.server('c');
			restarted.restart();
			restarted.partitionedFrom.add(service.server('b'));
		});
		promoterDialer.cutServers.add('a');
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		expect(service.promotions[0]!.server).to.equal('b');
		hosts[0]!.proxy.configurationAge.confirm();
		await write();
		await expectNoLoss();
	});

	it('a replica that does not reach the new primary and receives from the former one (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		service.server('c').partitionedFrom.add(service.server('b'));
		startPromotions(hosts[1]!, new MemoryLease('h'), () => undefined);
		promoterDialer.cutServers.add('a');
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await waitUntil(() => service.server('c').pausedTerm === 0, promotionTimeoutMs);
		expect(service.server('c').term).to.equal(1);
		await write();
		await expectNoLoss();
	});

	it('a former lease holder that chose the same term ends the pauses of the next one (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		const formerDialer = new PauseHoldingDialer(service);
		const formerHost = new HostDialer(formerDialer, systemClock);
		hosts.push(await startProxy(service, systemClock, {dialer: formerHost}));
		let isOrdered = false;
		formerDialer.onPause = async () => {
			await waitUntil(() => isOrdered, 450);
		};

		startPromotions(hosts[2]!, new MemoryLease('former', {fencingToken: () => isOrdered ? undefined : 6, confirm: async () => !isOrdered}), () => {
			throw new Error('the former holder must not order');
		});
		promoterDialer.cutServers.add('a');
		formerHost.cutServers.add('a');
		await systemClock.sleep(400);
		startPromotions(hosts[1]!, new MemoryLease('next'), () => {
			isOrdered = true;
			service.server('b').partitionedFrom.add(service.server('a'));
		});
		await waitUntil(() => isOrdered, promotionTimeoutMs);
		await systemClock.sleep(150);
		await write();
		await expectNoLoss();
	});

	it('a listed replica that the host which promotes never reached (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts(['d']);
		startPromotions(hosts[1]!, new MemoryLease('h'), () => {
			void write();
		});
		promoterDialer.cutServers.add('a');
		await expectNoLoss();
	});

	it('a replica whose entry lapsed, and that acknowledges commits after the sample which stands for its departure (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		const sinceMs = clock.nowMs();
		const publish = (isRemoved: boolean) => {
			for (const {proxy} of hosts) {
				proxy.setServers(service.listings().filter(({id}) => !(isRemoved && id === 'c')).map(entry => entry.id === 'c' ? {...entry, missingSinceMs: sinceMs} : entry));
				proxy.configurationAge.confirm();
			}
		};

		publish(false);
		await systemClock.sleep(400);
		startPromotions(hosts[1]!, new MemoryLease('h'), () => undefined);
		for (const id of ['b', 'd']) {
			service.server(id).partitionedFrom.add(service.server('a'));
		}

		promoterDialer.cutServers.add('a');
		promoterDialer.cutServers.add('c');
		await systemClock.sleep(1000);
		await write();
		await systemClock.sleep(1000);
		publish(true);
		await expectNoLoss();
	});

	it('a replica that only a host with a stale list still lists (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		isListCurrent = false;
		const [, {proxy}] = hosts as [Harness, Harness];
		proxy.setServers(service.listings().filter(({id}) => id !== 'c'));
		await systemClock.sleep(400);
		startPromotions(hosts[1]!, new MemoryLease('h'), () => undefined);
		for (const id of ['b', 'd']) {
			service.server(id).partitionedFrom.add(service.server('a'));
		}

		promoterDialer.cutServers.add('a');
		await write();
		await expectNoLoss();
	});

	it('the old primary itself, once the host knows the new one (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		let pendingWrite: Promise<void> | undefined;
		let isDone = false;
		const promotionService = promotionServiceOf(({server}) => {
			pendingWrite = write();
			setTimeout(() => {
				service.promote(server, 1);
				for (const {proxy} of hosts) {
					proxy.setServers(service.listings());
				}
			}, 150);
			setTimeout(() => {
				isDone = true;
				service.replicate(service.server('a'), service.join('e', false));
			}, 400);
			return 'accepted';
		});
		const [, {proxy, log}] = hosts as [Harness, Harness];
		new PromotionTask(() => proxy.services, {
			clock, log, lease: new MemoryLease('h'), promotionService, metrics: noopMetrics,
		}).run(lifetime.signal).catch(() => undefined);
		promoterDialer.cutServers.add('a');
		await waitUntil(() => isDone, promotionTimeoutMs);
		await pendingWrite;
		await expectNoLoss();
	});

	it('the successor of a leaving primary restarts without its log before a repeated order (guards against acknowledged commits that the promoted server lacks)', async () => {
		await startHosts();
		let orderCount = 0;
		const promotionService = promotionServiceOf(({server}) => {
			orderCount++;
			if (orderCount === 1) {
				service.server(server).restartEmpty();
				for (const other of service.servers) {
					if (other.id !== server) {
						service.server(server).partitionedFrom.add(other);
					}
				}

				return 'unanswered';
			}

			service.promote(server, 1);
			return 'accepted';
		});
		const [, {proxy, log}] = hosts as [Harness, Harness];
		service.server('a').isLeaving = true;
		for (const host of hosts) {
			host.proxy.setServers(service.listings());
		}

		new PromotionTask(() => proxy.services, {
			clock, log, lease: new MemoryLease('h'), promotionService, metrics: noopMetrics,
		}).run(lifetime.signal).catch(() => undefined);
		await expectNoLoss();
	});
});
