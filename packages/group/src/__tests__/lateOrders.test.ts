import {expect} from 'chai';
import {DatabaseMonitor} from '../databaseMonitor.js';
import {PromotionAttempt} from '../promotionAttempt.js';
import {FakeDeployment, type FakeDeploymentOptions, type FakeProxy} from './fakeDeployment.js';
import {Gate} from './gate.js';

type LateOrderCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly options?: FakeDeploymentOptions;
	/** Violation if orders are not bound to the connection on which the status was read; undefined if the terms suffice to refuse the order. */
	readonly violation?: RegExp;
	readonly scenario: (deployment: FakeDeployment) => Promise<void>;
};

/** Travel time of an order that arrives after the promotions of a test. */
const longDelayMs = 3000;

/** Starts an attempt of a proxy whose promoter does not run. */
async function attempt({name, monitor}: FakeProxy, isStillNeeded: () => boolean = () => true): Promise<void> {
	const promotionAttempt = new PromotionAttempt({
		monitor, trigger: {reason: 'test', isPlanned: false}, owner: `${name}/1`, isStillNeeded, signal: monitor.signal,
	});
	await promotionAttempt.run();
}

function cutAll(deployment: FakeDeployment, links: ReadonlyArray<readonly [string, string]>): void {
	for (const [near, far] of links) {
		deployment.group.cut(near, far);
	}
}

const cases: readonly LateOrderCase[] = [
	{
		name: 'a database that lost its state does not follow a replaced primary',
		guardsAgainst: 'two primaries that acknowledge writes, by an order that a suspended process sends to a database which has forgotten the newer term',
		violation: /^replaced primary of term 2/v,
		async scenario(deployment) {
			const {group, proxies: [suspendedProxy, otherProxy]} = deployment;
			const [a, b, c] = [group.get('a'), group.get('b'), group.get('c')];
			cutAll(deployment, [['c', 'a'], ['c', 'b'], ['c', 'p0'], ['c', 'p1']]);
			deployment.markLeaving('a');
			await deployment.run(3000, () => b.isCurrentPrimary);
			deployment.markLeaving('none');
			await deployment.run(1000);
			group.interruptedLinks.clear();
			group.cut('p1', 'c');
			await deployment.run(1000, () => c.fencedTerm === 2 && c.followsTerm === 1);
			suspendedProxy!.gate.close();
			group.interruptedLinks.clear();
			await deployment.run(1000);
			cutAll(deployment, [['a', 'b'], ['p0', 'a'], ['p1', 'b']]);
			await deployment.run(3000, () => a.isCurrentPrimary);
			await deployment.run(500);
			expect(await deployment.succeeds(deployment.write(otherProxy!, 'a')), 'a write in the newer term').to.equal(true);
			c.loseState();
			await deployment.run(500);
			cutAll(deployment, [['p1', 'c'], ['a', 'c']]);
			suspendedProxy!.gate.open();
			await deployment.run(500);
			await deployment.succeeds(deployment.write(suspendedProxy!, 'b'));
		},
	},
	{
		name: 'a group that was new when a suspended process polled it is not started twice',
		guardsAgainst: 'two primaries in one term, by a database that was in the majority of the first start and lost its state',
		options: {hasPrimary: false, promotionRanks: [-1, 0]},
		async scenario(deployment) {
			const {group, proxies: [suspendedProxy, otherProxy]} = deployment;
			void attempt(suspendedProxy!, () => {
				suspendedProxy!.gate.close();
				return true;
			});
			await deployment.run(200);
			group.delayedCalls.push(...Array.from({length: 3}, () => ({database: 'c', call: 'fence', delayMs: 10 * longDelayMs} as const)));
			await deployment.run(3000, () => group.get('a').fencedTerm > 0);
			cutAll(deployment, [['c', 'p1'], ['c', 'a'], ['c', 'b']]);
			group.delayedCalls.length = 0;
			expect(await deployment.writeSucceedsWithin(otherProxy!, 3000), 'a write of the new group').to.equal(true);
			group.get('b').loseState();
			cutAll(deployment, [['b', 'p1'], ['b', 'a']]);
			group.interruptedLinks.delete('c>b');
			suspendedProxy!.gate.open();
			await deployment.run(1500);
		},
	},
	{
		name: 'a database that lost its state is not promoted by the orders of an abandoned promotion',
		guardsAgainst: 'the loss of all acknowledged commits, by a repeated fence and a promote order that arrive late',
		options: {promotionRanks: [-1, 0]},
		violation: /^lost/v,
		async scenario(deployment) {
			const {group, proxies: [abandoningProxy]} = deployment;
			group.get('c').recordsPerStep = 0;
			expect(await deployment.succeeds(deployment.write(abandoningProxy!, 'a'))).to.equal(true);
			cutAll(deployment, [['p1', 'a'], ['p1', 'b'], ['p1', 'c']]);
			group.get('a').isDown = true;
			await deployment.run(700);
			group.delayedCalls.push({database: 'b', call: 'fence', delayMs: longDelayMs}, ...Array.from({length: 3}, () => ({database: 'b', call: 'promote', delayMs: longDelayMs} as const)));
			void attempt(abandoningProxy!);
			await deployment.run(longDelayMs / 2);
			group.get('b').loseState();
			await deployment.run(longDelayMs);
		},
	},
	{
		name: 'a database with a higher fence refuses the promote order of an earlier promotion',
		guardsAgainst: 'a promotion that lacks the commits of a newer term',
		options: {promotionRanks: [-1, 0]},
		async scenario(deployment) {
			const {group, proxies: [abandoningProxy, otherProxy]} = deployment;
			group.get('a').isDown = true;
			group.delayedCalls.push(...Array.from({length: 3}, () => ({database: 'b', call: 'promote', delayMs: longDelayMs} as const)));
			void attempt(abandoningProxy!);
			expect(await deployment.writeSucceedsWithin(otherProxy!, longDelayMs)).to.equal(true);
			await deployment.run(2 * longDelayMs);
			expect(group.promotions.map(({term}) => term).toSorted((x, y) => x - y)).to.deep.equal(group.promotions.map(({term}) => term));
		},
	},
	{
		name: 'a primary that a promotion was not able to fence acknowledges nothing when its late promote order arrives',
		guardsAgainst: 'two primaries that acknowledge writes, by an order that arrives at a database which the newer promotion did not reach',
		options: {promotionRanks: [-1, 0]},
		async scenario(deployment) {
			const {group, proxies: [abandoningProxy, otherProxy]} = deployment;
			group.cut('p0', 'a');
			group.get('c').recordsPerStep = 0;
			expect(await deployment.succeeds(deployment.write(otherProxy!, 'a'))).to.equal(true);
			group.get('c').recordsPerStep = 100;
			await deployment.run(700);
			group.delayedCalls.push(...Array.from({length: 3}, () => ({database: 'b', call: 'promote', delayMs: longDelayMs} as const)));
			void attempt(abandoningProxy!);
			await deployment.run(100);
			cutAll(deployment, [['p1', 'b'], ['b', 'a'], ['b', 'c']]);
			expect(await deployment.writeSucceedsWithin(otherProxy!, longDelayMs), 'a write in the newer term').to.equal(true);
			await deployment.run(2 * longDelayMs, () => group.get('b').isCurrentPrimary);
			expect(await deployment.succeeds(deployment.write(abandoningProxy!, 'b')), 'a write in the replaced term').to.equal(false);
		},
	},
];

