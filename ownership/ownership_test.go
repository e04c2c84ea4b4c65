package ownership

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
)

const ms = time.Millisecond

func TestTake(t *testing.T) {
	held := func(vm string, incarnation uint64, handovers int32) *Held {
		return &Held{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: vm, Life: incarnation, Passed: handovers}}
	}
	for name, test := range map[string]struct {
		belief Belief
		want   bool
	}{
		"no claim, delayed":     {Belief{Waited: 10 * ms, Patience: 20 * ms}, false},
		"no claim":              {Belief{Waited: 30 * ms, Patience: 20 * ms}, true},
		"own claim":             {Belief{Held: held("v", 1, 0), VM: "v", Life: 1, Silent: time.Hour, Waited: time.Hour}, false},
		"own, handed over":      {Belief{Held: held("v", 1, 1), VM: "v", Life: 1}, true},
		"earlier incarnation":   {Belief{Held: held("v", 2, 0), VM: "v", Life: 1}, true},
		"owner alive":           {Belief{Held: held("w", 2, 0), VM: "v", Life: 1, Silent: 50 * ms, Waited: time.Hour}, false},
		"owner silent":          {Belief{Held: held("w", 2, 0), VM: "v", Life: 1, Silent: time.Second, Waited: time.Hour}, true},
		"owner silent, delayed": {Belief{Held: held("w", 2, 0), VM: "v", Life: 1, Silent: heartbeat.Silence, Waited: time.Hour, Patience: ms}, false},
		"claim is new":          {Belief{Held: held("w", 2, 0), VM: "v", Life: 1, Silent: time.Hour, Waited: 100 * ms}, false},
		"owner dead":            {Belief{Held: held("w", 2, 0), VM: "v", Life: 1, Dead: true, Waited: 10 * ms}, true},
		"owner dead, delayed":   {Belief{Held: held("w", 2, 0), VM: "v", Life: 1, Dead: true, Waited: 10 * ms, Patience: 20 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, Take(test.belief)) })
	}
}

// The delay of a weak VM is longer than that of a strong one, whatever their names are.
func TestStrongVMsClaimFirst(t *testing.T) {
	for _, weak := range []string{"a", "b", "c", "d", "e", "f"} {
		for _, strong := range []string{"u", "v", "w", "x", "y", "z"} {
			must.Less(t, PatienceOf(weak, 0.192), PatienceOf(strong, 0.8))
		}
	}
}

func TestStronger(t *testing.T) {
	pingers := []heartbeat.Pinger{{VM: "x", FailureDomain: "d", CPUShare: 800}}
	must.True(t, Stronger("d", 192, pingers, time.Second))
	must.False(t, Stronger("d", 500, pingers, time.Second))
	must.False(t, Stronger("e", 192, pingers, time.Second))
	// An owner that is slowed down to a fifth hands over, but not to a VM that is as slow.
	must.True(t, Stronger("d", 160, pingers, time.Second))
	pingers[0].CPUShare = 160
	must.False(t, Stronger("d", 160, pingers, time.Second))
	pingers[0].CPUShare = 800
	// A VM that has just started may not know the claims yet.
	must.False(t, Stronger("d", 192, pingers, settledTime-ms))
}

func TestSuccessor(t *testing.T) {
	_, ok := Successor("d", []heartbeat.Pinger{{VM: "x", FailureDomain: "other"}, {VM: "y", FailureDomain: "d", Leaving: true}})
	must.False(t, ok)
	best, ok := Successor("d", []heartbeat.Pinger{
		{VM: "weak", FailureDomain: "d", CPUShare: 192, First: 9},
		{VM: "old", FailureDomain: "d", CPUShare: 800, First: 1},
		{VM: "young", FailureDomain: "d", CPUShare: 800, First: 5},
	})
	must.True(t, ok)
	must.Eq(t, "young", best.VM)
}

// fakeStore holds one row. While err is set, reads of the row and writes fail with it.
type fakeStore struct {
	version int64
	value   []byte
	fail    error
	puts    int
}

func (s *fakeStore) Read(context.Context, platform.Table) (platform.Rows, error) {
	return platform.Rows{}, platform.ErrStoreAway.Errorf("away")
}

