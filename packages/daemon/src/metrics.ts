import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type Metrics} from '@crocusloom/model';

const namePrefix = 'crocusloom_';

/** Histogram buckets in milliseconds, from a hop within a host to the failover bound. */
const bucketsMs = [0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 13_000];

type Labels = Readonly<Record<string, string>>;

/** Adapter of the metrics port to prom-client. Metrics are registered at their first use. */
export class PromMetrics implements Metrics {
	readonly registry = new Registry();
	private readonly counters = new Map<string, Counter>();
	private readonly gauges = new Map<string, Gauge>();
	private readonly histograms = new Map<string, Histogram>();

	/**
	 * @param withRuntime - whether to add the metrics of the Node.js runtime, whose observers cost processor time
	 */
	constructor(withRuntime = true) {
		if (withRuntime) {
			collectDefaultMetrics({register: this.registry});
		}
	}

	count(name: string, labels: Labels = {}, by = 1): void {
		const counter = memoize(this.counters, name, () => new Counter(this.options(name, labels)));
		counter.inc(labels, by);
	}

	gauge(name: string, value: number, labels: Labels = {}): void {
		const gauge = memoize(this.gauges, name, () => new Gauge(this.options(name, labels)));
		gauge.set(labels, value);
	}

	observeMs(name: string, valueMs: number, labels: Labels = {}): void {
		const histogram = memoize(this.histograms, name, () => new Histogram({...this.options(name, labels), buckets: bucketsMs}));
		histogram.observe(labels, valueMs);
	}

	/** Metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}

	private options(name: string, labels: Labels): {name: string; help: string; labelNames: string[]; registers: Registry[]} {
		return {
			name: `${namePrefix}${name}`,
			help: name.replaceAll('_', ' '),
			labelNames: Object.keys(labels),
			registers: [this.registry],
		};
	}
}

function memoize<T>(known: Map<string, T>, name: string, create: () => T): T {
	const value = known.get(name) ?? create();
	known.set(name, value);
	return value;
}
