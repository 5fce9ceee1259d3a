import {expect} from 'chai';
import fc from 'fast-check';
import {RecordingLogger} from '@crocusloom/model/testing';
import {type ChangeOutcome, type ConfigurationChange} from '../changeAcceptor.js';
import {ConfigurationReplica} from '../configurationReplica.js';
import {createChangeSet} from '../configurationState.js';
import {
	FakeDeployment, fakeMember, type FakeKeyValueStore, type Fault,
} from './fakes.js';

const rankSpec = (floorShare: number, order = 1) => ({order, targetMs: 50, floorShare});
const createRank = (name: string, changeId: string): ConfigurationChange => ({
	action: 'create', kind: 'ranks', name, spec: rankSpec(0.1), changeId,
});
const replaceFirstRank = (changeId: string, expectedRevision: number, floorShare = 0.2): ConfigurationChange => ({
	action: 'replace', kind: 'ranks', name: 'first', spec: rankSpec(floorShare), changeId, expectedRevision,
});

/** Counts the writes of each change id in the history of the store. */
function countWrites(platform: FakeKeyValueStore): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const event of platform.history) {
		const value = event.type === 'put' ? JSON.parse(event.entry.value) as {readonly changes?: ReadonlyArray<{readonly id: string}>} : {};
		const id = value.changes?.[0]?.id ?? 'other';
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
}

/** Time within which an accepted change must be in force on each host. */
const changeBoundMs = 7000;

