import {deferred, noopMetrics, systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {
	type BackendConnection, type BackendDialer, type BackendServer, type IsNamedInOrder, type PromotionLease, type PromotionService,
} from '../ports.js';
import {PromotionTask} from '../promotions/promotion.js';
import {
	HostDialer, MemoryLease, MemoryService, promotionServiceOf,
} from '../testing/index.js';
import {
	advanceableClock, type Harness, run as runStatement, startProxy,
} from './proxyHarness.js';

/** Time in which a stopping process waits for its promotions. */
const handOverMs = 3000;
/** Time in which a command to a server is answered or given up. */
const commandTimeoutMs = 500;
/** Time by which timers of the system may be early. */
const timerToleranceMs = 5;
const effectDelayMs = 800;
const listedMs = 20_000;
const settleMs = 400;
const promotionTimeoutMs = 15_000;
/** Time in which the holder of the lease looks at a service again. */
const clearDelayMs = 300;
/** Longest time after which a host that follows the store knows a change while changes keep coming. */
const watchDelayMs = 300;

/** Dialer of a host whose commands to resume replication are held on the way. */
class ResumeHoldingDialer implements BackendDialer {
	readonly released = deferred<void>();
	heldCount = 0;
	/** Time of the last held command. */
	heldMs = Number.POSITIVE_INFINITY;

	constructor(private readonly dialer: BackendDialer) {}

	async dial(server: BackendServer, timeoutMs: number): Promise<BackendConnection> {
		const connection = await this.dialer.dial(server, timeoutMs);
		return {
			get isOpen() {
				return connection.isOpen;
			},
			run: async request => {
				if (request.command.kind === 'resume') {
					this.heldCount++;
					this.heldMs = systemClock.nowMs();
					await this.released.promise;
				}

				return connection.run(request);
			},
			readStatus: answer => connection.readStatus(answer),
			onClose(listener) {
				connection.onClose(listener);
			},
			close() {
				// What was written is received although the sender has given up the connection.
			},
		};
	}

	async isReachable(server: BackendServer, timeoutMs: number): Promise<boolean> {
		return this.dialer.isReachable(server, timeoutMs);
	}
}

describe('orders and commands of promotions that are received late', () => {
	let lifetime: AbortController;
	let hosts: Harness[];
	let service: MemoryService;
	let promoterDialer: HostDialer;
	let servedRows: string[];
	let clock: ReturnType<typeof advanceableClock>;
	let isListCurrent: boolean;

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

	/** Starts a host of callers, and one that promotes. */
	async function startHosts(isNamedInOrder: IsNamedInOrder): Promise<void> {
		service = new MemoryService('ledger', ['a', 'b', 'c', 'd']);
		service.acknowledgesLateCommits = true;
		promoterDialer = new HostDialer(service, systemClock);
		clock = advanceableClock();
		hosts = [await startProxy(service, clock, {isNamedInOrder}), await startProxy(service, clock, {dialer: promoterDialer})];
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

	function startPromotions({proxy, log}: Harness, lease: PromotionLease, promotionService: PromotionService): void {
		new PromotionTask(() => proxy.services, {
			clock, log, lease, promotionService, metrics: noopMetrics,
		}).run(lifetime.signal).catch(() => undefined);
	}

	function promoteLater(onOrder: (server: string) => void): PromotionService {
		return promotionServiceOf(({server}) => {
			setTimeout(() => {
				service.promote(server, 1);
			}, effectDelayMs);
			onOrder(server);
			return 'accepted';
		});
	}

	function expectNoLoss(): void {
		const promotedRows = new Set(service.server(service.promotions.at(-1)!.server).log.map(({writeId}) => `row of ${writeId}`));
		expect(servedRows.length, 'served writes').to.be.at.least(1);
		expect(servedRows.filter(row => !promotedRows.has(row)), 'lost writes that callers were told to have succeeded').to.deep.equal([]);
	}

	const isRecorded = (lease: PromotionLease, server: string) => lease.recordedOrders('ledger').some(({order}) => order?.server === server);

	it('an order stays recorded until the former primary and its replicas know the new term (guards against commits that the promoted server lacks)', async () => {
		const lease = new MemoryLease('h');
		await startHosts((_service, server) => isRecorded(lease, server));
		service.server('c').partitionedFrom.add(service.server('b'));
		startPromotions(hosts[1]!, lease, promoteLater(() => undefined));
		promoterDialer.cutServers.add('a');
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await waitUntil(() => service.server('c').pausedTerm === 0, promotionTimeoutMs);
		await systemClock.sleep(clearDelayMs);
		await write();
		expectNoLoss();
	});

	it('an order names a server that a host without the store does not list (guards against commits that the named server lacks)', async () => {
		isListCurrent = false;
		await startHosts(() => false);
		const joined = service.join('e', true);
		const [, promoter] = hosts as [Harness, Harness];
		promoter.proxy.setServers(service.listings());
		const [primary, ...replicas] = service.servers.filter(server => server !== joined);
		for (const replica of replicas) {
			replica.partitionedFrom.add(primary!);
		}

		await write();
		let requestCount = 0;
		startPromotions(promoter, new MemoryLease('h'), promotionServiceOf(({server}) => {
			expect(server).to.equal(joined.id);
			requestCount++;
			return requestCount === 1 ? 'unanswered' : 'notRunning';
		}));
		promoterDialer.cutServers.add('a');
		await waitUntil(() => requestCount > 0, promotionTimeoutMs);
		promoterDialer.cutServers.clear();
		await waitUntil(() => service.servers.every(({pausedTerm}) => pausedTerm === 0), promotionTimeoutMs);
		joined.partitionedFrom.add(primary!);
		for (const replica of replicas) {
			replica.partitionedFrom.clear();
		}

		await write();
		service.promote(joined.id, 1);
		expectNoLoss();
	});

	it('a former holder ends the pauses of the next one with commands that are received late (guards against commits that the promoted server lacks)', async () => {
		const lease = new MemoryLease('next');
		let orderedMs = Number.POSITIVE_INFINITY;
		await startHosts((_service, server) => systemClock.nowMs() - orderedMs >= watchDelayMs && isRecorded(lease, server));
		const formerDialer = new ResumeHoldingDialer(service);
		const formerHost = new HostDialer(formerDialer, systemClock);
		hosts.push(await startProxy(service, systemClock, {dialer: formerHost}));
		const former = {isHolder: true};
		startPromotions(hosts[2]!, new MemoryLease('former', {fencingToken: () => former.isHolder ? 6 : undefined}), promotionServiceOf(() => 'notRunning'));
		promoterDialer.cutServers.add('a');
		formerHost.cutServers.add('a');
		await waitUntil(() => formerDialer.heldCount > 0, promotionTimeoutMs);
		former.isHolder = false;
		const written = deferred<void>();
		startPromotions(hosts[1]!, lease, promoteLater(server => {
			orderedMs = systemClock.nowMs();
			service.server(server).partitionedFrom.add(service.server('a'));
			formerDialer.released.resolve();
			setTimeout(() => {
				void write().then(written.resolve);
			}, 20);
		}));
		await written.promise;
		await waitUntil(() => service.promotions.length > 0, promotionTimeoutMs);
		await systemClock.sleep(200);
		expectNoLoss();
	});

	it('a holder hands the lease over while its command to resume replication is on its way (guards against pauses of the next holder that are ended)', async () => {
		await startHosts(() => false);
		const dialer = new ResumeHoldingDialer(service);
		hosts.push(await startProxy(service, clock, {dialer}));
		const task = new PromotionTask(() => hosts[2]!.proxy.services, {
			clock, log: hosts[2]!.log, lease: new MemoryLease('h'), promotionService: promotionServiceOf(() => 'notRunning'), metrics: noopMetrics,
		});
		task.run(lifetime.signal).catch(() => undefined);
		service.server('c').pausedTerm = 5;
		await waitUntil(() => dialer.heldCount > 0, promotionTimeoutMs);
		const isDone = await task.stop(handOverMs);
		expect(isDone && systemClock.nowMs() - dialer.heldMs < commandTimeoutMs - timerToleranceMs, 'the lease is released before the command is answered or given up').to.equal(false);
	});
});
