// Package node runs one entry VM as a process. It opens the sockets, starts the entry, the
// heartbeats, the claim keeper, the relay server and, while this VM holds the claim of its
// group, the owner of the targets.
//
// Its input is the settings file, the platform's store, the tables of other VMs and their
// heartbeats. From these it decides which configuration and which cordons are in force here,
// whether an owner runs in this process, and when it hands its group over to another VM.
//
// Invariants: the configuration never goes back to an older version; at most one owner starts
// tasks in this process, beside at most one that hands over to its successor.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/entry"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/processor"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// configurationWait bounds how long a dead connection to the store goes unnoticed. It may exceed
// the 2 s within which a new configuration has to be in force: this VM then fetches it from
// another VM whose heartbeat reports a newer version.
const configurationWait = 3 * time.Second

// Options of a Node.
type Options struct {
	Settings platform.Settings
	// LoadSettings reads the settings file again; a signal on Reload triggers it.
	LoadSettings func() (platform.Settings, error)
	Reload       <-chan os.Signal
	Log          *slog.Logger
	// Count increments a counter, Observe records a duration; they must not block.
	Count   func(what, label string)
	Observe func(what string, took time.Duration)
	// Gauge sets the value of a gauge; it must not block.
	Gauge func(what string, value float64)
	// PlaceByEnd is scheduler.Options.PlaceByEnd.
	PlaceByEnd bool
	// CorrectAdmission and ReturnTimes switch the parts of the scheduler of these names on.
	CorrectAdmission, ReturnTimes bool
	// BalanceDomains has this VM balance load between failure domains.
	BalanceDomains bool
	// HandOverJobs has a leaving owner hand its running jobs over to a successor with the same setting.
	HandOverJobs bool
}

// Node is one entry VM.
type Node struct {
	options        Options
	log            *slog.Logger
	self           heartbeat.Self
	group          string
	store          *platform.Store
	targets        *platform.TargetClient
	adviser        *platform.Advisor
	peerClient     *link.Client
	heartbeats     *heartbeat.Service
	keeper         *ownership.Keeper
	entry          *entry.Entry
	config         configuration
	cordons        cordons
	profiles       profiles
	servers        servers
	storeReadTimes storeReadTimes
	leaving        atomic.Bool
	// awaitingAnswers is the newest owner that ends once its jobs are answered; nil for none.
	awaitingAnswers atomic.Pointer[owner.Owner]
	requests        atomic.Int64
	// probingOwner is set while probeOwner checks whether an owner's process has ended.
	probingOwner atomic.Bool
	storeClock   storeClock
	ctx          context.Context
	goroutines   *errgroup.Group

	// settings are the last ones read; only followSettings uses them.
	settings platform.Settings
	// processor measures this VM's share of a core.
	processor *processor.Meter
	// succession is what the owner in this process tells the other VMs of its failure domain.
	succession atomic.Pointer[linkpb.Succession]
	// unusableProfiles is the version of a peer's profiles that this build can't use; only pollPeers
	// uses it.
	unusableProfiles int64
	// lastSeed is the index of the seed that was asked last.
	lastSeed int

	mu sync.Mutex
	// current is the owner that runs in this process, outgoing one that hands over to its
	// successor.
	current, outgoing *ownedGroup
}

// ownedGroup is an owner in this process with the claim that it runs under.
type ownedGroup struct {
	*owner.Owner
	claim  ownership.GroupClaim
	cancel context.CancelFunc
	// targets is the number of the owner's targets.
	targets *atomic.Int64
}

// owner returns the owner, or nil for a nil group.
func (g *ownedGroup) owner() *owner.Owner {
	if g == nil {
		return nil
	}
	return g.Owner
}