describe('ConfigurationStore', () => {
	let deployment: FakeDeployment;

	beforeEach(() => {
		deployment = new FakeDeployment();
	});

	afterEach(() => {
		deployment.stopAllHosts();
	});

	async function startHost(host = 'a', failureDomain?: string) {
		const running = deployment.startHost(host, failureDomain);
		await deployment.clock.until(running.started);
		return running;
	}

	async function accept(change: ConfigurationChange, host = 'a'): Promise<ChangeOutcome> {
		const {signal, store} = deployment.hosts.get(host)!;
		return deployment.clock.until(store.accept(change, signal));
	}

	async function assertLostResponseResolved(faults: readonly Fault[], isReplacedAfterWrite: boolean): Promise<void> {
		const {store} = await startHost();
		await accept(createRank('first', 'c1'));
		deployment.platform.faults.push(...faults);
		if (isReplacedAfterWrite) {
			const {platform} = deployment;
			platform.afterWrite = () => {
				platform.afterWrite = undefined;
				const key = 'crocusloom/test/ranks/first';
				platform.put(key, JSON.stringify({spec: rankSpec(0.3), changes: [{id: 'c3'}, {id: 'c2', revision: 2}, {id: 'c1', revision: 1}]}));
			};
		}

		const outcome = await accept(replaceFirstRank('c2', 1));
		expect(outcome).to.include({type: 'accepted', revision: 2});
		expect(countWrites(deployment.platform).get('c2')).to.equal(1);
		expect(store.current().ranks.get('first')!.spec.floorShare).to.equal(isReplacedAfterWrite ? 0.3 : 0.2);
	}

	describe('determines the effect after a lost response (guards against changes applied twice or reported wrongly)', () => {
		const cases: ReadonlyArray<{readonly name: string; readonly faults: readonly Fault[]; readonly isReplacedAfterWrite?: boolean}> = [
			{name: 'response lost after the write took effect', faults: ['loseResponse']},
			{name: 'response lost three times', faults: ['loseResponse', 'loseResponse', 'loseResponse']},
			{name: 'request lost', faults: ['dropRequest']},
			{name: 'request delayed until after its retry', faults: ['delayRequest']},
			{name: 'response lost and another change written immediately afterwards', faults: ['loseResponse'], isReplacedAfterWrite: true},
		];
		for (const {name, faults, isReplacedAfterWrite} of cases) {
			it(name, async () => assertLostResponseResolved(faults, isReplacedAfterWrite ?? false));
		}

		it('a variant that retries at the newest revision without checking the stored change id applies the change twice', async () => {
			const {platform} = deployment;
			platform.put('k', JSON.stringify({changes: [{id: 'c1'}]}));
			platform.faults.push('loseResponse');
			for (let attempt = 1; attempt <= 2; attempt++) {
				const {entry} = await platform.get('k');
				try {
					await platform.compareAndSwap('k', entry!.modRevision, JSON.stringify({changes: [{id: 'c2'}]}));
				} catch {
					// The variant treats a lost response as a failed write.
				}
			}

			expect(countWrites(platform).get('c2')).to.equal(2);
		});

		it('a variant that retries at the same revision without checking the stored change id reports its own change as a conflict', async () => {
			const {platform} = deployment;
			platform.faults.push('loseResponse');
			await platform.compareAndSwap('k', 0, '{}').catch(() => undefined);
			const repeated = await platform.compareAndSwap('k', 0, '{}');
			expect(repeated.succeeded).to.equal(false);
		});

		it('reports an unknown effect if all responses are lost', async () => {
			await startHost();
			deployment.platform.faults.push(...Array.from<Fault>({length: 10}).fill('loseResponse'));
			deployment.platform.afterWrite = () => {
				deployment.platform.faults.unshift('loseResponse');
			};

			expect(await accept(createRank('first', 'c1'))).to.include({type: 'unavailable', effect: 'unknown'});
		});
	});

	it('accepts one of two concurrent changes and returns the current resource to the other operator', async () => {
		await startHost('a');
		await startHost('b');
		await accept(createRank('first', 'c1'));
		const [firstOutcome, secondOutcome] = await Promise.all([accept(replaceFirstRank('c2', 1, 0.2), 'a'), accept(replaceFirstRank('c3', 1, 0.3), 'b')]);
		expect([firstOutcome.type, secondOutcome.type].toSorted()).to.deep.equal(['accepted', 'conflict']);
		const conflict = firstOutcome.type === 'conflict' ? firstOutcome : secondOutcome;
		expect(conflict).to.have.nested.property('current.revision', 2);
	});

	it('applies each accepted change once and no refused change, for random lost requests and responses of concurrent changes', async () => {
		const faultArbitrary = fc.constantFrom<Fault | undefined>(undefined, 'loseResponse', 'dropRequest', 'delayRequest');
		await fc.assert(fc.asyncProperty(fc.array(faultArbitrary, {maxLength: 12}), fc.array(fc.nat(2), {minLength: 2, maxLength: 6}), async (faults, hostChoices) => {
			deployment.stopAllHosts();
			deployment = new FakeDeployment();
			await startHost('a');
			await startHost('b');
			await accept(createRank('first', 'c0'));
			deployment.platform.faults.push(...faults);
			const outcomes = await Promise.all(hostChoices.map(async (hostChoice, index) => {
				const {revision} = (deployment.hosts.get('a')!.store.current().ranks.get('first')!);
				return accept(replaceFirstRank(`c${index + 1}`, revision), hostChoice === 0 ? 'a' : 'b');
			}));
			const writes = countWrites(deployment.platform);
			for (const [index, outcome] of outcomes.entries()) {
				const count = writes.get(`c${index + 1}`) ?? 0;
				expect(count, outcome.type).to.be.oneOf(outcome.type === 'accepted' ? [1] : (outcome.type === 'conflict' ? [0] : [0, 1]));
			}
		}), {seed: 20_241, numRuns: 60});
	});

	describe('refuses an invalid change', () => {
		const group = {
			databases: [{
				name: 'db1', address: '127.0.0.1', port: 5432, failureDomain: 'bryan',
			}],
		};
		const route = {
			database: 'app', group: 'g', rank: 'first', freshness: 'session',
		};
		const cases: ReadonlyArray<{readonly name: string; readonly change: ConfigurationChange; readonly paths: readonly string[]}> = [
			{
				name: 'invalid field', change: {
					action: 'create', changeId: 'c', kind: 'ranks', name: 'x', spec: {...rankSpec(0.1), targetMs: -1},
				}, paths: ['spec.targetMs'],
			},
			{
				name: 'invalid name', change: {
					action: 'create', changeId: 'c', kind: 'ranks', name: 'X!', spec: rankSpec(0.1),
				}, paths: ['name'],
			},
			{
				name: 'sum of floor shares above 1', change: {
					action: 'create', changeId: 'c', kind: 'ranks', name: 'second', spec: rankSpec(0.95, 2),
				}, paths: ['spec.floorShare'],
			},
			{
				name: 'unknown references', change: {
					action: 'create', changeId: 'c', kind: 'routes', name: 'r2', spec: {
						...route, database: 'x', group: 'no', rank: 'no', freshness: 'no',
					},
				}, paths: ['spec.group', 'spec.rank', 'spec.freshness'],
			},
			{
				name: 'second route for the same callers', change: {
					action: 'create', changeId: 'c', kind: 'routes', name: 'r2', spec: route,
				}, paths: ['spec.database'],
			},
			{
				name: 'database that belongs to another group', change: {
					action: 'create', changeId: 'c', kind: 'databaseGroups', name: 'g2', spec: group,
				}, paths: ['spec.databases.0.name'],
			},
			{
				name: 'deletion of a group that a route refers to', change: {
					action: 'delete', changeId: 'c', kind: 'databaseGroups', name: 'g', expectedRevision: 2,
				}, paths: ['name'],
			},
			{
				name: 'deletion of a rank that a route refers to', change: {
					action: 'delete', changeId: 'c', kind: 'ranks', name: 'first', expectedRevision: 1,
				}, paths: ['name'],
			},
		];
		for (const {name, change, paths} of cases) {
			it(name, async () => {
				await startHost();
				const resources = [['ranks', 'first', rankSpec(0.1)], ['databaseGroups', 'g', group], ['freshnessClasses', 'session', {mode: 'session'}], ['routes', 'r', route]] as const;
				for (const [kind, resource, spec] of resources) {
					expect(await accept({
						action: 'create', kind, name: resource, spec, changeId: resource,
					})).to.include({type: 'accepted'});
				}

				const outcome = await accept(change);
				expect(outcome.type).to.equal('invalid');
				expect(outcome.type === 'invalid' && outcome.problems.map(({path}) => path)).to.deep.equal(paths);
			});
		}
	});

	it('deletes a resource once, refuses its old revision afterwards and creates it again', async () => {
		const {store} = await startHost();
		await accept(createRank('first', 'c1'));
		const remove = (changeId: string) => ({
			action: 'delete' as const, kind: 'ranks' as const, name: 'first', changeId, expectedRevision: 1,
		});
		deployment.platform.faults.push('loseResponse');
		expect(await accept(remove('c2'))).to.include({type: 'accepted', revision: 2});
		expect(store.current().ranks.size).to.equal(0);
		expect(await accept(remove('c2')), 'a repeated change id').to.include({type: 'accepted', revision: 2});
		expect(await accept(remove('c3'))).to.include({type: 'conflict', currentRevision: 0});
		expect(await accept(createRank('first', 'c4'))).to.include({type: 'accepted', revision: 3});
	});

	it('refuses changes during a platform outage, keeps the configuration in force and catches up afterwards', async () => {
		const {store} = await startHost();
		await accept(createRank('first', 'c1'));
		deployment.platform.setDown(true);
		await deployment.clock.advance(5000);
		expect(await accept(createRank('second', 'c2'))).to.include({type: 'unavailable', effect: 'none'});
		expect(store.current().ranks.has('first')).to.equal(true);
		expect(await store.platformHealth(new AbortController().signal)).to.include({reachable: false});
		deployment.platform.setDown(false);
		deployment.platform.put('crocusloom/test/ranks/third', JSON.stringify({spec: rankSpec(0.1, 3)}));
		await deployment.clock.advance(6000);
		expect(store.current().ranks.has('third')).to.equal(true);
		expect(await store.platformHealth(new AbortController().signal)).to.include({reachable: true});
	});

	it('reports a frozen platform, which neither responds nor fails, as unreachable and recovers afterwards', async () => {
		const {signal, store} = await startHost();
		deployment.platform.isFrozen = true;
		await deployment.clock.advance(12_000);
		expect(await store.platformHealth(signal)).to.include({reachable: false});
		expect(await accept(createRank('first', 'c1'))).to.include({type: 'unavailable', effect: 'none'});
		deployment.platform.isFrozen = false;
		await deployment.clock.advance(12_000);
		expect(await store.platformHealth(signal)).to.include({reachable: true});
	});

	it('propagates a change within 2 s to hosts that do not watch the platform, and keeps two watchers per failure domain', async () => {
		const hosts = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
		for (const [index, host] of hosts.entries()) {
			await startHost(host, index < 4 ? 'bryan' : 'waco');
		}

		deployment.platform.watchingHosts.clear();
		await deployment.clock.advance(10_000);
		expect(deployment.platform.watchingHosts.size).to.equal(4);
		deployment.platform.put('crocusloom/test/ranks/first', JSON.stringify({spec: rankSpec(0.1)}));
		await deployment.clock.advance(2000);
		expect(hosts.filter(host => !deployment.hosts.get(host)!.store.current().ranks.has('first'))).to.deep.equal([]);

		const [watcher] = deployment.platform.watchingHosts;
		deployment.stopHost(watcher!);
		deployment.platform.watchingHosts.clear();
		await deployment.clock.advance(10_000);
		expect(deployment.platform.watchingHosts.size, 'another host replaces a dead watcher').to.equal(4);
	});

	it('follows the platform again after an unexpected error of its tasks (guards against a host that never learns of a change any more)', async () => {
		const hosts = ['a', 'b', 'c', 'd'];
		for (const host of hosts) {
			await startHost(host);
		}

		const {members} = deployment;
		const memberValues = members.values.bind(members);
		members.values = () => {
			throw new TypeError('a member cannot be read');
		};

		await deployment.clock.advance(10_000);
		members.values = memberValues;
		await deployment.clock.advance(10_000);
		deployment.platform.put('crocusloom/test/ranks/first', JSON.stringify({spec: rankSpec(0.1)}));
		await deployment.clock.advance(changeBoundMs);
		expect(hosts.filter(host => !deployment.hosts.get(host)!.store.current().ranks.has('first'))).to.deep.equal([]);
	});

	it('guards against a restarted host that serves an older configuration than it has reported', async () => {
		const {store: peer} = await startHost('b');
		await accept(createRank('first', 'c1'), 'b');
		deployment.platform.setDown(true);
		// Host a has reported revision 2 in heartbeats before it stops. Host b has revision 1, and a reports 0 after its restart.
		deployment.members.set('a', fakeMember('a', {configurationRevision: 2}));
		await deployment.clock.advance(1000);
		deployment.members.set('a', fakeMember('a'));
		await deployment.clock.advance(1000);
		const restarted = deployment.startHost('a');
		await deployment.clock.advance(20_000);
		expect(peer.revision()).to.equal(1);
		expect(restarted.store.isReady).to.equal(false);
		deployment.platform.setDown(false);
		deployment.platform.put('crocusloom/test/ranks/second', JSON.stringify({spec: rankSpec(0.1, 2)}));
		await deployment.clock.until(restarted.started);
		expect(restarted.store.revision()).to.equal(2);
	});

	it('loads the configuration from a peer during a platform outage', async () => {
		await startHost('b');
		await accept(createRank('first', 'c1'), 'b');
		deployment.platform.setDown(true);
		const restarted = await startHost('a');
		expect(restarted.store.revision()).to.equal(1);
		expect(await accept(createRank('second', 'c2'))).to.include({type: 'unavailable', effect: 'none'});
	});

	it('loads a newer configuration from a peer if the platform returns an older one, and refuses changes meanwhile', async () => {
		await startHost('a');
		await accept(createRank('first', 'c1'));
		await accept(createRank('second', 'c2'));
		deployment.platform.entries.delete('crocusloom/test/ranks/second');
		deployment.platform.revision = 1;
		const {store} = await startHost('b');
		expect([...store.current().ranks.keys()]).to.deep.equal(['first', 'second']);
		await deployment.clock.advance(10_000);
		expect(deployment.hosts.get('a')!.store.revision()).to.equal(2);
		expect(await accept(createRank('third', 'c3'), 'b')).to.include({type: 'unavailable', effect: 'none'});
	});

	it('reports and skips an invalid stored value and keeps the last valid version in force', async () => {
		const {store} = await startHost();
		await accept(createRank('first', 'c1'));
		deployment.platform.put('crocusloom/test/ranks/first', JSON.stringify({spec: {order: 'x'}}));
		deployment.platform.put('crocusloom/test/ranks/second', 'not JSON');
		await deployment.clock.advance(5000);
		expect(store.revision()).to.equal(3);
		expect(store.current().ranks.get('first')!.spec).to.deep.equal(rankSpec(0.1));
		expect(store.invalidEntries.map(({key}) => key)).to.deep.equal(['ranks/first', 'ranks/second']);
		expect(await accept(replaceFirstRank('c2', 2)), 'an operator can replace it').to.include({type: 'accepted', revision: 4});
		expect(store.invalidEntries).to.have.length(1);
	});

	it('skips values that are very deep or have numbers out of range, and follows the store afterwards (guards against an odd value that stops the watch)', async () => {
		const {store} = await startHost();
		await accept(createRank('first', 'c1'));
		const deepValue = `${'['.repeat(50_000)}${']'.repeat(50_000)}`;
		const largeRank = JSON.stringify({spec: {...rankSpec(0.1), targetMs: 1e300}, changes: []});
		const badPort = JSON.stringify({
			spec: {
				databases: [{
					name: 'a', address: '127.0.0.1', port: 70_000, failureDomain: 'x',
				}],
			}, changes: [],
		});
		const oddValues = {
			'ranks/deep': deepValue, 'ranks/nested': `{"spec":${deepValue},"changes":[]}`, 'ranks/large': largeRank, 'databaseGroups/g': badPort, 'ranks/null': 'null',
		};
		for (const [key, value] of Object.entries(oddValues)) {
			deployment.platform.put(`crocusloom/test/${key}`, value);
		}

		deployment.platform.put('crocusloom/test/ranks/last', JSON.stringify({spec: rankSpec(0.2), changes: []}));
		await deployment.clock.advance(5000);
		expect([...store.current().ranks.keys()]).to.deep.equal(['first', 'last']);
		expect(store.invalidEntries.map(({key}) => key)).to.have.members(Object.keys(oddValues));
	});

	it('skips entries with unknown keys that a peer reports, and follows changes afterwards (guards against a host of another release that stops the others)', async () => {
		const {store} = await startHost();
		await accept(createRank('first', 'c1'));
		const receive = deployment.network.handlers.get('a')!.get('configuration.changed')!;
		const unknownEntries = ['shards/x', 'ranks', 'ranks/', 'constructor/x', ''].map(key => ({key, revision: 2, value: '{"spec":{}}'}));
		const entries = [...unknownEntries, {key: 'ranks/second', revision: 3, value: JSON.stringify({spec: rankSpec(0.1)})}];
		await receive({sinceRevision: 1, revision: 3, entries}, 'b', new AbortController().signal);
		expect([...store.current().ranks.keys()]).to.deep.equal(['first', 'second']);
		deployment.platform.revision = 3;
		expect(await accept(createRank('third', 'c2'))).to.include({type: 'accepted', revision: 4});
		expect([...store.current().ranks.keys()]).to.deep.equal(['first', 'second', 'third']);
	});

	it('notifies all listeners although one of them throws (guards against a change that hides itself from the others)', () => {
		const log = new RecordingLogger();
		const replica = new ConfigurationReplica(log);
		const notifiedRevisions: number[] = [];
		const {signal} = new AbortController();
		replica.onChange(() => {
			throw new Error('the change cannot be applied');
		}, signal);
		replica.onChange(({revision}) => {
			notifiedRevisions.push(revision);
		}, signal);
		replica.serve();
		replica.merge(createChangeSet(0, [{key: 'ranks/r', revision: 7, value: '{}'}]));
		expect(notifiedRevisions).to.deep.equal([0, 7]);
		expect(log.withMessage('a change of the configuration could not be applied').length).to.equal(2);
	});

	it('keeps the calls of 820 hosts that start during an outage below the rate limit of the store', async () => {
		deployment.platform.isDown = true;
		for (let index = 0; index < 820; index++) {
			deployment.startHost(`h${index}`, `domain-${index % 8}`);
		}

		await deployment.clock.advance(4000);
		deployment.platform.setDown(false);
		await deployment.clock.advance(6000);
		const perSecond = new Map<number, number>();
		for (const timeMs of deployment.platform.callTimesMs) {
			const second = Math.floor(timeMs / 1000);
			perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
		}

		expect(Math.max(...perSecond.values())).to.be.below(2000);
		expect([...deployment.hosts.values()].filter(({store}) => !store.isReady)).to.deep.equal([]);
	});
});
