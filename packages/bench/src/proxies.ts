/**
 * What proxies tell about themselves at their operators' port.
 */
import {type OperatorEndpoint} from '@crocusloom/standins';

export type ProxyUse = {
	/** Cores that each proxy used, by name. */
	readonly cores: Readonly<Record<string, number>>;
	/** Promotions that the proxies report, without those from before the run. */
	readonly promotions: number;
};

export type ProxySample = {readonly atMs: number; readonly cpuSeconds: ReadonlyMap<string, number>; readonly promotions: number};

const callLimitMs = 1500;

async function textOf(url: string): Promise<string | undefined> {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(callLimitMs)});
		return await response.text();
	} catch {
		return undefined;
	}
}

/** Reads the processor time of proxies and the number of promotions that any of them knows. */
export async function sampleProxies(operators: readonly OperatorEndpoint[]): Promise<ProxySample> {
	const atMs = performance.now();
	const metrics = await Promise.all(operators.map(async ({url}) => textOf(`${url}/metrics`)));
	const promotions = await Promise.all(operators.map(async ({url}) => textOf(`${url}/v1/promotions`)));
	const cpuSeconds = operators.flatMap(({name}, index) => {
		const match = /^process_cpu_seconds_total (?<seconds>\S+)/mv.exec(metrics[index] ?? '');
		return match ? [[name, Number(match.groups!.seconds)] as const] : [];
	});
	return {atMs, cpuSeconds: new Map(cpuSeconds), promotions: Math.max(0, ...promotions.map(text => countEntries(text)))};
}

/** Difference of two samples; a proxy that was restarted or does not answer is left out. */
export function proxyUse(before: ProxySample, after: ProxySample): ProxyUse {
	const seconds = (after.atMs - before.atMs) / 1000;
	const cores = [...after.cpuSeconds].flatMap(([name, total]) => {
		const used = total - (before.cpuSeconds.get(name) ?? Number.POSITIVE_INFINITY);
		return used >= 0 ? [[name, Math.round(used / seconds * 100) / 100] as const] : [];
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
