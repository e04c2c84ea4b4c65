package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// burstyMean is the mean number of tasks of the jobs of burstySize.
const burstyMean = 7.8

// burstySize draws the tasks of a job: one in ten is larger than what its VM holds
// on average.
func (l *slotLoad) burstySize() int {
	if l.rng.IntN(10) == 0 {
		return 20 + l.rng.IntN(81)
	}
	return 1 + l.rng.IntN(3)
}

// burstSeeds is how many loads a case runs: at 95 % the 99th percentile of a single
// load varies much.
const burstSeeds = 12

func TestBurstsOnFewSlotsCostFewMessages(t *testing.T) {
	for _, c := range []struct {
		name                              string
		a, b, c                           float64
		mostMessages, mostRatio, mostMean float64
	}{
		{"even 80 %", 0.27, 0.27, 0.26, 0.06, 1.45, 1.2},
		{"even 95 %", 0.32, 0.32, 0.31, 0.045, 1.65, 1.2},
		{"uneven 80 %", 0.5, 0.2, 0.1, 0.06, 1.5, 1.22},
		{"uneven 95 %", 0.6, 0.2, 0.15, 0.06, 2.2, 1.55},
	} {
		t.Run(c.name, func(t *testing.T) {
			var responses, ideal []time.Duration
			sent := 0
			for seed := range uint64(burstSeeds) {
				l := newSlotLoad(t, 16, 8)
				l.rng = rand.New(rand.NewPCG(1, 1+seed))
				l.jobSize = l.burstySize
				l.meanSize = burstyMean
				l.load(c.a, c.b, c.c)
				l.pass(60 * time.Second)
				responses = append(responses, l.responses...)
				ideal = append(ideal, l.ideal()[:len(l.responses)]...)
				sent += l.sent
			}
			messages := float64(sent) / float64(len(responses))
			ratio := float64(p99(responses)) / float64(p99(ideal))
			mean := float64(sum(responses)) / float64(sum(ideal))
			t.Logf("%.4f messages a task, p99 ratio %.3f, mean ratio %.3f", messages, ratio, mean)
			must.LessEq(t, c.mostMessages, messages)
			must.LessEq(t, c.mostRatio, ratio)
			must.LessEq(t, c.mostMean, mean)
		})
	}
}

func sum(times []time.Duration) time.Duration {
	var total time.Duration
	for _, d := range times {
		total += d
	}
	return total
}
