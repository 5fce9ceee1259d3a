import {getEventListeners} from 'node:events';
import {expect} from 'chai';
import {type PromotionRecord} from '@crocusloom/model';
import {Fleet, type FleetOptions, loseReplica} from './fakeProxies.js';

/** Goal of design section 7 for a change of primary. */
const goalMs = 2000;

type NamedCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly options?: FleetOptions;
	readonly faults: (fleet: Fleet) => Promise<void> | void;
	/** Proxy whose callers must be served by a write within the goal after the faults. */
	readonly servedThrough?: number;
	/** Databases that may lead in the end. */
	readonly leaders: readonly string[];
	readonly outcomes?: ReadonlyArray<PromotionRecord['outcome']>;
};

async function killAfterFence(fleet: Fleet): Promise<void> {
	fleet.group.get('a').isDown = true;
	await fleet.run(goalMs, () => fleet.group.get('b').fencedTerm === 2 && fleet.group.get('c').fencedTerm === 2);
}

const cases: readonly NamedCase[] = [
	{
		name: 'primary killed',
		guardsAgainst: 'a group without a primary until an operator acts',
		faults(fleet) {
			fleet.group.get('a').isDown = true;
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'primary frozen',
		guardsAgainst: 'a promotion that waits for the frozen primary',
		faults(fleet) {
			fleet.group.get('a').gate.shut();
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'primary cut off with its callers',
		guardsAgainst: 'an isolated primary that acknowledges or answers strict reads',
		async faults(fleet) {
			const [inside] = fleet.proxies;
			fleet.isolate('a', 'p0');
			expect(await fleet.served(fleet.write(inside!, 'a')), 'write inside').to.equal(false);
			expect(await fleet.served(fleet.readStrict(inside!, 'a')), 'strict read inside').to.equal(false);
			expect(await fleet.served(fleet.readBounded(inside!, 'b', 60_000)), 'bounded read of a database that is cut off').to.equal(false);
			expect(inside!.view.provenAgeMs('a'), 'age grows').to.be.within(fleet.clock.nowMs() - 600, fleet.clock.nowMs());
		},
		servedThrough: 1,
		leaders: ['b', 'c'],
	},
	{
		name: 'two promoters at once',
		guardsAgainst: 'two primaries by two promotions in one term',
		options: {ranks: [0, 0, 0]},
		faults(fleet) {
			fleet.group.get('a').isDown = true;
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'promoter paused between fence and promote and resumed later',
		guardsAgainst: 'a late promote call that takes effect after a newer promotion',
		async faults(fleet) {
			await killAfterFence(fleet);
			fleet.proxies[0]!.gate.shut();
			await fleet.run(goalMs);
			expect(fleet.group.promotions.at(-1)?.term, 'the other proxy promotes').to.equal(3);
			fleet.proxies[0]!.gate.open();
			await fleet.run(200);
		},
		leaders: ['b', 'c'],
		outcomes: ['lostRace'],
	},
	{
		name: 'answers to fence lost',
		guardsAgainst: 'a fence that cannot be repeated after its effect',
		faults(fleet) {
			fleet.group.lostAnswers.push({database: 'b', call: 'fence'}, {database: 'c', call: 'fence'});
			fleet.group.get('a').isDown = true;
		},
		leaders: ['b', 'c'],
		outcomes: ['promoted'],
	},
	{
		name: 'answer to promote lost',
		guardsAgainst: 'a second promotion although the first took effect',
		faults(fleet) {
			fleet.group.lostAnswers.push({database: 'b', call: 'promote'});
			fleet.group.get('a').isDown = true;
		},
		leaders: ['b'],
		outcomes: ['promoted'],
	},
	{
		name: 'replica far behind',
		guardsAgainst: 'the promotion of a database that lacks acknowledged writes',
		async faults(fleet) {
			fleet.group.get('b').rate = 0;
			expect(await fleet.served(fleet.write(fleet.proxies[0]!, 'a'))).to.equal(true);
			fleet.group.get('a').isDown = true;
			// Slow, but fast enough to make a majority with the new primary.
			fleet.group.get('b').rate = 1;
		},
		leaders: ['c'],
	},
	{
		name: 'the same fault twice',
		guardsAgainst: 'a promoter that works only once',
		async faults(fleet) {
			fleet.group.get('a').isDown = true;
			await fleet.run(goalMs);
			fleet.group.get('a').isDown = false;
			await fleet.run(1000);
			fleet.group.get(fleet.leaders[0]!).isDown = true;
		},
		leaders: ['a', 'c'],
		outcomes: ['promoted', 'promoted'],
	},
	{
		name: 'healing of the old primary',
		guardsAgainst: 'an old primary that keeps its unacknowledged tail',
		async faults(fleet) {
			fleet.isolate('a', 'p0');
			await fleet.served(fleet.write(fleet.proxies[0]!, 'a'));
			await fleet.run(goalMs);
			fleet.group.heal();
			await fleet.run(1000);
			expect(fleet.group.get('a').role).to.equal('replica');
			expect(fleet.group.get('a').log).to.deep.equal(fleet.group.get(fleet.leaders[0]!).log);
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'replica restarted empty before the primary fails',
		guardsAgainst: 'a majority with a database that forgot acknowledged writes',
		async faults(fleet) {
			await loseReplica(fleet);
			expect(fleet.group.promotions.map(({term}) => term), 'no promotion without a majority with state').to.deep.equal([1]);
			fleet.group.get('a').isDown = false;
			fleet.group.get('b').rate = 100;
		},
		leaders: ['a', 'b', 'c'],
	},
	{
		name: 'primary restarted empty',
		guardsAgainst: 'a group that waits for a primary without state',
		faults(fleet) {
			fleet.group.get('a').loseState();
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'empty database on the side of a replaced primary',
		guardsAgainst: 'a replaced primary that acknowledges with a database which forgot the later fence',
		async faults(fleet) {
			fleet.isolate('a', 'p0');
			await fleet.run(goalMs);
			expect(await fleet.served(fleet.write(fleet.proxies[1]!, fleet.leaders[0]!)), 'write in the new term').to.equal(true);
			fleet.group.cuts.clear();
			const [lost, kept] = fleet.leaders[0] === 'b' ? ['c', 'b'] : ['b', 'c'];
			fleet.group.get(lost).loseState();
			fleet.group.get(kept).isDown = true;
			await fleet.run(1000);
			expect(await fleet.served(fleet.write(fleet.proxies[0]!, 'a')), 'write in the old term').to.equal(false);
			fleet.group.get(kept).isDown = false;
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'replication cut alone',
		guardsAgainst: 'a primary that its monitors reach and that can acknowledge nothing',
		faults(fleet) {
			fleet.group.cut('a', 'b');
			fleet.group.cut('a', 'c');
		},
		leaders: ['b', 'c'],
		outcomes: ['promoted'],
	},
	{
		name: 'replicas that are only slow',
		guardsAgainst: 'a change of primary because of lag',
		async faults(fleet) {
			for (const name of ['b', 'c']) {
				fleet.group.get(name).rate = 0;
			}

			for (let round = 0; round < 30; round++) {
				void fleet.served(fleet.write(fleet.proxies[0]!, 'a'), 0);
				await fleet.run(100);
				const slow = fleet.group.get(round % 8 < 4 ? 'b' : 'c');
				slow.rate = 1;
				await fleet.run(16);
				slow.rate = 0;
			}

			for (const name of ['b', 'c']) {
				fleet.group.get(name).rate = 100;
			}
		},
		leaders: ['a'],
		outcomes: [],
	},
	{
		name: 'replicas that receive nothing from any primary',
		guardsAgainst: 'one change of primary after another',
		async faults(fleet) {
			for (const database of fleet.group.databases) {
				database.rate = 0;
			}

			void fleet.served(fleet.write(fleet.proxies[0]!, 'a'), 0);
			await fleet.run(8000);
			expect(fleet.group.promotions.map(({term}) => term)).to.deep.equal([1, 2]);
			fleet.group.heal();
		},
		leaders: ['b', 'c'],
	},
	{
		name: 'no database leads at the start',
		guardsAgainst: 'a new group that never gets a primary',
		options: {hasLeader: false},
		faults() {
			// The promoters act without a fault.
		},
		leaders: ['a'],
	},
	{
		name: 'primary marked leaving',
		guardsAgainst: 'a planned change that loses writes or does not happen',
		async faults(fleet) {
			fleet.leave('a');
			await fleet.run(1000);
		},
		leaders: ['b', 'c'],
		outcomes: ['promoted'],
	},
	{
		name: 'best replica marked leaving',
		guardsAgainst: 'a promotion that must soon be repeated',
		faults(fleet) {
			fleet.leave('b');
			fleet.group.get('a').isDown = true;
		},
		leaders: ['c'],
	},
];

describe('promotion', () => {
	it('leaves no listeners at the monitor\'s signal after 1,000 probes and waits (guards against memory that grows with each call)', async () => {
		const fleet = new Fleet({ranks: [0]});
		await fleet.run(1000);
		const [{monitor}] = fleet.proxies as [Fleet['proxies'][0]];
		const caller = new AbortController();
		const position = {term: 1, offsetBytes: 1};
		const unheld = {term: 1, offsetBytes: 99};
		const ask = async () => Promise.all([monitor.commitPosition(caller.signal), monitor.waitForMajority(unheld, 5, caller.signal), monitor.waitForDatabase('b', position, 5, caller.signal)]);
		const listeners = () => getEventListeners(monitor.signal, 'abort').length + getEventListeners(caller.signal, 'abort').length;
		const counts: number[] = [];
		for (let round = 0; round < 1000; round++) {
			const asked = ask();
			await fleet.run(20);
			await asked;
			if (round % 250 === 249) {
				await fleet.run(1000);
				counts.push(listeners());
			}
		}

		// Polls in progress at the moment of counting listen too: one for each loop and call of the three watches.
		expect(Math.max(...counts), String(counts)).to.be.at.most(12);
		fleet.stop();
	});

	for (const testCase of cases) {
		it(`${testCase.name} (guards against ${testCase.guardsAgainst})`, async () => {
			const fleet = new Fleet(testCase.options);
			await fleet.run(400);
			await testCase.faults(fleet);
			const caller = fleet.proxies[testCase.servedThrough ?? 0]!;
			expect(await fleet.servedWithin(caller, goalMs), 'a write is served within the goal').to.equal(true);
			fleet.group.heal();
			await fleet.run(1000);
			expect(testCase.leaders).to.include(fleet.leaders[0]);
			expect(fleet.leaders).to.have.length(1);
			expect(fleet.violations()).to.deep.equal([]);
			const [{monitor}] = fleet.proxies as [Fleet['proxies'][0]];
			if (testCase.outcomes) {
				expect(monitor.promotions().map(({outcome}) => outcome), JSON.stringify(monitor.promotions())).to.deep.equal(testCase.outcomes);
			}

			fleet.stop();
		});
	}
});
