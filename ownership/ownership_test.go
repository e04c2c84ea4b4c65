package ownership

import (
	"context"
	"errors"
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

func TestShouldClaim(t *testing.T) {
	held := func(vm string, incarnation uint64, handovers int32) *GroupClaim {
		return &GroupClaim{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: vm, Life: incarnation, Passed: handovers}}
	}
	for name, test := range map[string]struct {
		observed Observation
		want     bool
	}{
		"no claim, delayed":     {Observation{ClaimAge: 10 * ms, ClaimDelay: 20 * ms}, false},
		"no claim":              {Observation{ClaimAge: 30 * ms, ClaimDelay: 20 * ms}, true},
		"own claim":             {Observation{Current: held("v", 1, 0), VM: "v", Incarnation: 1, OwnerSilent: time.Hour, ClaimAge: time.Hour}, false},
		"own, handed over":      {Observation{Current: held("v", 1, 1), VM: "v", Incarnation: 1}, true},
		"earlier incarnation":   {Observation{Current: held("v", 2, 0), VM: "v", Incarnation: 1}, true},
		"earlier, weak":         {Observation{Current: held("v", 2, 0), VM: "v", Incarnation: 1, StrongerKnown: true, ClaimAge: 400 * ms, OwnerSilent: 400 * ms}, false},
		"earlier, weak, silent": {Observation{Current: held("v", 2, 0), VM: "v", Incarnation: 1, StrongerKnown: true, ClaimAge: time.Second, OwnerSilent: time.Second}, true},
		"owner alive":           {Observation{Current: held("w", 2, 0), VM: "v", Incarnation: 1, OwnerSilent: 50 * ms, ClaimAge: time.Hour}, false},
		"owner silent":          {Observation{Current: held("w", 2, 0), VM: "v", Incarnation: 1, OwnerSilent: time.Second, ClaimAge: time.Hour}, true},
		"owner silent, delayed": {Observation{Current: held("w", 2, 0), VM: "v", Incarnation: 1, OwnerSilent: heartbeat.SilenceTimeout, ClaimAge: time.Hour, ClaimDelay: ms}, false},
		"claim is new":          {Observation{Current: held("w", 2, 0), VM: "v", Incarnation: 1, OwnerSilent: time.Hour, ClaimAge: 100 * ms}, false},
		"owner dead":            {Observation{Current: held("w", 2, 0), VM: "v", Incarnation: 1, OwnerDead: true, ClaimAge: 10 * ms}, true},
		"owner dead, delayed":   {Observation{Current: held("w", 2, 0), VM: "v", Incarnation: 1, OwnerDead: true, ClaimAge: 10 * ms, ClaimDelay: 20 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, ShouldClaim(test.observed)) })
	}
}

// fakeStore holds one row. While err is set, reads of the row and writes fail with it.
type fakeStore struct {
	version int64
	value   []byte
	err     error
	puts    int
}

func (s *fakeStore) Read(context.Context, platform.Table) (platform.Rows, error) {
	return platform.Rows{}, platform.ErrStoreUnavailable.Errorf("away")
}

func (s *fakeStore) Feed(context.Context, platform.Table, int64, time.Duration) (platform.Rows, error) {
	return platform.Rows{}, platform.ErrStoreUnavailable.Errorf("away")
}

func (s *fakeStore) Get(_ context.Context, _ platform.Table, _, key string) (platform.Rows, error) {
	if s.err != nil || s.version == 0 {
		return platform.Rows{}, s.err
	}
	return platform.Rows{Rows: []platform.Row{{Key: key, Value: s.value, Version: s.version}}}, nil
}

