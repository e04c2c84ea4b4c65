package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// handoverPair is a leaving owner with running jobs, and its successor.
type handoverPair struct {
	leaving, next *harness
	starts        []StartRun
	released      []string
}

// newHandoverPair starts the tasks of one job from the entry VM "e" at one target. Only answered starts
// are known to have begun.
func newHandoverPair(t *testing.T, tasks int, answered bool) *handoverPair {
	p := &handoverPair{leaving: newHarness(t, Options{}), next: newHarness(t, Options{})}
	p.leaving.addUsableTarget("t", 4)
	p.leaving.s.EntryKeepalive("e", p.leaving.now+300*ms)
	p.leaving.submit("job", tasks, 1, "e")
	p.starts = pickEffects[StartRun](p.leaving.effects())
	must.SliceLen(t, tasks, p.starts)
	for _, start := range p.starts {
		if answered {
			p.leaving.s.HandleStartAnswer(p.leaving.now, "t", start.Run, doneAnswer(5010))
		}
	}
	p.leaving.effects()
	p.leaving.s.Leave(p.leaving.now)
	return p
}

// handOver makes the handover, and returns the part that the leaving owner asks its successor for.
func (p *handoverPair) handOver() (Handover, []Delegate) {
	h, released := p.leaving.s.HandOverJobs(p.leaving.now, Successor{Owner: "next"})
	h.From, p.released = "leaving", released
	return h, pickEffects[Delegate](p.leaving.effects())
}

// adopt has the successor take the handover, and returns its effects.
func (p *handoverPair) adopt(h Handover) []Effect {
	p.next.s.AdoptJobs(p.next.now, p.next.now, h, func() Ref { p.next.ref++; return p.next.ref })
	return p.next.effects()
}

// request has the leaving VM ask for a job that it has handed over.
func (p *handoverPair) request(part Delegate) Ref {
	p.next.ref++
	sub := part.Submission
	sub.Ref, sub.Entry, sub.Request = p.next.ref, "leaving", 7
	p.next.s.Submit(p.next.now, sub)
	return sub.Ref
}

func (p *handoverPair) runs() []work.RunID {
	var runs []work.RunID
	for _, start := range p.starts {
		runs = append(runs, start.Run)
	}
	return runs
}

// A running job goes on at the successor and is answered through the leaving VM. Without the handover
// the target stays at the leaving owner until the runs have ended.
func TestRunningJobGoesOnAtSuccessor(t *testing.T) {
	p := newHandoverPair(t, 2, true)
	must.SliceEmpty(t, p.leaving.s.IdleTargets())
	h, parts := p.handOver()
	must.SliceLen(t, 1, parts)
	must.Eq(t, []string{"t"}, p.released)
	must.True(t, p.leaving.s.UsesNoTarget())
	must.False(t, p.leaving.s.IsIdle())
	effects := p.adopt(h)
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	// The first poll renews the lease: a busy successor gets to the second one too late.
	must.Positive(t, pickEffects[Poll](effects)[0].LeaseUntil)
	ref := p.request(parts[0])
	p.next.answerPoll("t", work.PollAnswer{ClockMS: 5020, Running: listing(p.runs()...)})
	must.SliceEmpty(t, pickEffects[StopRun](p.next.effects()))
	p.next.answerPoll("t", work.PollAnswer{ClockMS: 5030, Completions: []work.Completion{
		{Number: 1, Run: p.starts[0].Run, Kind: work.CompletionDone}, {Number: 2, Run: p.starts[1].Run, Kind: work.CompletionDone},
	}})
	answers := pickEffects[Answer](p.next.effects())
	must.Eq(t, ref, answers[len(answers)-1].Ref)
	must.Eq(t, work.Completed, answers[len(answers)-1].Outcome.Result)
	p.leaving.s.PartReturned(p.leaving.now, parts[0].Part, work.Outcome{Result: work.Completed})
	must.Eq(t, work.Completed, pickEffects[Answer](p.leaving.effects())[0].Outcome.Result)
	must.True(t, p.leaving.s.IsIdle())
}

// The reply is lost: the same jobs are handed over again, to the same successor only. A later owner in the
// successor's process would take jobs over that the first one has run on.
func TestHandoverIsRepeatedToItsSuccessor(t *testing.T) {
	p := newHandoverPair(t, 2, true)
	first, _ := p.handOver()
	p.leaving.advance(40 * ms)
	again, parts := p.handOver()
	must.SliceEmpty(t, parts)
	must.Eq(t, 40*ms, again.Ago)
	again.Ago = 0
	must.Eq(t, first, again)
	other, released := p.leaving.s.HandOverJobs(p.leaving.now, Successor{Owner: "other"})
	must.SliceEmpty(t, other.Jobs)
	must.Eq(t, []string{"t"}, released)
	later, released := p.leaving.s.HandOverJobs(p.leaving.now, Successor{Owner: "next", Passed: 1})
	must.SliceEmpty(t, later.Jobs)
	must.Eq(t, []string{"t"}, released)
	p.adopt(first)
	p.next.advance(40 * ms)
	must.SliceEmpty(t, pickEffects[StopRun](p.adopt(again)))
	must.Eq(t, 1, p.next.s.Jobs())
}

