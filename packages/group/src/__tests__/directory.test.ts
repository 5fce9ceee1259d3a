import {expect} from 'chai';
import {
	type Configuration, emptyConfiguration, type KeyValueEntry, type KeyValueStore, type Member, type Membership, type PeerRpc,
} from '@crocusloom/model';
import {Directory} from '../directory.js';
import {GroupMonitors} from '../groupMonitors.js';
import {monitorLingerMs} from '../timing.js';
import {decodeStates} from '../stateMessage.js';
import {type PublishedStatus} from '../statusPublisher.js';
import {FakeClock, Gate, seededRandom} from './fakeClock.js';
import {FakeGroup} from './fakeGroup.js';

const hosts = ['h0', 'h1', 'h2'] as const;
const oneGroup: GroupNames = {g: ['a', 'b', 'c']};
/** Time on the fake clock over which traffic is counted. */
const measuredMs = 10_000;
const statusKey = 'crocusloom/test/status/g';

/** Names of the databases of each group. */
type GroupNames = Readonly<Record<string, readonly string[]>>;

function memberOf(host: string): Member {
	return {
		host, incarnation: 1, failureDomain: host, address: host, peerPort: 1, workPort: 2, operatorPort: 3, state: 'alive', leaving: false, configurationRevision: 1, silentMs: 0,
	};
}

/** A store of one key, which counts what was written. */
class FakeStore implements KeyValueStore {
	entry?: KeyValueEntry;

	async list() {
		return {revision: 1, entries: []};
	}

	async get() {
		return {revision: 1, entry: this.entry};
	}

	async compareAndSwap(key: string, expectedRevision: number, value: string | undefined) {
		if ((this.entry?.modRevision ?? 0) !== expectedRevision) {
			return {succeeded: false as const, revision: 1, current: this.entry};
		}

		this.entry = {key, value: value!, modRevision: expectedRevision + 1};
		return {succeeded: true as const, revision: expectedRevision + 1};
	}

	async * watch() {
		// Nothing here watches.
	}
}

/** Three hosts; h0 and h1 hold the databases until the test changes `holders`, h2 holds none. */
class Hosts {
	readonly clock = new FakeClock();
	readonly random = seededRandom(3);
	readonly store = new FakeStore();
	readonly refusing = new Set<string>();
	holders: Readonly<Record<string, string>> = {a: 'h0', b: 'h1', c: 'h1'};
	probeCalls = 0;
	/** Bytes of notifications as the transport frames them. */
	sentBytes = 0;
	readonly groups: ReadonlyMap<string, FakeGroup>;
	readonly monitors = new Map<string, GroupMonitors>();
	readonly directories = new Map<string, Directory>();
	private readonly handlers = new Map<string, Parameters<PeerRpc['handle']>[1]>();
	private readonly listeners: Array<() => void> = [];

	constructor(readonly hostNames: readonly string[] = hosts, readonly groupNames: GroupNames = oneGroup) {
		this.groups = new Map(Object.entries(groupNames).map(([group, names]) => [group, new FakeGroup({clock: this.clock, random: this.random, names})]));
		for (const group of this.groups.values()) {
			group.lead(group.databases[0]!.name);
			void group.replicate();
		}
	}

	/** The first group. */
	get group(): FakeGroup {
		return [...this.groups.values()][0]!;
	}

	start(): void {
		for (const host of this.hostNames) {
			this.startHost(host);
		}
	}

	changeHolders(holders: Readonly<Record<string, string>>): void {
		this.holders = holders;
		for (const listener of this.listeners) {
			listener();
		}
	}

	async run(durationMs: number): Promise<void> {
		await this.clock.runUntil(this.clock.nowMs() + durationMs);
	}

	stop(): void {
		for (const group of this.groups.values()) {
			group.stop();
		}

		for (const host of this.hostNames) {
			this.monitors.get(host)!.close();
			this.directories.get(host)!.close();
		}
	}

