import {setTimeout as sleep} from 'node:timers/promises';

type RankResource = {readonly revision: number; readonly spec: Readonly<Record<string, unknown>>};

const rankPath = '/v1/ranks/bookings';
const pollIntervalMs = 10;
const timeoutMs = 10_000;

/**
 * Changes a rank through one proxy and measures the time until the change is visible at all proxies.
 * @param operatorUrls - operator URLs of the proxies; the change is sent to the first
 * @param targetMs - new value of the rank's `targetMs`
 * @returns milliseconds from sending the request until the last proxy shows the change
 * @throws Error if the change is refused or does not reach every proxy within 10 s
 */
export async function measureChangePropagation(operatorUrls: readonly string[], targetMs: number): Promise<number> {
	const currentRank = await readRank(operatorUrls[0]!);
	const startedAtMs = performance.now();
	const response = await fetch(`${operatorUrls[0]!}${rankPath}`, {
		method: 'PUT',
		headers: {'content-type': 'application/json', 'if-match': String(currentRank.revision)},
		body: JSON.stringify({spec: {...currentRank.spec, targetMs}}),
	});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`the change was answered with status ${response.status}: ${text}`);
	}

	await Promise.all(operatorUrls.map(async url => waitUntilRankHasTarget(url, targetMs, startedAtMs + timeoutMs)));
	return performance.now() - startedAtMs;
}

async function readRank(operatorUrl: string): Promise<RankResource> {
	const response = await fetch(`${operatorUrl}${rankPath}`);
	return await response.json() as RankResource;
}

async function waitUntilRankHasTarget(operatorUrl: string, targetMs: number, deadlineMs: number): Promise<void> {
	while (performance.now() < deadlineMs) {
		const {spec} = await readRank(operatorUrl);
		if (spec.targetMs === targetMs) {
			return;
		}

		await sleep(pollIntervalMs);
	}

	throw new Error(`${operatorUrl} does not show the change after ${timeoutMs} ms`);
}