// A start without an answer is sent again under its number. A new number could run the task twice, and
// without an order the successor would never know whether the run may still begin.
func TestUnansweredStartIsSentAgainBySuccessor(t *testing.T) {
	p := newHandoverPair(t, 1, false)
	h, _ := p.handOver()
	starts := pickEffects[StartRun](p.adopt(h))
	must.SliceLen(t, 1, starts)
	must.Eq(t, p.starts[0].Run, starts[0].Run)
	must.Eq(t, p.starts[0].LeaseUntilMS, starts[0].LeaseUntilMS)
	p.next.answerPoll("t", work.PollAnswer{ClockMS: 5020})
	must.SliceEmpty(t, pickEffects[StartRun](p.next.effects()))
	p.next.s.HandleStartAnswer(p.next.now, "t", starts[0].Run, work.OrderAnswer{})
	must.Eq(t, starts[0].Run, pickEffects[StopRun](p.next.effects())[0].Run)
}

// A run whose stop is under way is stopped by the successor as well, and its task doesn't start before
// that run is over.
func TestStoppedRunIsStoppedBySuccessor(t *testing.T) {
	p := newHandoverPair(t, 1, false)
	p.leaving.s.HandleStartAnswer(p.leaving.now, "t", p.starts[0].Run, work.OrderAnswer{})
	must.SliceLen(t, 1, pickEffects[StopRun](p.leaving.effects()))
	h, _ := p.handOver()
	effects := p.adopt(h)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, p.starts[0].Run, pickEffects[StopRun](effects)[0].Run)
	p.next.addUsableTarget("free", 4)
	must.SliceEmpty(t, pickEffects[StartRun](p.next.advance(60*ms)))
	p.next.s.HandleStopAnswer(p.next.now, "t", p.starts[0].Run, doneAnswer(5100))
	p.next.s.EntryKeepalive("e", p.next.now+300*ms)
	p.next.s.EntryKeepalive("leaving", p.next.now+300*ms)
	must.Greater(t, p.starts[0].Run.Number, pickEffects[StartRun](p.next.advance(120 * ms))[0].Run.Number)
}

// The runs of a job whose caller has just left are stopped by the successor, which starts nothing of a
// new request for it before they are over.
func TestRunsOfEndedJobAreStoppedBySuccessor(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	p.leaving.s.Cancel(p.leaving.now, p.leaving.ref)
	p.leaving.effects()
	h, parts := p.handOver()
	must.SliceEmpty(t, parts)
	effects := p.adopt(h)
	must.Eq(t, p.starts[0].Run, pickEffects[StopRun](effects)[0].Run)
	must.Eq(t, 0, pickEffects[Poll](effects)[0].LeaseUntil)
	p.next.addUsableTarget("free", 4)
	p.next.submit("job", 1, 1, "")
	must.SliceEmpty(t, pickEffects[StartRun](p.next.effects()))
	must.Eq(t, 3, p.next.s.targets["t"].free.CPU)
}

// The leaving VM dies after the reply: nobody asks for the job, which ends. Until then its runs' leases
// end before its caller may send it again.
func TestUnclaimedJobEndsAtSuccessor(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	h, _ := p.handOver()
	p.adopt(h)
	handedAt := p.next.now
	p.next.answerPoll("t", work.PollAnswer{ClockMS: 5020, Running: listing(p.runs()...)})
	limit := int64(5020) + (DefaultResendDelay - DefaultPauseThreshold).Milliseconds()
	for p.next.now < handedAt+handedAttachTimeout {
		for _, entry := range []string{"e", "leaving"} {
			p.next.s.EntryKeepalive(entry, p.next.now+300*ms)
		}
		for _, poll := range pickEffects[Poll](p.next.advance(20 * ms)) {
			must.LessEq(t, limit, poll.LeaseUntil)
		}
		must.Eq(t, 1, p.next.s.Jobs())
		if p.next.s.targets["t"].pollPending {
			p.next.answerPoll("t", work.PollAnswer{ClockMS: 5020 + (p.next.now - handedAt).Milliseconds(), Running: listing(p.runs()...)})
		}
	}
	must.Eq(t, p.starts[0].Run, pickEffects[StopRun](p.next.advance(40 * ms))[0].Run)
	must.Eq(t, 0, p.next.s.Jobs())
}

