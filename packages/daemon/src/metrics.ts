import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type Metrics} from '@crocusloom/model';

const namePrefix = 'crocusloom_';

/** Histogram buckets in milliseconds, from a hop within a host to the time limit of a failover. */
const histogramBucketsMs = [0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 13_000];

type Labels = Readonly<Record<string, string>>;

/** Adapter from the metrics port to prom-client. A metric is registered when it is first recorded. */
export class PromMetrics implements Metrics {
	readonly registry = new Registry();
	private readonly counters = new Map<string, Counter>();
	private readonly gauges = new Map<string, Gauge>();
	private readonly histograms = new Map<string, Histogram>();

	/**
	 * @param hasRuntimeMetrics - whether to collect the metrics of the Node.js runtime, whose observers use CPU time
	 */
	constructor(hasRuntimeMetrics = true) {
		if (hasRuntimeMetrics) {
			collectDefaultMetrics({register: this.registry});
		}
	}

	count(name: string, labels: Labels = {}, increment = 1): void {
		const counter = memoize(this.counters, name, () => new Counter(this.metricOptions(name, labels)));
		counter.inc(labels, increment);
	}

	gauge(name: string, value: number, labels: Labels = {}): void {
		const gauge = memoize(this.gauges, name, () => new Gauge(this.metricOptions(name, labels)));
		gauge.set(labels, value);
	}

	observeMs(name: string, valueMs: number, labels: Labels = {}): void {
		const histogram = memoize(this.histograms, name, () => new Histogram({...this.metricOptions(name, labels), buckets: histogramBucketsMs}));
		histogram.observe(labels, valueMs);
	}

	/** Returns all metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}

	private metricOptions(name: string, labels: Labels): {name: string; help: string; labelNames: string[]; registers: Registry[]} {
		return {
			name: `${namePrefix}${name}`,
			help: name.replaceAll('_', ' '),
			labelNames: Object.keys(labels),
			registers: [this.registry],
		};
	}
}

function memoize<T>(cache: Map<string, T>, name: string, create: () => T): T {
	const value = cache.get(name) ?? create();
	cache.set(name, value);
	return value;
}
