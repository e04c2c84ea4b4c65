package relay

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// Parameters of routers.
const (
	// planInterval is the time between two plans: two heartbeats.
	planInterval = 100 * time.Millisecond
	// answerSlack is added to the time within which a relay receives a target's answer.
	answerSlack = 10 * time.Millisecond
	// orderTimeout and pollTimeout are how long a relay waits for a target; that of a poll comes
	// on top of the poll's own wait.
	orderTime = 120 * time.Millisecond
	lookTime  = 120 * time.Millisecond
	// maxStoreAge is the age of the owner's last answer from the store up to which any relay may
	// start runs for it. An owner that is cut off from the store doesn't know which targets
	// leave, and a relay with access to the store would start runs there in its name.
	freshStore = 2 * time.Second
	// rateWeight is the weight of the newest interval's calls in the moving average.
	callWeight = 0.2
	// maxFirstPolls bounds the simultaneous polls without a wait that the owner itself sends: with
	// more of them, answers would only wait to be read.
	firstLooks = 32
	// maxRoutes bounds the cached routes; those of targets that have left stay until the next
	// plan.
	maxRoutes = 16384
	// connectTimeout is how long polls wait for a connection to a relay that is being opened.
	connectTime = 60 * time.Millisecond
)

// Options of a Router.
type Options struct {
	// Direct sends orders to targets from this VM.
	Direct Targets
	// Budget returns the resources of this process, Candidates the VMs that can relay orders.
	Budget     func() Budget
	Candidates func() []VM
	// StoreAge returns how long ago the store last answered the owner about its targets.
	StoreAge func() time.Duration
	Log      *slog.Logger
	// Count counts the starts by route; it must not block.
	Count func(what, label string)
	// Gauge sets the value of a gauge; it must not block.
	Gauge func(what string, value float64)
}

// Router sends an owner's orders to its targets: directly as far as the processor, sockets and
// memory of the owner's process allow, and through relays beyond that. It is safe for concurrent
// use.
type Router struct {
	options Options
	// calls counts the orders and polls since the last plan.
	calls atomic.Int64
	// targets is the number of the owner's targets.
	targets atomic.Int64
	// firstPolls has an item for each poll without a wait that is in progress from this VM.
	first chan struct{}
	// targetsChanged wakes Run when the number of targets has changed.
	grown chan struct{}

	mu        sync.RWMutex
	plan      Plan
	perTarget float64
	streams   map[uint64]*stream
	// routes caches the stream of each target under the present plan; nil where the owner sends.
	routes map[string]*stream
}

// NewRouter creates a router. It sends all orders directly until Run makes a plan.
func NewRouter(o Options) *Router {
	return &Router{
		options: o, first: make(chan struct{}, firstLooks), grown: make(chan struct{}, 1), streams: map[uint64]*stream{}, routes: map[string]*stream{},
		perTarget: Load{}.perTarget(),
	}
}

// SetTargets sets the number of the owner's targets.
func (r *Router) Targets(n int) {
	if r.targets.Swap(int64(n)) != int64(n) {
		select {
		case r.grown <- struct{}{}:
		default:
		}
	}
}

// Run makes a new plan at each interval and each change of the number of targets, until the
// context ends. Then it closes the connections to relays.
func (r *Router) Run(ctx context.Context) {
	defer r.close()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	rate, last := 0.0, bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.grown:
		case <-ticker.C:
		}
		now := bootclock.Now()
		if now-last >= planInterval/2 {
			rate += callWeight * (float64(r.calls.Swap(0))/(now-last).Seconds() - rate)
			last = now
		}
		r.decide(ctx, now, Load{Targets: int(r.targets.Load()), Calls: rate})
	}
}

// replan puts the next plan in force. If it differs from the last one, it clears the routes and
// connects to new relays.
func (r *Router) decide(ctx context.Context, now time.Duration, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []VM
	for _, vm := range r.options.Candidates() {
		if s := r.streams[vm.Life]; s == nil || !s.lost() {
			candidates = append(candidates, vm)
		}
	}
	r.forgetStreams(now)
	next := r.plan.Next(now, r.options.Budget(), load, candidates)
	if next.Same(r.plan) {
		r.plan = next
		return
	}
	if len(next.Relays) != len(r.plan.Relays) {
		r.options.Log.Info("relays changed", "targets", load.Targets, "calls_per_s", int(load.Calls), "own", int(next.Own), "relays", len(next.Relays))
	}
	r.plan, r.perTarget = next, load.perTarget()
	clear(r.routes)
	for _, vm := range next.Relays {
		if r.streams[vm.Life] == nil {
			r.streams[vm.Life] = openStream(ctx, vm, r.options.Log)
		}
	}
	r.options.Gauge("relays", float64(len(next.Relays)))
}

