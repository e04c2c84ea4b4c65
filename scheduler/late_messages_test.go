package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A ping that repeats that an earlier request was given up ends no later request for the same job.
func TestLateGiveUpSparesLaterRequest(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.s.EntryKeepalive("e", b.now+time.Hour)
	first := b.submitFrom("j", "e")
	b.effects()
	b.s.GiveUp(b.now, "e", "j")
	b.effects()
	again := b.askedAgain(first)
	again.Request = 2
	b.s.Submit(b.now, again)
	b.s.GiveUp(b.now, "e", "j")
	for _, answer := range pickEffects[Answer](b.effects()) {
		must.NotEq(t, again.Ref, answer.Ref)
	}
}

// A repeated request that is processed after a later one doesn't take the job from it.
func TestLateRepeatedRequestDoesNotReplaceNewerOne(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	sub := b.submitFrom("j", "e")
	b.effects()
	newer, older := b.askedAgain(sub), b.askedAgain(sub)
	must.Eq(t, Present, b.s.Rejoin(b.now, newer, 20*ms, true))
	b.effects()
	b.s.Rejoin(b.now, older, 10*ms, true)
	for _, answer := range pickEffects[Answer](b.effects()) {
		must.NotEq(t, newer.Ref, answer.Ref)
	}
}

// A ping ends the request that it names: not another part of the job that the same VM has delegated
// here, nor a later request.
func TestGiveUpEndsItsRequestAlone(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 8)
	b.submit("first", 1, 1, "")
	b.effects()
	one, other := b.partOf("e", "", "j.0.0.0"), b.partOf("e", "", "j.0.0.1")
	b.s.Submit(b.now, one)
	b.s.Submit(b.now, other)
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 2, starts)
	b.answerStarts(starts)
	given := GivenUp{Job: "j", Request: one.Request}
	b.s.GiveUpRequest(b.now, "another VM", given)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
	b.s.GiveUpRequest(b.now, "e", given)
	ended := pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, ended)
	must.Eq(t, one.Ref, ended[0].Ref)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Running: listing(starts[1].Run), Completions: []work.Completion{
		{Number: 1, Run: starts[0].Run, Kind: work.CompletionStopped},
	}})
	later := b.partOf("e", "", "j.0.0.0")
	b.s.Submit(b.now, later)
	b.s.GiveUpRequest(b.now, "e", given)
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[Answer](effects))
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
}

// A request that is read after its entry VM has given it up starts nothing, neither itself nor one
// that replaces it.
func TestRequestReadAfterItsGiveUpStartsNothing(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.s.EntryKeepalive("e", b.now+time.Hour)
	b.s.GiveUpRequest(b.now, "e", GivenUp{Job: "j", Request: 7})
	sub := b.partOf("e", "", "j.0.0.0")
	sub.Part, sub.Request = nil, 7
	b.s.Submit(b.now, sub)
	must.Eq(t, Forgotten, b.s.Rejoin(b.now, b.askedAgain(sub), ms, true))
	effects := b.advance(100 * ms)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.MapEmpty(t, b.s.jobs)
	b.advance(2 * outcomeRetention)
	must.MapEmpty(t, b.s.givenUp)
}

// A VM of an older build names the job alone when it gives up a request. That ends the job.
func TestGiveUpByJobEndsNumberedRequest(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	sub := b.submitFrom("j", "e")
	b.s.jobs[sub.Ref].sub.Request = 7
	b.effects()
	b.s.GiveUp(b.now, "e", "j")
	must.SliceLen(t, 1, pickEffects[Answer](b.effects()))
}
