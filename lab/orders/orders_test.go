package orders

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/admission"
)

// meanRunTime is about the mean run time of a task, in milliseconds.
const meanRunTime = 300

// TestDefaultOrderServesSmallJobsSooner checks what the default order is for: at 80 % load the tail
// stays near that of one FIFO queue, and small jobs wait less.
func TestDefaultOrderServesSmallJobsSooner(t *testing.T) {
	e := experiment{load: 0.8, jobs: 4000, traces: 1}
	plain := e.measure(admission.FIFO{})
	res := e.measure(admission.DefaultOrder)
	must.Eq(t, res.submitted, len(res.ratio))
	must.LessEq(t, 1.15, quantile(res.ratio, .99))
	must.Less(t, 0.9*plain.mean, res.mean)
	must.Less(t, 0.9*quantile(plain.slowdown, .5), quantile(res.slowdown, .5))
}

// TestBurstDelaysNoGuaranteedProfile compares a profile within its guarantee alone, beside a burst
// of another profile, and with the burst in the same profile. Running tasks are not interrupted, so
// the guaranteed profile waits until slots become free: less than a mean run time.
func TestBurstDelaysNoGuaranteedProfile(t *testing.T) {
	alone, beside, shared := caseAlone.delays(1), caseBeside.delays(1), caseShared.delays(1)
	for _, q := range []float64{.5, .99, .999} {
		t.Logf("p%g delay in ms: alone %.0f, beside the burst %.0f, in one queue with it %.0f", q*100, quantile(alone, q), quantile(beside, q), quantile(shared, q))
	}
	must.Less(t, 20, quantile(beside, .5))
	must.Less(t, meanRunTime, quantile(beside, .99))
	must.Greater(t, 10*quantile(beside, .99), quantile(shared, .99))
}

// TestCommandsWriteTables runs the commands. A job that is alone takes as long as its longest task.
func TestCommandsWriteTables(t *testing.T) {
	run := func(args ...string) (string, error) {
		var out strings.Builder
		command := Command()
		command.Writer = &out
		err := command.Run(t.Context(), append([]string{"orders"}, args...))
		return out.String(), err
	}
	out, err := run("--load", "0.8", "--jobs", "1", "--traces", "1", "--format", "markdown")
	must.NoError(t, err)
	must.StrContains(t, out, "| 80% | fifo{} | 1.00 | 1.00 | 1.00 | 1.00 |")
	out, err = run("--load", "0.8", "--jobs", "1", "--traces", "1", "--deadlines")
	must.NoError(t, err)
	must.StrContains(t, out, "100.0%   0.0%")
	out, err = run("burst")
	must.NoError(t, err)
	must.StrContains(t, out, "alone")
	for _, args := range [][]string{{"--jobs", "0"}, {"--load", "0"}, {"--format", "csv"}, {"burst", "--format", "csv"}} {
		_, err = run(args...)
		must.Error(t, err)
	}
}
