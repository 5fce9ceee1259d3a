import {assert} from 'chai';
import {type FaultCluster} from '../faultCluster.js';
import {primaryFaults} from '../faults.js';
import {describeFailureCases} from './failureCases.js';

type PrimaryFailureCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly seed: number;
	readonly run: (faultCluster: FaultCluster, waitUntilServed: () => Promise<void>) => Promise<void>;
};

const cases: readonly PrimaryFailureCase[] = [
	...(['kill', 'freeze', 'cut'] as const).map((kind, index): PrimaryFailureCase => ({
		name: `the primary fails by ${kind}`,
		guardsAgainst: 'writes that are lost, run twice, or get no service for more than 13 s',
		seed: index + 1,
		async run(faultCluster, waitUntilServed) {
			const failedPrimary = await faultCluster.findPrimary();
			await primaryFaults[kind](faultCluster, failedPrimary);
			await waitUntilServed();
			const newPrimary = await faultCluster.findPrimary();
			assert.notEqual(newPrimary.name, failedPrimary.name);
		},
	})),
	{
		name: 'a replica is far behind when the primary is killed',
		guardsAgainst: 'the promotion of a replica that lacks acknowledged writes',
		seed: 4,
		async run(faultCluster, waitUntilServed) {
			const failedPrimary = await faultCluster.findPrimary();
			const [laggingReplica, upToDateReplica] = await faultCluster.findReplicas();
			await faultCluster.setDatabaseFaults(laggingReplica!, {replicationPaused: true});
			await waitUntilServed();
			await faultCluster.cluster.kill(failedPrimary.name);
			await faultCluster.waitForPromotion(failedPrimary);
			const newPrimary = await faultCluster.findPrimary();
			assert.equal(newPrimary.name, upToDateReplica!.name);
			// With the old primary down, no write is acknowledged until the lagging replica has caught up with the new primary.
			await faultCluster.setDatabaseFaults(laggingReplica!, {replicationPaused: false});
			await waitUntilServed();
		},
	},
	{
		name: 'the primary is killed twice in a row',
		guardsAgainst: 'leftover state of the first failover that breaks the second one',
		seed: 5,
		async run(faultCluster, waitUntilServed) {
			for (let round = 0; round < 2; round++) {
				const failedPrimary = await faultCluster.findPrimary();
				await faultCluster.cluster.kill(failedPrimary.name);
				await waitUntilServed();
				await faultCluster.clearFaults();
				await faultCluster.waitUntilHealthy();
			}
		},
	},
];

describeFailureCases('failures of the primary, in real processes', cases.map(failureCase => ({
	...failureCase, run: async (faultCluster, loadGenerator) => failureCase.run(faultCluster, async () => loadGenerator.waitForAcknowledgedWrites()),
})));