// The job ends once the entry VM of its caller is silent, though the leaving VM is not, and the other
// way round.
func TestJobEndsWithoutKeepalivesOfEitherVM(t *testing.T) {
	for _, alive := range []string{"e", "leaving"} {
		p := newHandoverPair(t, 1, true)
		h, parts := p.handOver()
		p.adopt(h)
		p.request(parts[0])
		p.next.answerPoll("t", work.PollAnswer{ClockMS: 5020, Running: listing(p.runs()...)})
		p.next.s.EntryKeepalive(alive, p.next.now+time.Second)
		must.SliceEmpty(t, pickEffects[StopRun](p.next.advance(240*ms)), must.Sprint(alive))
		must.SliceNotEmpty(t, pickEffects[StopRun](p.next.advance(100*ms)), must.Sprint(alive))
	}
}

// The leaving VM's request overtakes the reply, or comes after the job has ended.
func TestRequestForHandedJobBeforeAndAfterIt(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	h, parts := p.handOver()
	early := p.request(parts[0])
	must.SliceEmpty(t, pickEffects[Answer](p.next.effects()))
	p.adopt(h)
	done := work.PollAnswer{ClockMS: 5020, Completions: []work.Completion{{Number: 1, Run: p.starts[0].Run, Kind: work.CompletionDone}}}
	p.next.answerPoll("t", done)
	answers := pickEffects[Answer](p.next.effects())
	must.Eq(t, early, answers[len(answers)-1].Ref)
	must.Eq(t, work.Completed, answers[len(answers)-1].Outcome.Result)

	p = newHandoverPair(t, 1, true)
	h, parts = p.handOver()
	p.adopt(h)
	p.next.answerPoll("t", done)
	p.next.effects()
	late := p.request(parts[0])
	must.Eq(t, Answer{Ref: late, Outcome: work.Outcome{Result: work.Completed}}, pickEffects[Answer](p.next.effects())[0])
}

// A job that the successor doesn't take over may have run there: its caller isn't told otherwise.
func TestJobThatIsNotTakenOverIsUnknown(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	_, parts := p.handOver()
	p.leaving.s.PartReturned(p.leaving.now, parts[0].Part, work.Outcome{Result: work.Moved})
	must.Eq(t, work.Unknown, pickEffects[Answer](p.leaving.effects())[0].Outcome.Result)
	ref := p.request(parts[0])
	answers := pickEffects[Answer](p.next.advance(handedAttachTimeout + 40*ms))
	must.SliceLen(t, 1, answers)
	must.Eq(t, ref, answers[0].Ref)
	must.Eq(t, work.Unknown, answers[0].Outcome.Result)
}

// A target is lost while it is handed over: the run is over once its lease has lapsed, and its task
// starts again elsewhere.
func TestTargetLostDuringHandover(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	h, parts := p.handOver()
	p.adopt(h)
	p.request(parts[0])
	p.next.addUsableTarget("free", 4)
	var starts []StartRun
	for began := p.next.now; p.next.now < began+1200*ms && len(starts) == 0; {
		for _, entry := range []string{"e", "leaving"} {
			p.next.s.EntryKeepalive(entry, p.next.now+300*ms)
		}
		starts = append(starts, pickEffects[StartRun](p.next.advance(20*ms))...)
		if len(starts) > 0 {
			must.GreaterEq(t, 800*ms, p.next.now-began)
		}
	}
	must.SliceLen(t, 1, starts)
	must.Eq(t, "free", starts[0].To.ID)
}

// The runs of durable jobs pass by the store and the targets' lists, as without the handover. They don't
// keep a target with runs of other jobs from being released.
func TestDurableRunsAreNotHandedOver(t *testing.T) {
	b := newHarness(t, Options{})
	durable := startDurableJob(b)
	b.submit("job", 1, 1, "")
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
	b.s.Leave(b.now)
	h, released := b.s.HandOverJobs(b.now, Successor{Owner: "next"})
	must.Eq(t, []string{"a"}, released)
	must.SliceLen(t, 1, h.Jobs)
	must.NotEq(t, durable.Task, h.Jobs[0].Submission.Part[0])
	must.False(t, h.Targets[0].AllRunsKnown)
}

