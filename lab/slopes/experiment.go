package slopes

import (
	"context"
	"fmt"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/lab/deploy"
)

// costs holds measured costs by name.
type costs map[string]float64

// experiment varies one number and measures costs at each value.
type experiment struct {
	name, title string
	// variable is the number that varies.
	variable string
	points   []float64
	// long makes --short leave the experiment out unless it is named.
	long bool
	// alone prevents points from being measured concurrently.
	alone bool
	// measure measures all costs at one value.
	measure func(ctx context.Context, r *runner, x float64) (costs, error)
}

// experiments lists all experiments in the order in which they run.
func experiments() []experiment {
	return slices.Concat(idleExperiments(), loadedExperiments(), memoryExperiments(), failureExperiments(), stopExperiments(), decisionExperiments(), stateExperiments())
}

// runner runs experiments one after the other.
type runner struct {
	binaries deploy.Binaries
	short    bool
	repeats  int
	// window is the time over which a run is measured, and settle the wait before it.
	window, settle time.Duration
	log            func(format string, args ...any)

	mu sync.Mutex
	// faults holds the errors that did not affect measurements, such as a daemon that did not stop
	// in time.
	faults []string
}

// close ends a deployment. When a process had to be killed or failed, close records a fault, and
// the run keeps its measurements.
func (r *runner) close(b *bench) {
	err := b.Close()
	if err == nil {
		return
	}
	r.log("fault: %v", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, err.Error())
}

// takeFaults returns the faults since the last call.
func (r *runner) takeFaults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := r.faults
	r.faults = nil
	return faults
}

// run measures all points of an experiment.
func (r *runner) run(ctx context.Context, e experiment) (*result, error) {
	res := &result{
		Experiment: e.name,
		Title:      e.title,
		Variable:   e.variable,
		Command:    fmt.Sprintf("lab slopes --only %s --repeats %d --window %s", e.name, r.repeats, r.window),
		Daemon:     version(ctx, r.binaries.Daemon),
		Started:    time.Now().UTC().Format(time.RFC3339),
		Machine:    fmt.Sprintf("%d processors, %s %s, shared", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH),
		Window:     r.window.Seconds(),
	}
	points := e.points
	if r.short {
		res.Command += " --short"
		points = thin(points, pointsOfShort)
	}
	res.Points = make([]point, len(points))
	var all errgroup.Group
	all.SetLimit(r.parallel(e))
	for i, x := range points {
		all.Go(func() error {
			runs, err := r.repeat(ctx, e, x)
			res.Points[i] = point{X: x, Runs: runs}
			return err
		})
	}
	err := all.Wait()
	res.Faults = r.takeFaults()
	return res, err
}

// parallel returns the number of points that are measured concurrently.
func (r *runner) parallel(e experiment) int {
	if r.short && !e.alone {
		return pointsOfShort
	}
	return 1
}

// repeat measures one point several times.
func (r *runner) repeat(ctx context.Context, e experiment, x float64) ([]costs, error) {
	var runs []costs
	for n := range r.repeats {
		began := time.Now()
		c, err := e.measure(ctx, r, x)
		if err != nil {
			return nil, fmt.Errorf("at %s %g: %w", e.variable, x, err)
		}
		runs = append(runs, c)
		r.log("%s: %s %g, run %d of %d, took %.1fs", e.name, e.variable, x, n+1, r.repeats, time.Since(began).Seconds())
	}
	return runs, nil
}

// thin returns n of the points, evenly chosen, with the first and the last.
func thin(points []float64, n int) []float64 {
	if len(points) <= n {
		return points
	}
	kept := make([]float64, n)
	for i := range n {
		kept[i] = points[i*(len(points)-1)/(n-1)]
	}
	return kept
}

// version returns the version that a binary prints, or "unknown".
func version(ctx context.Context, path string) string {
	out, err := exec.CommandContext(ctx, path, "--version").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// pause waits for d, or returns the error of ctx when it ends first.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