func (s *fakeStore) Put(_ context.Context, _ platform.Table, _ string, value []byte, expected int64) (int64, error) {
	s.puts++
	if s.err != nil {
		return 0, s.err
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

func newKeeper(store Store, changed func([]GroupClaim)) *Keeper {
	return New(Options{
		Self: heartbeat.Self{VM: "v", Incarnation: 1, FailureDomain: "g"}, Group: "g",
		Log: slog.New(slog.DiscardHandler), ClaimsChanged: changed, Count: func(string, string) {},
	}, store, fakeViews{})
}

func (k *Keeper) readNothing() { k.applyUpdate(mirror.Update{Snapshot: true}) }

func TestClaimsOnlyAfterTheFirstRead(t *testing.T) {
	store := &fakeStore{}
	var seen []GroupClaim
	k := newKeeper(store, func(claims []GroupClaim) { seen = claims })
	k.started -= time.Minute
	k.claimIfDue(t.Context())
	must.Eq(t, 0, store.puts)
	k.readNothing()
	k.claimIfDue(t.Context())
	must.Eq(t, 1, store.puts)
	must.SliceLen(t, 1, seen)
	must.Eq(t, 10, seen[0].Version)
	must.Eq(t, 1, seen[0].Claim.GetLife())
}

// After a lost answer to a write, the row in the store shows who owns the group.
func TestLostAnswerIsResolvedByTheRow(t *testing.T) {
	store := &fakeStore{err: platform.ErrWriteUnconfirmed.Errorf("lost")}
	k := newKeeper(store, func([]GroupClaim) {})
	k.started -= time.Minute
	k.readNothing()
	k.claimIfDue(t.Context())
	must.SliceEmpty(t, k.Claims())
	value, err := proto.Marshal(&linkpb.Claim{Vm: "v", Life: 1})
	must.NoError(t, err)
	k.applyUpdate(mirror.Update{Rows: platform.Rows{Rows: []platform.Row{{Key: "g", Value: value, Version: 12}}}})
	claim, ok := k.Claim()
	must.True(t, ok)
	must.Eq(t, 12, claim.Version)
}

func TestOlderClaimsAreIgnored(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]GroupClaim) {})
	k.Merge([]GroupClaim{{Group: "g", Version: 7, Claim: &linkpb.Claim{Vm: "a", Passed: 1}}})
	k.Merge([]GroupClaim{{Group: "g", Version: 7, Claim: &linkpb.Claim{Vm: "b"}}, {Group: "g", Version: 3, Claim: &linkpb.Claim{Vm: "c", Passed: 9}}})
	claim, _ := k.Claim()
	must.Eq(t, "a", claim.Claim.GetVm())
	k.Merge([]GroupClaim{{Group: "g", Version: 8, Claim: &linkpb.Claim{Vm: "d"}}})
	claim, _ = k.Claim()
	must.Eq(t, "d", claim.Claim.GetVm())
}

type fakeClaimSender struct {
	to    string
	claim GroupClaim
}

func (f *fakeClaimSender) HandOverClaim(_ context.Context, address string, claim GroupClaim) error {
	f.to, f.claim = address, claim
	return nil
}

var successor = []heartbeat.Pinger{{VM: "w", Incarnation: 2, FailureDomain: "g", ControlAddress: "w:1"}}

func TestHandOverThroughTheStore(t *testing.T) {
	store := &fakeStore{version: 5}
	k := newKeeper(store, func([]GroupClaim) {})
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	sender := &fakeClaimSender{}
	must.NoError(t, k.HandOver(t.Context(), successor, sender))
	must.Eq(t, "", sender.to)
	claim, _ := k.Claim()
	must.Eq(t, 2, claim.Claim.GetLife())
	must.Eq(t, 15, claim.Version)
	must.Eq(t, 1, claim.Claim.GetFormer().GetLife())
}