func (s *fakeStore) Feed(context.Context, platform.Table, int64, time.Duration) (platform.Rows, error) {
	return platform.Rows{}, platform.ErrStoreAway.Errorf("away")
}

func (s *fakeStore) Get(_ context.Context, _ platform.Table, _, key string) (platform.Rows, error) {
	if s.fail != nil {
		return platform.Rows{}, s.fail
	}
	return platform.Rows{Rows: []platform.Row{{Key: key, Value: s.value, Version: s.version}}}, nil
}

func (s *fakeStore) Put(_ context.Context, _ platform.Table, _ string, value []byte, expected int64) (int64, error) {
	s.puts++
	if s.fail != nil {
		return 0, s.fail
	}
	if expected != s.version {
		return 0, platform.ErrConflict.Errorf("at %d", s.version)
	}
	s.version += 10
	s.value = value
	return s.version, nil
}

type fakeViews struct{ views map[uint64]heartbeat.View }

func (f fakeViews) View(incarnation uint64) (heartbeat.View, bool) {
	view, ok := f.views[incarnation]
	return view, ok
}

func newKeeper(store Store, changed func([]Held)) *Keeper {
	return New(Options{
		Self: heartbeat.Self{VM: "v", Life: 1, FailureDomain: "g"}, Group: "g",
		Log: slog.New(slog.DiscardHandler), Changed: changed, Count: func(string, string) {},
	}, store, fakeViews{})
}

func (k *Keeper) readNothing() { k.take(mirror.Update{Whole: true}) }

func TestClaimsOnlyAfterTheFirstRead(t *testing.T) {
	store := &fakeStore{}
	var seen []Held
	k := newKeeper(store, func(claims []Held) { seen = claims })
	k.started -= time.Minute
	k.consider(t.Context())
	must.Eq(t, 0, store.puts)
	k.readNothing()
	k.consider(t.Context())
	must.Eq(t, 1, store.puts)
	must.SliceLen(t, 1, seen)
	must.Eq(t, 10, seen[0].Version)
	must.Eq(t, 1, seen[0].Claim.GetLife())
}

// After a lost answer to a write, the row in the store shows who owns the group.
func TestLostAnswerIsSettledByTheRow(t *testing.T) {
	store := &fakeStore{fail: platform.ErrStoreUnknown.Errorf("lost")}
	k := newKeeper(store, func([]Held) {})
	k.started -= time.Minute
	k.readNothing()
	k.consider(t.Context())
	must.SliceEmpty(t, k.Claims())
	value, err := proto.Marshal(&linkpb.Claim{Vm: "v", Life: 1})
	must.NoError(t, err)
	k.take(mirror.Update{Rows: platform.Rows{Rows: []platform.Row{{Key: "g", Value: value, Version: 12}}}})
	claim, ok := k.Claim()
	must.True(t, ok)
	must.Eq(t, 12, claim.Version)
}

func TestOlderClaimsAreIgnored(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]Held) {})
	k.Merge([]Held{{Group: "g", Version: 7, Claim: &linkpb.Claim{Vm: "a", Passed: 1}}})
	k.Merge([]Held{{Group: "g", Version: 7, Claim: &linkpb.Claim{Vm: "b"}}, {Group: "g", Version: 3, Claim: &linkpb.Claim{Vm: "c", Passed: 9}}})
	claim, _ := k.Claim()
	must.Eq(t, "a", claim.Claim.GetVm())
	k.Merge([]Held{{Group: "g", Version: 8, Claim: &linkpb.Claim{Vm: "d"}}})
	claim, _ = k.Claim()
	must.Eq(t, "d", claim.Claim.GetVm())
}

type fakePasser struct {
	to   string
	held Held
}

func (f *fakePasser) Pass(_ context.Context, address string, claim Held) error {
	f.to, f.held = address, claim
	return nil
}

var successor = []heartbeat.Pinger{{VM: "w", Life: 2, FailureDomain: "g", Control: "w:1"}}

