package ownership

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
)

// claimsTable has a row for each group.
const claimsTable platform.Table = "owners"

// Times of the keeper.
const (
	// feedTimeout bounds how long a dead connection to the store goes unnoticed.
	feedWait = 3 * time.Second
	// decideInterval is the time between two decisions, a fraction of heartbeat.Silence.
	decideInterval = 40 * time.Millisecond
	// claimRetryInterval is the minimum time between two attempts to write a claim.
	writePause = 250 * time.Millisecond
	// handOverWriteTimeout bounds the write of a handover, because a stopping process has
	// little time.
	handOverWrite = 400 * time.Millisecond
)

// Store is the part of the platform's store that the keeper uses.
type Store interface {
	mirror.Source
	Put(ctx context.Context, table platform.Table, key string, value []byte, expected int64) (int64, error)
	Get(ctx context.Context, table platform.Table, part, key string) (platform.Rows, error)
}

// Peers returns what is known of an owner from its heartbeats.
type Peers interface {
	View(incarnation uint64) (heartbeat.View, bool)
}

// Options of a Keeper.
type Options struct {
	Self  heartbeat.Self
	Group string
	// ClaimDelay returns how long this VM delays its claims; nil means no delay.
	Patience func() time.Duration
	Log      *slog.Logger
	// ClaimsChanged is called with all claims after each change; it must not block.
	Changed func([]Held)
	// StoreAnswered is called when the store has answered; it must not block, and may be nil.
	Heard func(now time.Duration)
	// Count counts changes of owners and unreadable rows; it must not block.
	Count func(what, label string)
}

// Keeper follows the claims of all groups, and claims the group of its own failure domain when
// that group's owner is gone.
type Keeper struct {
	options Options
	store   Store
	peers   Peers

	mu     sync.Mutex
	claims map[string]Held
	// seenAt is when each claim was first seen in its present version.
	known map[string]time.Duration
	// claimsRead is set once the claims were read from the store.
	read    bool
	started time.Duration
	leaving bool
	lastTry time.Duration
	// deadOwners holds the incarnations of owners whose processes have certainly ended.
	dead map[uint64]bool
}

// New returns a keeper that claims nothing before it has read the claims.
func New(o Options, store Store, peers Peers) *Keeper {
	if o.Patience == nil {
		o.Patience = func() time.Duration { return 0 }
	}
	return &Keeper{
		options: o, store: store, peers: peers,
		claims: map[string]Held{}, known: map[string]time.Duration{}, dead: map[uint64]bool{}, started: bootclock.Now(),
	}
}

// Run follows the claims, and claims the group whenever it should, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return mirror.Follow(ctx, k.store, mirror.Options{Table: claimsTable, Wait: feedWait, Log: k.options.Log, Heard: k.options.Heard}, k.take)
	})
	g.Go(func() error { k.decide(ctx); return nil })
	return g.Wait()
}

// Leave stops writing claims for this VM.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// OwnerDied records that an incarnation of a VM has certainly ended, so that its group can be
// claimed without waiting for its silence.
func (k *Keeper) Died(incarnation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, claim := range k.claims {
		if claim.Claim.GetLife() == incarnation && !k.dead[incarnation] {
			k.options.Log.Warn("owner died", "group", claim.Group, "owner", claim.Claim.GetVm())
			k.dead[incarnation] = true
		}
	}
}

// Claim returns the claim of this VM's group, if it is known.
func (k *Keeper) Claim() (Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	claim, ok := k.claims[k.options.Group]
	return claim, ok
}

// Claims returns the claims of all groups, sorted by group.
func (k *Keeper) Claims() []Held {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list()
}

// sortedClaims is Claims for callers that hold the lock.
func (k *Keeper) list() []Held {
	list := slices.Collect(maps.Values(k.claims))
	slices.SortFunc(list, func(a, b Held) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return list
}

// Merge adds claims that another VM has read, wherever they are newer.
func (k *Keeper) Merge(claims []Held) {
	k.mu.Lock()
	for _, claim := range claims {
		k.adopt(claim)
	}
	k.mu.Unlock()
	k.notify()
}

// applyUpdate adds the claims in rows of the store.
func (k *Keeper) take(update mirror.Update) {
	k.mu.Lock()
	k.read = true
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			continue
		}
		claim := &linkpb.Claim{}
		if err := proto.Unmarshal(row.Value, claim); err != nil {
			// An unreadable claim has no owner, but the next claim needs the row's version.
			k.options.Count("rows_unreadable", string(claimsTable))
			k.options.Log.Warn("row not understood", "table", claimsTable, "key", row.Key, "version", row.Version, "error", err)
			claim = &linkpb.Claim{}
		}
		k.adopt(Held{Group: row.Key, Claim: claim, Version: row.Version})
	}
	k.mu.Unlock()
	k.notify()
}

// keepNewer keeps a claim if it is newer than the known one of its group.
func (k *Keeper) adopt(claim Held) {
	old, known := k.claims[claim.Group]
	if known && !claim.Newer(old) {
		return
	}
	if old.Claim.GetLife() != claim.Claim.GetLife() {
		k.options.Count("owner_changes", claim.Group)
	}
	k.claims[claim.Group] = claim
	k.known[claim.Group] = bootclock.Now()
	k.options.Log.Info("owner changed", "group", claim.Group, "owner", claim.Claim.GetVm(), "token", claim.Version)
}

