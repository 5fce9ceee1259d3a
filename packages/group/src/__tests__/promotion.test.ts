import {getEventListeners} from 'node:events';
import {expect} from 'chai';
import {type PromotionRecord} from '@crocusloom/model';
import {FakeDeployment, type FakeDeploymentOptions, loseReplicaState} from './fakeDeployment.js';

/** Goal for a change of primary, from section 7 of `docs/design.md`. */
const recoveryGoalMs = 2000;

type PromotionCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly options?: FakeDeploymentOptions;
	readonly injectFaults: (deployment: FakeDeployment) => Promise<void> | void;
	/** Index of the proxy through which a write must succeed within the goal after the faults. */
	readonly proxyIndex?: number;
	/** Databases that may be the primary at the end. */
	readonly expectedPrimaries: readonly string[];
	readonly expectedOutcomes?: ReadonlyArray<PromotionRecord['outcome']>;
};

async function killPrimaryAndAwaitFence(deployment: FakeDeployment): Promise<void> {
	deployment.group.get('a').isDown = true;
	await deployment.run(recoveryGoalMs, () => deployment.group.get('b').fencedTerm === 2 && deployment.group.get('c').fencedTerm === 2);
}

const cases: readonly PromotionCase[] = [
	{
		name: 'promotes a replica when the primary is killed',
		guardsAgainst: 'a group without a primary until an operator acts',
		injectFaults(deployment) {
			deployment.group.get('a').isDown = true;
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'promotes a replica when the primary is frozen',
		guardsAgainst: 'a promotion that waits for the frozen primary',
		injectFaults(deployment) {
			deployment.group.get('a').gate.close();
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'refuses writes and strict reads at a primary that is partitioned together with a proxy',
		guardsAgainst: 'an isolated primary that acknowledges writes or serves strict reads',
		async injectFaults(deployment) {
			const [minorityProxy] = deployment.proxies;
			deployment.isolate('a', 'p0');
			expect(await deployment.succeeds(deployment.write(minorityProxy!, 'a')), 'write in the minority partition').to.equal(false);
			expect(await deployment.succeeds(deployment.readStrict(minorityProxy!, 'a')), 'strict read in the minority partition').to.equal(false);
			expect(await deployment.succeeds(deployment.readBounded(minorityProxy!, 'b', 60_000)), 'bounded read of an unreachable database').to.equal(false);
			expect(minorityProxy!.view.provenAgeMs('a'), 'the proven age increases').to.be.within(deployment.clock.nowMs() - 600, deployment.clock.nowMs());
		},
		proxyIndex: 1,
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'promotes one database when several promoters start at once',
		guardsAgainst: 'two promotions, and so two primaries, in one term',
		options: {promotionRanks: [0, 0, 0]},
		injectFaults(deployment) {
			deployment.group.get('a').isDown = true;
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'ignores the promote call of a promoter that was paused after its fence',
		guardsAgainst: 'a delayed promote call that takes effect after a newer promotion',
		async injectFaults(deployment) {
			await killPrimaryAndAwaitFence(deployment);
			deployment.proxies[0]!.gate.close();
			await deployment.run(recoveryGoalMs);
			expect(deployment.group.promotions.at(-1)?.term, 'the other proxy promotes').to.equal(3);
			deployment.proxies[0]!.gate.open();
			await deployment.run(200);
		},
		expectedPrimaries: ['b', 'c'],
		expectedOutcomes: ['lostRace'],
	},
	{
		name: 'promotes when responses to fence are lost',
		guardsAgainst: 'a fence that cannot be retried after it has taken effect',
		injectFaults(deployment) {
			deployment.group.lostResponses.push({database: 'b', call: 'fence'}, {database: 'c', call: 'fence'});
			deployment.group.get('a').isDown = true;
		},
		expectedPrimaries: ['b', 'c'],
		expectedOutcomes: ['promoted'],
	},
	{
		name: 'promotes once when the response to promote is lost',
		guardsAgainst: 'a second promotion although the first took effect',
		injectFaults(deployment) {
			deployment.group.lostResponses.push({database: 'b', call: 'promote'});
			deployment.group.get('a').isDown = true;
		},
		expectedPrimaries: ['b'],
		expectedOutcomes: ['promoted'],
	},
	{
		name: 'promotes the most advanced replica when another one lags',
		guardsAgainst: 'the promotion of a database that lacks acknowledged writes',
		async injectFaults(deployment) {
			deployment.group.get('b').recordsPerStep = 0;
			expect(await deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a'))).to.equal(true);
			deployment.group.get('a').isDown = true;
			// Slow, but fast enough to form a majority with the new primary.
			deployment.group.get('b').recordsPerStep = 1;
		},
		expectedPrimaries: ['c'],
	},
	{
		name: 'promotes again when the new primary is killed as well',
		guardsAgainst: 'a promoter that works only once',
		async injectFaults(deployment) {
			deployment.group.get('a').isDown = true;
			await deployment.run(recoveryGoalMs);
			deployment.group.get('a').isDown = false;
			await deployment.run(1000);
			deployment.group.get(deployment.primaries[0]!).isDown = true;
		},
		expectedPrimaries: ['a', 'c'],
		expectedOutcomes: ['promoted', 'promoted'],
	},
	{
		name: 'makes a former primary follow the new one after a partition heals',
		guardsAgainst: 'a former primary that keeps log records that were never acknowledged',
		async injectFaults(deployment) {
			deployment.isolate('a', 'p0');
			await deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a'));
			await deployment.run(recoveryGoalMs);
			deployment.group.heal();
			await deployment.run(1000);
			expect(deployment.group.get('a').role).to.equal('replica');
			expect(deployment.group.get('a').log).to.deep.equal(deployment.group.get(deployment.primaries[0]!).log);
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'does not promote with a replica that lost its state before the primary failed',
		guardsAgainst: 'a majority that includes a database without the acknowledged writes',
		async injectFaults(deployment) {
			await loseReplicaState(deployment);
			expect(deployment.group.promotions.map(({term}) => term), 'no promotion without a majority of databases with state').to.deep.equal([1]);
			deployment.group.get('a').isDown = false;
			deployment.group.get('b').recordsPerStep = 100;
		},
		expectedPrimaries: ['a', 'b', 'c'],
	},
	{
		name: 'promotes a replica when the primary restarts without its state',
		guardsAgainst: 'a group that waits for a primary without state',
		injectFaults(deployment) {
			deployment.group.get('a').loseState();
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'refuses writes at a replaced primary when a fenced replica loses its state',
		guardsAgainst: 'a replaced primary that acknowledges a write held by a database that lost the newer fence',
		async injectFaults(deployment) {
			deployment.isolate('a', 'p0');
			await deployment.run(recoveryGoalMs);
			expect(await deployment.succeeds(deployment.write(deployment.proxies[1]!, deployment.primaries[0]!)), 'write in the new term').to.equal(true);
			deployment.group.interruptedLinks.clear();
			const [statelessReplica, runningReplica] = deployment.primaries[0] === 'b' ? ['c', 'b'] : ['b', 'c'];
			deployment.group.get(statelessReplica).loseState();
			deployment.group.get(runningReplica).isDown = true;
			await deployment.run(1000);
			expect(await deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a')), 'write in the old term').to.equal(false);
			deployment.group.get(runningReplica).isDown = false;
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'replaces a reachable primary whose replication is interrupted',
		guardsAgainst: 'a primary that responds to its monitors but can acknowledge no write',
		injectFaults(deployment) {
			deployment.group.cut('a', 'b');
			deployment.group.cut('a', 'c');
		},
		expectedPrimaries: ['b', 'c'],
		expectedOutcomes: ['promoted'],
	},
	{
		name: 'keeps the primary when its replicas are only slow',
		guardsAgainst: 'a promotion because of replication lag',
		async injectFaults(deployment) {
			for (const name of ['b', 'c']) {
				deployment.group.get(name).recordsPerStep = 0;
			}

			for (let round = 0; round < 30; round++) {
				void deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a'), 0);
				await deployment.run(100);
				const laggingReplica = deployment.group.get(round % 8 < 4 ? 'b' : 'c');
				laggingReplica.recordsPerStep = 1;
				await deployment.run(16);
				laggingReplica.recordsPerStep = 0;
			}

			for (const name of ['b', 'c']) {
				deployment.group.get(name).recordsPerStep = 100;
			}
		},
		expectedPrimaries: ['a'],
		expectedOutcomes: [],
	},
	{
		name: 'promotes only once when the replicas receive nothing from any primary',
		guardsAgainst: 'repeated promotions that cannot restore replication',
		async injectFaults(deployment) {
			for (const database of deployment.group.databases) {
				database.recordsPerStep = 0;
			}

			void deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a'), 0);
			await deployment.run(8000);
			expect(deployment.group.promotions.map(({term}) => term)).to.deep.equal([1, 2]);
			deployment.group.heal();
		},
		expectedPrimaries: ['b', 'c'],
	},
	{
		name: 'promotes a database of a new group without a primary',
		guardsAgainst: 'a new group that never gets a primary',
		options: {hasPrimary: false},
		injectFaults() {
			// The promoters act although no fault is injected.
		},
		expectedPrimaries: ['a'],
	},
	{
		name: 'replaces a primary that is marked leaving',
		guardsAgainst: 'a planned promotion that loses writes or does not happen',
		async injectFaults(deployment) {
			deployment.markLeaving('a');
			await deployment.run(1000);
		},
		expectedPrimaries: ['b', 'c'],
		expectedOutcomes: ['promoted'],
	},
	{
		name: 'prefers a replica that is not leaving',
		guardsAgainst: 'a primary that must soon be replaced again',
		injectFaults(deployment) {
			deployment.markLeaving('b');
			deployment.group.get('a').isDown = true;
		},
		expectedPrimaries: ['c'],
	},
];

describe('promotion', () => {
	it('removes the abort listeners of 1,000 probes and waits (guards against memory that grows with each call)', async () => {
		const deployment = new FakeDeployment({promotionRanks: [0]});
		await deployment.run(1000);
		const [{monitor}] = deployment.proxies as [FakeDeployment['proxies'][0]];
		const callerController = new AbortController();
		const position = {term: 1, offsetBytes: 1};
		const unreachedPosition = {term: 1, offsetBytes: 99};
		const callMonitor = async () => Promise.all([
			monitor.commitPosition(callerController.signal),
			monitor.waitForMajority(unreachedPosition, 5, callerController.signal),
			monitor.waitForDatabase('b', position, 5, callerController.signal),
		]);
		const countListeners = () => getEventListeners(monitor.signal, 'abort').length + getEventListeners(callerController.signal, 'abort').length;
		const listenerCounts: number[] = [];
		for (let round = 0; round < 1000; round++) {
			const calls = callMonitor();
			await deployment.run(20);
			await calls;
			if (round % 250 === 249) {
				await deployment.run(1000);
				listenerCounts.push(countListeners());
			}
		}

		// Polls in progress while the listeners are counted have listeners too: one per polling loop and call of the three databases.
		expect(Math.max(...listenerCounts), String(listenerCounts)).to.be.at.most(12);
		deployment.stop();
	});

	for (const testCase of cases) {
		it(`${testCase.name} (guards against ${testCase.guardsAgainst})`, async () => {
			const deployment = new FakeDeployment(testCase.options);
			await deployment.run(400);
			await testCase.injectFaults(deployment);
			const entryProxy = deployment.proxies[testCase.proxyIndex ?? 0]!;
			expect(await deployment.writeSucceedsWithin(entryProxy, recoveryGoalMs), 'a write succeeds within the goal').to.equal(true);
			deployment.group.heal();
			await deployment.run(1000);
			expect(testCase.expectedPrimaries).to.include(deployment.primaries[0]);
			expect(deployment.primaries).to.have.length(1);
			expect(deployment.violations()).to.deep.equal([]);
			const [{monitor}] = deployment.proxies as [FakeDeployment['proxies'][0]];
			if (testCase.expectedOutcomes) {
				expect(monitor.promotions().map(({outcome}) => outcome), JSON.stringify(monitor.promotions())).to.deep.equal(testCase.expectedOutcomes);
			}

			deployment.stop();
		});
	}
});
