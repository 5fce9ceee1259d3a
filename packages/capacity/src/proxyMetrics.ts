/** Metrics of one proxy at one time. */
export type ProxySample = {
	readonly atMs: number;
	readonly cpuSeconds: number;
	readonly residentBytes: number;
	readonly peerSentBytes: number;
	readonly peerNotifications: number;
};

/** Rates of one proxy over the time between two samples. */
export type ProxyRates = {
	/** Processor time per second, in cores. */
	readonly cpuCores: number;
	readonly sentBytesPerSecond: number;
	readonly notificationsPerSecond: number;
};

/**
 * Sums a metric over all of its labels.
 * @param text - metrics in the Prometheus text format
 * @returns the sum, or 0 if the metric is missing, because counters are registered on first use
 */
export function sumMetric(text: string, name: string): number {
	const lines = text.split('\n').filter(line => line.startsWith(`${name} `) || line.startsWith(`${name}{`));
	return lines.reduce((total, line) => total + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

/** Reads the metrics of a proxy. @throws Error if it does not answer */
export async function sampleProxy(operatorUrl: string): Promise<ProxySample> {
	const response = await fetch(`${operatorUrl}/metrics`);
	const text = await response.text();
	return {
		atMs: performance.now(),
		cpuSeconds: sumMetric(text, 'process_cpu_seconds_total'),
		residentBytes: sumMetric(text, 'process_resident_memory_bytes'),
		peerSentBytes: sumMetric(text, 'crocusloom_peer_sent_bytes_total'),
		peerNotifications: sumMetric(text, 'crocusloom_peer_notifications_total'),
	};
}

/** Computes the rates between two samples of one proxy. */
export function ratesBetween(before: ProxySample, after: ProxySample): ProxyRates {
	const seconds = (after.atMs - before.atMs) / 1000;
	return {
		cpuCores: (after.cpuSeconds - before.cpuSeconds) / seconds,
		sentBytesPerSecond: (after.peerSentBytes - before.peerSentBytes) / seconds,
		notificationsPerSecond: (after.peerNotifications - before.peerNotifications) / seconds,
	};
}

/** Returns the arithmetic mean, or NaN for an empty list. */
export function meanOf(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0) / values.length;
}

/** Runs an action and returns the rates during that time, averaged over the proxies. */
export async function measureRatesDuring(operatorUrls: readonly string[], run: () => Promise<unknown>): Promise<ProxyRates> {
	const before = await Promise.all(operatorUrls.map(async url => sampleProxy(url)));
	await run();
	const after = await Promise.all(operatorUrls.map(async url => sampleProxy(url)));
	const rates = before.map((sample, index) => ratesBetween(sample, after[index]!));
	return {
		cpuCores: meanOf(rates.map(({cpuCores}) => cpuCores)),
		sentBytesPerSecond: meanOf(rates.map(({sentBytesPerSecond}) => sentBytesPerSecond)),
		notificationsPerSecond: meanOf(rates.map(({notificationsPerSecond}) => notificationsPerSecond)),
	};
}

/** Reads the resident memory of the proxies and returns its mean in bytes. */
export async function readMeanResidentBytes(operatorUrls: readonly string[]): Promise<number> {
	const samples = await Promise.all(operatorUrls.map(async url => sampleProxy(url)));
	return meanOf(samples.map(({residentBytes}) => residentBytes));
}
