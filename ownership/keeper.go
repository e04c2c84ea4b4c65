package ownership

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
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
	// maxClaimDelay is the time within which a new claim is known once the store answers again.
	// Callers of a failure domain are refused while its new owner isn't known.
	maxClaimDelay = 2 * time.Second
	// decideInterval is the time between two decisions, a fraction of heartbeat.SilenceTimeout.
	decideInterval = 40 * time.Millisecond
	// claimRetryInterval is the minimum time between two attempts to write a claim.
	claimRetryInterval = 250 * time.Millisecond
	// handOverWriteTimeout bounds the write of a handover, because a stopping process has
	// little time.
	handOverWriteTimeout = 400 * time.Millisecond
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
	// Groups are those of the deployment, whose claims are followed; empty stands for any.
	Groups []string
	// CPUShare returns this VM's measured share of a core, on which the delay of its claims depends; nil
	// means no delay.
	CPUShare func() float64
	Log      *slog.Logger
	// ClaimsChanged is called with all claims after each change; it must not block.
	ClaimsChanged func([]GroupClaim)
	// StoreAnswered is called when the store has answered; it must not block, and may be nil.
	StoreAnswered func(now time.Duration)
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
	claims map[string]GroupClaim
	// seenAt is when each claim was first seen in its present version.
	seenAt map[string]time.Duration
	// rowGone holds the groups whose claim is known, but whose row was removed since.
	rowGone map[string]bool
	// claimsRead is set once the claims were read from the store.
	claimsRead  bool
	started     time.Duration
	leaving     bool
	lastAttempt time.Duration
	// deadOwners holds the incarnations of owners whose processes have certainly ended.
	deadOwners map[uint64]bool
	// history holds the handovers of this VM's group, succession what its owner last reported.
	history    *history
	succession reportedSuccession
}

// New returns a keeper that claims nothing before it has read the claims.
func New(o Options, store Store, peers Peers) *Keeper {
	return &Keeper{
		options: o, store: store, peers: peers,
		claims: map[string]GroupClaim{}, seenAt: map[string]time.Duration{}, rowGone: map[string]bool{}, deadOwners: map[uint64]bool{}, history: newHistory(), started: bootclock.Now(),
	}
}

// Run follows the claims, and claims the group whenever it should, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return mirror.Follow(ctx, k.store, mirror.Options{Table: claimsTable, MaxDelay: maxClaimDelay, Log: k.options.Log, StoreAnswered: k.options.StoreAnswered}, k.applyUpdate)
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
func (k *Keeper) OwnerDied(incarnation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, claim := range k.claims {
		if claim.Claim.GetLife() == incarnation && !k.deadOwners[incarnation] {
			k.options.Log.Warn("owner died", "group", claim.Group, "owner", claim.Claim.GetVm())
			k.deadOwners[incarnation] = true
		}
	}
}

// Claim returns the claim of this VM's group, if it is known.
func (k *Keeper) Claim() (GroupClaim, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	claim, ok := k.claims[k.options.Group]
	return claim, ok
}

// Claims returns the claims of all groups, sorted by group.
func (k *Keeper) Claims() []GroupClaim {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sortedClaims()
}