func (k *Keeper) notify() { k.options.Changed(k.Claims()) }

// decide calls claimIfDue at each decideInterval until the context ends.
func (k *Keeper) decide(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.consider(ctx)
		}
	}
}

// claimIfDue writes a claim for this VM if ShouldClaim says so, unless the claims aren't read yet,
// this VM leaves, or the last attempt is too recent.
func (k *Keeper) consider(ctx context.Context) {
	now := bootclock.Now()
	k.mu.Lock()
	observed := k.belief(now)
	wanted := k.read && !k.leaving && now-k.lastTry >= writePause && Take(observed)
	if wanted {
		k.lastTry = now
	}
	k.mu.Unlock()
	if !wanted {
		return
	}
	k.options.Log.Info("claiming", "group", k.options.Group, "silent", observed.Silent, "waited", observed.Waited)
	claim := &linkpb.Claim{
		Vm: k.options.Self.VM, Life: k.options.Self.Life,
		Control: k.options.Self.Control, Heartbeat: k.options.Self.Heartbeat,
	}
	expected := int64(0)
	if observed.Held != nil {
		expected = observed.Held.Version
	}
	if err := k.write(ctx, claim, expected); err != nil {
		k.options.Log.Warn("claim not written", "group", k.options.Group, "error", err)
	}
}

// observe returns what is known of the group now. The caller holds the lock. An owner that was
// never heard counts as silent since its claim was first seen.
func (k *Keeper) belief(now time.Duration) Belief {
	o := Belief{VM: k.options.Self.VM, Life: k.options.Self.Life, Patience: k.options.Patience(), Waited: now - k.started}
	claim, ok := k.claims[k.options.Group]
	if !ok {
		return o
	}
	o.Held = &claim
	o.Waited = now - k.known[claim.Group]
	o.Silent = o.Waited
	o.Dead = k.dead[claim.Claim.GetLife()]
	if view, ok := k.peers.View(claim.Claim.GetLife()); ok && view.Heard > 0 {
		o.Silent = now - view.Heard
	}
	return o
}

// writeClaim writes a claim to the store and merges it immediately, before the feed returns it.
func (k *Keeper) write(ctx context.Context, claim *linkpb.Claim, expected int64) error {
	value, err := proto.Marshal(claim)
	if err != nil {
		return err
	}
	version, err := k.store.Put(ctx, claimsTable, k.options.Group, value, expected)
	if err != nil {
		// If the answer was lost, the row in the feed shows who owns the group.
		return err
	}
	k.Merge([]Held{{Group: k.options.Group, Claim: claim, Version: version}})
	return nil
}

// ErrNoSuccessor means that no other VM of the failure domain is known.
var ErrNoSuccessor = errors.New("no successor: no other VM of the failure domain sends heartbeats")

// ConfirmOwnership asks the store whether this VM's claim is still the newest one of the group.
func (k *Keeper) Confirm(ctx context.Context) (bool, error) {
	rows, err := k.store.Get(ctx, claimsTable, "", k.options.Group)
	if err != nil {
		return false, err
	}
	claim, known := k.Claim()
	if !known || claim.Claim.GetLife() != k.options.Self.Life {
		return false, nil
	}
	return len(rows.Rows) == 0 || rows.Rows[0].Version <= claim.Version, nil
}

// ClaimSender tells another VM directly that it owns a group now.
type Passer interface {
	Pass(ctx context.Context, address string, claim Held) error
}

// HandOver makes another VM the owner of the group, which this VM owns: through the store or,
// while the store is away, by a direct message. Both are safe, because only this VM holds the
// token that the targets accept, and so only this VM can give up the claim.
func (k *Keeper) HandOver(ctx context.Context, pingers []heartbeat.Pinger, sender Passer) error {
	to, ok := Successor(k.options.Self.FailureDomain, pingers)
	if !ok {
		return ErrNoSuccessor
	}
	k.mu.Lock()
	own := k.claims[k.options.Group]
	k.mu.Unlock()
	claim := &linkpb.Claim{
		Vm: to.VM, Life: to.Life, Control: to.Control, Heartbeat: to.Heartbeat,
		Former: &linkpb.Former{Life: k.options.Self.Life, Control: k.options.Self.Control},
	}
	ctx, cancel := context.WithTimeout(ctx, handOverWrite)
	defer cancel()
	err := k.write(ctx, claim, own.Version)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return err
	}
	k.options.Log.Warn("passing the claim on without the store", "group", k.options.Group, "to", to.VM, "error", err)
	claim.Passed = own.Claim.GetPassed() + 1
	handedOver := Held{Group: k.options.Group, Claim: claim, Version: own.Version}
	// The claim is merged also if no answer came, because the successor may own the group.
	err = sender.Pass(context.WithoutCancel(ctx), to.Control, handedOver)
	k.Merge([]Held{handedOver})
	return err
}