// New creates a Node and opens its sockets; Run starts to serve them.
func New(o Options) (*Node, error) {
	s := o.Settings
	n := &Node{
		options:  o,
		settings: s,
		log:      o.Log,
		self: heartbeat.Self{
			VM: s.VM, Incarnation: rand.Uint64(), FailureDomain: s.FailureDomain,
			ControlAddress: s.ControlAddress, HeartbeatAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
			Limits: limitsOf(s),
		},
		group:      s.FailureDomain,
		processor:  processor.NewMeter(s.CPUShare),
		targets:    platform.NewTargetClient(),
		peerClient: link.NewClient(),
		config:     configuration{log: o.Log},
	}
	n.peerClient.Log = o.Log
	n.cordons.init(n)
	n.profiles = profiles{log: o.Log, count: o.Count, changed: n.profilesChanged}
	n.store = platform.NewStore(s.StoreAddress, platform.StoreEvents{Called: o.recordStoreCall, Clock: n.storeClock.setFromStore, Unreadable: o.reportUnreadableRow})
	if s.AdvisorAddress != "" {
		n.adviser = platform.NewAdvisor(s.AdvisorAddress)
	}
	heartbeats, err := heartbeat.New(n.self, n)
	if err != nil {
		return nil, err
	}
	n.heartbeats = heartbeats
	n.keeper = ownership.New(ownership.Options{
		Self: n.self, Group: n.group, CPUShare: n.processor.Share, Log: o.Log, ClaimsChanged: n.claimsChanged,
		StoreAnswered: n.storeReadTimes.recorder(&n.storeReadTimes.claims), Count: o.Count,
	}, n.store, heartbeats)
	n.entry = entry.New(entry.Options{
		VM: s.VM, Incarnation: n.self.Incarnation, FailureDomain: s.FailureDomain, Log: o.Log, Count: o.Count,
		Claims: n.keeper.Claims, LocalOwner: n.localOwner, DomainOf: func(group string) string { return group },
		IsCordoned: func(domain string) bool { return n.cordons.board.View().IsCordoned(domain) },
		OwnerLost:  n.probeOwner,
		FindJob: func(ctx context.Context, id string) (work.JobState, error) {
			return jobstore.ReadState(ctx, n.store, id)
		},
		ResendDelay: s.MinResendDelay, BalanceDomains: o.BalanceDomains,
	}, heartbeats, n.peerClient)
	n.servers, err = listen(s, n)
	return n, err
}

// recordStoreCall records the result and the duration of a call to the store.
func (o Options) recordStoreCall(call string, err error, took time.Duration) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	o.Count("store_"+call, result)
	o.Observe("store_"+call, took)
}

// reportUnreadableRow counts and logs a row of the store that can't be decoded.
func (o Options) reportUnreadableRow(table platform.Table, key string, err error) {
	o.Count("rows_unreadable", string(table))
	o.Log.Warn("row not understood", "table", table, "key", key, "error", err)
}

// Run serves until the context ends, then hands over, answers its callers and stops.
func (n *Node) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	n.ctx, n.goroutines = runCtx, g
	n.log.Info("starting", "vm", n.self.VM, "life", n.self.Incarnation, "failure_domain", n.self.FailureDomain)
	n.servers.serve(g)
	g.Go(func() error { return n.relayServer().Serve(runCtx, n.servers.relay) })
	g.Go(func() error { return n.heartbeats.Run(runCtx) })
	g.Go(func() error { return n.keeper.Run(runCtx) })
	g.Go(func() error {
		return mirror.Follow(runCtx, n.store, mirror.Options{
			Table: platform.OperatorTable, FeedWait: configurationWait, Log: n.log, StoreAnswered: n.storeReadTimes.recorder(&n.storeReadTimes.configuration),
		}, n.applyOperatorRows)
	})
	g.Go(func() error { n.pollPeers(runCtx); return nil })
	g.Go(func() error { n.processor.Run(runCtx); return nil })
	g.Go(func() error { n.yieldToStronger(runCtx); return nil })
	g.Go(func() error { n.publishGauges(runCtx); return nil })
	g.Go(func() error { n.followSettings(runCtx); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.leave(runCtx)
		case <-runCtx.Done():
		}
		n.servers.close()
		stop()
		return nil
	})
	err := g.Wait()
	n.log.Info("stopped", "vm", n.self.VM)
	return err
}

