import {mock} from 'node:test';
import {manualClock} from './proxyHarness.js';

/** Creates a clock that advances only with the mocked timers, so that the load of the machine does not affect the test. */
export const mockedClock = () => ({
	...manualClock(),
	async sleep(durationMs: number) {
		return new Promise<void>(resolve => {
			setTimeout(resolve, durationMs);
		});
	},
});

export type MockedClock = ReturnType<typeof mockedClock>;

/** Advances the clock and the mocked timers by one millisecond and runs all callbacks that are due. */
export async function tick(clock: MockedClock): Promise<void> {
	clock.timeMs++;
	mock.timers.tick(1);
	await runPendingCallbacks();
}

/** Advances the clock and the mocked timers up to a time. */
export async function advanceTo(clock: MockedClock, timeMs: number): Promise<void> {
	await runPendingCallbacks();
	while (clock.timeMs < timeMs) {
		await tick(clock);
	}
}

/** Runs all pending callbacks that do not depend on a timer. */
async function runPendingCallbacks(): Promise<void> {
	for (let turn = 0; turn < 4; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