// sortedClaims is Claims for callers that hold the lock.
func (k *Keeper) sortedClaims() []GroupClaim {
	list := slices.Collect(maps.Values(k.claims))
	slices.SortFunc(list, func(a, b GroupClaim) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return list
}

// Merge adds claims that another VM has read, wherever they are newer.
func (k *Keeper) Merge(claims []GroupClaim) {
	k.mu.Lock()
	for _, claim := range claims {
		k.keepNewer(claim)
	}
	k.mu.Unlock()
	k.notify()
}

// applyUpdate adds the claims in rows of the store.
func (k *Keeper) applyUpdate(update mirror.Update) {
	k.mu.Lock()
	k.claimsRead = true
	if update.Snapshot {
		k.noteGoneRows(update.Rows)
	}
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			k.noteGoneRow(row.Key, max(row.Version, update.Version))
			continue
		}
		if !k.isGroup(row.Key) {
			k.options.Count("rows_unreadable", string(claimsTable))
			k.options.Log.Warn("row not understood", "table", claimsTable, "key", row.Key, "version", row.Version, "error", "the deployment has no such failure domain: remove the row")
			continue
		}
		claim := &linkpb.Claim{}
		if err := proto.Unmarshal(row.Value, claim); err != nil {
			// An unreadable claim has no owner, but the next claim needs the row's version.
			k.options.Count("rows_unreadable", string(claimsTable))
			k.options.Log.Warn("row not understood", "table", claimsTable, "key", row.Key, "version", row.Version, "error", err)
			claim = &linkpb.Claim{}
		}
		if row.Version >= k.claims[row.Key].Version {
			delete(k.rowGone, row.Key)
		}
		k.keepNewer(GroupClaim{Group: row.Key, Claim: claim, Version: row.Version})
	}
	k.mu.Unlock()
	k.notify()
}

// noteGoneRows records the known claims that a snapshot of the table lacks.
func (k *Keeper) noteGoneRows(snapshot platform.Rows) {
	for group := range k.claims {
		if !slices.ContainsFunc(snapshot.Rows, func(row platform.Row) bool { return row.Key == group }) {
			k.noteGoneRow(group, snapshot.Version)
		}
	}
}

// noteGoneRow records that the row of a claim was gone at a version of the store, unless the claim is
// newer. The claim stays in force until another one is written, which then replaces no row.
func (k *Keeper) noteGoneRow(group string, version int64) {
	if claim, known := k.claims[group]; known && version > claim.Version && !k.rowGone[group] {
		k.rowGone[group] = true
		k.options.Count("claims_removed", group)
		k.options.Log.Warn("the row of a claim was removed", "group", group, "owner", k.claims[group].Claim.GetVm(), "token", k.claims[group].Version)
	}
}

// replacedRow returns which row a new claim of this VM's group replaces: the version of the known one,
// 0 before the first, or goneRow. The caller holds the lock.
func (k *Keeper) replacedRow() int64 {
	if k.rowGone[k.options.Group] {
		return goneRow
	}
	return k.claims[k.options.Group].Version
}

// isGroup reports whether the deployment has a group. Each VM pings the owner under each claim.
func (k *Keeper) isGroup(name string) bool {
	return len(k.options.Groups) == 0 || slices.Contains(k.options.Groups, name)
}

// keepNewer keeps a claim if it is newer than the known one of its group.
func (k *Keeper) keepNewer(claim GroupClaim) {
	old, known := k.claims[claim.Group]
	if known && !claim.IsNewerThan(old) || !k.isGroup(claim.Group) {
		return
	}
	if claim.Version > old.Version {
		delete(k.rowGone, claim.Group)
	}
	k.claims[claim.Group] = claim
	k.seenAt[claim.Group] = bootclock.Now()
	if old.Claim.GetLife() != claim.Claim.GetLife() {
		k.options.Count("owner_changes", claim.Group)
		k.recordHandover(claim)
	}
	k.options.Log.Info("owner changed", "group", claim.Group, "owner", claim.Claim.GetVm(), "token", claim.Version,
		"incarnation", strconv.FormatUint(claim.Claim.GetLife(), 16), "passed", claim.Claim.GetPassed())
}

func (k *Keeper) notify() { k.options.ClaimsChanged(k.Claims()) }

// decide calls claimIfDue at each decideInterval until the context ends.
func (k *Keeper) decide(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.claimIfDue(ctx)
		}
	}
}

// claimIfDue writes a claim for this VM if ShouldClaim says so, unless the claims aren't read yet,
// this VM leaves, or the last attempt is too recent.
func (k *Keeper) claimIfDue(ctx context.Context) {
	now := bootclock.Now()
	k.mu.Lock()
	observed := k.observe(now)
	replaces := k.replacedRow()
	wanted := k.claimsRead && !k.leaving && now-k.lastAttempt >= claimRetryInterval && ShouldClaim(observed)
	if wanted {
		k.lastAttempt = now
	}
	k.mu.Unlock()
	if !wanted {
		return
	}
	k.options.Log.Info("claiming", "group", k.options.Group, "silent", observed.OwnerSilent, "waited", observed.ClaimAge)
	if err := k.writeClaim(ctx, k.ownClaim(), replaces); err != nil {
		k.options.Log.Warn("claim not written", "group", k.options.Group, "error", err)
	}
}

