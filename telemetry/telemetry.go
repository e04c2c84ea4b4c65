// Package telemetry sets up logs, metrics and traces from the settings.
//
// Logs record changes of state, metrics hold counters, gauges and durations, and
// traces have a span for each hop. Tracing is off by default; spans then cost no
// allocation. The newest log lines stay in memory in a Journal, and the kinds of
// a counter are bounded.
package telemetry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/burdockward/burdockward/settings"
)

const (
	// metricPrefix is the prefix of the name of every metric of burdockward.
	metricPrefix = "burdockward"
	// reportInterval is the time between two reports of metrics to the registry:
	// the longest time until a scrape shows a count.
	reportInterval = time.Second
)

// Outputs are the destinations of logs and of spans exported to stdout.
type Outputs struct {
	// Log receives the log lines.
	Log io.Writer
	// Spans receives the spans of the stdout exporter.
	Spans io.Writer
}

// Telemetry holds the log, the metrics and the tracer of one process.
type Telemetry struct {
	log        *slog.Logger
	journal    *Journal
	scope      tally.Scope
	closeScope io.Closer
	handler    http.Handler
	provider   *sdktrace.TracerProvider
	// tracer is nil when tracing is off.
	tracer trace.Tracer
}

// New sets up telemetry. Call Close to report the last counts and spans.
func New(s *settings.Settings, out Outputs) (*Telemetry, error) {
	provider, err := newProvider(s, out.Spans)
	if err != nil {
		return nil, err
	}
	journal := &Journal{}
	t := &Telemetry{log: newLogger(s, out.Log, journal), journal: journal, provider: provider}
	t.openMetrics()
	if provider != nil {
		// Duties create their spans through the global provider, which costs
		// nothing while no provider is set.
		otel.SetTracerProvider(provider)
		otel.SetTextMapPropagator(propagation.TraceContext{})
		t.tracer = provider.Tracer("github.com/burdockward/burdockward")
		exportErrors := t.Counters("trace")
		otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) {
			exportErrors.Add("export_errors", "", 1)
		}))
	}
	return t, nil
}

// Metrics returns telemetry with metrics but no traces, for a process whose log
// is set up elsewhere. Call Close to report the last counts.
func Metrics(log *slog.Logger) *Telemetry {
	t := &Telemetry{log: log, journal: &Journal{}}
	t.openMetrics()
	return t
}

// Discard returns telemetry that writes no log output and creates no spans; it
// still counts and keeps the journal. It is meant for tests and needs no Close.
func Discard() *Telemetry {
	scope := tally.NewTestScope(metricPrefix, nil)
	journal := &Journal{}
	return &Telemetry{
		log:     slog.New(journal.handler()),
		journal: journal,
		scope:   scope,
		handler: http.NotFoundHandler(),
	}
}

// Log is the logger of the process.
func (t *Telemetry) Log() *slog.Logger { return t.log }

// Journal holds the newest lines of the log.
func (t *Telemetry) Journal() *Journal { return t.journal }

// Scope is the root of all metrics. Duties use Counters instead, which bounds
// the number of series.
func (t *Telemetry) Scope() tally.Scope { return t.scope }

// MetricsHandler serves the metrics in the Prometheus text format. A count
// shows up at most reportInterval after it was made.
func (t *Telemetry) MetricsHandler() http.Handler { return t.handler }

// Close reports the last counts and exports the last spans.
func (t *Telemetry) Close(ctx context.Context) error {
	var scopeErr, spanErr error
	if t.closeScope != nil {
		scopeErr = t.closeScope.Close()
	}
	if t.provider != nil {
		spanErr = t.provider.Shutdown(ctx)
	}
	return errors.Join(scopeErr, spanErr)
}

// openMetrics creates a registry and starts the reports to it.
func (t *Telemetry) openMetrics() {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	log := t.log
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		// A metric that clashes with another is lost, but must not end the
		// process, as it would by default.
		OnRegisterError: func(err error) { log.Error("metric not registered", "error", err) },
	})
	t.scope, t.closeScope = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	t.handler = reporter.HTTPHandler()
}

// newLogger returns a logger that writes to w in the level and format of the
// settings, and all lines of level Info and above to the journal.
func newLogger(s *settings.Settings, w io.Writer, journal *Journal) *slog.Logger {
	options := &slog.HandlerOptions{Level: logLevel(s.Log.Level)}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if s.Log.Format == "text" {
		handler = slog.NewTextHandler(w, options)
	}
	handler = handler.WithAttrs([]slog.Attr{
		slog.String("vm", s.VMID),
		slog.String("failure_domain", s.FailureDomain),
	})
	return slog.New(slog.NewMultiHandler(handler, journal.handler()))
}

// logLevel parses a level that the settings have checked; an invalid one gives
// Info.
func logLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}
