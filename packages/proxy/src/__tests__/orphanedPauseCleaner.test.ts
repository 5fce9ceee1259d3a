import {systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {OrphanedPauseCleaner, promotionSettleMs} from '../promotions/orphanedPauseCleaner.js';
import {type MemoryServer} from '../testing/index.js';
import {advanceableClock, type Harness, startProxy} from './proxyHarness.js';

/** Time in which the primary is heard of again after the clock was advanced. */
const contactTimeMs = 300;

describe('orphaned pause cleaner', () => {
	let harness: Harness;
	let clock: ReturnType<typeof advanceableClock>;

	beforeEach(async () => {
		clock = advanceableClock();
		harness = await startProxy(undefined, clock);
	});

	afterEach(() => {
		harness.stop();
	});

	const cases: ReadonlyArray<{readonly title: string; readonly isConfirmed: boolean; readonly laterTerm: number; readonly expected: number}> = [
		{
			title: 'ends a pause under a confirmed lease (guards against commits that are never acknowledged)', isConfirmed: true, laterTerm: 5, expected: 0,
		},
		{
			title: 'leaves a pause while the lease is not confirmed (guards against the end of a pause of the next holder)', isConfirmed: false, laterTerm: 5, expected: 5,
		},
		{
			title: 'leaves a pause that another promotion has replaced (guards against the end of a pause of a running promotion)', isConfirmed: true, laterTerm: 6, expected: 6,
		},
	];

	for (const {title, isConfirmed, laterTerm, expected} of cases) {
		it(title, async () => expectPausedTerm(isConfirmed, laterTerm, expected));
	}

	async function expectPausedTerm(isConfirmed: boolean, laterTerm: number, expected: number): Promise<void> {
		const [, replica] = harness.service.servers as [MemoryServer, MemoryServer];
		const cleaner = new OrphanedPauseCleaner(harness.view, clock, harness.log);
		replica.pausedTerm = 5;
		await cleaner.check(async () => isConfirmed);
		expect(replica.pausedTerm).to.equal(5);
		clock.offsetMs += promotionSettleMs;
		await systemClock.sleep(contactTimeMs);
		replica.pausedTerm = laterTerm;
		await cleaner.check(async () => isConfirmed);
		expect(replica.pausedTerm).to.equal(expected);
	}
});