describe('late orders', () => {
	for (const {name, guardsAgainst, options, violation, scenario} of cases) {
		for (const isEnabled of violation ? [true, false] : [true]) {
			it(`${name}${isEnabled ? '' : ', unless orders are sent on any connection'} (guards against ${guardsAgainst})`, async () => {
				const deployment = new FakeDeployment({...options, connectionChecks: isEnabled});
				await deployment.run(400);
				await scenario(deployment);
				deployment.heal();
				await deployment.run(4000);
				const violations = deployment.violations();
				expect(violations.some(text => violation?.test(text)), violations.join('; ')).to.equal(!isEnabled);
				if (isEnabled) {
					expect(violations).to.deep.equal([]);
				}

				deployment.stop();
			});
		}
	}

	it('a database stays without state when an earlier status of it arrives late (guards against a database that follows a replaced primary after it has forgotten the newer term)', async () => {
		const {signal} = new AbortController();
		const deployment = new FakeDeployment({promotionRanks: [-1]});
		const {clock} = deployment;
		const monitor = new DatabaseMonitor(deployment.group.control('p0', 'a', new Gate()), clock, () => undefined, signal);
		const statusWithState = {...deployment.group.get('a').status(), connectionId: 1};
		const statusWithoutState = {
			...statusWithState, fencedTerm: 0, followsTerm: 0, connectionId: 2,
		};
		await deployment.run(10);
		monitor.recordStatus(statusWithoutState, clock.nowMs() - 2);
		monitor.recordStatus(statusWithState, clock.nowMs() - 5);
		expect(monitor.statelessSinceMs).not.to.equal(undefined);
		monitor.recordStatus(statusWithState, clock.nowMs());
		expect(monitor.statelessSinceMs).to.equal(undefined);
		deployment.stop();
	});
});
