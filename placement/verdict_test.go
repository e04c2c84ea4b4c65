package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestVerdictsReportEachChangeOnce(t *testing.T) {
	f := newFleet(8)
	must.Len(t, 0, f.s.TakeVerdicts())
	bad := targetID(3)
	broken := true
	end := func(target string) (time.Duration, Outcome) {
		if broken && target == bad {
			return time.Millisecond, OutcomeFailed
		}
		return good(target)
	}
	for range 2000 {
		f.task(f.job(), end)
	}
	verdicts := f.s.TakeVerdicts()
	must.Len(t, 1, verdicts)
	must.Eq(t, bad, verdicts[0].Target)
	must.Eq(t, UseNormal, verdicts[0].Before)
	must.Eq(t, UseQuarantine, verdicts[0].Use)
	must.Eq(t, CauseFailures, verdicts[0].Cause)
	must.SliceNotEmpty(t, verdicts[0].Submissions)
	must.Len(t, 0, f.s.TakeVerdicts())
	broken = false
	for range 3000 {
		f.now += 50 * time.Millisecond
		f.task(f.job(), end)
	}
	verdicts = f.s.TakeVerdicts()
	must.Len(t, 1, verdicts)
	must.Eq(t, UseNormal, verdicts[0].Use)
}

func TestVerdictsOmitRevertedChanges(t *testing.T) {
	f := newFleet(2)
	leaving, undone := targetID(0), targetID(1)
	f.s.MarkLeaving(leaving)
	f.s.MarkLeaving(undone)
	f.s.MarkStaying(undone)
	must.Eq(t, []Verdict{{Target: leaving, Before: UseNormal, Use: UseLeaving}}, f.s.TakeVerdicts())
	f.s.MarkStaying(leaving)
	must.Eq(t, []Verdict{{Target: leaving, Before: UseLeaving, Use: UseNormal}}, f.s.TakeVerdicts())
}
