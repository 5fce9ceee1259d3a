import {assert} from 'chai';
import {FaultCluster} from '../faultCluster.js';
import {type LoadGenerator} from '../loadGenerator.js';

/** A failure that is injected while callers read and write. */
export type FailureCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly seed: number;
	readonly run: (faultCluster: FaultCluster, loadGenerator: LoadGenerator) => Promise<void>;
};

/** Runs all cases on one cluster. After each one, callers have to be served again and the history must have no violations. */
export function describeFailureCases(title: string, cases: readonly FailureCase[]): void {
	describe(title, () => {
		const faultCluster = new FaultCluster();
		before(async () => faultCluster.start());
		after(async () => faultCluster.stop());
		afterEach(async () => {
			await faultCluster.clearFaults();
			await faultCluster.waitUntilHealthy();
		});

		for (const {name, guardsAgainst, seed, run} of cases) {
			it(`${name} (guards against ${guardsAgainst})`, async () => {
				const loadGenerator = await faultCluster.startLoad(seed);
				await loadGenerator.waitForAcknowledgedWrites();
				await run(faultCluster, loadGenerator);
				await faultCluster.clearFaults();
				await faultCluster.waitUntilHealthy();
				await loadGenerator.waitForAcknowledgedWrites();
				assert.deepEqual(await loadGenerator.finish(), []);
			});
		}
	});
}
