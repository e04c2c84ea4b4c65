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
	orderTimeout = 120 * time.Millisecond
	pollTimeout  = 120 * time.Millisecond
	// maxStoreAge is the age of the owner's last answer from the store up to which any relay may
	// start runs for it. An owner that is cut off from the store doesn't know which targets
	// leave, and a relay with access to the store would start runs there in its name. Beyond this
	// age the owner starts runs itself, unless the relay's last answer from the store is as old.
	maxStoreAge = 2 * time.Second
	// rateWeight is the weight of the newest interval's calls in the moving average.
	rateWeight = 0.2
	// maxFirstPolls bounds the simultaneous polls without a wait that the owner itself sends: with
	// more of them, answers would only wait to be read.
	maxFirstPolls = 32
	// maxRoutes bounds the cached routes; those of targets that have left stay until the next
	// plan.
	maxRoutes = 16384
	// connectTimeout is how long polls wait for a connection to a relay that is being opened.
	connectTimeout = 60 * time.Millisecond
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
	// ownCalls counts those of them that this VM has sent itself.
	ownCalls atomic.Int64
	// targets is the number of the owner's targets.
	targets atomic.Int64
	// firstPolls has an item for each poll without a wait that is in progress from this VM.
	firstPolls chan struct{}
	// targetsChanged wakes Run when the number of targets has changed.
	targetsChanged chan struct{}

	mu             sync.RWMutex
	plan           Plan
	coresPerTarget float64
	streams        map[uint64]*stream
	// routes caches the stream of each target under the present plan; nil where the owner
	// sends its orders directly.
	routes map[string]*stream
}

// NewRouter creates a router. It sends all orders directly until Run makes a plan.
func NewRouter(o Options) *Router {
	return &Router{
		options: o, firstPolls: make(chan struct{}, maxFirstPolls), targetsChanged: make(chan struct{}, 1), streams: map[uint64]*stream{}, routes: map[string]*stream{},
		coresPerTarget: Load{}.coresPerTarget(),
	}
}

// SetTargets sets the number of the owner's targets.
func (r *Router) SetTargets(n int) {
	if r.targets.Swap(int64(n)) != int64(n) {
		select {
		case r.targetsChanged <- struct{}{}:
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
	rate, ownRate, last := 0.0, 0.0, bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.targetsChanged:
		case <-ticker.C:
		}
		now := bootclock.Now()
		if now-last >= planInterval/2 {
			rate += rateWeight * (float64(r.calls.Swap(0))/(now-last).Seconds() - rate)
			ownRate += rateWeight * (float64(r.ownCalls.Swap(0))/(now-last).Seconds() - ownRate)
			last = now
		}
		r.replan(ctx, now, Load{Targets: int(r.targets.Load()), Calls: rate, OwnCalls: ownRate})
	}
}

// replan puts the next plan in force. If it differs from the last one, it clears the routes and
// connects to new relays.
func (r *Router) replan(ctx context.Context, now time.Duration, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []VM
	for _, vm := range r.options.Candidates() {
		if s := r.streams[vm.Incarnation]; s == nil || !s.isLost() {
			candidates = append(candidates, vm)
		}
	}
	r.closeUnusedStreams(now)
	own := r.options.Budget()
	next := r.plan.Next(now, own, load, candidates)
	if next.SameAssignment(r.plan) {
		r.plan = next
		return
	}
	if len(next.Relays) != len(r.plan.Relays) {
		r.options.Log.Info("relays changed", "targets", load.Targets, "calls_per_s", int(load.Calls), "own", int(next.OwnTargets), "relays", len(next.Relays),
			"cpu", own.CPU, "cpu_used", own.Used)
	}
	r.plan, r.coresPerTarget = next, load.coresPerTarget()
	clear(r.routes)
	for _, vm := range next.Relays {
		if r.streams[vm.Incarnation] == nil {
			r.streams[vm.Incarnation] = openStream(ctx, vm, r.options.Log)
		}
	}
	r.options.Gauge("relays", float64(len(next.Relays)))
}

