package relay

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// limitedStart is a start that may be sent for some time from now on.
func limitedStart(left time.Duration) work.StartOrder {
	return work.StartOrder{Run: work.RunID{Task: "j.0.0.0", Number: 7}, SendBy: bootclock.Now() + left}
}

// A start that reaches its relay after the time by which it has to be sent is not sent: its target may
// have restarted since.
func TestStartThatArrivesLateIsNotCarried(t *testing.T) {
	targets := &fakeTargets{}
	server := &Server{Targets: targets, Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}}
	forward := func(left time.Duration) work.Verdict {
		start := startToWire(limitedStart(left))
		start.Start.SendByUs = (bootclock.Now() + left).Microseconds()
		return work.Verdict(server.forward(t.Context(), &linkpb.Carry{Id: "a", What: start}, bootclock.Now()).GetVerdict())
	}
	must.Eq(t, work.VerdictStaleToken, forward(-time.Millisecond))
	must.Eq(t, 0, targets.started())
	must.Eq(t, work.VerdictDone, forward(time.Minute))
	must.Eq(t, 1, targets.started())
}

// The time by which a relay may send a start is never later than at the owner, however long the
// relay's last answer was on its way and however its clock runs.
func TestRelayTimeIsNeverLate(t *testing.T) {
	for _, rate := range []float64{minClockRate, 1, maxClockRate} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 2 * time.Second} {
			read := 10 * time.Second
			clock := func(at time.Duration) time.Duration { return time.Hour + time.Duration(rate*float64(at-read)) }
			s := &stream{relayClock: clock(read), lastAnswer: read + delay}
			now := read + delay + 20*time.Millisecond
			limit, known := s.relayTime(now, now+150*time.Millisecond)
			must.True(t, known)
			must.LessEq(t, clock(now+150*time.Millisecond), limit)
		}
	}
}

// A start with a limit goes by the owner itself as long as its relay's clock isn't known, from an answer
// that is recent enough.
func TestRelayTimeIsUnknownWithoutRecentAnswer(t *testing.T) {
	now := time.Minute
	_, known := (&stream{lastAnswer: now}).relayTime(now, now+time.Second)
	must.False(t, known)
	_, known = (&stream{relayClock: time.Hour, lastAnswer: now - 20*time.Second}).relayTime(now, now+150*time.Millisecond)
	must.False(t, known)
	_, known = (&stream{relayClock: time.Hour, lastAnswer: now - 200*time.Millisecond}).relayTime(now, now+150*time.Millisecond)
	must.True(t, known)
}

// A start with a limit goes through a relay that has answered, with the limit on the relay's clock.
func TestLimitedStartIsRelayed(t *testing.T) {
	f := newFleet(t, 3, 100)
	to := f.relayedTarget(t)
	relay := f.usableStream(to.ID).vm.Name
	_, verdict := f.Poll(t.Context(), to, 1, 0, 0, 0)
	must.Eq(t, work.VerdictDone, verdict)
	answer := f.Start(t.Context(), to, limitedStart(time.Minute), 1)
	must.Eq(t, work.VerdictDone, answer.Verdict)
	must.Eq(t, relay, answer.Route)
	must.Eq(t, 0, f.direct.started())
}