func TestHandOverThroughTheStore(t *testing.T) {
	store := &fakeStore{version: 5}
	k := newKeeper(store, func([]Held) {})
	k.Merge([]Held{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	sender := &fakePasser{}
	must.NoError(t, k.HandOver(t.Context(), successor, sender))
	must.Eq(t, "", sender.to)
	claim, _ := k.Claim()
	must.Eq(t, 2, claim.Claim.GetLife())
	must.Eq(t, 15, claim.Version)
	must.Eq(t, 1, claim.Claim.GetFormer().GetLife())
}

// While the store is away, the owner hands its claim over directly under the same token. The
// successor writes it to the store once the store is back.
func TestHandOverByWord(t *testing.T) {
	store := &fakeStore{version: 5, fail: platform.ErrStoreAway.Errorf("away")}
	k := newKeeper(store, func([]Held) {})
	k.Merge([]Held{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	sender := &fakePasser{}
	must.NoError(t, k.HandOver(t.Context(), successor, sender))
	must.Eq(t, "w:1", sender.to)
	must.Eq(t, 5, sender.held.Version)
	must.Eq(t, 1, sender.held.Claim.GetPassed())

	store.fail = nil
	next := New(Options{
		Self: heartbeat.Self{VM: "w", Life: 2, FailureDomain: "g"}, Group: "g",
		Log: slog.New(slog.DiscardHandler), Changed: func([]Held) {}, Count: func(string, string) {},
	}, store, fakeViews{})
	next.readNothing()
	next.Merge([]Held{sender.held})
	next.consider(t.Context())
	claim, _ := next.Claim()
	must.Eq(t, 15, claim.Version)
	must.Eq(t, 0, claim.Claim.GetPassed())
	must.Eq(t, 2, claim.Claim.GetLife())
}

func TestNobodyToHandOverTo(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]Held) {})
	must.ErrorIs(t, k.HandOver(t.Context(), nil, &fakePasser{}), ErrNoSuccessor)
}

func TestDeadOwnerIsReplacedAtOnce(t *testing.T) {
	store := &fakeStore{version: 5}
	k := newKeeper(store, func([]Held) {})
	k.readNothing()
	k.Merge([]Held{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "w", Life: 2}}})
	k.consider(t.Context())
	must.Eq(t, 0, store.puts)
	k.Died(2)
	k.consider(t.Context())
	must.Eq(t, 1, store.puts)
}

// A claim that the same incarnation writes again is no change of owner.
func TestChangesOfOwnersAreCounted(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]Held) {})
	counts := map[string]int{}
	k.options.Count = func(what, label string) { counts[what+" "+label]++ }
	for version, incarnation := range []uint64{7, 7, 8, 7} {
		k.Merge([]Held{{Group: "g", Claim: &linkpb.Claim{Vm: "o", Life: incarnation}, Version: int64(version + 1)}})
	}
	k.Merge([]Held{{Group: "g", Claim: &linkpb.Claim{Vm: "o", Life: 9}, Version: 1}})
	must.Eq(t, map[string]int{"owner_changes g": 3}, counts)
}

// An unreadable claim has no owner. After the time within which an owner would have been heard, it
// is replaced under the condition that the row still has its version.
func TestAnUnreadableClaimIsTakenOver(t *testing.T) {
	counted := 0
	k := New(Options{
		Self: heartbeat.Self{VM: "v", Life: 1}, Group: "g", Log: slog.New(slog.DiscardHandler),
		Changed: func([]Held) {}, Count: func(what, _ string) {
			if what == "rows_unreadable" {
				counted++
			}
		},
	}, nil, nil)
	k.take(mirror.Update{Whole: true, Rows: platform.Rows{Version: 9, Rows: []platform.Row{{Key: "g", Value: []byte("\xff\xff"), Version: 9}}}})
	held, ok := k.Claim()
	must.True(t, ok)
	must.Eq(t, 9, held.Version)
	must.Eq(t, 1, counted)
	must.False(t, Take(Belief{Held: &held, VM: "v", Life: 1, Waited: 100 * ms, Silent: 100 * ms}))
	must.True(t, Take(Belief{Held: &held, VM: "v", Life: 1, Waited: time.Second, Silent: time.Second}))
}
