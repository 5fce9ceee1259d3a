/**
 * CPU usage and promotions of the proxies, read from their operator ports.
 */
import {type OperatorEndpoint} from '@crocusloom/standins';

export type ProxyUsage = {
	/** Mean CPU usage of each proxy in cores, by proxy name. */
	readonly cores: Readonly<Record<string, number>>;
	/** Number of promotions during the run. */
	readonly promotions: number;
};

/** CPU time of each proxy and number of promotions at one time. */
export type ProxySample = {readonly atMs: number; readonly cpuSeconds: ReadonlyMap<string, number>; readonly promotions: number};

const requestTimeoutMs = 1500;

async function fetchText(url: string): Promise<string | undefined> {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(requestTimeoutMs)});
		return await response.text();
	} catch {
		return undefined;
	}
}

/** Samples the CPU time of the proxies and the highest number of promotions that any of them reports. */
export async function sampleProxies(operators: readonly OperatorEndpoint[]): Promise<ProxySample> {
	const atMs = performance.now();
	const metrics = await Promise.all(operators.map(async ({url}) => fetchText(`${url}/metrics`)));
	const promotions = await Promise.all(operators.map(async ({url}) => fetchText(`${url}/v1/promotions`)));
	const cpuSeconds = operators.flatMap(({name}, index) => {
		const match = /^process_cpu_seconds_total (?<seconds>\S+)/mv.exec(metrics[index] ?? '');
		return match ? [[name, Number(match.groups!.seconds)] as const] : [];
	});
	return {atMs, cpuSeconds: new Map(cpuSeconds), promotions: Math.max(0, ...promotions.map(text => countEntries(text)))};
}

/** Computes the usage between two samples. Proxies that were restarted or do not respond are omitted from `cores`. */
export function computeProxyUsage(before: ProxySample, after: ProxySample): ProxyUsage {
	const elapsedSeconds = (after.atMs - before.atMs) / 1000;
	const cores = [...after.cpuSeconds].flatMap(([name, totalSeconds]) => {
		const usedSeconds = totalSeconds - (before.cpuSeconds.get(name) ?? Number.POSITIVE_INFINITY);
		return usedSeconds >= 0 ? [[name, Math.round(usedSeconds / elapsedSeconds * 100) / 100] as const] : [];
	});
	return {cores: Object.fromEntries(cores), promotions: Math.max(0, after.promotions - before.promotions)};
}

function countEntries(text: string | undefined): number {
	if (text === undefined) {
		return 0;
	}

	const body = JSON.parse(text) as unknown;
	const list = Array.isArray(body) ? body : Object.values(body as Readonly<Record<string, unknown>>).find(value => Array.isArray(value));
	return (list as readonly unknown[] | undefined)?.length ?? 0;
}
