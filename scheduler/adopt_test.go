package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A successor that runs a newer request for the job, that leaves itself, or that knows that the caller's
// entry VM is silent stops the runs, and keeps their target until they have ended.
func TestRunsThatMustNotGoOnAreStopped(t *testing.T) {
	for name, prepare := range map[string]func(p *handoverPair, h *Handover){
		"newer request": func(p *handoverPair, _ *Handover) {
			p.next.addUsableTarget("free", 4)
			p.next.submit("job", 1, 1, "")
			must.SliceLen(t, 1, pickEffects[StartRun](p.next.effects()))
		},
		"leaving":      func(p *handoverPair, _ *Handover) { p.next.s.Leave(p.next.now) },
		"silent entry": func(_ *handoverPair, h *Handover) { h.Keepalives["e"] = 0 },
	} {
		p := newHandoverPair(t, 1, true)
		h, parts := p.handOver()
		prepare(p, &h)
		must.SliceLen(t, 1, pickEffects[StopRun](p.adopt(h)), must.Sprint(name))
		must.SliceNotContains(t, p.next.s.IdleTargets(), "t", must.Sprint(name))
		ref := p.request(parts[0])
		must.Eq(t, Answer{Ref: ref, Outcome: work.Outcome{Result: work.Unknown, Reason: "the job could not be taken over"}},
			pickEffects[Answer](p.next.effects())[0], must.Sprint(name))
	}
}

// The caller leaves before the handover arrives: nobody waits for the job any more when it does.
func TestCancelledRequestDoesNotClaimJob(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	h, parts := p.handOver()
	ref := p.request(parts[0])
	p.next.s.Cancel(p.next.now, ref)
	p.adopt(h)
	must.False(t, p.next.s.sortedJobs()[0].attached)

	p = newHandoverPair(t, 1, true)
	h, parts = p.handOver()
	p.adopt(h)
	p.next.s.GiveUpRequest(p.next.now, "leaving", GivenUp{Job: "job", Request: 7})
	p.request(parts[0])
	must.False(t, p.next.s.sortedJobs()[0].attached)
}

// The successor's clock may be behind: its runs of a task must have higher numbers all the same, or the
// target refuses them.
func TestRunNumbersRiseAfterHandover(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	h, _ := p.handOver()
	p.next.now -= 5 * time.Second
	p.adopt(h)
	must.Greater(t, p.starts[0].Run.Number, p.next.s.nextRunNumber(p.next.now, false))
}

// An owner doesn't hand over targets that it has not adopted itself: it doesn't know their runs.
func TestUnadoptedTargetIsNotHandedOver(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("t", 4)
	b.effects()
	b.s.Leave(b.now)
	h, released := b.s.HandOverJobs(b.now, Successor{Owner: "next"})
	must.SliceEmpty(t, released)
	must.SliceEmpty(t, h.Targets)
}

// A successor hands over again before its predecessor has asked for the job. The predecessor may have
// answered the caller already, and nothing tells the third owner: runs that went on there could outlast
// the time after which the caller sends the job again.
func TestUnclaimedJobIsNotHandedOn(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	h, _ := p.handOver()
	p.adopt(h)
	p.next.answerPoll("t", work.PollAnswer{ClockMS: 5020, Running: listing(p.runs()...)})
	p.next.effects()
	p.next.now += 100 * ms
	p.next.s.Leave(p.next.now)
	again, _ := p.next.s.HandOverJobs(p.next.now, Successor{Owner: "third"})
	must.SliceLen(t, 1, again.Jobs)
	must.True(t, again.Jobs[0].Ended)
	must.Eq(t, p.next.now-p.leaving.now, again.Jobs[0].EndedAgo)
	effects := p.next.effects()
	must.SliceEmpty(t, pickEffects[Delegate](effects))
	must.Eq(t, work.Unknown, pickEffects[Answer](effects)[0].Outcome.Result)
}
