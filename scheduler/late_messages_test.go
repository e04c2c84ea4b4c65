package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
