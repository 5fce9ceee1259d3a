import {expect} from 'chai';
import {allSafetyMechanisms, type SafetyMechanisms} from '../safetyMechanisms.js';
import {
	FakeDeployment, type FakeDeploymentOptions, loseReplicaState, writeWithListOfTwoChangesAgo,
} from './fakeDeployment.js';

type MechanismCase = {
	readonly mechanism: keyof SafetyMechanisms | 'promoteChecks';
	/** Violation that is detected without the mechanism. */
	readonly violation: RegExp;
	readonly options?: FakeDeploymentOptions;
	readonly scenario: (deployment: FakeDeployment) => Promise<void>;
};

async function isolatePrimaryAndWriteElsewhere(deployment: FakeDeployment): Promise<void> {
	deployment.isolate('a', 'p0');
	await deployment.run(2000);
	expect(await deployment.succeeds(deployment.write(deployment.proxies[1]!, 'b'))).to.equal(true);
	await deployment.run(600);
}

const cases: readonly MechanismCase[] = [
	{
		mechanism: 'majorityWait',
		violation: /^lost/v,
		async scenario(deployment) {
			deployment.group.cut('a', 'b');
			deployment.group.cut('a', 'c');
			await deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a'));
			deployment.group.get('a').isDown = true;
			await deployment.run(3000);
		},
	},
	{
		mechanism: 'majorityProbe',
		violation: /^stale: strict/v,
		async scenario(deployment) {
			await isolatePrimaryAndWriteElsewhere(deployment);
			await deployment.succeeds(deployment.readStrict(deployment.proxies[0]!, 'a'));
		},
	},
	{
		mechanism: 'confirmedSamples',
		violation: /^stale: bounded/v,
		async scenario(deployment) {
			await isolatePrimaryAndWriteElsewhere(deployment);
			await deployment.succeeds(deployment.readBounded(deployment.proxies[0]!, 'a', 500));
		},
	},
	{
		mechanism: 'majorityFence',
		violation: /^lost/v,
		async scenario(deployment) {
			deployment.group.get('b').recordsPerStep = 0;
			expect(await deployment.succeeds(deployment.write(deployment.proxies[1]!, 'a'))).to.equal(true);
			deployment.group.cut('p0', 'a');
			await deployment.run(550);
			deployment.group.get('c').gate.close();
			await deployment.run(450);
			deployment.group.get('c').gate.open();
			await deployment.run(2000);
		},
	},
	{
		mechanism: 'stateRequired',
		violation: /^lost/v,
		scenario: loseReplicaState,
	},
	{
		mechanism: 'listGenerations',
		violation: /^lost/v,
		options: {spareNames: ['d']},
		scenario: writeWithListOfTwoChangesAgo,
	},
	{
		mechanism: 'promoteChecks',
		violation: /^lost/v,
		async scenario(deployment) {
			const [pausedProxy, otherProxy] = deployment.proxies;
			deployment.group.get('a').isDown = true;
			await deployment.run(2000, () => deployment.group.get('b').fencedTerm === 2 && deployment.group.get('c').fencedTerm === 2);
			pausedProxy!.gate.close();
			await deployment.run(2500);
			expect(deployment.primaries[0]).to.equal('b');
			deployment.group.get('a').isDown = false;
			await deployment.run(1000);
			deployment.group.get('c').recordsPerStep = 0;
			expect(await deployment.succeeds(deployment.write(otherProxy!, 'b'))).to.equal(true);
			pausedProxy!.gate.open();
			await deployment.run(100);
			deployment.group.get('a').isDown = true;
			await deployment.run(3000);
		},
	},
];

describe('safety mechanisms', () => {
	for (const {mechanism, violation, options: deploymentOptions, scenario} of cases) {
		for (const isEnabled of [true, false]) {
			it(`${mechanism} ${isEnabled ? 'enabled keeps the guarantees' : 'disabled violates a guarantee'} (guards against checks that detect no violation)`, async () => {
				const options: FakeDeploymentOptions = mechanism === 'promoteChecks'
					? {promoteChecks: isEnabled}
					: {mechanisms: {...allSafetyMechanisms, [mechanism]: isEnabled}};
				const deployment = new FakeDeployment({...options, ...deploymentOptions, promotionRanks: [0, 1]});
				await deployment.run(300);
				await scenario(deployment);
				deployment.heal();
				await deployment.run(4000);
				const violations = deployment.violations();
				expect(violations.some(text => violation.test(text)), violations.join('; ')).to.equal(!isEnabled);
				if (isEnabled) {
					expect(violations).to.deep.equal([]);
				}

				deployment.stop();
			});
		}
	}
});