// While the store is away, the owner hands its claim over directly under the same token. The
// successor writes it to the store once the store is back.
func TestHandOverWithoutTheStore(t *testing.T) {
	store := &fakeStore{version: 5, err: platform.ErrStoreUnavailable.Errorf("away")}
	k := newKeeper(store, func([]GroupClaim) {})
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	sender := &fakeClaimSender{}
	must.NoError(t, k.HandOver(t.Context(), successor, sender))
	must.Eq(t, "w:1", sender.to)
	must.Eq(t, 5, sender.claim.Version)
	must.Eq(t, 1, sender.claim.Claim.GetPassed())

	store.err = nil
	next := New(Options{
		Self: heartbeat.Self{VM: "w", Incarnation: 2, FailureDomain: "g"}, Group: "g",
		Log: slog.New(slog.DiscardHandler), ClaimsChanged: func([]GroupClaim) {}, Count: func(string, string) {},
	}, store, fakeViews{})
	next.readNothing()
	next.Merge([]GroupClaim{sender.claim})
	next.claimIfDue(t.Context())
	claim, _ := next.Claim()
	must.Eq(t, 15, claim.Version)
	must.Eq(t, 0, claim.Claim.GetPassed())
	must.Eq(t, 2, claim.Claim.GetLife())
}

func TestHandOverWithoutSuccessorFails(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]GroupClaim) {})
	must.ErrorIs(t, k.HandOver(t.Context(), nil, &fakeClaimSender{}), ErrNoSuccessor)
}

func TestDeadOwnerIsReplacedWithoutDelay(t *testing.T) {
	store := &fakeStore{version: 5}
	k := newKeeper(store, func([]GroupClaim) {})
	k.readNothing()
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "w", Life: 2}}})
	k.claimIfDue(t.Context())
	must.Eq(t, 0, store.puts)
	k.OwnerDied(2)
	k.claimIfDue(t.Context())
	must.Eq(t, 1, store.puts)
}

// A claim that the same incarnation writes again is no change of owner.
func TestOwnerChangesAreCounted(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]GroupClaim) {})
	counts := map[string]int{}
	k.options.Count = func(what, label string) { counts[what+" "+label]++ }
	for version, incarnation := range []uint64{7, 7, 8, 7} {
		k.Merge([]GroupClaim{{Group: "g", Claim: &linkpb.Claim{Vm: "o", Life: incarnation}, Version: int64(version + 1)}})
	}
	k.Merge([]GroupClaim{{Group: "g", Claim: &linkpb.Claim{Vm: "o", Life: 9}, Version: 1}})
	must.Eq(t, map[string]int{"owner_changes g": 3}, counts)
}

// An unreadable claim has no owner. After the time within which an owner would have been heard, it
// is replaced under the condition that the row still has its version.
func TestUnreadableClaimIsReplaced(t *testing.T) {
	counted := 0
	k := New(Options{
		Self: heartbeat.Self{VM: "v", Incarnation: 1}, Group: "g", Log: slog.New(slog.DiscardHandler),
		ClaimsChanged: func([]GroupClaim) {}, Count: func(what, _ string) {
			if what == "rows_unreadable" {
				counted++
			}
		},
	}, nil, nil)
	k.applyUpdate(mirror.Update{Snapshot: true, Rows: platform.Rows{Version: 9, Rows: []platform.Row{{Key: "g", Value: []byte("\xff\xff"), Version: 9}}}})
	held, ok := k.Claim()
	must.True(t, ok)
	must.Eq(t, 9, held.Version)
	must.Eq(t, 1, counted)
	must.False(t, ShouldClaim(Observation{Current: &held, VM: "v", Incarnation: 1, ClaimAge: 100 * ms, OwnerSilent: 100 * ms}))
	must.True(t, ShouldClaim(Observation{Current: &held, VM: "v", Incarnation: 1, ClaimAge: time.Second, OwnerSilent: time.Second}))
}

