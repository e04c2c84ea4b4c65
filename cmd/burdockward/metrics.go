package main

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/burdockward/burdockward/intake"
)

// Limits of the server of metrics and profiles.
const (
	// metricsTimeout bounds the reading of a request's header and each write of an answer.
	metricsTimeout = 3 * time.Second
	// metricsIdleTimeout is longer than the time between two scrapes.
	metricsIdleTimeout = time.Minute
	// metricsPlaces is the most open connections.
	metricsPlaces = 8
	// metricsBytes is what a request may hold, and as much is shared by all.
	metricsBytes = 16 << 10
	// metricsHeaderBytes is ample for the header of a scrape.
	metricsHeaderBytes = 4 << 10
)

// serveMetrics serves the metrics and the profiles of the process until the context ends.
func serveMetrics(ctx context.Context, address string, handler http.Handler, o intake.Options) error {
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	listener := intake.Limit(inner, o)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: metricsTimeout, IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: metricsHeaderBytes,
		ConnState: listener.TrackState, ConnContext: intake.ConnContext,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
