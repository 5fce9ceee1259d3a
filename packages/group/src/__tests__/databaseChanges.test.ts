import {expect} from 'chai';
import {generationOfTerm} from '@crocusloom/model';
import {changeLimitMs, FakeDeployment, writeWithListOfTwoChangesAgo} from './fakeDeployment.js';

type ChangeCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly scenario: (deployment: FakeDeployment) => Promise<void>;
};

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
		scenario: writeWithListOfTwoChangesAgo,
	},
	{
		name: 'replaces a lost database by removing it and adding another one',
		guardsAgainst: 'a lost database that can never be replaced',
		async scenario(deployment) {
			deployment.group.get('c').isDown = true;
			expect(await deployment.changesDatabasesWithin(['a', 'b'], changeLimitMs), 'removal').to.equal(true);
			expect(await deployment.changesDatabasesWithin(['a', 'b', 'd'], changeLimitMs), 'addition').to.equal(true);
			await deployment.run(changeLimitMs);
			expect(deployment.list.state).to.deep.equal({generation: 2});
			deployment.group.get('a').isDown = true;
			expect(await deployment.writeSucceedsWithin(deployment.proxies[0]!, changeLimitMs), 'a write without a and c').to.equal(true);
		},
	},
	{
		name: 'removes the primary',
		guardsAgainst: 'a group whose primary is not in its list',
		async scenario(deployment) {
			expect(await deployment.changesDatabasesWithin(['b', 'c'], changeLimitMs)).to.equal(true);
			await deployment.run(changeLimitMs);
			expect(deployment.list.state).to.deep.equal({generation: 1});
			expect(deployment.primaries[0]).to.be.oneOf(['b', 'c']);
		},
	},
	{
		name: 'replaces a failed primary while a database that was added has no data yet',
		guardsAgainst: 'an addition that prevents promotions until the database has caught up',
		async scenario(deployment) {
			deployment.group.get('d').recordsPerStep = 0;
			deployment.group.get('c').isDown = true;
			await deployment.changesDatabasesWithin(['a', 'b', 'c', 'd'], changeLimitMs);
			await deployment.run(1000);
			deployment.group.get('c').isDown = false;
			deployment.group.get('a').isDown = true;
			expect(await deployment.writeSucceedsWithin(deployment.proxies[0]!, changeLimitMs)).to.equal(true);
		},
	},
	{
		name: 'puts a change in force when the host that began the promotion dies after its fence',
		guardsAgainst: 'a change that depends on one host',
		async scenario(deployment) {
			deployment.changeDatabases(['a', 'b', 'c', 'd']);
			await deployment.run(changeLimitMs, () => generationOfTerm(deployment.group.get('a').fencedTerm) === 1);
			deployment.proxies[0]!.gate.close();
			await deployment.run(changeLimitMs);
			expect(deployment.list.state).to.deep.equal({generation: 1});
		},
	},
	{
		name: 'acknowledges writes while the store is down during a change, and refuses the next change until it is back',
		guardsAgainst: 'writes that depend on the store, and a change upon one that is not in force',
		async scenario(deployment) {
			deployment.changeDatabases(['a', 'b', 'c', 'd']);
			await deployment.run(1000);
			for (const proxy of deployment.proxies) {
				proxy.isCutFromStore = true;
			}

			await deployment.run(changeLimitMs);
			expect(await deployment.writeSucceedsWithin(deployment.proxies[1]!, changeLimitMs)).to.equal(true);
			expect(deployment.changeDatabases(['a', 'b', 'd']), 'the next change').to.equal(false);
			deployment.heal();
			await deployment.run(changeLimitMs);
			expect(deployment.list.state).to.deep.equal({generation: 1});
		},
	},
	{
		name: 'restores the databases before a change that cannot be in force',
		guardsAgainst: 'a group that waits forever for a database that will never answer',
		async scenario(deployment) {
			deployment.group.get('b').isDown = true;
			expect(deployment.changeDatabases(['a', 'b'])).to.equal(true);
			await deployment.run(changeLimitMs);
			expect(await deployment.writeSucceedsWithin(deployment.proxies[0]!, changeLimitMs), 'a write by a and c').to.equal(true);
			expect(deployment.changeDatabases(['a', 'b', 'c'])).to.equal(true);
			await deployment.run(changeLimitMs);
			expect(deployment.list.state).to.deep.equal({generation: 2});
			expect(await deployment.changesDatabasesWithin(['a', 'c'], changeLimitMs), 'the removal of the lost one').to.equal(true);
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
