import {assert} from 'chai';
import {FaultCluster} from '../faultCluster.js';
import {type Load} from '../load.js';

/** A failure that is brought about while callers read and write. */
export type FailureCase = {
	readonly name: string;
	readonly guardsAgainst: string;
	readonly seed: number;
	readonly act: (faults: FaultCluster, load: Load) => Promise<void>;
};

/** Runs each case on one cluster; afterwards callers must be served again and their history must hold. */
export function describeFailures(title: string, cases: readonly FailureCase[]): void {
	describe(title, () => {
		const faults = new FaultCluster();
		before(async () => faults.start());
		after(async () => faults.stop());
		afterEach(async () => {
			await faults.heal();
			await faults.untilHealthy();
		});

		for (const {name, guardsAgainst, seed, act} of cases) {
			it(`${name} (guards against ${guardsAgainst})`, async () => {
				const load = await faults.startLoad(seed);
				await load.untilServed();
				await act(faults, load);
				await faults.heal();
				await faults.untilHealthy();
				await load.untilServed();
				assert.deepEqual(await load.finish(), []);
			});
		}
	});
}
