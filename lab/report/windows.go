package report

import (
	"fmt"
	"io"
	"time"

	"github.com/burdockward/burdockward/lab/load"
)

// windowLength is the length of a window, by intended times of sending.
const windowLength = time.Second

// Window sums up the jobs of one failure domain that were due in one second. The windows show for
// how long a fault affects response times.
type Window struct {
	// FromS is the beginning of the window in seconds from the start.
	FromS    int `json:"from_s"`
	Jobs     int `json:"jobs"`
	Answered int `json:"answered"`
	// P99MS and IdealP99MS are in milliseconds, over the answered jobs.
	P99MS      float64 `json:"p99_ms"`
	IdealP99MS float64 `json:"ideal_p99_ms"`
}

// windowsOf sums up the jobs of a failure domain second by second.
func windowsOf(result *load.Result, ideals []time.Duration, domain int) []Window {
	var timers []*timer
	for i, job := range result.Jobs {
		if job.Domain != domain {
			continue
		}
		n := int(job.At / windowLength)
		for len(timers) <= n {
			timers = append(timers, newTimer(""))
		}
		timers[n].add(&result.JobResults[i], ideals[i])
	}
	windows := make([]Window, len(timers))
	for n, t := range timers {
		times := t.times()
		windows[n] = Window{
			FromS:      n,
			Jobs:       times.Jobs,
			Answered:   times.Answered,
			P99MS:      times.Measured.P99,
			IdealP99MS: times.Ideal.P99,
		}
	}
	return windows
}

// writeOutage writes the windows from the one in which the outage began.
func (r *Report) writeOutage(w io.Writer) {
	if r.OutageS < 0 {
		return
	}
	fmt.Fprintf(w, "\nits failure domain, by the second after the loss of the VM\tanswered\tp99 ms\tideal p99 ms\n")
	for _, window := range r.Windows {
		if after := float64(window.FromS) - r.OutageS; after > -1 {
			fmt.Fprintf(w, "%+.1f s\t%d/%d\t%.0f\t%.0f\n", after, window.Answered, window.Jobs, window.P99MS, window.IdealP99MS)
		}
	}
}
