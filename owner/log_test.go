package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// loggingOwner returns an owner that writes its lines to a buffer and counts what it counts.
func loggingOwner() (*Owner, *bytes.Buffer, map[string]int) {
	var mu sync.Mutex
	counts := map[string]int{}
	options := testOptions()
	var lines bytes.Buffer
	options.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	options.Count = func(what, label string) {
		mu.Lock()
		defer mu.Unlock()
		counts[what+" "+label]++
	}
	return New(options, newFencingTarget(), oneTarget{}), &lines, counts
}

func TestLineOfRunHasItsFacts(t *testing.T) {
	o, lines, counts := loggingOwner()
	o.logEvent(scheduler.LogEvent{
		Message: "stop unanswered", Counter: "stops_overdue", Kind: "run", Job: "j", Task: "j.0.0.0", Target: "a",
		Run: &scheduler.RunFacts{Number: 64, Route: "relay-1", Copies: 2, LeaseUntil: 5800, TargetLease: 5900, Clock: 5000, ClockAge: 3, StopAge: 4, StopAckAge: 5},
	})
	var line struct {
		Run, Token, Copies, Clock int64
		Relay                     string
		LeaseUntil                int64 `json:"lease_until"`
		TargetLease               int64 `json:"target_lease"`
		ClockAge                  int64 `json:"clock_age"`
		StopAge                   int64 `json:"stop_age"`
		StopAckAge                int64 `json:"stop_ack_age"`
	}
	must.NoError(t, json.Unmarshal(lines.Bytes(), &line))
	must.Eq(t, []int64{64, 5, 2, 5000, 5800, 5900, 3, 4, 5}, []int64{
		line.Run, line.Token, line.Copies, line.Clock, line.LeaseUntil, line.TargetLease, line.ClockAge, line.StopAge, line.StopAckAge,
	})
	must.Eq(t, "relay-1", line.Relay)
	must.Eq(t, map[string]int{"stops_overdue run": 1}, counts)
}

func TestHistoryNamesRuns(t *testing.T) {
	o, lines, _ := loggingOwner()
	o.logHistory(scheduler.JobHistory{Job: "j", Result: work.Unknown, Entries: []scheduler.HistoryEntry{
		{What: "taken"}, {At: time.Millisecond, What: "started", Task: "j.0.0.0", Target: "a", Run: 64, LeaseUntil: 5800},
	}})
	var line struct {
		Token int64
		Trail []string
	}
	must.NoError(t, json.Unmarshal(lines.Bytes(), &line))
	must.Eq(t, int64(5), line.Token)
	must.Eq(t, []string{"0ms taken", "1ms started j.0.0.0 a run 64 lease 5800"}, line.Trail)
}

func TestLateOrderIsLogged(t *testing.T) {
	o, lines, counts := loggingOwner()
	run := work.RunID{Task: "j.0.0.0", Number: 64}
	o.noteLateOrder("start", "a", run, 5, lateOrderAge)
	must.Eq(t, 0, lines.Len())
	o.noteLateOrder("start", "a", run, 5, lateOrderAge+1)
	var line struct {
		Msg, Order, Task, Target string
		Run, Token               int64
	}
	must.NoError(t, json.Unmarshal(lines.Bytes(), &line))
	must.Eq(t, "order sent late start j.0.0.0 a", line.Msg+" "+line.Order+" "+line.Task+" "+line.Target)
	must.Eq(t, []int64{64, 5}, []int64{line.Run, line.Token})
	must.Eq(t, map[string]int{"orders_late start": 1}, counts)
}
