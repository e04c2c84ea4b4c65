package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// The keepalives of an entry VM and the jobs that it has given up reach the State before its jobs
// are placed, and are delivered once. Of several keepalives the one that expires last counts.
func TestKeepalivesAreDeliveredOnce(t *testing.T) {
	o := &Owner{state: scheduler.New(scheduler.Options{})}
	o.state.RegistryRead()
	o.state.TargetListed(0, work.Target{ID: "a", Service: "s", Capacity: work.Resources{CPU: 4}})
	o.state.Effects(0)
	o.state.HandlePollAnswer(0, "a", 0, work.PollAnswer{ClockMS: 5000}, work.VerdictDone)
	o.RecordKeepalive("e", time.Second, nil)
	o.RecordKeepalive("e", 500*time.Millisecond, nil)
	o.RecordKeepalive("e", time.Second, []scheduler.GivenUp{{Job: "j"}})
	submit := func(id string) {
		o.state.Submit(0, scheduler.Submission{
			Ref: scheduler.Ref(len(id)), Entry: "e", Queue: work.Queue{Service: "s", Stretch: 2, Allowance: time.Second, MaxAttempts: 1},
			Job: work.Job{ID: id, Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: time.Millisecond}}},
		})
	}
	submit("j")
	submit("kk")
	o.keepalives.deliver(0, o.state)
	starts := 0
	for _, effect := range o.state.Effects(900 * time.Millisecond) {
		switch e := effect.(type) {
		case scheduler.StartRun:
			starts++
			must.Eq(t, "kk.0.0.0", e.Run.Task)
		case scheduler.Answer:
			must.Eq(t, 1, e.Ref)
		}
	}
	must.Eq(t, 1, starts)
	o.keepalives.deliver(0, o.state)
	must.MapEmpty(t, o.keepalives.until)
}
