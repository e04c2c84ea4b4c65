package slopes

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/lab/load"
)

const (
	// viewPoll is the time between two polls of a view, and viewLongest bounds the wait for the
	// expected view.
	viewPoll    = 20 * time.Millisecond
	viewLongest = 30 * time.Second
	// failureWindow covers the loss of a VM and the repair of its view.
	failureWindow = 15 * time.Second
	// probeRate is the number of jobs a second that find the time of the first answer, and
	// probeSeconds for how long they are sent.
	probeRate    = 4
	probeSeconds = 40
	never        = time.Duration(math.MaxInt64)
)

func failureExperiments() []experiment {
	return []experiment{
		{
			name:     "loss",
			title:    "the loss and the return of one VM against the entry VMs of its failure domain",
			variable: "VMs",
			points:   []float64{2, 3, 5, 9, 20},
			measure: func(ctx context.Context, r *runner, x float64) (costs, error) {
				o := base()
				o.VMs = int(x)
				return r.loss(ctx, o, 0)
			},
		},
		{
			name:     "loss-records",
			title:    "the loss and the return of one VM of three against submissions that they remember",
			variable: "submissions",
			points:   []float64{1000, 4000, 10_000, 20_000},
			alone:    true,
			long:     true,
			measure: func(ctx context.Context, r *runner, x float64) (costs, error) {
				return r.loss(ctx, loadedBase(), int(x))
			},
		},
		{
			name:     "domain-return",
			title:    "the loss of all VMs of a failure domain at once, and their return, against their number",
			variable: "VMs",
			points:   []float64{2, 3, 5, 9, 20},
			measure:  domainReturn,
		},
	}
}

// loss kills the last VM of a deployment after a number of jobs, measures the costs of the other
// VMs and the time until they have a view without it, then restarts it and measures the time until
// it is back in the view.
func (r *runner) loss(ctx context.Context, o deploy.Options, jobs int) (costs, error) {
	b, err := r.startSettled(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close(b)
	if jobs > 0 {
		if _, err := b.send(ctx, retained.jobs(jobs, o.VMs), false); err != nil {
			return nil, err
		}
	}
	lost := b.VM(0, o.VMs-1)
	b.daemons = slices.DeleteFunc(b.daemons, func(d daemon) bool { return d.settings.VMID == lost })
	var toSettle time.Duration
	c, err := b.observe(ctx, failureWindow, func(ctx context.Context) error {
		if err := b.Kill(lost); err != nil {
			return err
		}
		var err error
		toSettle, err = b.awaitView(ctx, o.VMs-1)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := b.Restart(lost); err != nil {
		return nil, err
	}
	toReturn, err := b.awaitView(ctx, o.VMs)
	if err != nil {
		return nil, err
	}
	c["s_until_view_without_vm"] = toSettle.Seconds()
	c["s_until_view_with_vm"] = toReturn.Seconds()
	return c, nil
}

// awaitView waits until every measured daemon has a settled view with this number of members and an
// epoch, and returns how long that took.
func (b *bench) awaitView(ctx context.Context, members int) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, viewLongest)
	defer cancel()
	for _, d := range b.daemons {
		for !b.hasView(ctx, d, members) {
			if err := pause(ctx, viewPoll); err != nil {
				return 0, fmt.Errorf("%s has no settled view of %d members within %v", d.settings.VMID, members, viewLongest)
			}
		}
	}
	return time.Since(began), nil
}

// hasView reports whether a daemon has a settled view with this number of members and an epoch.
func (b *bench) hasView(ctx context.Context, d daemon, members int) bool {
	var status adminapi.Status
	if b.getJSON(ctx, "http://"+d.settings.Listen.Admin.String()+adminapi.StatusPath, &status) != nil {
		return false
	}
	return status.View.Settled && len(status.View.Members) == members && status.Epoch != ""
}

// domainReturn kills all VMs of a failure domain and restarts them. It measures the time until all
// are ready, until they are in one view, and until a job under a quota is answered.
func domainReturn(ctx context.Context, r *runner, x float64) (costs, error) {
	o := base()
	o.VMs = int(x)
	b, err := r.startSettled(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close(b)
	for i := range o.VMs {
		if err := b.Kill(b.VM(0, i)); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	for i := range o.VMs {
		if err := b.Restart(b.VM(0, i)); err != nil {
			return nil, err
		}
	}
	if err := b.WaitReady(ctx); err != nil {
		return nil, err
	}
	ready := time.Since(began)
	if _, err := b.awaitView(ctx, o.VMs); err != nil {
		return nil, err
	}
	oneView := time.Since(began)
	answered, err := b.firstAnswer(ctx, o.VMs)
	if err != nil {
		return nil, err
	}
	return costs{
		"s_until_all_ready":            ready.Seconds(),
		"s_until_one_view":             oneView.Seconds(),
		"s_until_answer_under_a_quota": (oneView + answered).Seconds(),
	}, nil
}

// firstAnswer returns the time until a job under a team's quota is answered.
func (b *bench) firstAnswer(ctx context.Context, vms int) (time.Duration, error) {
	probes := work{perSecond: probeRate, tasks: 1, run: time.Millisecond, profile: manyProfiles(1)[0].Name}
	result, err := b.sendAll(ctx, probes.jobs(probeRate*probeSeconds, vms), false)
	if err != nil {
		return 0, err
	}
	first := never
	for _, j := range result.JobResults {
		if j.Outcome == load.Answered {
			first = min(first, j.Done)
		}
	}
	if first == never {
		return 0, fmt.Errorf("no job under a quota was answered within %d s", probeSeconds)
	}
	return first, nil
}
