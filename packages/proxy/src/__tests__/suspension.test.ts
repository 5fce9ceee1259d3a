import {type Clock, formatPosition, systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {type Harness, run, startProxy} from './proxyHarness.js';

const maxAgeMs = 1500;
/** Longer than a sample takes. */
const waitLimitMs = 5000;
/** Longer than the interval at which a host compares its clocks. */
const comparisonMs = 250;

/** Creates a clock whose wall time can be shifted, as a suspension or a step of the wall clock does. */
function shiftableClock(): Clock & {shiftMs: number} {
	return {
		...systemClock,
		shiftMs: 0,
		wallMs() {
			return systemClock.wallMs() + this.shiftMs;
		},
	};
}

type ShiftableClock = ReturnType<typeof shiftableClock>;
type Case = {
	readonly title: string;
	/** Disturbs the clock around a sample of the commit position, while another commit is acknowledged. */
	readonly disturb: (harness: Harness, clock: ShiftableClock) => Promise<void>;
};

async function sample({view}: Harness): Promise<void> {
	await view.prove(view.currentPrimary!);
}

async function commit({proxy}: Harness): Promise<void> {
	await run(proxy.openSession('strict', 'u'), 'WRITE a 1');
}

const cases: readonly Case[] = [
	{
		title: 'a suspension after the sample',
		async disturb(harness, clock) {
			await sample(harness);
			await commit(harness);
			clock.shiftMs += 5000;
		},
	},
	{
		title: 'a suspension during the sample',
		async disturb(harness, clock) {
			const pendingSample = sample(harness);
			clock.shiftMs += 5000;
			await pendingSample;
			await commit(harness);
		},
	},
	{
		title: 'a suspension after the wall clock was set back by as much',
		async disturb(harness, clock) {
			await sample(harness);
			await commit(harness);
			clock.shiftMs -= 5000;
			await systemClock.sleep(comparisonMs);
			clock.shiftMs += 5000;
		},
	},
];

describe('suspended host', () => {
	let harness: Harness;

	afterEach(() => {
		harness.stop();
	});

	async function expectNewerBound({disturb}: Case): Promise<void> {
		const clock = shiftableClock();
		harness = await startProxy(undefined, clock);
		await disturb(harness, clock);
		const position = await harness.view.minimumPositionFor(clock.nowMs(), maxAgeMs, waitLimitMs);
		expect(position && formatPosition(position)).to.equal('1.1');
	}

	for (const suspensionCase of cases) {
		it(`does not bound reads by a sample from before ${suspensionCase.title} (guards against reads that exceed their freshness bound)`, async () => expectNewerBound(suspensionCase));
	}

	it('bounds reads by an earlier sample again once the wall clock has stepped and a new one is taken (guards against a probe per read)', async () => {
		const clock = shiftableClock();
		harness = await startProxy(undefined, clock);
		await sample(harness);
		clock.shiftMs += 3000;
		await harness.view.minimumPositionFor(clock.nowMs(), maxAgeMs, waitLimitMs);
		clock.shiftMs -= 3000;
		await harness.view.minimumPositionFor(clock.nowMs(), maxAgeMs, waitLimitMs);
		const runsBefore = harness.service.runs.length;
		for (let read = 0; read < 20; read++) {
			await harness.view.minimumPositionFor(clock.nowMs(), maxAgeMs, waitLimitMs);
		}

		expect(harness.service.runs.length).to.equal(runsBefore);
	});
});