	private startHost(host: string): void {
		const {clock, random, store} = this;
		const membership: Membership = {
			self: memberOf(host),
			members: () => this.hostNames.map(name => memberOf(name)),
			holderOf: database => memberOf(this.holders[database]!),
			reportUnreachable() {
				// The fake network has its own record of what is reachable.
			},
			onChange: listener => {
				this.listeners.push(listener);
			},
		};
		const specOf = (names: readonly string[]) => ({
			databases: names.map(name => ({
				name, address: name, port: 1, failureDomain: name, leaving: false,
			})),
			slotsPerDatabase: 3, connectionsPerDatabase: 20, acknowledgement: 'majority' as const,
		});
		const configuration: Configuration = {
			...emptyConfiguration, databaseGroups: new Map(Object.entries(this.groupNames).map(([name, names]) => [name, {
				kind: 'databaseGroups', name, revision: 1, spec: specOf(names),
			}])),
		};
		const groupOf = (database: string) => [...this.groups.values()].find(group => group.databases.some(({name}) => name === database))!;
		const monitors = new GroupMonitors({
			clock, random, membership, store, deployment: 'test',
			configuration: {
				current: () => configuration,
				onChange() {
					// The configuration of the test stays.
				},
			},
			createControl: ({name}) => groupOf(name).control(host, name, new Gate()),
		});
		const directory = new Directory({
			clock, membership, local: monitors, peers: this.peersOf(host),
		});
		directory.start();
		monitors.start(directory);
		this.monitors.set(host, monitors);
		this.directories.set(host, directory);
	}

	/** Peer calls with the JSON encoding that the real transport has. */
	private peersOf(self: string): PeerRpc {
		const deliver = async (host: string, method: string, parameters: unknown): Promise<unknown> => {
			await this.clock.sleep(1);
			if (this.refusing.has(host)) {
				throw new Error(`${host} refuses`);
			}

			const text = JSON.stringify(parameters);
			return this.handlers.get(`${host} ${method}`)!(JSON.parse(text), self, new AbortController().signal);
		};

		return {
			call: async <R>(host: string, method: string, parameters: unknown) => {
				this.probeCalls++;
				return await deliver(host, method, parameters) as R;
			},
			notify: (host, method, parameters) => {
				this.sentBytes += 4 + Buffer.byteLength(JSON.stringify({jsonrpc: '2.0', method, params: parameters}));
				void deliver(host, method, parameters).then(undefined, () => undefined);
			},
			handle: (method, handler) => {
				this.handlers.set(`${self} ${method}`, handler);
			},
		};
	}
}

