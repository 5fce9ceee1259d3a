import {assert} from 'chai';
import {
	noopLogger, noopMetrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {MembershipService} from '../membershipService.js';

/** Linear congruential generator with the constants of Numerical Recipes. */
function seededRandom(seed: number): RandomSource {
	let state = seed;
	return {
		next() {
			state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
			return state / 4_294_967_296;
		},
	};
}

type FakeHost = {readonly name: string; readonly service: MembershipService};

/** Hosts that exchange heartbeats in memory; `partition` drops the messages between separated hosts. */
class FakeDeployment {
	readonly clock = new FakeClock();
	readonly hosts: FakeHost[] = [];
	readonly random = seededRandom(20_261_204);
	/** Gauge of live peers by host. */
	readonly livePeerCounts = new Map<string, number>();
	/** Total size of the heartbeats as framed by the transport. */
	heartbeatBytes = 0;
	failedDeliveries = 0;
	readonly partition = {separates: (_from: string, _to: string): boolean => false};
	private readonly handlers = new Map<string, (parameters: unknown) => unknown>();
	private readonly closeController = new AbortController();

	constructor(names: readonly string[], failureDomains: readonly string[]) {
		for (const [index, name] of names.entries()) {
			this.startHost(name, failureDomains[index % failureDomains.length]!, index);
		}
	}

	close(): void {
		this.closeController.abort();
	}

	/** Delivers a message to a host; as in the transport, an error of the handler ends nothing else. */
	deliver(to: string, parameters: unknown): void {
		try {
			this.handlers.get(`${to} membership.heartbeat`)?.(parameters);
		} catch {
			this.failedDeliveries++;
		}
	}

	private startHost(name: string, failureDomain: string, index: number): void {
		const service: MembershipService = new MembershipService({
			self: {
				host: name, incarnation: 1, failureDomain, address: '127.0.0.1', peerPort: 1000 + index, workPort: 0, operatorPort: 0,
			},
			seeds: this.hosts.slice(0, 1).map(() => ({address: '127.0.0.1', port: 1000})),
			peers: this.createRpc(name, () => service),
			clock: this.clock,
			random: this.random,
			log: noopLogger,
			metrics: {
				...noopMetrics, gauge: (metric, value) => {
					if (metric === 'membership_live_peers') {
						this.livePeerCounts.set(name, value);
					}
				},
			},
			configurationRevision: () => 0,
		});
		this.hosts.push({name, service});
		void service.run(this.closeController.signal);
	}

	private createRpc(from: string, service: () => MembershipService): PeerRpc {
		return {
			async call() {
				throw new Error('not used');
			},
			handle: (method, handler) => {
				this.handlers.set(`${from} ${method}`, parameters => handler(parameters, '', this.closeController.signal));
			},
			notify: (host, method, parameters) => {
				this.heartbeatBytes += 4 + JSON.stringify({jsonrpc: '2.0', method, params: parameters}).length;
				const address = service().resolveAddress(host);
				const to = this.hosts[(address?.port ?? 0) - 1000]?.name;
				if (to && !this.partition.separates(from, to)) {
					this.handlers.get(`${to} ${method}`)?.(structuredClone(parameters));
				}
			},
		};
	}
}

function liveHostsSeenBy(host: FakeHost): string[] {
	return host.service.members().filter(member => member.state !== 'dead').map(member => member.host).toSorted();
}

function nestedLists(depth: number): unknown {
	let value: unknown = [];
	for (let level = 0; level < depth; level++) {
		value = [value];
	}

	return value;
}

const deepList = nestedLists(100_000);
/** Record of a host that does not exist, with one or more fields replaced. */
function recordWith(replacedFields: Readonly<Record<number, unknown>>): readonly unknown[] {
	return Object.assign(['odd', 1, 1, 'a', '127.0.0.1', 3000, 3001, 3002, false, 0], replacedFields);
}

const oddHeartbeats: ReadonlyArray<{readonly name: string; readonly parameters: unknown}> = [
	{name: 'no parameters', parameters: null},
	{name: 'no records', parameters: {}},
	{name: 'a record that is null', parameters: {r: [null]}},
	{name: 'a record that is too short', parameters: {r: [['odd', 1]]}},
	{name: 'a port out of range', parameters: {r: [recordWith({5: 70_000, 6: 70_000})]}},
	{name: 'a host name that is no text', parameters: {r: [recordWith({0: {}})]}},
	{name: 'a very deep host name', parameters: {r: [recordWith({0: deepList})]}},
	{name: 'a very deep incarnation', parameters: {r: [recordWith({1: deepList})]}},
	{name: 'an incarnation of a live host that is too large', parameters: {r: [recordWith({0: 'a2', 1: 1e300})]}},
	{name: 'a counter of a live host that is too large', parameters: {r: [['a2', 1, 1e300]]}},
];

describe('MembershipService', () => {
	let deployment: FakeDeployment;

	afterEach(() => {
		deployment.close();
	});

	async function assertHostsDiscoverEachOther(size: number): Promise<void> {
		const names = Array.from({length: size}, (_, index) => `h${String(index).padStart(2, '0')}`);
		deployment = new FakeDeployment(names, ['a', 'b', 'c']);
		await deployment.clock.advance(20_000);
		for (const host of deployment.hosts) {
			assert.deepEqual(liveHostsSeenBy(host), names);
		}
	}

	it('counts a host whose name has a comma once (guards against names that are joined to a list)', async () => {
		deployment = new FakeDeployment(['a', 'b,c'], ['a']);
		await deployment.clock.advance(20_000);
		assert.deepEqual([...deployment.livePeerCounts], [['a', 1], ['b,c', 1]]);
	});

	for (const size of [2, 5, 20]) {
		it(`guards against hosts that do not discover each other through one seed (${size} hosts)`, async () => assertHostsDiscoverEachOther(size));
	}

	it('guards against a starting host that claims databases before it has heard from its seeds', async () => {
		deployment = new FakeDeployment(['a1', 'a2'], ['a']);
		deployment.partition.separates = () => true;
		await deployment.clock.advance(1000);
		assert.isFalse(deployment.hosts[1]!.service.hasHeardFromAllSeeds());
		deployment.partition.separates = () => false;
		await deployment.clock.advance(1000);
		assert.isTrue(deployment.hosts[1]!.service.hasHeardFromAllSeeds());
	});

	async function assertHeartbeatBytesPerSecond(seedCount: number, limitBytesPerSecond: number): Promise<void> {
		deployment = new FakeDeployment(['brazos-proxy-1', 'brazos-proxy-2', 'brazos-proxy-3', 'brazos-proxy-4', 'brazos-proxy-5'], ['bryan', 'waco', 'temple']);
		for (const {service} of deployment.hosts) {
			for (let seed = 0; seed < seedCount; seed++) {
				service.addSeed({address: '127.0.0.1', port: 2000 + seed});
			}
		}

		await deployment.clock.advance(20_000);
		deployment.heartbeatBytes = 0;
		await deployment.clock.advance(10_000);
		const bytesPerHostAndSecond = deployment.heartbeatBytes / 5 / 10;
		assert.isAtMost(bytesPerHostAndSecond, limitBytesPerSecond);
	}

	for (const {seedCount, limitBytesPerSecond} of [{seedCount: 0, limitBytesPerSecond: 1450}, {seedCount: 5, limitBytesPerSecond: 1650}]) {
		it(`guards against heartbeats above the bandwidth budget, with ${seedCount} seeds that never respond`, async () => assertHeartbeatBytesPerSecond(seedCount, limitBytesPerSecond));
	}

	it('guards against holders in an unreachable failure domain, and against holders that stay different after the partition', async () => {
		deployment = new FakeDeployment(['a1', 'b1', 'a2', 'b2'], ['a', 'b']);
		await deployment.clock.advance(5000);
		deployment.partition.separates = (from, to) => !from.startsWith(to.slice(0, 1));
		await deployment.clock.advance(5000);
		for (const {name, service} of deployment.hosts) {
			assert.equal(service.holderOf('db', 'a').failureDomain, name[0]);
		}

		deployment.partition.separates = () => false;
		await deployment.clock.advance(5000);
		assert.equal(new Set(deployment.hosts.map(({service}) => service.holderOf('db', 'a').host)).size, 1);
	});

	it('guards against work that is still sent to a peer reported as unreachable', async () => {
		deployment = new FakeDeployment(['a1', 'a2'], ['a']);
		await deployment.clock.advance(2000);
		const [first, second] = deployment.hosts as [FakeHost, FakeHost];
		deployment.partition.separates = () => true;
		first.service.reportUnreachable('a2');
		assert.equal(first.service.holderOf('any', 'a').host, 'a1');
		second.service.reportUnreachable('a1');
		assert.equal(second.service.holderOf('any', 'a').host, 'a2');
	});

	it('guards against a leaving host that is chosen as holder', async () => {
		deployment = new FakeDeployment(['a1', 'a2', 'a3'], ['a']);
		await deployment.clock.advance(2000);
		deployment.hosts[0]!.service.leave();
		for (const {service} of deployment.hosts) {
			for (let index = 0; index < 20; index++) {
				assert.notEqual(service.holderOf(`db-${index}`, 'a').host, 'a1');
			}
		}
	});

	async function assertMembersBeside(parameters: unknown): Promise<void> {
		deployment = new FakeDeployment(['a1', 'a2', 'a3'], ['a']);
		await deployment.clock.advance(5000);
		deployment.deliver('a1', parameters);
		for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 100) {
			await deployment.clock.advance(100);
			for (const host of deployment.hosts) {
				assert.deepEqual(liveHostsSeenBy(host), ['a1', 'a2', 'a3']);
			}
		}

		assert.equal(deployment.failedDeliveries, 0);
	}

	for (const {name, parameters} of oddHeartbeats) {
		it(`guards against an odd heartbeat that ends the heartbeats of its receiver or hides live hosts: ${name}`, async () => assertMembersBeside(parameters));
	}
});
