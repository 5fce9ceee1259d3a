import {
	context, SpanKind, SpanStatusCode, trace, type SpanContext,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanExporter,
} from '@opentelemetry/sdk-trace-node';
import {noopTracer, type Tracer} from '@crocusloom/model';
import {type Settings} from './settings.js';

/** A tracer with the call that sends what is still waiting. */
export type RunningTracer = {
	readonly tracer: Tracer;
	readonly shutdown: () => Promise<void>;
};

/**
 * Creates the tracer that the settings ask for; without an OTLP address spans are not recorded.
 * @param settings - settings of this process
 */
export function createTracer(settings: Settings): RunningTracer {
	const {otlpUrl, sampleRatio} = settings.traces;
	if (!otlpUrl) {
		return {tracer: noopTracer, shutdown: async () => undefined};
	}

	return createTracerFor(new OTLPTraceExporter({url: otlpUrl}), sampleRatio);
}

/**
 * Creates a tracer that hands its spans to an exporter.
 * @param exporter - where finished spans go
 * @param sampleRatio - share of new traces that are recorded; a trace begun by a peer follows the peer's choice
 */
export function createTracerFor(exporter: SpanExporter, sampleRatio: number): RunningTracer {
	const provider = new NodeTracerProvider({
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(sampleRatio)}),
		spanProcessors: [new BatchSpanProcessor(exporter)],
	});
	const otelTracer = provider.getTracer('crocusloom');
	const tracer: Tracer = {
		start(name, parent, attributes) {
			const parentContext = parseTraceparent(parent);
			const base = parentContext ? trace.setSpanContext(context.active(), parentContext) : context.active();
			const span = otelTracer.startSpan(name, {kind: SpanKind.SERVER, attributes: {...attributes}}, base);
			return {
				traceparent: formatTraceparent(span.spanContext()),
				end(failure) {
					if (failure) {
						span.setStatus({code: SpanStatusCode.ERROR, message: failure});
					}

					span.end();
				},
			};
		},
	};
	return {
		tracer,
		async shutdown() {
			await provider.shutdown();
		},
	};
}

const traceparentPattern = /^00-(?<traceId>[\da-f]{32})-(?<spanId>[\da-f]{16})-(?<flags>[\da-f]{2})$/v;

function parseTraceparent(text: string | undefined): SpanContext | undefined {
	const groups = traceparentPattern.exec(text ?? '')?.groups;
	if (!groups) {
		return undefined;
	}

	return {
		traceId: groups.traceId!, spanId: groups.spanId!, traceFlags: Number.parseInt(groups.flags!, 16), isRemote: true,
	};
}

function formatTraceparent({traceId, spanId, traceFlags}: SpanContext): string {
	const flags = traceFlags.toString(16).padStart(2, '0');
	return `00-${traceId}-${spanId}-${flags}`;
}
