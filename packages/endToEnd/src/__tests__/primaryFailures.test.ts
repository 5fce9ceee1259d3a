import {assert} from 'chai';
import {type FaultCluster} from '../faultCluster.js';
import {primaryFaults} from '../faults.js';
import {describeFailures} from './failureCases.js';

type Case = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly seed: number;
	readonly act: (faults: FaultCluster, untilServed: () => Promise<void>) => Promise<void>;
};

const cases: readonly Case[] = [
	...(['kill', 'freeze', 'cut'] as const).map((kind, index): Case => ({
		name: `primary: ${kind}`,
		guardsAgainst: 'writes that are lost, doubled, or unserved for more than 13 s',
		seed: index + 1,
		async act(faults, untilServed) {
			const failed = await faults.primary();
			await primaryFaults[kind](faults, failed);
			await untilServed();
			const promoted = await faults.primary();
			assert.notEqual(promoted.name, failed.name);
		},
	})),
	{
		name: 'a replica is far behind when the primary is killed',
		guardsAgainst: 'a promotion of the database that lacks acknowledged writes',
		seed: 4,
		async act(faults, untilServed) {
			const failed = await faults.primary();
			const [behind, current] = await faults.replicas();
			await faults.setFaults(behind!, {replicationPaused: true});
			await untilServed();
			await faults.cluster.kill(failed.name);
			await faults.untilPromoted(failed);
			const promoted = await faults.primary();
			assert.equal(promoted.name, current!.name);
			// Nothing is acknowledged until the one that is behind applies the log of the other.
			await faults.setFaults(behind!, {replicationPaused: false});
			await untilServed();
		},
	},
	{
		name: 'the same fault twice',
		guardsAgainst: 'state left by the first failover that breaks the second',
		seed: 5,
		async act(faults, untilServed) {
			for (let round = 0; round < 2; round++) {
				const failed = await faults.primary();
				await faults.cluster.kill(failed.name);
				await untilServed();
				await faults.heal();
				await faults.untilHealthy();
			}
		},
	},
];

describeFailures('failures of the primary, in real processes', cases.map(given => ({
	...given, act: async (faults, load) => given.act(faults, async () => load.untilServed()),
})));
