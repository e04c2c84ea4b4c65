package ideal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

func TestResponseTimesOfSharedFIFOQueue(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		jobs  []Job
		want  []time.Duration
	}{
		{"idle slots", 2, []Job{{0, []time.Duration{50 * ms, 80 * ms}}}, []time.Duration{80 * ms}},
		{"one slot", 1, []Job{{0, []time.Duration{50 * ms, 80 * ms}}}, []time.Duration{130 * ms}},
		{"queue is shared and FIFO", 1, []Job{{0, []time.Duration{100 * ms}}, {10 * ms, []time.Duration{50 * ms}}, {20 * ms, []time.Duration{5 * ms}}}, []time.Duration{100 * ms, 140 * ms, 135 * ms}},
		{"slot free first is taken", 2, []Job{{0, []time.Duration{100 * ms, 30 * ms}}, {10 * ms, []time.Duration{50 * ms}}}, []time.Duration{100 * ms, 70 * ms}},
		{"three slots", 3, []Job{{0, []time.Duration{100 * ms, 70 * ms, 30 * ms, 20 * ms, 10 * ms}}, {0, []time.Duration{5 * ms}}}, []time.Duration{100 * ms, 65 * ms}},
		{"no wait after a pause", 1, []Job{{0, []time.Duration{10 * ms}}, {500 * ms, []time.Duration{10 * ms}}}, []time.Duration{10 * ms, 10 * ms}},
		{"job without tasks", 1, []Job{{5 * ms, nil}}, []time.Duration{0}},
		{"no slots", 0, []Job{{0, []time.Duration{ms}}}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, ResponseTimes(tc.jobs, tc.slots))
		})
	}
}
