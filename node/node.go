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
	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/processor"
	"github.com/burdockward/burdockward/work"
)

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
	// RequestMemoryShare is the share of the VM's memory that requests of callers may hold together while they
	// are read, decoded and served, beside a guaranteed amount for each connection; 0 stands for
	// DefaultRequestMemoryShare.
	RequestMemoryShare float64
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
	// requestMemory is the memory for the requests of callers.
	requestMemory *intake.Budget
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
	// lastSeed is the index of the seed that was asked last; peerTurn chooses a newer peer. Only pollPeers
	// uses them.
	lastSeed int
	peerTurn peerTurn

	mu sync.Mutex
	// current is the owner that runs in this process, outgoing one that hands over to its
	// successor.
	current, outgoing *ownedGroup
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

		requestMemory: o.requestBudget(),
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
		Self: n.self, Group: n.group, Groups: s.FailureDomains, CPUShare: n.processor.Share, Log: o.Log, ClaimsChanged: n.claimsChanged,
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
		return mirror.Follow(runCtx, n.store, n.operatorTableOptions(), n.applyOperatorRows)
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

// operatorTableOptions returns how the operator's table is followed. Each VM has to keep the bound
// by itself: a change ends the waiting requests of all VMs together, so that an outage may find all of
// them at the same point of the cycle, and no VM has a newer configuration to offer.
func (n *Node) operatorTableOptions() mirror.Options {
	return mirror.Options{
		Table: platform.OperatorTable, MaxDelay: n.options.Settings.ConfigurationBound, Log: n.log,
		StoreAnswered: n.storeReadTimes.recorder(&n.storeReadTimes.configuration),
	}
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
		if n.isOwnerAlive(held) {
			return true
		}
	}
	return false
}