// A claim of a group that the deployment doesn't have is not followed, wherever it comes from: each VM would ping
// the address that it names.
func TestClaimOfUnknownGroupIsIgnored(t *testing.T) {
	counted := 0
	k := New(Options{
		Self: heartbeat.Self{VM: "v", Incarnation: 1}, Group: "g", Groups: []string{"g", "h"}, Log: slog.New(slog.DiscardHandler),
		ClaimsChanged: func([]GroupClaim) {}, Count: func(what, _ string) {
			if what == "rows_unreadable" {
				counted++
			}
		},
	}, nil, nil)
	value, err := proto.Marshal(&linkpb.Claim{Vm: "w", Life: 7, Heartbeat: "127.0.0.1:9"})
	must.NoError(t, err)
	k.applyUpdate(mirror.Update{Snapshot: true, Rows: platform.Rows{Version: 9, Rows: []platform.Row{
		{Key: "nowhere", Value: value, Version: 8}, {Key: "h", Value: value, Version: 9},
	}}})
	k.Merge([]GroupClaim{{Group: "elsewhere", Claim: &linkpb.Claim{Vm: "w", Life: 8}, Version: 12}})
	must.SliceLen(t, 1, k.Claims())
	must.Eq(t, "h", k.Claims()[0].Group)
	must.Eq(t, 1, counted)
}

// unansweringSender gets a claim and loses the answer.
type unansweringSender struct{ fakeClaimSender }

func (f *unansweringSender) HandOverClaim(ctx context.Context, address string, claim GroupClaim) error {
	_ = f.fakeClaimSender.HandOverClaim(ctx, address, claim)
	return errors.New("no answer")
}

// A claim that is handed over by message is counted by whether the message was answered.
func TestClaimsPassedAreCounted(t *testing.T) {
	counts := map[string]int{}
	for _, sender := range []ClaimSender{&fakeClaimSender{}, &unansweringSender{}} {
		k := newKeeper(&fakeStore{version: 5, err: platform.ErrStoreUnavailable.Errorf("away")}, func([]GroupClaim) {})
		k.options.Count = func(what, label string) { counts[what+" "+label]++ }
		k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
		_ = k.HandOver(t.Context(), successor, sender)
	}
	must.Eq(t, 1, counts["claims_passed answered"])
	must.Eq(t, 1, counts["claims_passed unanswered"])
}

// A claim whose row is gone isn't confirmed: another VM may have claimed before.
func TestGoneClaimIsNotConfirmed(t *testing.T) {
	store := &fakeStore{version: 5}
	k := newKeeper(store, func([]GroupClaim) {})
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	held, err := k.ConfirmOwnership(t.Context())
	must.NoError(t, err)
	must.True(t, held)
	store.version = 6
	held, err = k.ConfirmOwnership(t.Context())
	must.NoError(t, err)
	must.False(t, held)
	store.version = 0
	held, err = k.ConfirmOwnership(t.Context())
	must.ErrorIs(t, err, ErrClaimGone)
	must.False(t, held)
}

// A VM that comes to own a group again, and didn't hear of the owner in between, doesn't go on with what it
// knew of the targets.
func TestClaimAfterMissedHandoverDoesNotContinue(t *testing.T) {
	claim := func(version, replaced int64, passed int32, former uint64) GroupClaim {
		c := GroupClaim{Group: "g", Version: version, Claim: &linkpb.Claim{Vm: "v", Life: 1, Passed: passed, Replaced: replaced}}
		if former != 0 {
			c.Claim.Former = &linkpb.Former{Life: former}
		}
		return c
	}
	for name, test := range map[string]struct {
		earlier, later GroupClaim
		want           bool
	}{
		"the same":                          {claim(5, 3, 0, 0), claim(5, 3, 0, 0), true},
		"written after a message":           {claim(5, 3, 1, 2), claim(7, 5, 0, 0), true},
		"by message and through the store":  {claim(5, 3, 1, 2), claim(7, 5, 0, 2), true},
		"another owner in between":          {claim(5, 3, 0, 0), claim(9, 7, 0, 2), false},
		"the same predecessor, twice":       {claim(5, 3, 0, 2), claim(9, 7, 0, 2), false},
		"by message and back":               {claim(5, 3, 0, 0), claim(5, 3, 2, 2), false},
		"where the row was gone":            {claim(5, 3, 0, 0), claim(9, goneRow, 0, 0), false},
		"older build, written by itself":    {claim(5, 0, 1, 2), claim(7, 0, 0, 0), true},
		"older build, one handover":         {claim(5, 0, 1, 2), claim(7, 0, 0, 2), true},
		"older build, another owner before": {claim(5, 0, 0, 0), claim(9, 0, 0, 2), false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, test.later.Continues(test.earlier)) })
	}
	other := claim(7, 5, 0, 0)
	other.Claim.Life = 2
	must.False(t, other.Continues(claim(5, 3, 0, 0)))
}