// A gang is not handed over: its target stays, and with it the jobs that run there.
func TestGangStaysAtLeavingOwner(t *testing.T) {
	p := newHandoverPair(t, 1, true)
	p.leaving.s.leaving = false
	p.leaving.ref++
	p.leaving.s.Submit(p.leaving.now, Submission{
		Ref: p.leaving.ref, Job: work.Job{ID: "gang", Steps: []work.Step{{Tasks: 2, Gang: true, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	must.SliceLen(t, 2, pickEffects[StartRun](p.leaving.effects()))
	p.leaving.s.Leave(p.leaving.now)
	h, parts := p.handOver()
	must.SliceEmpty(t, parts)
	must.SliceEmpty(t, h.Jobs)
	must.SliceEmpty(t, p.released)
	must.False(t, p.leaving.s.UsesNoTarget())
}

// A part that another owner returns after the handover goes to the successor: the leaving owner has no
// target for it.
func TestReturnedPartGoesToSuccessor(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("t", 1)
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{1, 1, 1}})
	b.submit("job", 2, 1, "")
	effects := b.effects()
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
	away := pickEffects[Delegate](effects)[0]
	b.s.Leave(b.now)
	_, _ = b.s.HandOverJobs(b.now, Successor{Owner: "next"})
	b.effects()
	b.s.PartReturned(b.now, away.Part, work.Outcome{Result: work.Refused})
	again := pickEffects[Delegate](b.advance(40 * ms))
	must.SliceLen(t, 1, again)
	must.Eq(t, "next", again[0].Owner)
	must.Eq(t, away.Submission.Part, again[0].Submission.Part)
	must.False(t, again[0].Submission.Handed)
}

// The steps of a job that are not over yet are handed over in their order: a later one must not start
// before the one it depends on.
func TestStepsAreHandedOverInOrder(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("t", 4)
	b.ref++
	each := work.Resources{CPU: 1}
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Job: work.Job{ID: "job", Steps: []work.Step{
			{Tasks: 1, PerTask: each, DeclaredRunTime: 100 * ms}, {Tasks: 2, PerTask: each, DeclaredRunTime: 100 * ms, DependsOn: []int{0}},
			{Tasks: 1, PerTask: each, DeclaredRunTime: 100 * ms, DependsOn: []int{0, 1}},
		}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	first := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "t", first.Run, doneAnswer(5010))
	b.effects()
	b.answerPoll("t", work.PollAnswer{ClockMS: 5020, Completions: []work.Completion{{Number: 1, Run: first.Run, Kind: work.CompletionDone}}})
	must.SliceLen(t, 2, pickEffects[StartRun](b.effects()))
	b.s.Leave(b.now)
	h, _ := b.s.HandOverJobs(b.now, Successor{Owner: "next"})
	sub := h.Jobs[0].Submission
	must.Eq(t, []string{"job.0.1.0", "job.0.1.1", "job.0.2.0"}, sub.Part)
	must.Eq(t, [][]int{nil, {0}}, [][]int{sub.Job.Steps[0].DependsOn, sub.Job.Steps[1].DependsOn})
	p := &handoverPair{next: newHarness(t, Options{})}
	h.From = "leaving"
	p.adopt(h)
	must.Eq(t, "job.0.2.0", p.next.s.jobs[1].tasks[2].name)
	must.False(t, p.next.s.jobs[1].isReady(p.next.s.jobs[1].steps[1]))
}

// Jobs that don't fit into one answer stay with their targets: an answer that is too large would never
// arrive in time, and the successor would stop all runs.
func TestLargeJobsStayAtLeavingOwner(t *testing.T) {
	b := newHarness(t, Options{})
	var targets []string
	for _, id := range []string{"a", "b", "c"} {
		b.addUsableTarget(id, 1)
		b.ref++
		b.s.Submit(b.now, Submission{
			Ref: b.ref, Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
			Job: work.Job{ID: id, Payload: strings.Repeat("x", 3<<19), Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		})
		targets = append(targets, pickEffects[StartRun](b.effects())[0].To.ID)
	}
	b.s.Leave(b.now)
	h, released := b.s.HandOverJobs(b.now, Successor{Owner: "next"})
	must.SliceLen(t, 2, h.Jobs)
	must.Eq(t, targets[:2], released)
	must.False(t, b.s.UsesNoTarget())
}

// A started job that isn't handed over still needs targets for its next step: without them it would end
// at its deadline.
func TestJobThatStaysKeepsTargetsForItsNextStep(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("t", 4)
	b.addUsableTarget("free", 4)
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Job: work.Job{ID: "job", Steps: []work.Step{
			{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms},
			{Tasks: 2, Gang: true, PerTask: work.Resources{CPU: 4}, DeclaredRunTime: 100 * ms, DependsOn: []int{0}},
		}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	first := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, first.To.ID, first.Run, doneAnswer(5010))
	b.effects()
	b.s.Leave(b.now)
	must.SliceEmpty(t, b.s.IdleTargets())
	h, released := b.s.HandOverJobs(b.now, Successor{Owner: "next"})
	must.SliceEmpty(t, h.Jobs)
	must.SliceEmpty(t, released)
	b.effects()
	b.answerPoll(first.To.ID, work.PollAnswer{ClockMS: 5020, Completions: []work.Completion{{Number: 1, Run: first.Run, Kind: work.CompletionDone}}})
	must.SliceLen(t, 2, pickEffects[StartRun](b.effects()))
}
