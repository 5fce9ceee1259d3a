import {expect} from 'chai';
import fc from 'fast-check';
import {type ChangeOutcome, type ConfigurationChange} from '../changeAcceptor.js';
import {
	FakeDeployment, fakeMember, type FakeStore, type Fault,
} from './fakes.js';

const rank = (floorShare: number, order = 1) => ({order, targetMs: 50, floorShare});
const create = (name: string, changeId: string): ConfigurationChange => ({
	action: 'create', kind: 'ranks', name, spec: rank(0.1), changeId,
});
const replace = (changeId: string, expectedRevision: number, floorShare = 0.2): ConfigurationChange => ({
	action: 'replace', kind: 'ranks', name: 'first', spec: rank(floorShare), changeId, expectedRevision,
});

/** How often each change id was written, by the store's own history. */
function writesOf(platform: FakeStore): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const event of platform.history) {
		const value = event.type === 'put' ? JSON.parse(event.entry.value) as {readonly changes?: ReadonlyArray<{readonly id: string}>} : {};
		const id = value.changes?.[0]?.id ?? 'other';
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
}

describe('ConfigurationStore', () => {
	let deployment: FakeDeployment;

	beforeEach(() => {
		deployment = new FakeDeployment();
	});

	afterEach(() => {
		deployment.stopAll();
	});

	async function startHost(host = 'a', failureDomain?: string) {
		const running = deployment.start(host, failureDomain);
		await deployment.clock.until(running.started);
		return running;
	}

	async function accept(change: ConfigurationChange, host = 'a'): Promise<ChangeOutcome> {
		const {signal, store} = deployment.hosts.get(host)!;
		return deployment.clock.until(store.accept(change, signal));
	}

	async function settleLostAnswer(faults: readonly Fault[], overtakenAfterWrite: boolean): Promise<void> {
		const {store} = await startHost();
		await accept(create('first', 'c1'));
		deployment.platform.faults.push(...faults);
		if (overtakenAfterWrite) {
			const {platform} = deployment;
			platform.afterWrite = () => {
				platform.afterWrite = undefined;
				const key = 'crocusloom/test/ranks/first';
				platform.put(key, JSON.stringify({spec: rank(0.3), changes: [{id: 'c3'}, {id: 'c2', revision: 2}, {id: 'c1', revision: 1}]}));
			};
		}

		const outcome = await accept(replace('c2', 1));
		expect(outcome).to.include({type: 'accepted', revision: 2});
		expect(writesOf(deployment.platform).get('c2')).to.equal(1);
		expect(store.current().ranks.get('first')!.spec.floorShare).to.equal(overtakenAfterWrite ? 0.3 : 0.2);
	}

	describe('settles a lost answer, so that a change is neither applied twice nor reported wrongly', () => {
		const cases: ReadonlyArray<{readonly name: string; readonly faults: readonly Fault[]; readonly overtakenAfterWrite?: boolean}> = [
			{name: 'answer lost after the effect', faults: ['loseAnswer']},
			{name: 'answer lost three times', faults: ['loseAnswer', 'loseAnswer', 'loseAnswer']},
			{name: 'request lost', faults: ['dropRequest']},
			{name: 'request delayed until after its repetition', faults: ['delayRequest']},
			{name: 'answer lost and another change follows at once', faults: ['loseAnswer'], overtakenAfterWrite: true},
		];
		for (const {name, faults, overtakenAfterWrite} of cases) {
			it(name, async () => settleLostAnswer(faults, overtakenAfterWrite ?? false));
		}

		it('a variant that repeats at the newest revision without reading the change id back applies the change twice', async () => {
			const {platform} = deployment;
			platform.put('k', JSON.stringify({changes: [{id: 'c1'}]}));
			platform.faults.push('loseAnswer');
			for (let attempt = 1; attempt <= 2; attempt++) {
				const {entry} = await platform.get('k');
				try {
					await platform.compareAndSwap('k', entry!.modRevision, JSON.stringify({changes: [{id: 'c2'}]}));
				} catch {
					// The variant takes a lost answer for a failure.
				}
			}

			expect(writesOf(platform).get('c2')).to.equal(2);
		});

		it('a variant that repeats at the same revision without reading the change id back reports its own change as a conflict', async () => {
			const {platform} = deployment;
			platform.faults.push('loseAnswer');
			await platform.compareAndSwap('k', 0, '{}').catch(() => undefined);
			const repeated = await platform.compareAndSwap('k', 0, '{}');
			expect(repeated.succeeded).to.equal(false);
		});

		it('reports an unknown effect when no answer comes in time', async () => {
			await startHost();
			deployment.platform.faults.push(...Array.from<Fault>({length: 10}).fill('loseAnswer'));
			deployment.platform.afterWrite = () => {
				deployment.platform.faults.unshift('loseAnswer');
			};

			expect(await accept(create('first', 'c1'))).to.include({type: 'unavailable', effect: 'unknown'});
		});
	});

	it('accepts one of two racing operators and gives the other the current resource', async () => {
		await startHost('a');
		await startHost('b');
		await accept(create('first', 'c1'));
		const [one, two] = await Promise.all([accept(replace('c2', 1, 0.2), 'a'), accept(replace('c3', 1, 0.3), 'b')]);
		expect([one.type, two.type].toSorted()).to.deep.equal(['accepted', 'conflict']);
		const conflict = one.type === 'conflict' ? one : two;
		expect(conflict).to.have.nested.property('current.revision', 2);
	});

	it('applies each accepted change once and no refused one, whatever answers are lost while operators race', async () => {
		const fault = fc.constantFrom<Fault | undefined>(undefined, 'loseAnswer', 'dropRequest', 'delayRequest');
		await fc.assert(fc.asyncProperty(fc.array(fault, {maxLength: 12}), fc.array(fc.nat(2), {minLength: 2, maxLength: 6}), async (faults, picks) => {
			deployment.stopAll();
			deployment = new FakeDeployment();
			await startHost('a');
			await startHost('b');
			await accept(create('first', 'c0'));
			deployment.platform.faults.push(...faults);
			const outcomes = await Promise.all(picks.map(async (pick, index) => {
				const {revision} = (deployment.hosts.get('a')!.store.current().ranks.get('first')!);
				return accept(replace(`c${index + 1}`, revision), pick === 0 ? 'a' : 'b');
			}));
			const writes = writesOf(deployment.platform);
			for (const [index, outcome] of outcomes.entries()) {
				const count = writes.get(`c${index + 1}`) ?? 0;
				expect(count, outcome.type).to.be.oneOf(outcome.type === 'accepted' ? [1] : (outcome.type === 'conflict' ? [0] : [0, 1]));
			}
		}), {seed: 20_241, numRuns: 60});
	});

	describe('refuses a change that does not fit', () => {
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
				name: 'bad field', change: {
					action: 'create', changeId: 'c', kind: 'ranks', name: 'x', spec: {...rank(0.1), targetMs: -1},
				}, paths: ['spec.targetMs'],
			},
			{
				name: 'bad name', change: {
					action: 'create', changeId: 'c', kind: 'ranks', name: 'X!', spec: rank(0.1),
				}, paths: ['name'],
			},
			{
				name: 'floors above 1', change: {
					action: 'create', changeId: 'c', kind: 'ranks', name: 'second', spec: rank(0.95, 2),
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
				name: 'route for the same callers', change: {
					action: 'create', changeId: 'c', kind: 'routes', name: 'r2', spec: route,
				}, paths: ['spec.database'],
			},
			{
				name: 'database of another group', change: {
					action: 'create', changeId: 'c', kind: 'databaseGroups', name: 'g2', spec: group,
				}, paths: ['spec.databases.0.name'],
			},
			{
				name: 'deleting a group that a route needs', change: {
					action: 'delete', changeId: 'c', kind: 'databaseGroups', name: 'g', expectedRevision: 2,
				}, paths: ['name'],
			},
			{
				name: 'deleting a rank that a route needs', change: {
					action: 'delete', changeId: 'c', kind: 'ranks', name: 'first', expectedRevision: 1,
				}, paths: ['name'],
			},
		];
		for (const {name, change, paths} of cases) {
			it(name, async () => {
				await startHost();
				const resources = [['ranks', 'first', rank(0.1)], ['databaseGroups', 'g', group], ['freshnessClasses', 'session', {mode: 'session'}], ['routes', 'r', route]] as const;
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

	it('deletes, refuses the old revision afterwards and creates again', async () => {
		const {store} = await startHost();
		await accept(create('first', 'c1'));
		const remove = (changeId: string) => ({
			action: 'delete' as const, kind: 'ranks' as const, name: 'first', changeId, expectedRevision: 1,
		});
		deployment.platform.faults.push('loseAnswer');
		expect(await accept(remove('c2'))).to.include({type: 'accepted', revision: 2});
		expect(store.current().ranks.size).to.equal(0);
		expect(await accept(remove('c2')), 'a repeated change id').to.include({type: 'accepted', revision: 2});
		expect(await accept(remove('c3'))).to.include({type: 'conflict', currentRevision: 0});
		expect(await accept(create('first', 'c4'))).to.include({type: 'accepted', revision: 3});
	});

	it('refuses changes while the platform is down, keeps the configuration, and catches up afterwards', async () => {
		const {store} = await startHost();
		await accept(create('first', 'c1'));
		deployment.platform.setDown(true);
		await deployment.clock.advance(5000);
		expect(await accept(create('second', 'c2'))).to.include({type: 'unavailable', effect: 'none'});
		expect(store.current().ranks.has('first')).to.equal(true);
		expect(await store.platformHealth(new AbortController().signal)).to.include({reachable: false});
		deployment.platform.setDown(false);
		deployment.platform.put('crocusloom/test/ranks/third', JSON.stringify({spec: rank(0.1, 3)}));
		await deployment.clock.advance(6000);
		expect(store.current().ranks.has('third')).to.equal(true);
		expect(await store.platformHealth(new AbortController().signal)).to.include({reachable: true});
	});

	it('reports a platform that is frozen, which neither answers nor fails, and recovers from it', async () => {
		const {signal, store} = await startHost();
		deployment.platform.isFrozen = true;
		await deployment.clock.advance(12_000);
		expect(await store.platformHealth(signal)).to.include({reachable: false});
		expect(await accept(create('first', 'c1'))).to.include({type: 'unavailable', effect: 'none'});
		deployment.platform.isFrozen = false;
		await deployment.clock.advance(12_000);
		expect(await store.platformHealth(signal)).to.include({reachable: true});
	});

	it('brings a change within 2 s to hosts that do not watch, and two hosts of each failure domain watch', async () => {
		const hosts = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
		for (const [index, host] of hosts.entries()) {
			await startHost(host, index < 4 ? 'bryan' : 'waco');
		}

		deployment.platform.watchingHosts.clear();
		await deployment.clock.advance(10_000);
		expect(deployment.platform.watchingHosts.size).to.equal(4);
		deployment.platform.put('crocusloom/test/ranks/first', JSON.stringify({spec: rank(0.1)}));
		await deployment.clock.advance(2000);
		expect(hosts.filter(host => !deployment.hosts.get(host)!.store.current().ranks.has('first'))).to.deep.equal([]);

		const [watcher] = deployment.platform.watchingHosts;
		deployment.stop(watcher!);
		deployment.platform.watchingHosts.clear();
		await deployment.clock.advance(10_000);
		expect(deployment.platform.watchingHosts.size, 'another host takes the place of a dead watcher').to.equal(4);
	});

	it('does not serve an older configuration after a restart than the host has reported', async () => {
		const {store: peer} = await startHost('b');
		await accept(create('first', 'c1'), 'b');
		deployment.platform.setDown(true);
		// Host a had reported revision 2 in heartbeats before it died; b holds revision 1, and the restarted a reports 0.
		deployment.members.set('a', fakeMember('a', {configurationRevision: 2}));
		await deployment.clock.advance(1000);
		deployment.members.set('a', fakeMember('a'));
		await deployment.clock.advance(1000);
		const restarted = deployment.start('a');
		await deployment.clock.advance(20_000);
		expect(peer.revision()).to.equal(1);
		expect(restarted.store.ready).to.equal(false);
		deployment.platform.setDown(false);
		deployment.platform.put('crocusloom/test/ranks/second', JSON.stringify({spec: rank(0.1, 2)}));
		await deployment.clock.until(restarted.started);
		expect(restarted.store.revision()).to.equal(2);
	});

	it('loads from a peer while the platform is down', async () => {
		await startHost('b');
		await accept(create('first', 'c1'), 'b');
		deployment.platform.setDown(true);
		const restarted = await startHost('a');
		expect(restarted.store.revision()).to.equal(1);
		expect(await accept(create('second', 'c2'))).to.include({type: 'unavailable', effect: 'none'});
	});

	it('takes a newer configuration from a peer when the platform answers an older one, and refuses changes there', async () => {
		await startHost('a');
		await accept(create('first', 'c1'));
		await accept(create('second', 'c2'));
		deployment.platform.entries.delete('crocusloom/test/ranks/second');
		deployment.platform.revision = 1;
		const {store} = await startHost('b');
		expect([...store.current().ranks.keys()]).to.deep.equal(['first', 'second']);
		await deployment.clock.advance(10_000);
		expect(deployment.hosts.get('a')!.store.revision()).to.equal(2);
		expect(await accept(create('third', 'c3'), 'b')).to.include({type: 'unavailable', effect: 'none'});
	});

	it('skips an invalid value with a report and keeps the last valid version', async () => {
		const {store} = await startHost();
		await accept(create('first', 'c1'));
		deployment.platform.put('crocusloom/test/ranks/first', JSON.stringify({spec: {order: 'x'}}));
		deployment.platform.put('crocusloom/test/ranks/second', 'not JSON');
		await deployment.clock.advance(5000);
		expect(store.revision()).to.equal(3);
		expect(store.current().ranks.get('first')!.spec).to.deep.equal(rank(0.1));
		expect(store.invalidEntries.map(({key}) => key)).to.deep.equal(['ranks/first', 'ranks/second']);
		expect(await accept(replace('c2', 2)), 'an operator can replace it').to.include({type: 'accepted', revision: 4});
		expect(store.invalidEntries).to.have.length(1);
	});

	it('keeps the calls of 820 hosts that start during an outage below the rate of the store', async () => {
		deployment.platform.isDown = true;
		for (let index = 0; index < 820; index++) {
			deployment.start(`h${index}`, `domain-${index % 8}`);
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
		expect([...deployment.hosts.values()].filter(({store}) => !store.ready)).to.deep.equal([]);
	});
});