describe('Directory and GroupMonitors', () => {
	const {signal} = new AbortController();
	const withHosts = (check: (fleet: Hosts) => Promise<void> | void) => async () => {
		const fleet = new Hosts();
		fleet.start();
		await fleet.run(1200);
		await check(fleet);
		fleet.stop();
	};

	it('gives a host without a monitor the state of its peers (guards against a proxy that knows no primary)', withHosts(fleet => {
		const state = fleet.directories.get('h2')!.stateOf('g')!;
		expect([state.primary, state.term, state.databases.length]).to.deep.equal(['a', 1, 3]);
		expect(fleet.monitors.get('h2')!.groups()).to.deep.equal([]);
	}));

	it('reads an unproven age as Infinity (guards against null from JSON that counts as age 0)', withHosts(async fleet => {
		fleet.group.cut('h2', 'c');
		fleet.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await fleet.run(600);
		const ages = fleet.directories.get('h0')!.reportOf('g', 'h2')!.databases.map(({provenAgeMs}) => Number.isFinite(provenAgeMs));
		expect(ages).to.deep.equal([true, true, false]);
	}));

	for (const {load, isBusy, limitBytes} of [{load: 'idle', isBusy: false, limitBytes: 2400}, {load: 'busy', isBusy: true, limitBytes: 2500}]) {
		it(`sends few states in an ${load} deployment of 5 hosts and 9 databases (guards against control traffic beyond its budget)`, async () => {
			const names = ['h0', 'h1', 'h2', 'h3', 'h4'];
			const groups = {'pledge-ledger-1': ['db-1a', 'db-1b', 'db-1c'], 'pledge-ledger-2': ['db-2a', 'db-2b', 'db-2c'], 'pledge-ledger-3': ['db-3a', 'db-3b', 'db-3c']};
			const fleet = new Hosts(names, groups);
			fleet.holders = Object.fromEntries(Object.values(groups).flat().map((name, index) => [name, names[index % names.length]!]));
			fleet.start();
			await fleet.run(3000);
			fleet.sentBytes = 0;
			for (let elapsedMs = 0; elapsedMs < measuredMs; elapsedMs += 20) {
				for (const group of isBusy ? fleet.groups.values() : []) {
					const [primary] = group.databases;
					primary!.log = [...primary!.log, {term: 1, value: 'w'}];
				}

				await fleet.run(20);
			}

			const bytesPerHost = fleet.sentBytes / names.length / (measuredMs / 1000);
			console.log(`      ${Math.round(bytesPerHost)} bytes of states a second and host`);
			expect(bytesPerHost).to.be.within(1, limitBytes);
			fleet.stop();
		});
	}

	const goodState = ['g', 9, 'a', 9, 1, null, [['a', 1, 1, 9, 9, 1, 0, 0]]];
	const badMessages = [
		null,
		[],
		{s: 1},
		{s: [{}]},
		{s: [goodState.slice(1)]},
		{s: [goodState.with(1, '9')]},
		{s: [goodState.with(3, -1)]},
		{s: [goodState.with(6, [['a']])]},
		{s: [goodState.with(6, [['a', 1, 1, 9, 9, 0.5, 0, 0]])]},
	];
	for (const message of badMessages) {
		it(`ignores the state ${JSON.stringify(message)} (guards against a peer of another version that breaks routing)`, () => {
			expect(decodeStates({s: [goodState]}, 'h')).to.have.length(1);
			expect(decodeStates(message, 'h')).to.equal(undefined);
		});
	}

	const probes = [
		{name: 'asks a monitoring host', refusing: [], calls: 1},
		{name: 'tries the other monitor when one fails', refusing: ['h0'], calls: 2},
		{name: 'tries the other monitor whichever fails', refusing: ['h1'], calls: 2},
	];
	for (const {name, refusing, calls} of probes) {
		it(`${name} for the commit position, once for calls of one window (guards against lost or unbatched probes)`, withHosts(async fleet => {
			for (const host of refusing) {
				fleet.refusing.add(host);
			}

			const directory = fleet.directories.get('h2')!;
			const answers = Promise.all(Array.from({length: 10}, async () => directory.commitPosition('g', signal)));
			await fleet.run(1000);
			expect(new Set(await answers)).to.have.length(1);
			expect(await answers).to.deep.include({term: 1, offsetBytes: 1});
			expect(fleet.probeCalls).to.be.within(1, calls);
		}));
	}

	it('reports a probe that no monitor answers as not run (guards against a read without a proven position)', withHosts(async fleet => {
		fleet.refusing.add('h0').add('h1');
		const outcome = fleet.directories.get('h2')!.commitPosition('g', signal).then(() => 'answered', (error: unknown) => (error as {failure: {kind: string}}).failure.kind);
		await fleet.run(2000);
		expect(await outcome).to.equal('notRun');
	}));

	it('stops the monitor when another host holds the databases (guards against connections beyond the budget)', withHosts(async fleet => {
		fleet.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await fleet.run(monitorLingerMs + 600);
		expect(hosts.map(host => fleet.monitors.get(host)!.groups())).to.deep.equal([[], [], ['g']]);
	}));

	it('goes on monitoring for a while after another host took over (guards against a COMMIT that its monitor does not outlive)', withHosts(async fleet => {
		fleet.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await fleet.run(600);
		expect(hosts.map(host => fleet.monitors.get(host)!.groups())).to.deep.equal([['g'], ['g'], ['g']]);
	}));

	it('keeps the monitor when the databases come back to their holder (guards against a late stop)', withHosts(async fleet => {
		const before = fleet.monitors.get('h0')!.get('g');
		fleet.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await fleet.run(600);
		fleet.changeHolders({a: 'h0', b: 'h1', c: 'h2'});
		await fleet.run(monitorLingerMs + 600);
		expect(fleet.monitors.get('h0')!.get('g')).to.equal(before);
	}));

	const published = [
		{name: 'publishes a promotion', before: undefined, term: 2},
		{name: 'replaces a lower term', before: 1, term: 2},
		{name: 'keeps a higher term', before: 9, term: 9},
	];
	for (const {name, before, term} of published) {
		it(`${name} in the store (guards against a published term that goes back)`, withHosts(async fleet => {
			if (before !== undefined) {
				fleet.store.entry = {key: statusKey, value: JSON.stringify({term: before}), modRevision: 4};
			}

			fleet.group.get('a').isDown = true;
			await fleet.run(2500);
			expect((JSON.parse(fleet.store.entry!.value) as PublishedStatus).term).to.equal(term);
			const records = hosts.flatMap(host => fleet.directories.get(host)!.promotions()).filter(({outcome}) => outcome === 'promoted');
			expect(records).to.have.length(1);
			expect(fleet.directories.get('h2')!.stateOf('g')?.term).to.equal(2);
		}));
	}
});
