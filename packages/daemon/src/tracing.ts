import {
	context, SpanKind, SpanStatusCode, trace, type SpanContext,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanExporter,
} from '@opentelemetry/sdk-trace-node';
import {noopTracer, type Tracer} from '@crocusloom/model';
import {type Settings} from './settings.js';

/** A tracer and its shutdown function. */
export type TracerHandle = {
	readonly tracer: Tracer;
	/** Exports the pending spans and stops the tracer. */
	readonly shutdown: () => Promise<void>;
};

/**
 * Creates the tracer that the settings describe. Without an OTLP URL, no spans are recorded.
 * @param settings - settings of this process
 */
export function createTracer(settings: Settings): TracerHandle {
	const {otlpUrl, sampleRatio} = settings.traces;
	if (!otlpUrl) {
		return {tracer: noopTracer, shutdown: async () => undefined};
	}

	return createExportingTracer(new OTLPTraceExporter({url: otlpUrl}), sampleRatio);
}

/**
 * Creates a tracer that passes its spans to an exporter.
 * @param exporter - receives the finished spans
 * @param sampleRatio - ratio of new traces to record, from 0 to 1; a trace that a peer started follows the peer's sampling decision
 */
export function createExportingTracer(exporter: SpanExporter, sampleRatio: number): TracerHandle {
	const provider = new NodeTracerProvider({
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(sampleRatio)}),
		spanProcessors: [new BatchSpanProcessor(exporter)],
	});
	const otelTracer = provider.getTracer('crocusloom');
	const tracer: Tracer = {
		start(name, parent, attributes) {
			const parentContext = parseTraceparent(parent);
			const startContext = parentContext ? trace.setSpanContext(context.active(), parentContext) : context.active();
			const span = otelTracer.startSpan(name, {kind: SpanKind.SERVER, attributes: {...attributes}}, startContext);
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

/** Parses a W3C `traceparent` header. */
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