// applyOperatorRows applies an update of the operator's table.
func (n *Node) applyOperatorRows(update mirror.Update) {
	// The cordons come first, so that a VM that has a configuration also knows the cordons.
	n.cordons.applyUpdate(update)
	before := n.config.version()
	n.config.applyUpdate(update)
	if n.config.version() != before {
		n.reportUnknownQueues(n.profilesInForce())
	}
	n.profiles.applyUpdate(update)
}

// claimsChanged takes all claims after a change: it sets the owners to ping and starts or ends the
// owner in this process.
func (n *Node) claimsChanged(claims []ownership.GroupClaim) {
	owners := make([]heartbeat.Owner, 0, len(claims))
	for _, held := range claims {
		owners = append(owners, heartbeat.Owner{
			VM: held.Claim.GetVm(), Incarnation: held.Claim.GetLife(),
			HeartbeatAddress: held.Claim.GetHeartbeat(), ControlAddress: held.Claim.GetControl(), SameGroup: held.Group == n.group,
		})
		if held.Group == n.group {
			n.applyClaim(held)
		}
	}
	n.heartbeats.SetOwners(owners)
}

// applyClaim starts, updates or ends the owner in this process according to its group's claim.
func (n *Node) applyClaim(held ownership.GroupClaim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	mine := held.Claim.GetLife() == n.self.Incarnation
	switch {
	case mine && n.current == nil:
		n.current = n.startOwner(held)
	case mine && !held.Continues(n.current.claim):
		n.log.Warn("owning targets anew, as another VM may have owned them", "group", held.Group, "token", held.Version, "earlier_token", n.current.claim.Version)
		n.options.Count("claims_interrupted", held.Group)
		n.current.cancel()
		n.current = n.startOwner(held)
	case mine:
		n.current.claim = held
		n.current.RaiseToken(held.Version)
	case n.current != nil && held.IsNewerThan(n.current.claim):
		n.endOwner(held)
	}
}

// endOwner ends the owner in this process: at once, or, if the new claim names it as the
// predecessor, after the successor has taken over all targets.
func (n *Node) endOwner(held ownership.GroupClaim) {
	if held.Claim.GetFormer().GetLife() != n.self.Incarnation {
		n.current.cancel()
		n.current = nil
		return
	}
	if n.outgoing != nil {
		n.outgoing.cancel()
	}
	n.outgoing, n.current = n.current, nil
	n.outgoing.Leave(n.ctx)
}

