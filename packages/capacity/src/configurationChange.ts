import {setTimeout as sleep} from 'node:timers/promises';

type RankResource = {readonly revision: number; readonly spec: Readonly<Record<string, unknown>>};

const rankPath = '/v1/ranks/bookings';
const pollMs = 10;
const limitMs = 10_000;

/**
 * Changes a resource at one proxy and waits until all proxies have the change.
 * @param operatorUrls - proxies; the first takes the change
 * @param targetMs - new value of a field of the resource
 * @returns milliseconds from the request until the last proxy had it
 * @throws Error if the change is refused or is not everywhere within 10 s
 */
export async function timeChange(operatorUrls: readonly string[], targetMs: number): Promise<number> {
	const current = await readRank(operatorUrls[0]!);
	const startedAtMs = performance.now();
	const response = await fetch(`${operatorUrls[0]!}${rankPath}`, {
		method: 'PUT',
		headers: {'content-type': 'application/json', 'if-match': String(current.revision)},
		body: JSON.stringify({spec: {...current.spec, targetMs}}),
	});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`the change was answered with ${response.status}: ${text}`);
	}

	await Promise.all(operatorUrls.map(async url => waitForTarget(url, targetMs, startedAtMs + limitMs)));
	return performance.now() - startedAtMs;
}

async function readRank(operatorUrl: string): Promise<RankResource> {
	const response = await fetch(`${operatorUrl}${rankPath}`);
	return await response.json() as RankResource;
}

async function waitForTarget(operatorUrl: string, targetMs: number, untilMs: number): Promise<void> {
	while (performance.now() < untilMs) {
		const {spec} = await readRank(operatorUrl);
		if (spec.targetMs === targetMs) {
			return;
		}

		await sleep(pollMs);
	}

	throw new Error(`${operatorUrl} lacked the change after ${limitMs} ms`);
}
