package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/burdockward/burdockward/settings"
)

// otlpPath is the path, below its base URL, where a collector receives spans.
const otlpPath = "/v1/traces"

// offSpan is returned for every span when tracing is off.
var offSpan trace.Span = noop.Span{}

// w3c propagates the trace in the traceparent and tracestate headers.
var w3c propagation.TraceContext

// StartSpan starts the span of one hop as a child of the span of ctx. End it with
// EndSpan. Set attributes only when the span is recording, so that an unrecorded
// one costs nothing.
func (t *Telemetry) StartSpan(ctx context.Context, name string, kind trace.SpanKind) (context.Context, trace.Span) {
	if t.tracer == nil {
		return ctx, offSpan
	}
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind))
}

// EndSpan ends a span; an error marks it as failed.
func EndSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// InjectHTTP adds the span of ctx to the headers of a request.
func (t *Telemetry) InjectHTTP(ctx context.Context, header http.Header) {
	if t.tracer != nil {
		w3c.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// ExtractHTTP adds the caller's span, if the headers have one, to the context.
func (t *Telemetry) ExtractHTTP(ctx context.Context, header http.Header) context.Context {
	if t.tracer == nil {
		return ctx
	}
	return w3c.Extract(ctx, propagation.HeaderCarrier(header))
}

// newProvider creates the tracer provider; nil when tracing is off.
func newProvider(s *settings.Settings, spans io.Writer) (*sdktrace.TracerProvider, error) {
	exporter, err := newExporter(&s.Trace, spans)
	if err != nil {
		return nil, fmt.Errorf("set up the trace exporter %q: %w; check trace.endpoint in the settings", s.Trace.Exporter, err)
	}
	if exporter == nil {
		return nil, nil
	}
	return sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", metricPrefix),
			attribute.String("service.instance.id", s.VMID),
			attribute.String("failure_domain", s.FailureDomain),
		)),
	), nil
}

// newExporter creates the exporter that the settings name; nil when it is none.
func newExporter(s *settings.Trace, spans io.Writer) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case settings.ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(spans))
	case settings.ExporterOTLP:
		url := strings.TrimSuffix(s.Endpoint, "/") + otlpPath
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(url))
	default:
		return nil, nil
	}
}
