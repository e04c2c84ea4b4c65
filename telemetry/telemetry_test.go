package telemetry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// open creates telemetry whose log and spans go to the returned buffers.
func open(t *testing.T, change func(*settings.Settings)) (tel *telemetry.Telemetry, log, spans *bytes.Buffer) {
	t.Helper()
	s := settings.Default()
	s.VMID, s.FailureDomain = "vm-1", "a"
	change(s)
	log, spans = &bytes.Buffer{}, &bytes.Buffer{}
	tel, err := telemetry.New(s, telemetry.Outputs{Log: log, Spans: spans})
	must.NoError(t, err)
	return tel, log, spans
}

// scrape closes the telemetry, which reports the last counts, and returns the
// metrics as text.
func scrape(t *testing.T, tel *telemetry.Telemetry) string {
	t.Helper()
	must.NoError(t, tel.Close(context.Background()))
	rec := httptest.NewRecorder()
	tel.MetricsHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.Eq(t, http.StatusOK, rec.Code)
	return rec.Body.String()
}

func TestLogFormatAndLevel(t *testing.T) {
	tel, log, _ := open(t, func(s *settings.Settings) { s.Log.Level = "warn"; s.Log.Format = "text" })
	tel.Log().Info("dropped")
	tel.Log().Warn("kept")
	must.NoError(t, tel.Close(context.Background()))
	must.StrNotContains(t, log.String(), "dropped")
	must.StrContains(t, log.String(), "msg=kept vm=vm-1 failure_domain=a")

	tel, log, _ = open(t, func(*settings.Settings) {})
	tel.Log().Info("kept")
	must.NoError(t, tel.Close(context.Background()))
	must.StrContains(t, log.String(), `"msg":"kept","vm":"vm-1"`)
}

func TestMetricsReachTheScrape(t *testing.T) {
	tel, _, _ := open(t, func(*settings.Settings) {})
	c := tel.Counters("dispatch")
	c.Add("starts", "", 2)
	c.Add("starts", "retried", 3)
	c.Set("queued", 7)
	c.Observe("wait", 3*time.Millisecond)
	text := scrape(t, tel)
	must.StrContains(t, text, `burdockward_dispatch_starts_total{kind=""} 2`)
	must.StrContains(t, text, `burdockward_dispatch_starts_total{kind="retried"} 3`)
	must.StrContains(t, text, `burdockward_dispatch_queued 7`)
	must.StrContains(t, text, `burdockward_dispatch_wait_seconds_bucket{le="0.002"} 0`)
	must.StrContains(t, text, `burdockward_dispatch_wait_seconds_bucket{le="0.004"} 1`)
	must.StrContains(t, text, "go_goroutines")
}

func TestCountersBoundTheirKinds(t *testing.T) {
	tel, _, _ := open(t, func(*settings.Settings) {})
	c := tel.Counters("frontend")
	const kinds = 100
	for range 2 {
		for i := range kinds {
			c.Add("refusals", fmt.Sprint("k", i), 1)
		}
	}
	text := scrape(t, tel)
	must.StrContains(t, text, `refusals_total{kind="k31"} 2`)
	must.StrNotContains(t, text, `kind="k32"`)
	must.StrContains(t, text, fmt.Sprintf(`refusals_total{kind="other"} %d`, 2*(kinds-32)))
}

// TestMetricClashIsLogged uses a name twice with different tags, which by default
// would end the process.
func TestMetricClashIsLogged(t *testing.T) {
	tel, log, _ := open(t, func(*settings.Settings) {})
	tel.Counters("a").Add("x", "", 1)
	tel.Scope().SubScope("a").Counter("x_total").Inc(1)
	must.NoError(t, tel.Close(context.Background()))
	must.StrContains(t, log.String(), "metric not registered")
}

func TestTracingOffCostsNothing(t *testing.T) {
	tel, _, spans := open(t, func(*settings.Settings) {})
	defer func() { must.NoError(t, tel.Close(context.Background())) }()
	ctx := context.Background()
	header := http.Header{}
	allocs := testing.AllocsPerRun(100, func() {
		in := tel.ExtractHTTP(ctx, header)
		in, span := tel.StartSpan(in, "hop", trace.SpanKindServer)
		tel.InjectHTTP(in, header)
		telemetry.EndSpan(span, nil)
	})
	must.Eq(t, 0, allocs)
	must.MapEmpty(t, header)
	must.Eq(t, 0, spans.Len())
}

func TestSpansOfHopsShareATrace(t *testing.T) {
	tel, _, spans := open(t, func(s *settings.Settings) {
		s.Trace = settings.Trace{Exporter: settings.ExporterStdout, Ratio: 1}
	})
	ctx, client := tel.StartSpan(context.Background(), "client hop", trace.SpanKindClient)
	header := http.Header{}
	tel.InjectHTTP(ctx, header)
	must.StrContains(t, header.Get("traceparent"), client.SpanContext().TraceID().String())

	// The other process gets only the headers.
	remote := tel.ExtractHTTP(context.Background(), header)
	_, server := tel.StartSpan(remote, "server hop", trace.SpanKindServer)
	must.Eq(t, client.SpanContext().TraceID(), server.SpanContext().TraceID())
	telemetry.EndSpan(server, errors.New("target lost"))
	telemetry.EndSpan(client, nil)

	must.NoError(t, tel.Close(context.Background()))
	must.StrContains(t, spans.String(), `"Name":"client hop"`)
	must.StrContains(t, spans.String(), `"Name":"server hop"`)
	must.StrContains(t, spans.String(), "target lost")
	must.StrContains(t, spans.String(), "vm-1")
}

// TestNewSetsGlobalsForDuties requires that New sets the global provider and propagator
// of OpenTelemetry, from which duties take their tracer and propagator.
func TestNewSetsGlobalsForDuties(t *testing.T) {
	tel, _, spans := open(t, func(s *settings.Settings) {
		s.Trace = settings.Trace{Exporter: settings.ExporterStdout, Ratio: 1}
	})
	ctx, span := otel.Tracer("duty").Start(context.Background(), "duty hop")
	header := http.Header{}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
	span.End()
	must.NoError(t, tel.Close(context.Background()))
	must.StrContains(t, header.Get("traceparent"), span.SpanContext().TraceID().String())
	must.StrContains(t, spans.String(), `"Name":"duty hop"`)
}

func TestCallerDecidesSampling(t *testing.T) {
	tel, _, _ := open(t, func(s *settings.Settings) {
		s.Trace = settings.Trace{Exporter: settings.ExporterStdout, Ratio: 0}
	})
	defer func() { must.NoError(t, tel.Close(context.Background())) }()
	_, own := tel.StartSpan(context.Background(), "hop", trace.SpanKindServer)
	must.False(t, own.IsRecording())

	header := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
	_, asked := tel.StartSpan(tel.ExtractHTTP(context.Background(), header), "hop", trace.SpanKindServer)
	must.True(t, asked.IsRecording())
	asked.End()
}

func TestSpansReachTheCollector(t *testing.T) {
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
	}))
	defer http.DefaultClient.CloseIdleConnections()
	defer collector.Close()
	tel, _, _ := open(t, func(s *settings.Settings) {
		s.Trace = settings.Trace{Exporter: settings.ExporterOTLP, Endpoint: collector.URL, Ratio: 1}
	})
	_, span := tel.StartSpan(context.Background(), "hop", trace.SpanKindClient)
	telemetry.EndSpan(span, nil)
	must.NoError(t, tel.Close(context.Background()))
	must.Eq(t, "/v1/traces", <-paths)
}
