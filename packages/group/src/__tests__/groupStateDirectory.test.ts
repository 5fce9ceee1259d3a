import {expect} from 'chai';
import {
	type Configuration, emptyConfiguration, type KeyValueEntry, type KeyValueStore, type Member, type Membership, type PeerRpc,
} from '@crocusloom/model';
import {FakeClock, seededRandom} from '@crocusloom/model/testing';
import {GroupStateDirectory} from '../groupStateDirectory.js';
import {GroupMonitors} from '../groupMonitors.js';
import {monitorStopDelayMs} from '../timing.js';
import {decodeStates} from '../stateMessage.js';
import {type PublishedStatus} from '../statusPublisher.js';
import {Gate} from './gate.js';
import {FakeGroup} from './fakeGroup.js';

const defaultHosts = ['h0', 'h1', 'h2'] as const;
const singleGroup: DatabaseNamesByGroup = {g: ['a', 'b', 'c']};
/** Duration on the fake clock during which traffic is counted. */
const measurementMs = 10_000;
const statusKey = 'crocusloom/test/status/g';

/** Names of the databases by group. */
type DatabaseNamesByGroup = Readonly<Record<string, readonly string[]>>;

function memberOf(host: string): Member {
	return {
		host, incarnation: 1, failureDomain: host, address: host, peerPort: 1, workPort: 2, operatorPort: 3, state: 'alive', leaving: false, configurationRevision: 1, silentMs: 0,
	};
}

/** A key-value store that holds one key. */
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
		// The code under test does not watch the store.
	}
}

/** Hosts with monitors and directories, three by default. h0 and h1 hold the databases until the test changes `holderByDatabase`; h2 holds none. */
class DirectoryDeployment {
	readonly clock = new FakeClock();
	readonly random = seededRandom(3);
	readonly store = new FakeStore();
	readonly failingHosts = new Set<string>();
	holderByDatabase: Readonly<Record<string, string>> = {a: 'h0', b: 'h1', c: 'h1'};
	probeCallCount = 0;
	/** True while all lookups in the membership throw an unexpected error. */
	areLookupsFailing = false;
	/** Bytes of the notifications, including the framing of the transport. */
	sentBytes = 0;
	readonly groups: ReadonlyMap<string, FakeGroup>;
	readonly monitors = new Map<string, GroupMonitors>();
	readonly directories = new Map<string, GroupStateDirectory>();
	private readonly handlers = new Map<string, Parameters<PeerRpc['handle']>[1]>();
	private readonly listeners: Array<() => void> = [];

	constructor(readonly hostNames: readonly string[] = defaultHosts, readonly databaseNamesByGroup: DatabaseNamesByGroup = singleGroup) {
		this.groups = new Map(Object.entries(databaseNamesByGroup).map(([group, names]) => [group, new FakeGroup({clock: this.clock, random: this.random, names})]));
		for (const group of this.groups.values()) {
			group.startWithPrimary(group.databases[0]!.name);
			void group.replicate();
		}
	}

	/** First group, which is the only one by default. */
	get firstGroup(): FakeGroup {
		return [...this.groups.values()][0]!;
	}

	start(): void {
		for (const host of this.hostNames) {
			this.startHost(host);
		}
	}

