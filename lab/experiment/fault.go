package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/burdockward/burdockward/lab/load"
	platformstandin "github.com/burdockward/burdockward/lab/standin/platform"
	"github.com/burdockward/burdockward/lab/standin/target"
)

// Fault is a fault that an experiment injects into its deployment. All faults except FaultFreeze
// and FaultRolling last to the end of the experiment.
type Fault string

// The faults.
const (
	FaultNone Fault = "none"
	// FaultKill kills one entry VM of the first failure domain.
	FaultKill Fault = "kill"
	// FaultFreeze pauses the daemon of one entry VM of the first failure domain, for longer than
	// its peers wait for it.
	FaultFreeze Fault = "freeze"
	// FaultStop makes a planned stop of one entry VM of the first failure domain.
	FaultStop Fault = "stop"
	// FaultRolling makes a planned stop of each entry VM of the first failure
	// domain in turn, and starts it again.
	FaultRolling Fault = "rolling"
	// FaultBlackHole makes one target run its tasks and never answer.
	FaultBlackHole Fault = "black_hole"
	// FaultSlow makes a tenth of the targets of each failure domain slow.
	FaultSlow Fault = "slow"
	// FaultStore takes the platform's table service and VM list down.
	FaultStore Fault = "store_down"
)

// Faults lists the faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultKill, FaultFreeze, FaultStop, FaultRolling, FaultBlackHole, FaultSlow, FaultStore}
}

const (
	// faultyVM is the index of the VM that is killed, frozen or stopped. In an
	// uneven trace it is not the VM with most of the load.
	faultyVM = 1
	// freezeLength is how long FaultFreeze lasts.
	freezeLength = 8 * time.Second
	// FaultSlow slows one of slowShare targets, rounded up. Tasks take slowFactor times as long
	// there.
	slowShare  = 10
	slowFactor = 10
)

// injected records the effects of a fault that the check of outcomes needs.
type injected struct {
	// outage lasts from from to to; its own times are set by faults.
	outage   load.Outage
	from, to time.Time
	// targets holds the ids of the targets that don't answer.
	targets []string
}

// inject injects the fault. It returns when the fault is in effect, or has ended for FaultFreeze
// and FaultRolling.
func (r *run) inject(ctx context.Context) error {
	var err error
	switch r.Fault {
	case FaultKill:
		err = r.outage(r.deployment.Kill)
	case FaultFreeze:
		err = r.outage(func(id string) error { return r.freeze(ctx, id) })
	case FaultStop:
		err = r.deployment.Stop(r.deployment.VM(0, faultyVM))
	case FaultRolling:
		err = r.rolling(ctx)
	case FaultBlackHole:
		r.injected.targets, err = r.deployment.TargetFault(0, 1, target.Faults{BlackHole: true})
	case FaultSlow:
		err = r.slow()
	case FaultStore:
		err = r.deployment.PlatformFault(platformstandin.Faults{Down: true})
	default:
		err = fmt.Errorf("unknown fault %q: take one of %v", r.Fault, Faults())
	}
	return err
}

// outage calls fail and records its duration as an outage of the faulty VM. Planned stops are not
// recorded as outages, since they must not make any outcome unknown.
func (r *run) outage(fail func(id string) error) error {
	id := r.deployment.VM(0, faultyVM)
	r.injected.outage = load.Outage{Domain: 0, VM: faultyVM, ID: id}
	r.injected.from = time.Now()
	err := fail(id)
	r.injected.to = time.Now()
	return err
}

// freeze pauses a VM's daemon for freezeLength.
func (r *run) freeze(ctx context.Context, id string) error {
	if err := r.deployment.Freeze(id); err != nil {
		return err
	}
	load.Sleep(ctx, freezeLength)
	return r.deployment.Continue(id)
}

// rolling stops and restarts each VM of the first failure domain in turn.
func (r *run) rolling(ctx context.Context) error {
	for i := range r.Deploy.VMs {
		id := r.deployment.VM(0, i)
		if err := r.deployment.Stop(id); err != nil {
			return err
		}
		if err := r.deployment.Restart(id); err != nil {
			return err
		}
		if err := r.deployment.WaitReady(ctx); err != nil {
			return err
		}
		r.Log("%s was stopped and serves again", id)
	}
	return nil
}

// slow slows a tenth of the targets of each failure domain.
func (r *run) slow() error {
	n := (r.Deploy.Targets + slowShare - 1) / slowShare
	for domain := range r.Deploy.Domains {
		_, err := r.deployment.TargetFault(domain, n, target.Faults{SlowFactor: slowFactor})
		if err != nil {
			return err
		}
	}
	return nil
}

// faults returns the faults with their times counted from the start of the load.
func (i *injected) faults(start time.Time) load.Faults {
	f := load.Faults{Targets: i.targets}
	if i.outage.ID == "" {
		return f
	}
	outage := i.outage
	outage.From = i.from.Sub(start)
	outage.To = i.to.Sub(start)
	f.Outages = append(f.Outages, outage)
	return f
}