// An owner whose claim's row was removed writes it again when it needs the claim confirmed. Its earlier
// claim may have had a successor, so the new one doesn't continue it.
func TestOwnerWritesRemovedClaimAgain(t *testing.T) {
	store := &fakeStore{}
	k := newKeeper(store, func([]GroupClaim) {})
	earlier := GroupClaim{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}
	k.Merge([]GroupClaim{earlier})
	_, err := k.ConfirmOwnership(t.Context())
	must.ErrorIs(t, err, ErrClaimGone)
	must.Eq(t, 1, store.puts)
	again, _ := k.Claim()
	must.Greater(t, earlier.Version, again.Version)
	must.False(t, again.Continues(earlier))
	held, err := k.ConfirmOwnership(t.Context())
	must.NoError(t, err)
	must.True(t, held)
}

// A group whose claim was removed can be claimed once its owner is silent: the new claim replaces no
// row. A snapshot that is older than the claim shows nothing.
func TestRemovedClaimOfSilentOwnerIsReplaced(t *testing.T) {
	for name, update := range map[string]mirror.Update{
		"in the feed":   {Rows: platform.Rows{Version: 7, Rows: []platform.Row{{Key: "g", Version: 7, Deleted: true}}}},
		"in a snapshot": {Snapshot: true, Rows: platform.Rows{Version: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{}
			k := newKeeper(store, func([]GroupClaim) {})
			k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "w", Life: 2}}})
			k.applyUpdate(update)
			k.seenAt["g"] -= time.Minute
			k.claimIfDue(t.Context())
			claim, _ := k.Claim()
			must.Eq(t, "v", claim.Claim.GetVm())
			must.Eq(t, goneRow, claim.Claim.GetReplaced())
			value, err := proto.Marshal(claim.Claim)
			must.NoError(t, err)
			k.applyUpdate(mirror.Update{Rows: platform.Rows{Version: 10, Rows: []platform.Row{{Key: "g", Value: value, Version: 10}}}})
			must.MapEmpty(t, k.rowGone)
		})
	}
	k := newKeeper(&fakeStore{}, func([]GroupClaim) {})
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "w", Life: 2}}})
	k.applyUpdate(mirror.Update{Snapshot: true, Rows: platform.Rows{Version: 4}})
	must.MapEmpty(t, k.rowGone)
}

// changingStore has another VM's claim reach the keeper just before a write.
type changingStore struct {
	fakeStore
	before func()
}

func (s *changingStore) Put(ctx context.Context, table platform.Table, key string, value []byte, expected int64) (int64, error) {
	s.before()
	return s.fakeStore.Put(ctx, table, key, value, expected)
}

// A claim replaces only the row on which its decision rests, not one that the VM has heard of since.
func TestClaimReplacesOnlyTheRowOfItsDecision(t *testing.T) {
	store := &changingStore{fakeStore: fakeStore{version: 6}}
	k := newKeeper(store, func([]GroupClaim) {})
	k.readNothing()
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "w", Life: 2}}})
	k.seenAt["g"] -= time.Minute
	store.before = func() { k.Merge([]GroupClaim{{Group: "g", Version: 6, Claim: &linkpb.Claim{Vm: "x", Life: 3}}}) }
	k.claimIfDue(t.Context())
	must.Eq(t, 1, store.puts)
	claim, _ := k.Claim()
	must.Eq(t, "x", claim.Claim.GetVm())
	must.Eq(t, 6, store.version)
}
