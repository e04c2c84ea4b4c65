package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// A relay logs the orders that it carries out late or that may not have been carried out, by the
// number of the run, and no others.
func TestRelayLogsLateAndUnansweredOrders(t *testing.T) {
	start := startToWire(work.StartOrder{Run: work.RunID{Task: "j.0.0.0", Number: 64}, LeaseUntilMS: 99})
	stop := &linkpb.Carry_Stop{Stop: &linkpb.CarryStop{Run: &linkpb.Run{Task: "j.0.0.0", Number: 64}}}
	renewal := &linkpb.Carry_Look{Look: &linkpb.CarryLook{UntilMs: 99}}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, test := range []struct {
		name  string
		order *linkpb.Carry
		late  bool
		held  bool
		want  string
		run   int64
		lease int64
	}{
		{name: "late start", order: &linkpb.Carry{What: start}, late: true, want: "start not carried", run: 64, lease: 99},
		{name: "start", order: &linkpb.Carry{What: start}},
		{name: "unanswered start", order: &linkpb.Carry{What: start}, held: true, want: "carried start unanswered", run: 64, lease: 99},
		{name: "late stop", order: &linkpb.Carry{What: stop}, late: true, want: "order carried late", run: 64},
		{name: "stop", order: &linkpb.Carry{What: stop}},
		{name: "late renewal", order: &linkpb.Carry{What: renewal}, late: true, want: "order carried late", lease: 99},
		{name: "renewal", order: &linkpb.Carry{What: renewal}},
		{name: "late poll", order: &linkpb.Carry{What: &linkpb.Carry_Look{Look: &linkpb.CarryLook{}}}, late: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var lines bytes.Buffer
			bad := 0
			targets := &fakeTargets{}
			if test.held {
				targets.blocked = make(chan struct{})
			}
			server := &Server{Targets: targets, Log: slog.New(slog.NewJSONHandler(&lines, nil)), Count: func(what, label string) {
				if what == "carried_badly" {
					must.Eq(t, test.want, label)
					bad++
				}
			}}
			received := bootclock.Now()
			if test.late {
				received -= staleOrderAge + time.Millisecond
			}
			test.order.Id, test.order.Token = "a", 5
			server.forward(ended, test.order, received)
			if test.want == "" {
				must.Eq(t, 0, lines.Len()+bad)
				return
			}
			must.Eq(t, 1, bad)
			var line struct {
				Msg, Target string
				Run, Token  int64
				LeaseUntil  int64 `json:"lease_until"`
			}
			must.NoError(t, json.Unmarshal(lines.Bytes(), &line))
			must.Eq(t, test.want+" a", line.Msg+" "+line.Target)
			must.Eq(t, []int64{test.run, 5, test.lease}, []int64{line.Run, line.Token, line.LeaseUntil})
		})
	}
}
