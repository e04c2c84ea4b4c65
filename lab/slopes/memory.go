package slopes

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/settings"
)

const (
	// Size of the failure domain, as CONTRIBUTING.md names it.
	fullVMs      = 9
	fullTargets  = 212
	fullSlots    = 16
	fullProfiles = 400
	// loadedVMs is the number of VMs that get the load and are measured.
	loadedVMs = 3
	// tasksOfFullJob and fullRun are the number and run time of a job's tasks, about those of the
	// mix.
	tasksOfFullJob = 5
	fullRun        = 280 * time.Millisecond
	// fillTime is the time in which the results fill the budget of stored answers. Results of the
	// usual size would take minutes, so they are padded.
	fillTime = 15 * time.Second
	// answerBytesMetric is the size of the answers that a daemon stores, and droppedMetric counts
	// the answers that it dropped to stay within the budget.
	answerBytesMetric = "burdockward_answer_bytes"
	droppedMetric     = "burdockward_answers_dropped"
)

func memoryExperiments() []experiment {
	return []experiment{{
		name:     "full-answers",
		title:    "the memory of a loaded daemon of nine with 212 targets and 400 profiles, whose kept answers fill their budget, against jobs of five tasks for each of the three VMs that get any",
		variable: "jobs/s",
		points:   []float64{25, 80, 170, 255},
		alone:    true,
		long:     true,
		measure:  fullAnswers,
	}}
}

// fullAnswers loads three VMs until they drop stored answers to stay within the budget, and
// measures their memory, processor time and sockets after that.
func fullAnswers(ctx context.Context, r *runner, x float64) (costs, error) {
	o := base()
	o.VMs, o.Targets, o.Slots, o.Profiles = fullVMs, fullTargets, fullSlots, manyProfiles(fullProfiles)
	b, err := r.startSettled(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close(b)
	b.daemons = loadedDaemons(b)
	full := warmUp + fillTime
	w := work{perSecond: x * loadedVMs, tasks: tasksOfFullJob, run: fullRun}
	w.padding = int(float64(settings.Default().Limits.AnswerBytes) / fillTime.Seconds() / x / tasksOfFullJob)
	// The load lasts beyond the window.
	jobs := w.jobs(int(w.perSecond*(full+r.window+warmUp).Seconds()), loadedVMs)
	var c costs
	var unanswered float64
	both, bothCtx := errgroup.WithContext(ctx)
	both.Go(func() error {
		var err error
		unanswered, err = b.send(bothCtx, jobs, false)
		return err
	})
	both.Go(func() error {
		if err := pause(bothCtx, full); err != nil {
			return err
		}
		var err error
		c, err = b.observeMemory(bothCtx, r.window)
		return err
	})
	if err := both.Wait(); err != nil {
		return nil, err
	}
	c["unanswered_percent"] = unanswered
	return c, nil
}

// loadedDaemons returns the daemons of the VMs that get the load.
func loadedDaemons(b *bench) []daemon {
	var loaded []daemon
	for _, d := range b.daemons {
		for i := range loadedVMs {
			if d.settings.VMID == b.VM(0, i) {
				loaded = append(loaded, d)
			}
		}
	}
	return loaded
}

// observeMemory measures processor time, memory, open sockets and stored answers over a time. The
// costs are means over the daemons.
func (b *bench) observeMemory(ctx context.Context, length time.Duration) (costs, error) {
	port, err := b.platformPort()
	if err != nil {
		return nil, err
	}
	before, err := b.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	traffic := newCounter(b.daemons, port)
	if err := traffic.watch(ctx, length); err != nil {
		return nil, err
	}
	after, err := b.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	rates := b.rates(before, after)
	c := costs{
		"cpu_percent_of_core": rates["cpu_percent_of_core"],
		"rss_mb":              rates["rss_mb"],
		"sockets_target":      float64(traffic.open[otherTarget]) / float64(len(b.daemons)),
		"sockets_caller":      float64(traffic.open[otherCaller]) / float64(len(b.daemons)),
	}
	for _, d := range b.daemons {
		metrics, err := b.metrics(ctx, d)
		if err != nil {
			return nil, err
		}
		n := float64(len(b.daemons))
		c["heap_mb"] += metrics[heapMetric] / megabyte / n
		c["kept_answers_mb"] += metrics[answerBytesMetric] / megabyte / n
		c["dropped_answers"] += metrics[droppedMetric] / n
	}
	return c, nil
}
