package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/node"
	"github.com/burdockward/burdockward/oplog"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/telemetry"
)

// memoryLimitShare is the share of the VM's memory that is the soft limit of the Go runtime. The
// rest is for data that has arrived but is not read yet.
const memoryLimitShare = 0.6

// defaultMetricsPort is the default of --metrics-port.
const defaultMetricsPort = 9464

// serveCommand defines the command that runs an entry VM on prepared machines.
func (a *app) serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM on prepared machines; the environment variable " + platform.SettingsVariable + " has the path of its settings file",
		Flags: []cli.Flag{
			&cli.IntFlag{
				Name: "metrics-port", Usage: "serve metrics (/metrics) and profiles (/debug/pprof/) at TCP `PORT` of the VM's address; 0 serves neither", Value: defaultMetricsPort,
			},
			&cli.FloatFlag{
				Name: "request-memory-share", Usage: "`SHARE` of the VM's memory that the requests of callers may hold together, beside a little for each; further large ones are refused", Value: node.DefaultRequestMemoryShare,
				Validator: checkRequestMemoryShare,
			},
			&cli.BoolFlag{Name: "place-by-end", Usage: "start tasks where they are expected to end in time, by the usual speed of each target"},
			&cli.BoolFlag{Name: "correct-admission", Usage: "correct the forecasts by which jobs are accepted or refused, by their outcomes"},
			&cli.BoolFlag{Name: "return-times", Usage: "give each refused caller its own time to come again"},
			&cli.BoolFlag{Name: "balance-domains", Usage: "send jobs to the failure domains so that their delays become equal"},
			&cli.BoolFlag{Name: "hand-over-jobs", Usage: "hand running jobs over to a successor that has this flag as well, so that it has all targets at once"},
		},
		Action: a.serve,
	}
}

// checkRequestMemoryShare is the validator of --request-memory-share.
func checkRequestMemoryShare(share float64) error {
	// The condition is negated so that NaN fails as well.
	if !(share >= node.MinRequestMemoryShare && share <= node.MaxRequestMemoryShare) {
		return fmt.Errorf("%v is out of range: give a number from %v to %v", share, node.MinRequestMemoryShare, node.MaxRequestMemoryShare)
	}
	return nil
}

// serve runs the entry VM until the context ends. SIGHUP makes it read its settings file again.
func (a *app) serve(ctx context.Context, cmd *cli.Command) error {
	load := func() (platform.Settings, error) { return platform.LoadSettings(os.Getenv(platform.SettingsVariable)) }
	s, err := load()
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB<<20)))
	lines := oplog.New(a.stdout, oplog.Options{})
	defer lines.Close()
	log := lines.Logger()
	tel := telemetry.Metrics(log)
	defer closeTelemetry(tel)
	counters := tel.Counters("entry")
	n, err := node.New(node.Options{
		Settings: s, LoadSettings: load, Reload: reload, Log: log,
		Count:   func(what, label string) { counters.Add(what, label, 1) },
		Observe: counters.Observe, Gauge: counters.Set,
		RequestMemoryShare: cmd.Float("request-memory-share"),

		PlaceByEnd:       cmd.Bool("place-by-end"),
		CorrectAdmission: cmd.Bool("correct-admission"), ReturnTimes: cmd.Bool("return-times"),
		BalanceDomains: cmd.Bool("balance-domains"), HandOverJobs: cmd.Bool("hand-over-jobs"),
	})
	if err != nil {
		return &exitError{status: exitStatus(err), err: err}
	}
	g, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	if port := cmd.Int("metrics-port"); port > 0 {
		g.Go(func() error {
			return serveMetrics(ctx, net.JoinHostPort(s.IP, strconv.Itoa(port)), tel.MetricsHandler(), intake.Options{
				Name: "metrics", Places: metricsPlaces, Budget: intake.NewBudget(metricsBytes, metricsBytes), WriteTimeout: metricsTimeout, Log: log,
				Count: func(what, label string) { counters.Add(what, label, 1) },
			})
		})
	}
	g.Go(func() error {
		defer stop()
		return n.Run(ctx)
	})
	if err := g.Wait(); err != nil {
		log.Error("failed", "error", err)
		return &exitError{status: exitStatus(err), err: err}
	}
	return nil
}