// closeUnusedStreams closes the idle connections to relays that the plan doesn't use any more.
func (r *Router) closeUnusedStreams(now time.Duration) {
	for incarnation, s := range r.streams {
		used := slices.ContainsFunc(r.plan.Relays, func(vm VM) bool { return vm.Incarnation == incarnation })
		if !used && s.canClose(now) {
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
func (r *Router) routeOf(target string) *stream {
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
	if at := r.plan.RelayIndex(target, r.coresPerTarget); at >= 0 {
		s = r.streams[r.plan.Relays[at].Incarnation]
	}
	r.routes[target] = s
	return s
}

// usableStream returns the stream for a target's next order; nil if the owner sends it directly,
// since the plan says so or its relay can't be used at the moment.
func (r *Router) usableStream(target string) *stream {
	s := r.routeOf(target)
	if s == nil || !s.isUsable(bootclock.Now()) {
		return nil
	}
	return s
}

// direct returns what sends an order or a poll from this VM, and counts it.
func (r *Router) direct() Targets {
	r.ownCalls.Add(1)
	return r.options.Direct
}

// Start implements Targets.
func (r *Router) Start(ctx context.Context, to work.TargetAddress, order work.StartOrder, token int64) work.OrderAnswer {
	s := r.usableStream(to.ID)
	if s == nil || r.options.StoreAge() > maxStoreAge && s.storeAge() < r.options.StoreAge() {
		r.options.Count("start_routes", "own")
		return r.direct().Start(ctx, to, order, token)
	}
	start := startToWire(order)
	if order.SendBy != 0 {
		sendBy, known := s.relayTime(bootclock.Now(), order.SendBy)
		if !known {
			r.options.Count("start_routes", "own, limited")
			return r.direct().Start(ctx, to, order, token)
		}
		start.Start.SendByUs = sendBy.Microseconds()
	}
	r.options.Count("start_routes", "relay")
	answer := r.sendOrder(ctx, s, to, &linkpb.Carry{Token: token, What: start})
	answer.Route = s.vm.Name
	return answer
}

// Stop implements Targets.
func (r *Router) Stop(ctx context.Context, to work.TargetAddress, run work.RunID, token int64) work.OrderAnswer {
	s := r.usableStream(to.ID)
	if s == nil {
		return r.direct().Stop(ctx, to, run, token)
	}
	return r.sendOrder(ctx, s, to, &linkpb.Carry{Token: token, What: &linkpb.Carry_Stop{Stop: &linkpb.CarryStop{Run: runToWire(run)}}})
}

// sendOrder has a relay send a start or a stop and waits for the answer.
func (r *Router) sendOrder(ctx context.Context, s *stream, to work.TargetAddress, carry *linkpb.Carry) work.OrderAnswer {
	answer := s.call(ctx, to, carry, orderTimeout+answerSlack, true)
	return work.OrderAnswer{Verdict: work.Verdict(answer.GetVerdict()), ClockMS: answer.GetClockMs()}
}

// Poll implements Targets. It limits the polls without a wait that this VM itself sends, since a
// new owner sends one to each of its targets at once.
func (r *Router) Poll(ctx context.Context, to work.TargetAddress, token, until, seen int64, wait time.Duration) (work.PollAnswer, work.Verdict) {
	if s := r.routeOf(to.ID); s != nil {
		s.awaitConnection(ctx)
	}
	s := r.usableStream(to.ID)
	if s == nil && wait == 0 {
		r.firstPolls <- struct{}{}
		defer func() { <-r.firstPolls }()
		s = r.usableStream(to.ID)
	}
	if s == nil {
		return r.direct().Poll(ctx, to, token, until, seen, wait)
	}
	answer := s.call(ctx, to, &linkpb.Carry{Token: token, What: &linkpb.Carry_Look{Look: &linkpb.CarryLook{
		UntilMs: until, Seen: seen, WaitUs: wait.Microseconds(),
	}}}, wait+pollTimeout+answerSlack, wait == 0)
	return pollAnswerFromWire(answer), work.Verdict(answer.GetVerdict())
}