	changeHolders(holders: Readonly<Record<string, string>>): void {
		this.holderByDatabase = holders;
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

	private failIfLookupsFail(): void {
		if (this.areLookupsFailing) {
			throw new Error('an unexpected error of a lookup');
		}
	}

	private startHost(host: string): void {
		const {clock, random, store} = this;
		const membership: Membership = {
			self: memberOf(host),
			members: () => {
				this.failIfLookupsFail();
				return this.hostNames.map(name => memberOf(name));
			},
			holderOf: database => {
				this.failIfLookupsFail();
				return memberOf(this.holderByDatabase[database]!);
			},
			reportUnreachable() {
				// Which hosts are reachable is determined by the fake network.
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
			...emptyConfiguration, databaseGroups: new Map(Object.entries(this.databaseNamesByGroup).map(([name, names]) => [name, {
				kind: 'databaseGroups', name, revision: 1, spec: specOf(names),
			}])),
		};
		const groupOf = (database: string) => [...this.groups.values()].find(group => group.databases.some(({name}) => name === database))!;
		const monitors = new GroupMonitors({
			clock, random, membership, store, deployment: 'test',
			configuration: {
				current: () => configuration,
				onChange() {
					// The configuration does not change during a test.
				},
			},
			createControl: ({name}) => groupOf(name).control(host, name, new Gate()),
		});
		const directory = new GroupStateDirectory({
			clock, membership, localMonitors: monitors, peers: this.peersOf(host),
		});
		directory.start();
		monitors.start(directory);
		this.monitors.set(host, monitors);
		this.directories.set(host, directory);
	}

	/** Peer calls that encode their parameters as JSON, as the real transport does. */
	private peersOf(selfHost: string): PeerRpc {
		const deliver = async (host: string, method: string, parameters: unknown): Promise<unknown> => {
			await this.clock.sleep(1);
			if (this.failingHosts.has(host)) {
				throw new Error(`${host} refuses`);
			}

			const encodedParameters = JSON.stringify(parameters);
			return this.handlers.get(`${host} ${method}`)!(JSON.parse(encodedParameters), selfHost, new AbortController().signal);
		};

		return {
			call: async <R>(host: string, method: string, parameters: unknown) => {
				this.probeCallCount++;
				return await deliver(host, method, parameters) as R;
			},
			notify: (host, method, parameters) => {
				this.sentBytes += 4 + Buffer.byteLength(JSON.stringify({jsonrpc: '2.0', method, params: parameters}));
				void deliver(host, method, parameters).then(undefined, () => undefined);
			},
			handle: (method, handler) => {
				this.handlers.set(`${selfHost} ${method}`, handler);
			},
		};
	}
}

describe('GroupStateDirectory and GroupMonitors', () => {
	const {signal} = new AbortController();
	const withDeployment = (check: (deployment: DirectoryDeployment) => Promise<void> | void) => async () => {
		const deployment = new DirectoryDeployment();
		deployment.start();
		await deployment.run(1200);
		await check(deployment);
		deployment.stop();
	};

	it('provides the state reported by peers on a host without a monitor (guards against a proxy that knows no primary)', withDeployment(deployment => {
		const state = deployment.directories.get('h2')!.stateOf('g')!;
		expect([state.primary, state.term, state.databases.length]).to.deep.equal(['a', 1, 3]);
		expect(deployment.monitors.get('h2')!.groups()).to.deep.equal([]);
	}));

	it('decodes an unproven age as Infinity (guards against a JSON null that counts as age 0)', withDeployment(async deployment => {
		deployment.firstGroup.cut('h2', 'c');
		deployment.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await deployment.run(600);
		const ages = deployment.directories.get('h0')!.reportOf('g', 'h2')!.databases.map(({provenAgeMs}) => Number.isFinite(provenAgeMs));
		expect(ages).to.deep.equal([true, true, false]);
	}));

	for (const {load, isBusy, limitBytes} of [{load: 'no', isBusy: false, limitBytes: 2400}, {load: 'write', isBusy: true, limitBytes: 2500}]) {
		it(`limits the bytes of state messages in a deployment of 5 hosts and 9 databases under ${load} load (guards against control traffic above its budget)`, async () => {
			const names = ['h0', 'h1', 'h2', 'h3', 'h4'];
			const groups = {'pledge-ledger-1': ['db-1a', 'db-1b', 'db-1c'], 'pledge-ledger-2': ['db-2a', 'db-2b', 'db-2c'], 'pledge-ledger-3': ['db-3a', 'db-3b', 'db-3c']};
			const deployment = new DirectoryDeployment(names, groups);
			deployment.holderByDatabase = Object.fromEntries(Object.values(groups).flat().map((name, index) => [name, names[index % names.length]!]));
			deployment.start();
			await deployment.run(3000);
			deployment.sentBytes = 0;
			for (let elapsedMs = 0; elapsedMs < measurementMs; elapsedMs += 20) {
				for (const group of isBusy ? deployment.groups.values() : []) {
					const [primary] = group.databases;
					primary!.log = [...primary!.log, {term: 1, value: 'w'}];
				}

				await deployment.run(20);
			}

			const bytesPerHost = deployment.sentBytes / names.length / (measurementMs / 1000);
			console.log(`      ${Math.round(bytesPerHost)} bytes of state messages per second and host`);
			expect(bytesPerHost).to.be.within(1, limitBytes);
			deployment.stop();
		});
	}

	const validState = ['g', 9, 'a', 9, 1, null, [['a', 1, 1, 9, 9, 1, 0, 0]]];
	const invalidMessages = [
		null,
		[],
		{s: 1},
		{s: [{}]},
		{s: [validState.slice(1)]},
		{s: [validState.with(1, '9')]},
		{s: [validState.with(3, -1)]},
		{s: [validState.with(6, [['a']])]},
		{s: [validState.with(6, [['a', 1, 1, 9, 9, 0.5, 0, 0]])]},
	];
	for (const message of invalidMessages) {
		it(`rejects the invalid state message ${JSON.stringify(message)} (guards against a peer of another version that breaks routing)`, () => {
			expect(decodeStates({s: [validState]}, 'h')).to.have.length(1);
			expect(decodeStates(message, 'h')).to.equal(undefined);
		});
	}

	const probeCases = [
		{name: 'from a monitoring host', failingHosts: [], calls: 1},
		{name: 'from the second monitoring host when h0 fails', failingHosts: ['h0'], calls: 2},
		{name: 'from the second monitoring host when h1 fails', failingHosts: ['h1'], calls: 2},
	];
	for (const {name, failingHosts, calls} of probeCases) {
		it(`returns the commit position ${name}, with one probe for concurrent calls (guards against lost or unbatched probes)`, withDeployment(async deployment => {
			for (const host of failingHosts) {
				deployment.failingHosts.add(host);
			}

			const directory = deployment.directories.get('h2')!;
			const positions = Promise.all(Array.from({length: 10}, async () => directory.commitPosition('g', signal)));
			await deployment.run(1000);
			expect(new Set(await positions)).to.have.length(1);
			expect(await positions).to.deep.include({term: 1, offsetBytes: 1});
			expect(deployment.probeCallCount).to.be.within(1, calls);
		}));
	}

	const unexpectedErrorCases: ReadonlyArray<{readonly name: string; readonly guardsAgainst: string; readonly check: (deployment: DirectoryDeployment) => void}> = [
		{
			name: 'replaces a failed primary', guardsAgainst: 'a group without a primary until the process is restarted', check(deployment) {
				expect(deployment.firstGroup.promotions.map(({term}) => term)).to.deep.equal([1, 2]);
			},
		},
		{
			name: 'reports its states to peers periodically', guardsAgainst: 'peers that take the databases for unreachable until the process is restarted', check(deployment) {
				expect(deployment.directories.get('h2')!.reportOf('g', 'h0')!.confirmedAgeMs).to.be.lessThan(1000);
			},
		},
	];
	for (const {name, guardsAgainst, check} of unexpectedErrorCases) {
		it(`${name} after unexpected errors of its tasks (guards against ${guardsAgainst})`, withDeployment(async deployment => {
			deployment.firstGroup.get('a').isDown = true;
			deployment.areLookupsFailing = true;
			await deployment.run(2000);
			deployment.areLookupsFailing = false;
			await deployment.run(5000);
			check(deployment);
		}));
	}

	it('fails with notRun if no monitor responds to a probe (guards against a read without a proven position)', withDeployment(async deployment => {
		deployment.failingHosts.add('h0').add('h1');
		const outcome = deployment.directories.get('h2')!.commitPosition('g', signal).then(() => 'answered', (error: unknown) => (error as {failure: {kind: string}}).failure.kind);
		await deployment.run(2000);
		expect(await outcome).to.equal('notRun');
	}));

	it('stops the monitor after another host has become the holder (guards against monitor connections above the budget)', withDeployment(async deployment => {
		deployment.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await deployment.run(monitorStopDelayMs + 600);
		expect(defaultHosts.map(host => deployment.monitors.get(host)!.groups())).to.deep.equal([[], [], ['g']]);
	}));

	it('keeps the monitor for a delay after another host has become the holder (guards against a monitor that stops before the acknowledgement of an open COMMIT)', withDeployment(async deployment => {
		deployment.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await deployment.run(600);
		expect(defaultHosts.map(host => deployment.monitors.get(host)!.groups())).to.deep.equal([['g'], ['g'], ['g']]);
	}));

	it('keeps the monitor if the host becomes the holder again within the delay (guards against a delayed stop that is not canceled)', withDeployment(async deployment => {
		const monitorBefore = deployment.monitors.get('h0')!.get('g');
		deployment.changeHolders({a: 'h2', b: 'h2', c: 'h2'});
		await deployment.run(600);
		deployment.changeHolders({a: 'h0', b: 'h1', c: 'h2'});
		await deployment.run(monitorStopDelayMs + 600);
		expect(deployment.monitors.get('h0')!.get('g')).to.equal(monitorBefore);
	}));

	const publicationCases = [
		{name: 'publishes a promotion', initialTerm: undefined, term: 2},
		{name: 'replaces a lower term', initialTerm: 1, term: 2},
		{name: 'keeps a higher term', initialTerm: 9, term: 9},
	];
	for (const {name, initialTerm, term} of publicationCases) {
		it(`${name} in the store (guards against a published term that decreases)`, withDeployment(async deployment => {
			if (initialTerm !== undefined) {
				deployment.store.entry = {key: statusKey, value: JSON.stringify({term: initialTerm}), modRevision: 4};
			}

			deployment.firstGroup.get('a').isDown = true;
			await deployment.run(2500);
			expect((JSON.parse(deployment.store.entry!.value) as PublishedStatus).term).to.equal(term);
			const records = defaultHosts.flatMap(host => deployment.directories.get(host)!.promotions()).filter(({outcome}) => outcome === 'promoted');
			expect(records).to.have.length(1);
			expect(deployment.directories.get('h2')!.stateOf('g')?.term).to.equal(2);
		}));
	}
});
