import {expect} from 'chai';
import {FakeDeployment} from './fakeDeployment.js';

type ChangeCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly scenario: (deployment: FakeDeployment) => Promise<void>;
};

/** Time in which a change that can be made safely is accepted and in force. */
const changeLimitMs = 5000;

/** Makes d a former member of the group, with the log of that time. */
async function addAndRemoveDatabase(deployment: FakeDeployment): Promise<void> {
	expect(await deployment.changesDatabasesWithin(['a', 'b', 'c', 'd'], changeLimitMs)).to.equal(true);
	await deployment.run(2000);
	expect(await deployment.changesDatabasesWithin(['a', 'b', 'c'], changeLimitMs)).to.equal(true);
	await deployment.run(2000);
}

const cases: readonly ChangeCase[] = [
	{
		name: 'keeps a commit of a and b when an operator replaces b by a former member that lacks it',
		guardsAgainst: 'a majority of the new databases without a database of the old majority',
		async scenario(deployment) {
			await addAndRemoveDatabase(deployment);
			deployment.group.get('c').recordsPerStep = 0;
			deployment.group.get('d').recordsPerStep = 0;
			expect(await deployment.writeSucceedsWithin(deployment.proxies[0]!, changeLimitMs)).to.equal(true);
			await deployment.changesDatabasesWithin(['a', 'd', 'c'], changeLimitMs);
			deployment.group.get('a').isDown = true;
			deployment.group.get('b').isDown = true;
			await deployment.run(3000);
		},
	},
	{
		name: 'keeps a commit of a and b when an operator removes both',
		guardsAgainst: 'a promotion by a majority that does not intersect the one that holds the commit',
		async scenario(deployment) {
			deployment.group.get('c').recordsPerStep = 0;
			expect(await deployment.writeSucceedsWithin(deployment.proxies[0]!, changeLimitMs)).to.equal(true);
			await deployment.changesDatabasesWithin(['c'], changeLimitMs);
			await deployment.run(3000);
		},
	},
	{
		name: 'keeps all commits when a host has the databases of two changes ago',
		guardsAgainst: 'two primaries that acknowledge writes with disjoint majorities',
		async scenario(deployment) {
			const [oldProxy, newProxy] = deployment.proxies;
			oldProxy!.isCutFromStore = true;
			expect(await deployment.changesDatabasesWithin(['a', 'b', 'c', 'd'], changeLimitMs)).to.equal(true);
			await deployment.run(2000);
			expect(await deployment.changesDatabasesWithin(['a', 'c', 'd'], changeLimitMs)).to.equal(true);
			await deployment.run(2000);
			for (const [near, far] of [['a', 'c'], ['a', 'd'], ['b', 'c'], ['b', 'd'], ['p1', 'a'], ['p1', 'b'], ['p0', 'c'], ['p0', 'd']] as const) {
				deployment.group.cut(near, far);
			}

			await deployment.writeSucceedsWithin(newProxy!, changeLimitMs);
			await deployment.succeeds(deployment.write(oldProxy!, 'a'));
			await deployment.succeeds(deployment.write(oldProxy!, 'b'));
		},
	},
];

describe('changes of the databases of a group', () => {
	for (const {name, guardsAgainst, scenario} of cases) {
		it(`${name} (guards against ${guardsAgainst})`, async () => {
			const deployment = new FakeDeployment({spareNames: ['d']});
			await deployment.run(300);
			await scenario(deployment);
			deployment.heal();
			await deployment.run(4000);
			expect(deployment.violations()).to.deep.equal([]);
			expect(await deployment.writeSucceedsWithin(deployment.proxies[0]!, changeLimitMs), 'a write after the faults').to.equal(true);
			deployment.stop();
		});
	}
});