// startOwner starts an owner with its router under a claim of this process.
func (n *Node) startOwner(held ownership.GroupClaim) *ownedGroup {
	ctx, cancel := context.WithCancel(n.ctx)
	options := owner.Options{
		Group: held.Group, FailureDomain: n.self.FailureDomain, Token: held.Version,
		Schedule: scheduler.Options{
			StopTimeout: n.options.Settings.MaxStopTime, MaxLease: n.options.Settings.MaxLease,
			ResendDelay: n.options.Settings.MinResendDelay, KeepaliveTimeout: heartbeat.KeepaliveTimeout,
			PlaceByEnd:       n.options.PlaceByEnd,
			CorrectAdmission: n.options.CorrectAdmission, ReturnTimes: n.options.ReturnTimes,
		},
		Log: n.log, Count: n.options.Count, Observe: n.options.Observe, Gauge: n.options.Gauge, StoreAnswered: n.storeReadTimes.recorder(&n.storeReadTimes.registry),
		HandOverJobs: n.options.HandOverJobs,
		Delegate:     n.delegateOrHandOver, NeedsCapacity: n.heartbeats.RequestLoads, StoreClock: n.storeClock.nowIfKnown,
		HasEnded: n.newEndedCheck(), Cordons: n.cordons.board.View, ConfirmCordons: n.confirmCordons, Profiles: n.profilesInForce, ConfirmClaim: n.keeper.ConfirmOwnership,
		Jobs: jobstore.New(jobstore.Options{
			Group: held.Group, VM: n.self.VM, Incarnation: n.self.Incarnation, Retention: n.options.Settings.JobRetention, Log: n.log, Count: n.options.Count, Clock: n.storeClock.now,
		}, n.store),
	}
	if n.adviser != nil {
		options.Advise = func(ctx context.Context, step string, targets []string) (map[string]string, time.Duration, error) {
			tickets, err := n.adviser.Advise(ctx, step, targets)
			return tickets.ByTarget, tickets.Valid, err
		}
	}
	if predecessor := held.Claim.GetFormer(); predecessor != nil {
		options.Former = predecessor.GetLife()
		options.AskPredecessor = n.newPredecessorRequest(predecessor.GetControl(), held)
	}
	router := n.newRouter()
	targets := new(atomic.Int64)
	options.SetTargetCount = func(count int) {
		targets.Store(int64(count))
		router.SetTargets(count)
	}
	o := owner.New(options, router, n.store)
	n.goroutines.Go(func() error { router.Run(ctx); return nil })
	n.goroutines.Go(func() error { return o.Run(ctx) })
	return &ownedGroup{Owner: o, claim: held, cancel: cancel, targets: targets}
}

// probeOwner checks in the background whether an owner's process has ended, and reports that to
// the claim keeper if so. Only one owner is checked at a time.
func (n *Node) probeOwner(suspect heartbeat.Owner) {
	if !n.probingOwner.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.probingOwner.Store(false)
		if n.peerClient.RefusesConnection(n.ctx, suspect.ControlAddress) {
			n.keeper.OwnerDied(suspect.Incarnation)
		}
	}()
}

// currentOwner returns the owner that starts tasks in this process, or nil.
func (n *Node) currentOwner() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.owner()
}

// endOutgoing ends an owner that has handed over all its targets.
func (n *Node) endOutgoing(o *owner.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outgoing.owner() == o {
		n.outgoing.cancel()
		n.outgoing = nil
	}
}

// predecessorOf returns the owner in this process that hands over to the owner with the given claim,
// or nil. It is pending while this VM hasn't learned of that claim: its owner still uses the targets.
// A claim that doesn't say how often it was handed over may be that of the current owner's successor.
func (n *Node) predecessorOf(successor ownership.GroupClaim) (predecessor *owner.Owner, pending bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted := successor.Claim != nil
	switch {
	case n.current != nil && (!counted || successor.IsNewerThan(n.current.claim)):
		return nil, true
	case n.outgoing == nil:
		return nil, false
	case counted && n.outgoing.claim.IsNewerThan(successor):
		// The owner that this claim succeeds ended when the present outgoing one took its place.
		return nil, false
	case counted && !successor.IsNewerThan(n.outgoing.claim):
		return nil, true
	}
	return n.outgoing.Owner, false
}

// outgoingOwner returns the owner in this process that hands over, or nil.
func (n *Node) outgoingOwner() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outgoing.owner()
}

// localOwner returns the current owner of a group if it runs in this process.
func (n *Node) localOwner(group string) (entry.Local, bool) {
	o := n.currentOwner()
	return o, o != nil && group == n.group
}

// ReceiveKeepalive implements heartbeat.Listener.
func (n *Node) ReceiveKeepalive(entry string, until time.Duration, givenUp []heartbeat.GivenUp) {
	var requests []scheduler.GivenUp
	for _, given := range givenUp {
		requests = append(requests, scheduler.GivenUp(given))
	}
	for _, o := range []*owner.Owner{n.currentOwner(), n.outgoingOwner()} {
		if o != nil {
			o.RecordKeepalive(entry, until, requests)
		}
	}
}

