/** Distributed tracing: one span for each step of a request, with W3C `traceparent` propagation. */
import {
	ROOT_CONTEXT,
	SpanKind,
	SpanStatusCode,
	trace,
	type Context,
	type Span,
	type Tracer,
} from '@opentelemetry/api';
import {ExportResultCode, W3CTraceContextPropagator, type ExportResult} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BasicTracerProvider,
	BatchSpanProcessor,
	ParentBasedSampler,
	TraceIdRatioBasedSampler,
	type ReadableSpan,
	type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import {type Logger} from './logger.js';

/** Names of the spans, one for each step of a request. */
export type SpanName = 'caller' | 'admission' | 'routing' | 'claim' | 'peer' | 'backend';

export type TraceSpan = {
	readonly startChild: (name: SpanName, attributes?: Readonly<Record<string, string | number>>) => TraceSpan;
	readonly end: (error?: unknown) => void;
	/** Returns the `traceparent` header value to send to the next process. */
	readonly getTraceparent: () => string | undefined;
};

export type Tracing = {
	readonly startSpan: (name: SpanName, traceparent: string | undefined, attributes: Readonly<Record<string, string | number>>) => TraceSpan;
	readonly shutdown: () => Promise<void>;
};

type TracingOptions = {
	readonly instance: string;
	readonly otlp: string | undefined;
	readonly sampleRatio: number;
	readonly logger: Logger;
};

const propagator = new W3CTraceContextPropagator();

const parseParentContext = (traceparent: string | undefined): Context => {
	if (traceparent === undefined) {
		return ROOT_CONTEXT;
	}

	return propagator.extract(ROOT_CONTEXT, {traceparent}, {
		get: (carrier: Record<string, string>, key) => carrier[key],
		keys: (carrier: Record<string, string>) => Object.keys(carrier),
	});
};

/** Makes an exporter that logs spans, used if no OTLP endpoint is configured. */
const makeLogExporter = (logger: Logger): SpanExporter => ({
	export(spans: ReadableSpan[], done: (result: ExportResult) => void) {
		for (const span of spans) {
			const {traceId, spanId} = span.spanContext();
			const [seconds, nanoseconds] = span.duration;
			logger.info('span', {
				name: span.name,
				traceId,
				spanId,
				parentSpanId: span.parentSpanContext?.spanId,
				durationMs: (seconds * 1000) + (nanoseconds / 1e6),
				attributes: span.attributes,
			});
		}

		done({code: ExportResultCode.SUCCESS});
	},
	async shutdown() {/* the logger needs no shutdown */},
});

const startSpanInContext = (tracer: Tracer, name: SpanName, parent: Context, attributes: Readonly<Record<string, string | number>>): TraceSpan => {
	const kind = name === 'caller' ? SpanKind.SERVER : (name === 'backend' || name === 'peer' ? SpanKind.CLIENT : SpanKind.INTERNAL);
	const span: Span = tracer.startSpan(name, {kind, attributes: {...attributes}}, parent);
	const ownContext = trace.setSpan(parent, span);
	return {
		startChild: (child, childAttributes = {}) => startSpanInContext(tracer, child, ownContext, childAttributes),
		end(error) {
			if (error !== undefined) {
				span.setStatus({code: SpanStatusCode.ERROR, message: error instanceof Error ? error.message : undefined});
			}

			span.end();
		},
		getTraceparent() {
			const carrier: Record<string, string> = {};
			propagator.inject(ownContext, carrier, {
				set(target: Record<string, string>, key, value) {
					target[key] = value;
				},
			});
			return carrier.traceparent;
		},
	};
};

export const startTracing = ({instance, otlp, sampleRatio, logger}: TracingOptions): Tracing => {
	const exporter = otlp === undefined ? makeLogExporter(logger) : new OTLPTraceExporter({url: otlp});
	const provider = new BasicTracerProvider({
		// eslint-disable-next-line @typescript-eslint/naming-convention -- names from the OpenTelemetry semantic conventions
		resource: resourceFromAttributes({'service.name': 'shallotpassd', 'service.instance.id': instance}),
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(sampleRatio)}),
		spanProcessors: [new BatchSpanProcessor(exporter)],
	});
	const tracer = provider.getTracer('shallotpass');
	return {
		startSpan: (name, traceparent, attributes) => startSpanInContext(tracer, name, parseParentContext(traceparent), attributes),
		async shutdown() {
			try {
				await provider.shutdown();
			} catch (error) {
				logger.warn('spans_lost', {error});
			}
		},
	};
};
