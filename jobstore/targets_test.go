package jobstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

const validity = 16 * time.Second

// openedRecords returns the target records of an owner with a token, and what it has inherited.
func openedRecords(t rapid.TB, store *fakeStore, token int64) (*TargetRecords, Inherited) {
	t.Helper()
	r := newTargetRecords(recordOptions(token), store, uint64(token))
	inherited, err := r.Open(context.Background(), token, validity)
	must.NoError(t, err)
	return r, inherited
}

func recordOptions(token int64) Options {
	return Options{
		Group: "g", VM: fmt.Sprint("vm-", token), Incarnation: uint64(100 + token), Count: func(string, string) {},
		Clock: func() time.Duration { return time.Minute },
	}
}

// writeAll writes the queued changes as run does, and gives up after some tries.
func (r *TargetRecords) writeAll(t rapid.TB) {
	for range 20 {
		if !r.hasWrite() {
			return
		}
		changes, sent := r.nextBatch()
		if len(changes) == 0 {
			continue
		}
		written, err := r.writeOnce(context.Background(), changes)
		r.handleResult(sent, written, err)
	}
}

func idsOf(targets []work.Target) []string {
	var ids []string
	for _, target := range targets {
		ids = append(ids, target.ID)
	}
	slices.Sort(ids)
	return ids
}

// A successor finds the targets that its predecessor has recorded and not removed, and who that was. The
// predecessor changes nothing afterwards.
func TestSuccessorFindsRecordedTargets(t *testing.T) {
	store := newFakeStore()
	first, inherited := openedRecords(t, store, 1)
	must.False(t, inherited.HasPredecessor)
	recorded := 0
	for _, id := range []string{"a", "b", "c"} {
		first.Record(work.Target{ID: id, Service: "s", Address: id + ":1", Incarnation: 7}, func() { recorded++ })
	}
	first.writeAll(t)
	must.Eq(t, 3, recorded)
	first.Forget("b")
	first.writeAll(t)
	second, inherited := openedRecords(t, store, 2)
	must.Eq(t, []string{"a", "c"}, idsOf(inherited.Targets))
	must.SliceContains(t, inherited.Targets, work.Target{ID: "a", Service: "s", Address: "a:1", Incarnation: 7})
	must.True(t, inherited.HasPredecessor)
	must.Eq(t, "vm-1", inherited.VM)
	must.Eq(t, 101, inherited.Incarnation)
	must.Eq(t, 0, inherited.EarlierUntil)
	first.Record(work.Target{ID: "d"}, func() { t.Error("recorded by an owner that has a successor") })
	first.Forget("a")
	first.writeAll(t)
	must.True(t, first.superseded)
	second.Forget("c")
	second.writeAll(t)
	_, inherited = openedRecords(t, store, 3)
	must.Eq(t, []string{"a"}, idsOf(inherited.Targets))
	must.Eq(t, time.Minute+validity, inherited.EarlierUntil)
	_, err := newTargetRecords(recordOptions(2), store, 9).Open(context.Background(), 2, validity)
	must.ErrorIs(t, err, ErrSuperseded)
}

// An owner whose answer is lost when it takes the record over still finds its predecessor's targets, and who
// that was.
func TestLostAnswerKeepsInheritedTargets(t *testing.T) {
	for _, fault := range []failure{answerLost, requestLost, rejected, appliedLate} {
		store := newFakeStore()
		first, _ := openedRecords(t, store, 1)
		first.Record(work.Target{ID: "a"}, nil)
		first.writeAll(t)
		r := newTargetRecords(recordOptions(2), store, 2)
		store.failures = []failure{fault}
		_, err := r.Open(context.Background(), 2, validity)
		must.Error(t, err)
		store.applyDelayed()
		inherited, err := r.Open(context.Background(), 2, validity)
		must.NoError(t, err)
		must.Eq(t, "vm-1", inherited.VM, must.Sprint(fault))
		must.Eq(t, []string{"a"}, idsOf(inherited.Targets))
	}
}

// Whatever happens to writes, a target whose record was confirmed is found by a successor until its removal was
// asked for, and an owner that has a successor confirms nothing.
func TestFuzzTargetRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := newFakeStore()
		token := int64(1)
		r, _ := openedRecords(rt, store, token)
		confirmed := map[string]bool{}
		superseded := []*TargetRecords{}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "target")
			switch rapid.SampledFrom([]string{"record", "record", "forget", "write", "write", "fail", "late", "successor", "old"}).Draw(rt, "step") {
			case "record":
				owner := r
				r.Record(work.Target{ID: id}, func() {
					if owner != r {
						rt.Errorf("%s was recorded by an owner that has a successor", id)
					}
					confirmed[id] = true
				})
			case "forget":
				delete(confirmed, id)
				r.Forget(id)
			case "write":
				r.writeAll(rt)
			case "fail":
				store.failures = append(store.failures, rapid.SampledFrom([]failure{rejected, answerLost, requestLost, appliedLate}).Draw(rt, "failure"))
			case "late":
				store.applyDelayed()
			case "old":
				for _, old := range superseded {
					old.Record(work.Target{ID: id}, func() { rt.Errorf("%s was recorded by an owner that has a successor", id) })
					old.Forget(id)
					old.writeAll(rt)
				}
			case "successor":
				token++
				store.failures = nil
				superseded = append(superseded, r)
				var inherited Inherited
				r, inherited = openedRecords(rt, store, token)
				found := idsOf(inherited.Targets)
				for _, id := range slices.Sorted(maps.Keys(confirmed)) {
					must.SliceContains(rt, found, id)
				}
				must.Eq(rt, fmt.Sprint("vm-", token-1), inherited.VM)
			}
		}
	})
}

// An owner with the token of its predecessor, which the targets obey as well, doesn't take the record over before
// its own claim is written.
func TestSharedTokenTakesNoRecordsOver(t *testing.T) {
	store := newFakeStore()
	openedRecords(t, store, 1)
	successor := newTargetRecords(recordOptions(2), store, 2)
	_, err := successor.Open(context.Background(), 1, validity)
	must.ErrorIs(t, err, ErrSharedToken)
	inherited, err := successor.Open(context.Background(), 3, validity)
	must.NoError(t, err)
	must.Eq(t, "vm-1", inherited.VM)
}