// Loads implements heartbeat.Listener.
func (n *Node) Loads() []*linkpb.Load {
	o := n.currentOwner()
	if o == nil {
		return nil
	}
	var loads []*linkpb.Load
	for service, load := range o.Loads() {
		sent := &linkpb.Load{Group: n.group, Service: service, FreeCpu: load.FreeCPU, Cpu: load.CPU, AnswerUs: load.AnswerTime.Microseconds()}
		for _, wait := range load.Wait {
			sent.WaitUs = append(sent.WaitUs, wait.Microseconds())
		}
		for _, places := range load.FreeCapacity.Tasks {
			sent.Places = append(sent.Places, int32(places))
		}
		loads = append(loads, sent)
	}
	return loads
}

// PendingJobs implements heartbeat.Listener.
func (n *Node) PendingJobs() map[string]int32 {
	if o := n.currentOwner(); o != nil {
		return o.PendingJobs()
	}
	return nil
}

// ReportLateHeartbeat implements heartbeat.Listener.
func (n *Node) ReportLateHeartbeat(vm string, gap time.Duration) {
	n.options.Count("notes", "heartbeat late")
	n.log.Warn("heartbeat late", "vm", vm, "gap", gap)
}

// Claim implements heartbeat.Listener.
func (n *Node) Claim() *linkpb.Owned {
	if held, ok := n.keeper.Claim(); ok {
		return held.ToWire()
	}
	return nil
}

// ReceiveClaim implements heartbeat.Listener.
func (n *Node) ReceiveClaim(owned *linkpb.Owned) {
	for _, known := range n.keeper.Claims() {
		if known.Group == owned.GetGroup() && !ownership.FromWire(owned).IsNewerThan(known) {
			return
		}
	}
	n.keeper.Merge([]ownership.GroupClaim{ownership.FromWire(owned)})
}

// ConfigurationVersion implements heartbeat.Listener.
func (n *Node) ConfigurationVersion() int64 { return n.config.version() }

// Leaving implements heartbeat.Listener and platform.Dispatcher.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// CPUShare implements heartbeat.Listener.
func (n *Node) CPUShare() int32 { return n.processor.PerMille() }

// Configuration implements platform.Dispatcher.
func (n *Node) Configuration() (work.Configuration, bool) {
	held := n.config.held.Load()
	if held == nil {
		return work.Configuration{}, false
	}
	return held.Configuration, true
}

// State implements platform.Dispatcher.
func (n *Node) State(ctx context.Context, id string) (work.JobState, error) {
	return n.entry.State(ctx, id)
}

// Cancel implements platform.Dispatcher.
func (n *Node) Cancel(ctx context.Context, id string) (work.JobState, error) {
	return n.entry.Cancel(ctx, id)
}

// PendingOf implements platform.Dispatcher.
func (n *Node) PendingOf(queue string) int { return n.entry.PendingJobs(queue) }

// Dispatch implements platform.Dispatcher.
func (n *Node) Dispatch(ctx context.Context, job work.Job, queue work.Queue, wait time.Duration) work.Outcome {
	n.requests.Add(1)
	defer n.requests.Add(-1)
	began := time.Now()
	outcome := n.entry.Dispatch(ctx, job, queue, wait)
	n.options.Observe("request_"+outcome.Result.String(), time.Since(began))
	return outcome
}

// isReady reports whether this VM can serve callers: it has a configuration, does not leave, and
// reaches an owner of targets.
func (n *Node) isReady() bool {
	if n.leaving.Load() || n.config.held.Load() == nil {
		return false
	}
	if n.currentOwner() != nil {
		return true
	}
	for _, held := range n.keeper.Claims() {
		if view, ok := n.heartbeats.View(held.Claim.GetLife()); ok && view.Timestamp > 0 && view.Alive.Err() == nil {
			return true
		}
	}
	return false
}
