import {setTimeout as sleep} from 'node:timers/promises';

const pollIntervalMs = 25;

/**
 * Waits until a condition holds.
 * @param description - describes the awaited condition in the error message
 * @param condition - checked repeatedly; if it throws, the condition does not hold yet
 * @param timeoutMs - time after which the wait fails
 * @throws Error if the condition does not hold within the timeout; its cause is the last error of the condition
 */
export async function pollUntil(description: string, condition: () => boolean | Promise<boolean>, timeoutMs: number): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	let lastError: unknown;
	while (performance.now() < deadlineMs) {
		try {
			if (await condition()) {
				return;
			}
		} catch (error) {
			lastError = error;
		}

		await sleep(pollIntervalMs);
	}

	throw new Error(`${description}: not within ${timeoutMs} ms`, {cause: lastError});
}