// closeUnusedStreams closes the idle connections to relays that the plan doesn't use any more.
func (r *Router) forgetStreams(now time.Duration) {
	for incarnation, s := range r.streams {
		used := slices.ContainsFunc(r.plan.Relays, func(vm VM) bool { return vm.Life == incarnation })
		if !used && s.idle(now) {
			s.close()
			delete(r.streams, incarnation)
		}
	}
}

func (r *Router) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		s.close()
	}
}

// routeOf returns the stream to the relay that the plan assigns to a target; nil if the owner
// sends its orders directly.
func (r *Router) route(target string) *stream {
	r.calls.Add(1)
	r.mu.RLock()
	s, known := r.routes[target]
	relays := len(r.plan.Relays)
	r.mu.RUnlock()
	if known || relays == 0 {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.routes) >= maxRoutes {
		clear(r.routes)
	}
	if at := r.plan.RelayOf(target, r.perTarget); at >= 0 {
		s = r.streams[r.plan.Relays[at].Life]
	}
	r.routes[target] = s
	return s
}

// usableStream returns the stream for a target's next order; nil if the owner sends it directly,
// since the plan says so or its relay can't be used at the moment.
func (r *Router) usable(target string) *stream {
	s := r.route(target)
	if s == nil || !s.answers(bootclock.Now()) {
		return nil
	}
	return s
}

// Start implements Targets.
func (r *Router) Start(ctx context.Context, to work.TargetAddress, order work.StartOrder, token int64) work.OrderAnswer {
	s := r.usable(to.ID)
	if s == nil || r.options.StoreAge() > freshStore && s.storeAge() < r.options.StoreAge() {
		r.options.Count("start_routes", "own")
		return r.options.Direct.Start(ctx, to, order, token)
	}
	r.options.Count("start_routes", "relay")
	return r.order(ctx, s, to, &linkpb.Carry{Token: token, What: startToWire(order)})
}

// Stop implements Targets.
func (r *Router) Stop(ctx context.Context, to work.TargetAddress, run work.RunID, token int64) work.OrderAnswer {
	s := r.usable(to.ID)
	if s == nil {
		return r.options.Direct.Stop(ctx, to, run, token)
	}
	return r.order(ctx, s, to, &linkpb.Carry{Token: token, What: &linkpb.Carry_Stop{Stop: &linkpb.CarryStop{Run: runToWire(run)}}})
}

// sendOrder has a relay send a start or a stop and waits for the answer.
func (r *Router) order(ctx context.Context, s *stream, to work.TargetAddress, carry *linkpb.Carry) work.OrderAnswer {
	answer := s.call(ctx, to, carry, orderTime+answerSlack, true)
	return work.OrderAnswer{Verdict: work.Verdict(answer.GetVerdict()), ClockMS: answer.GetClockMs()}
}

// Poll implements Targets. It limits the polls without a wait that this VM itself sends, since a
// new owner sends one to each of its targets at once.
func (r *Router) Poll(ctx context.Context, to work.TargetAddress, token, until, seen int64, wait time.Duration) (work.PollAnswer, work.Verdict) {
	if s := r.route(to.ID); s != nil {
		s.awaitConnection(ctx)
	}
	s := r.usable(to.ID)
	if s == nil && wait == 0 {
		r.first <- struct{}{}
		defer func() { <-r.first }()
		s = r.usable(to.ID)
	}
	if s == nil {
		return r.options.Direct.Poll(ctx, to, token, until, seen, wait)
	}
	answer := s.call(ctx, to, &linkpb.Carry{Token: token, What: &linkpb.Carry_Look{Look: &linkpb.CarryLook{
		UntilMs: until, Seen: seen, WaitUs: wait.Microseconds(),
	}}}, wait+lookTime+answerSlack, wait == 0)
	return heldFromWire(answer), work.Verdict(answer.GetVerdict())
}