// observe returns what is known of the group now. The caller holds the lock. An owner that was
// never heard counts as silent since its claim was first seen.
func (k *Keeper) observe(now time.Duration) Observation {
	o := Observation{VM: k.options.Self.VM, Incarnation: k.options.Self.Incarnation, ClaimDelay: k.claimDelay(), StrongerKnown: k.strongerKnown(), ClaimAge: now - k.started}
	claim, ok := k.claims[k.options.Group]
	if !ok {
		return o
	}
	o.Current = &claim
	o.ClaimAge = now - k.seenAt[claim.Group]
	o.OwnerSilent = o.ClaimAge
	o.OwnerDead = k.deadOwners[claim.Claim.GetLife()]
	if view, ok := k.peers.View(claim.Claim.GetLife()); ok && view.LastHeard > 0 {
		o.OwnerSilent = now - view.LastHeard
	}
	return o
}

// writeClaim writes a claim to the store in place of the row that the decision for it rests on, and
// merges it immediately, before the feed returns it.
func (k *Keeper) writeClaim(ctx context.Context, claim *linkpb.Claim, replaces int64) error {
	claim.Replaced = replaces
	value, err := proto.Marshal(claim)
	if err != nil {
		return err
	}
	version, err := k.store.Put(ctx, claimsTable, k.options.Group, value, max(replaces, 0))
	if err != nil {
		// If the answer was lost, the row in the feed shows who owns the group.
		return err
	}
	k.Merge([]GroupClaim{{Group: k.options.Group, Claim: claim, Version: version}})
	return nil
}

// ErrClaimGone means that the store has no claim of the group. Another VM may have claimed before the
// row was removed, so that nothing is known of the owner.
var ErrClaimGone = errors.New("the claim's row is gone from the store: it is written again")

// ConfirmOwnership asks the store whether this VM's claim is still the newest one of the group. If the
// row is gone, it writes a new claim, which doesn't continue the earlier one.
func (k *Keeper) ConfirmOwnership(ctx context.Context) (bool, error) {
	rows, err := k.store.Get(ctx, claimsTable, "", k.options.Group)
	if err != nil {
		return false, err
	}
	claim, known := k.Claim()
	if !known || claim.Claim.GetLife() != k.options.Self.Incarnation {
		return false, nil
	}
	if len(rows.Rows) == 0 {
		k.restoreClaim(ctx, claim)
		return false, ErrClaimGone
	}
	return rows.Rows[0].Version <= claim.Version, nil
}

// restoreClaim writes a claim of this VM, which owns the group, where the row of its claim was removed.
func (k *Keeper) restoreClaim(ctx context.Context, gone GroupClaim) {
	now := bootclock.Now()
	k.mu.Lock()
	wanted := !k.leaving && now-k.lastAttempt >= claimRetryInterval
	if wanted {
		k.lastAttempt = now
		k.noteGoneRow(k.options.Group, gone.Version+1)
	}
	k.mu.Unlock()
	if !wanted {
		return
	}
	if err := k.writeClaim(ctx, k.ownClaim(), goneRow); err != nil {
		k.options.Log.Warn("claim not written", "group", k.options.Group, "error", err)
	}
}

// ownClaim returns a claim of this VM.
func (k *Keeper) ownClaim() *linkpb.Claim {
	return &linkpb.Claim{
		Vm: k.options.Self.VM, Life: k.options.Self.Incarnation,
		Control: k.options.Self.ControlAddress, Heartbeat: k.options.Self.HeartbeatAddress,
		StrongestShare: k.strongestKnown(),
	}
}
