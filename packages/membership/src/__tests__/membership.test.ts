import {setImmediate as settle} from 'node:timers/promises';
import {assert} from 'chai';
import {
	noopLogger, noopMetrics, type Clock, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {MembershipService} from '../membershipService.js';

/** Clock that moves only when the test moves it. */
class ManualClock implements Clock {
	private now = 0;
	private sleepers: Array<{readonly atMs: number; readonly wake: () => void}> = [];

	nowMs(): number {
		return this.now;
	}

	wallMs(): number {
		return this.now;
	}

	async sleep(durationMs: number): Promise<void> {
		return new Promise(resolve => {
			this.sleepers.push({atMs: this.now + durationMs, wake: resolve});
		});
	}

	async advance(durationMs: number): Promise<void> {
		const endMs = this.now + durationMs;
		while (this.now < endMs) {
			this.now += 50;
			const due = this.sleepers.filter(sleeper => sleeper.atMs <= this.now);
			this.sleepers = this.sleepers.filter(sleeper => sleeper.atMs > this.now);
			for (const sleeper of due) {
				sleeper.wake();
			}

			await settle();
		}
	}
}

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

type Host = {readonly name: string; readonly service: MembershipService};

/** Hosts that exchange heartbeats in memory; `cuts` drops messages between two hosts. */
class FakeFleet {
	readonly clock = new ManualClock();
	readonly hosts: Host[] = [];
	readonly random = seededRandom(20_261_204);
	/** Bytes of heartbeats as the transport frames them. */
	sentBytes = 0;
	readonly cuts = {separates: (_from: string, _to: string): boolean => false};
	private readonly handlers = new Map<string, (parameters: unknown) => unknown>();
	private readonly stop = new AbortController();

	constructor(names: readonly string[], domains: readonly string[]) {
		for (const [index, name] of names.entries()) {
			this.add(name, domains[index % domains.length]!, index);
		}
	}

	close(): void {
		this.stop.abort();
	}

	private add(name: string, failureDomain: string, index: number): void {
		const service: MembershipService = new MembershipService({
			self: {
				host: name, incarnation: 1, failureDomain, address: '127.0.0.1', peerPort: 1000 + index, workPort: 0, operatorPort: 0,
			},
			seeds: this.hosts.slice(0, 1).map(() => ({address: '127.0.0.1', port: 1000})),
			peers: this.peersOf(name, () => service),
			clock: this.clock,
			random: this.random,
			log: noopLogger,
			metrics: noopMetrics,
			configurationRevision: () => 0,
		});
		this.hosts.push({name, service});
		void service.run(this.stop.signal);
	}

	private peersOf(from: string, service: () => MembershipService): PeerRpc {
		return {
			async call() {
				throw new Error('not used');
			},
			handle: (method, handler) => {
				this.handlers.set(`${from} ${method}`, parameters => handler(parameters, '', this.stop.signal));
			},
			notify: (host, method, parameters) => {
				this.sentBytes += 4 + JSON.stringify({jsonrpc: '2.0', method, params: parameters}).length;
				const address = service().resolve(host);
				const to = this.hosts[(address?.port ?? 0) - 1000]?.name;
				if (to && !this.cuts.separates(from, to)) {
					this.handlers.get(`${to} ${method}`)?.(structuredClone(parameters));
				}
			},
		};
	}
}

function liveHosts(host: Host): string[] {
	return host.service.members().filter(member => member.state !== 'dead').map(member => member.host).toSorted();
}

describe('MembershipService', () => {
	let fleet: FakeFleet;

	afterEach(() => {
		fleet.close();
	});

	async function assertAllMeet(size: number): Promise<void> {
		const names = Array.from({length: size}, (_, index) => `h${String(index).padStart(2, '0')}`);
		fleet = new FakeFleet(names, ['a', 'b', 'c']);
		await fleet.clock.advance(20_000);
		for (const host of fleet.hosts) {
			assert.deepEqual(liveHosts(host), names);
		}
	}

	for (const size of [2, 5, 20]) {
		it(`guards against hosts that never learn of each other from one seed (${size} hosts)`, async () => assertAllMeet(size));
	}

	it('guards against a starting host that holds databases before its seeds have answered', async () => {
		fleet = new FakeFleet(['a1', 'a2'], ['a']);
		fleet.cuts.separates = () => true;
		await fleet.clock.advance(1000);
		assert.isFalse(fleet.hosts[1]!.service.hasHeardSeeds());
		fleet.cuts.separates = () => false;
		await fleet.clock.advance(1000);
		assert.isTrue(fleet.hosts[1]!.service.hasHeardSeeds());
	});

	async function assertHeartbeatBytes(seeds: number, limit: number): Promise<void> {
		fleet = new FakeFleet(['brazos-proxy-1', 'brazos-proxy-2', 'brazos-proxy-3', 'brazos-proxy-4', 'brazos-proxy-5'], ['bryan', 'waco', 'temple']);
		for (const {service} of fleet.hosts) {
			for (let seed = 0; seed < seeds; seed++) {
				service.addSeed({address: '127.0.0.1', port: 2000 + seed});
			}
		}

		await fleet.clock.advance(20_000);
		fleet.sentBytes = 0;
		await fleet.clock.advance(10_000);
		const bytesPerHost = fleet.sentBytes / 5 / 10;
		assert.isAtMost(bytesPerHost, limit);
	}

	for (const {seeds, limit} of [{seeds: 0, limit: 1450}, {seeds: 5, limit: 1650}]) {
		it(`guards against heartbeats beyond the budget of control traffic, with ${seeds} seeds that never answer`, async () => assertHeartbeatBytes(seeds, limit));
	}

	it('guards against a cut-off failure domain being kept as holder, and against it not returning', async () => {
		fleet = new FakeFleet(['a1', 'b1', 'a2', 'b2'], ['a', 'b']);
		await fleet.clock.advance(5000);
		fleet.cuts.separates = (from, to) => !from.startsWith(to.slice(0, 1));
		await fleet.clock.advance(5000);
		for (const {name, service} of fleet.hosts) {
			assert.equal(service.holderOf('db', 'a').failureDomain, name[0]);
		}

		fleet.cuts.separates = () => false;
		await fleet.clock.advance(5000);
		assert.equal(new Set(fleet.hosts.map(({service}) => service.holderOf('db', 'a').host)).size, 1);
	});

	it('guards against work going on to a peer that refused a connection', async () => {
		fleet = new FakeFleet(['a1', 'a2'], ['a']);
		await fleet.clock.advance(2000);
		const [first, second] = fleet.hosts as [Host, Host];
		fleet.cuts.separates = () => true;
		first.service.reportUnreachable('a2');
		assert.equal(first.service.holderOf('any', 'a').host, 'a1');
		second.service.reportUnreachable('a1');
		assert.equal(second.service.holderOf('any', 'a').host, 'a2');
	});

	it('guards against a leaving host being given databases', async () => {
		fleet = new FakeFleet(['a1', 'a2', 'a3'], ['a']);
		await fleet.clock.advance(2000);
		fleet.hosts[0]!.service.leave();
		for (const {service} of fleet.hosts) {
			for (let index = 0; index < 20; index++) {
				assert.notEqual(service.holderOf(`db-${index}`, 'a').host, 'a1');
			}
		}
	});
});
