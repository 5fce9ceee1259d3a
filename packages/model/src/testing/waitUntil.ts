import {systemClock} from '../system.js';

const pollIntervalMs = 5;

/**
 * Waits until a condition holds.
 * @param isDone - the condition
 * @param timeoutMs - longest wait in milliseconds
 * @throws Error with the text of the condition after the timeout
 */
export async function waitUntil(isDone: () => boolean, timeoutMs = 5000): Promise<void> {
	const deadlineMs = systemClock.nowMs() + timeoutMs;
	while (!isDone()) {
		if (systemClock.nowMs() > deadlineMs) {
			throw new Error(`not reached within ${timeoutMs} ms: ${isDone.toString()}`);
		}

		await systemClock.sleep(pollIntervalMs);
	}
}
