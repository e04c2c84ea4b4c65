package slopes

import (
	"context"
	"strings"
	"time"

	"github.com/burdockward/burdockward/lab/deploy"
)

const (
	// notHandedOver is the log text of a daemon that ends before another VM took over its records.
	notHandedOver = "left without handing over"
	// slowStop is the duration beyond which the log of an idle daemon's stop is shown.
	slowStop = time.Second
)

func stopExperiments() []experiment {
	return []experiment{{
		name:     "stop",
		title:    "the planned stop of all idle VMs of a failure domain at once, against their number",
		variable: "VMs",
		points:   []float64{2, 3, 9, 20},
		alone:    true,
		measure:  stopAll,
	}}
}

// stopAll makes a planned stop of all VMs of a failure domain at once.
func stopAll(ctx context.Context, r *runner, x float64) (costs, error) {
	o := base()
	o.VMs = int(x)
	b, err := r.startSettled(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close(b)
	var ids []string
	for i := range o.VMs {
		ids = append(ids, b.VM(0, i))
	}
	stopped, err := b.StopTogether(ids...)
	if err != nil {
		return nil, err
	}
	return r.stopCosts(stopped), nil
}

// stopCosts returns the costs of planned stops, and logs those that were slow or failed.
func (r *runner) stopCosts(stopped []deploy.Stopped) costs {
	c := costs{"s_until_last_ended": 0, "vms_not_handed_over": 0, "vms_failed": 0}
	for _, s := range stopped {
		c["s_until_last_ended"] = max(c["s_until_last_ended"], s.Took.Seconds())
		if strings.Contains(s.Log, notHandedOver) {
			c["vms_not_handed_over"]++
		}
		if s.Err != nil {
			c["vms_failed"]++
		}
		if s.Took > slowStop || s.Err != nil {
			r.log("%s took %.2f s to stop: %v\n%s", s.VM, s.Took.Seconds(), s.Err, s.Log)
		}
	}
	return c
}
