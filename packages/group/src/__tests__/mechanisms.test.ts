import {expect} from 'chai';
import {allMechanisms, type Mechanisms} from '../mechanisms.js';
import {Fleet, type FleetOptions, loseReplica} from './fakeProxies.js';

type MechanismCase = {
	readonly mechanism: keyof Mechanisms | 'promoteChecks';
	/** What callers see without the mechanism. */
	readonly violation: RegExp;
	readonly scenario: (fleet: Fleet) => Promise<void>;
};

async function cutOffWithCallers(fleet: Fleet): Promise<void> {
	fleet.isolate('a', 'p0');
	await fleet.run(2000);
	expect(await fleet.served(fleet.write(fleet.proxies[1]!, 'b'))).to.equal(true);
	await fleet.run(600);
}

const cases: readonly MechanismCase[] = [
	{
		mechanism: 'majorityWait',
		violation: /^lost/v,
		async scenario(fleet) {
			fleet.group.cut('a', 'b');
			fleet.group.cut('a', 'c');
			await fleet.served(fleet.write(fleet.proxies[0]!, 'a'));
			fleet.group.get('a').isDown = true;
			await fleet.run(3000);
		},
	},
	{
		mechanism: 'majorityProbe',
		violation: /^stale: strict/v,
		async scenario(fleet) {
			await cutOffWithCallers(fleet);
			await fleet.served(fleet.readStrict(fleet.proxies[0]!, 'a'));
		},
	},
	{
		mechanism: 'confirmedSamples',
		violation: /^stale: bounded/v,
		async scenario(fleet) {
			await cutOffWithCallers(fleet);
			await fleet.served(fleet.readBounded(fleet.proxies[0]!, 'a', 500));
		},
	},
	{
		mechanism: 'majorityFence',
		violation: /^lost/v,
		async scenario(fleet) {
			fleet.group.get('b').rate = 0;
			expect(await fleet.served(fleet.write(fleet.proxies[1]!, 'a'))).to.equal(true);
			fleet.group.cut('p0', 'a');
			await fleet.run(550);
			fleet.group.get('c').gate.shut();
			await fleet.run(450);
			fleet.group.get('c').gate.open();
			await fleet.run(2000);
		},
	},
	{
		mechanism: 'stateRequired',
		violation: /^lost/v,
		scenario: loseReplica,
	},
	{
		mechanism: 'promoteChecks',
		violation: /^lost/v,
		async scenario(fleet) {
			const [paused, other] = fleet.proxies;
			fleet.group.get('a').isDown = true;
			await fleet.run(2000, () => fleet.group.get('b').fencedTerm === 2 && fleet.group.get('c').fencedTerm === 2);
			paused!.gate.shut();
			await fleet.run(2500);
			expect(fleet.leaders[0]).to.equal('b');
			fleet.group.get('a').isDown = false;
			await fleet.run(1000);
			fleet.group.get('c').rate = 0;
			expect(await fleet.served(fleet.write(other!, 'b'))).to.equal(true);
			paused!.gate.open();
			await fleet.run(100);
			fleet.group.get('a').isDown = true;
			await fleet.run(3000);
		},
	},
];

describe('each mechanism', () => {
	for (const {mechanism, violation, scenario} of cases) {
		for (const isOn of [true, false]) {
			it(`${mechanism} ${isOn ? 'on keeps the guarantees' : 'off is detected'} (guards against a check that detects nothing)`, async () => {
				const options: FleetOptions = mechanism === 'promoteChecks'
					? {promoteChecks: isOn}
					: {mechanisms: {...allMechanisms, [mechanism]: isOn}};
				const fleet = new Fleet({...options, ranks: [0, 1]});
				await fleet.run(300);
				await scenario(fleet);
				fleet.group.heal();
				await fleet.run(4000);
				const violations = fleet.violations();
				expect(violations.some(text => violation.test(text)), violations.join('; ')).to.equal(!isOn);
				if (isOn) {
					expect(violations).to.deep.equal([]);
				}

				fleet.stop();
			});
		}
	}
});
