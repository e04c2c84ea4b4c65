package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockward/burdockward/lab/load"
)

// Times compares the response times of answered jobs with the ideal.
type Times struct {
	Profile string `json:"profile"`
	// Jobs counts the jobs of the profile, Answered those with an answer.
	Jobs     int `json:"jobs"`
	Answered int `json:"answered"`
	// Measured holds the response times of the answered jobs, and Ideal those of the same jobs in
	// one FIFO queue with all jobs of the trace.
	Measured Quantiles `json:"measured_ms"`
	Ideal    Quantiles `json:"ideal_ms"`
	// Ratio is Measured divided by Ideal, quantile by quantile.
	Ratio Quantiles `json:"ratio"`
}

// Quantiles holds the quantiles that the lab reports.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Bounds of the histograms, in microseconds.
const (
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// timer collects the response times of a set of jobs.
type timer struct {
	sums            Times
	measured, ideal *hdrhistogram.Histogram
}

func newTimer(name string) *timer {
	return &timer{
		sums:     Times{Profile: name},
		measured: hdrhistogram.New(1, longestMicros, digits),
		ideal:    hdrhistogram.New(1, longestMicros, digits),
	}
}

// add adds a job, and its response times if it was answered.
func (t *timer) add(jr *load.JobResult, ideal time.Duration) {
	t.sums.Jobs++
	if jr.Outcome != load.Answered {
		return
	}
	t.sums.Answered++
	record(t.measured, jr.Time)
	record(t.ideal, ideal)
}

// record adds a duration to a histogram, bounded to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

func (t *timer) times() Times {
	t.sums.Measured = quantiles(t.measured)
	t.sums.Ideal = quantiles(t.ideal)
	if t.sums.Answered > 0 {
		t.sums.Ratio = Quantiles{
			P50:  t.sums.Measured.P50 / t.sums.Ideal.P50,
			P99:  t.sums.Measured.P99 / t.sums.Ideal.P99,
			P999: t.sums.Measured.P999 / t.sums.Ideal.P999,
		}
	}
	return t.sums
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9)}
}
