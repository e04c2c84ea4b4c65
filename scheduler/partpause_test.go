package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// offerPart reports free capacity of an owner, and returns the part that is delegated then, if any.
func (b *harness) offerPart() []Delegate {
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{1, 1, 1}})
	return pickEffects[Delegate](b.effects())
}

// An owner that refuses parts gets none for a time that doubles with each refusal, although it
// reports free capacity, and none of these times is longer than maxPartPause.
func TestOwnerThatRefusesPartsIsPaused(t *testing.T) {
	b := newHarness(t, Options{PauseParts: true})
	b.addUsableTarget("a", 1)
	b.submit("j", 2, 1, "")
	part := b.offerPart()
	for pause := minPartPause; pause <= 4*maxPartPause; pause *= 2 {
		must.SliceLen(t, 1, part)
		b.s.PartReturned(b.now, part[0].Part, work.Outcome{Result: work.Refused, Reason: "no room for a part"})
		must.SliceContains(t, pickEffects[Count](b.effects()), Count{"parts_returned", "no room for a part"})
		b.now += min(pause, maxPartPause) - 1
		must.SliceEmpty(t, b.offerPart())
		b.now++
		part = b.offerPart()
	}
}

// A completed part ends the pauses, and an owner that has not refused anything for long begins with
// the shortest pause again.
func TestPauseOfPartsStartsAnew(t *testing.T) {
	b := newHarness(t, Options{PauseParts: true})
	key := capacityKey{"other", "s"}
	refuse := func() { b.s.updatePartPause(b.now, key, work.Outcome{Result: work.Refused}) }
	refuse()
	refuse()
	must.Eq(t, 2*minPartPause, b.s.partPauses[key].length)
	b.s.updatePartPause(b.now, key, work.Outcome{Result: work.Completed})
	must.False(t, b.s.isPartPaused(b.now, key))
	refuse()
	must.Eq(t, minPartPause, b.s.partPauses[key].length)
	b.now += minPartPause + maxPartPause + 1
	b.s.updatePartPause(b.now, capacityKey{"third", "s"}, work.Outcome{Result: work.Refused})
	must.MapNotContainsKey(t, b.s.partPauses, key)
}

// Without the option an owner that has refused a part gets the next one with its next report.
func TestPartsAreNotPausedWithoutOption(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.submit("j", 2, 1, "")
	b.s.PartReturned(b.now, b.offerPart()[0].Part, work.Outcome{Result: work.Refused})
	must.SliceLen(t, 1, b.offerPart())
}
