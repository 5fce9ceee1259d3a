import {setTimeout as sleep} from 'node:timers/promises';

const pollMs = 25;

/**
 * Waits until a condition holds.
 * @param what - names the condition in the error
 * @param holds - the condition; an error that it throws counts as "not yet"
 * @param limitMs - stated target of the design
 * @throws Error if the condition does not hold within the limit
 */
export async function pollUntil(what: string, holds: () => boolean | Promise<boolean>, limitMs: number): Promise<void> {
	const untilMs = performance.now() + limitMs;
	let last: unknown;
	while (performance.now() < untilMs) {
		try {
			if (await holds()) {
				return;
			}
		} catch (error) {
			last = error;
		}

		await sleep(pollMs);
	}

	throw new Error(`${what}: not within ${limitMs} ms`, {cause: last});
}
