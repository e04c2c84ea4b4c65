// Package experiment runs one load against one deployment, injects one fault, and returns a report
// of the outcomes, response times and messages. It ends all processes that it started.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/lab/load"
	"github.com/burdockward/burdockward/lab/report"
)

const (
	// metricsLag is how long daemons may take until a scrape shows a count.
	metricsLag = 1500 * time.Millisecond
	// maxJobs and maxInFlight bound the load.
	maxJobs     = 200_000
	maxInFlight = 8_000
	// margin is how much longer than the deadline callers wait for a response.
	margin = 3 * time.Second
	// DefaultDeadline is the deadline of every submission.
	DefaultDeadline = 15 * time.Second
)

// Options describes an experiment.
type Options struct {
	// Deploy describes the deployment. Its profiles are those of the mix.
	Deploy deploy.Options
	// Mix, Seed, Load, Length, Uneven and Duplicates are those of
	// load.TraceParams; each failure domain has a trace of its own.
	Mix        load.Mix
	Seed       uint64
	Load       float64
	Length     time.Duration
	Uneven     bool
	Duplicates float64
	Retry      load.RetryMode
	// Deadline is that of every submission.
	Deadline time.Duration
	// Fault is injected FaultAfter the start of the load.
	Fault      Fault
	FaultAfter time.Duration
	// Log is called with each line of progress; nil logs nothing.
	Log func(format string, args ...any)
}

// Run runs an experiment and ends all processes that it started. The report may come with an error
// when a process did not end as it should.
func Run(ctx context.Context, o Options) (rep *report.Report, err error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	jobs, err := o.trace()
	if err != nil {
		return nil, err
	}
	slots := o.Deploy.Targets * o.Deploy.Slots
	o.Deploy.Profiles = load.Profiles(o.Mix, slots, o.Deadline)
	o.Log("starting %d failure domains of %d entry VMs and %d targets of %d slots",
		len(o.Deploy.Domains), o.Deploy.VMs, o.Deploy.Targets, o.Deploy.Slots)
	d, err := deploy.Start(ctx, o.Deploy)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	r := &run{Options: o, deployment: d, jobs: jobs, slots: slots}
	return r.run(ctx)
}

// trace draws the jobs of all failure domains.
func (o *Options) trace() ([]load.Job, error) {
	return load.Traces(load.TraceParams{
		Seed:       o.Seed,
		Mix:        o.Mix,
		VMs:        o.Deploy.VMs,
		Slots:      o.Deploy.Targets * o.Deploy.Slots,
		Load:       o.Load,
		Length:     o.Length,
		Uneven:     o.Uneven,
		Duplicates: o.Duplicates,
		MaxJobs:    maxJobs,
	}, len(o.Deploy.Domains))
}

// run is a running experiment.
type run struct {
	Options
	deployment *deploy.Deployment
	jobs       []load.Job
	slots      int
	injected   injected
}

func (r *run) run(ctx context.Context) (*report.Report, error) {
	if !load.Sleep(ctx, metricsLag) {
		return nil, ctx.Err()
	}
	before, err := r.deployment.Messages(ctx)
	if err != nil {
		return nil, err
	}
	result, err := r.load(ctx)
	if err != nil {
		return nil, err
	}
	if !load.Sleep(ctx, metricsLag) {
		return nil, ctx.Err()
	}
	return r.report(ctx, result, before)
}

// load sends the load, and injects the fault while it runs.
func (r *run) load(ctx context.Context) (*load.Result, error) {
	r.Log("sending %d jobs over %v at %.0f %% of the slots", len(r.jobs), r.Length, 100*r.Load)
	var result *load.Result
	both, ctx := errgroup.WithContext(ctx)
	both.Go(func() error {
		var err error
		result, err = load.Run(ctx, load.Config{
			Run:         fmt.Sprintf("%08x", rand.Uint32()),
			Domains:     r.deployment.Domains(),
			Deadline:    r.Deadline,
			Margin:      margin,
			Retry:       r.Retry,
			MaxInFlight: maxInFlight,
		}, r.jobs)
		return err
	})
	both.Go(func() error {
		if r.Fault == FaultNone || !load.Sleep(ctx, r.FaultAfter) {
			return nil
		}
		r.Log("fault: %s", r.Fault)
		return r.inject(ctx)
	})
	if err := both.Wait(); err != nil {
		return nil, err
	}
	return result, nil
}

// report reads the counters and logs after the load and sums up the run. It counts messages since
// before.
func (r *run) report(ctx context.Context, result *load.Result, before deploy.Messages) (*report.Report, error) {
	after, err := r.deployment.Messages(ctx)
	if err != nil {
		return nil, err
	}
	starts, err := r.deployment.Starts(ctx)
	if err != nil {
		return nil, err
	}
	stats, err := r.deployment.TargetStats(ctx)
	if err != nil {
		return nil, err
	}
	refused := map[string]uint64{}
	for _, s := range stats {
		for reason, n := range s.Refused {
			refused[reason] += n
		}
	}
	for kind, n := range before {
		after[kind] -= n
	}
	return report.New(report.Input{
		Result:   result,
		Slots:    r.slots,
		Starts:   starts,
		Refused:  refused,
		Faults:   r.injected.faults(result.Start),
		Messages: after,
	}), nil
}
