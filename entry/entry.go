// Package entry receives jobs from callers and has an owner of targets run each of them. From the
// claims, the heartbeats of the owners and the cordons it decides which owner to ask: the one in
// this VM's failure domain, unless another one is forecast to start the job sooner.
//
// A job that an owner refuses is offered to another one for a short time. A job that an owner hands
// back (Moved) is sent again, until it could no longer meet its objective. A job whose outcome is
// unknown may have started: it is not sent again, and its owner is asked to give it up. An owner in
// a cordoned failure domain, or one that has been silent for too long, is not asked.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// Peers gives what heartbeats have reported about owners, and notifies owners of jobs that are
// given up.
type Peers interface {
	View(incarnation uint64) (heartbeat.View, bool)
	GiveUp(owner uint64, given heartbeat.GivenUp)
}

// Remote calls owners at other VMs.
type Remote interface {
	// NextRequest returns a number for a request to run a job.
	NextRequest() uint64
	// RunWhileAlive runs a job; it returns early when the caller leaves (ctx) or the owner is
	// considered lost (alive).
	RunWhileAlive(ctx, alive context.Context, to heartbeat.Owner, order link.Order) work.Outcome
	// State asks an owner about a durable job. Cancel has it cancel a job or, with withdraw, keep one that
	// it doesn't know from being stored.
	State(ctx context.Context, address, id string) (work.JobState, error)
	Cancel(ctx context.Context, address, id string, withdraw bool) (work.JobState, error)
}

// Local is the owner in this process.
type Local interface {
	Submit(ctx context.Context, sub scheduler.Submission) work.Outcome
	Loads() map[string]scheduler.Load
	// JobState and CancelJob report false when the owner doesn't know the job.
	JobState(ctx context.Context, id string) (work.JobState, bool)
	CancelJob(ctx context.Context, id string, withdraw bool) (work.JobState, bool)
	PendingJobs() map[string]int32
}

// Options of an Entry.
type Options struct {
	VM            string
	Incarnation   uint64
	FailureDomain string
	Log           *slog.Logger
	Count         func(what, label string)
	// Claims lists the claims of all groups, which name their owners.
	Claims func() []ownership.GroupClaim
	// LocalOwner returns the owner of a group if it runs in this process.
	LocalOwner func(group string) (Local, bool)
	// DomainOf returns the failure domain of a group.
	DomainOf func(group string) string
	// IsCordoned reports whether nothing may be started in a failure domain; nil means that there
	// are no cordons.
	IsCordoned func(domain string) bool
	// OwnerLost is called with each owner whose connection broke; it must not block.
	OwnerLost func(owner heartbeat.Owner)
	// FindJob reads the state of a durable job from the store.
	FindJob func(ctx context.Context, id string) (work.JobState, error)
	// ResendDelay is after how long a caller may send a job again whose outcome is unknown: all its runs
	// are over by then. 0 means that callers aren't told.
	ResendDelay time.Duration
	// BalanceDomains chooses owners by ChooseBalanced instead of Choose.
	BalanceDomains bool
}

// Entry receives jobs and dispatches them to owners. It is safe for concurrent use.
type Entry struct {
	options Options
	peers   Peers
	remote  Remote
	// lastOwnerSeen is when there was last an owner to ask, on the boot clock.
	lastOwnerSeen atomic.Int64
}

// New creates an Entry.
func New(o Options, peers Peers, remote Remote) *Entry {
	if o.IsCordoned == nil {
		o.IsCordoned = func(string) bool { return false }
	}
	e := &Entry{options: o, peers: peers, remote: remote}
	e.lastOwnerSeen.Store(int64(bootclock.Now()))
	return e
}

// Timing of an entry.
const (
	// reofferTimeout is the age up to which a refused job is offered to another owner. A job that
	// has already waited in one queue is refused to its caller instead of waiting in the next.
	reofferTimeout = 10 * time.Millisecond
	// ownerRetryInterval is the pause before owners are looked up again, while there is none or
	// the one asked has handed the job back.
	ownerRetryInterval = 10 * time.Millisecond
	// noOwnerRetryAfter is sent to callers while no owner can be reached: about the time that
	// another VM takes to claim the group.
	noOwnerRetryAfter = time.Second
	// cordonedRetryAfter is sent to callers while every failure domain is cordoned; the operator
	// decides when one may be used again.
	cordonedRetryAfter = 2 * time.Second
	// ownerWaitTimeout is how long jobs wait for an owner after the last one was seen: enough for
	// the silence timeout, a claim and the first polls of targets. A VM without an owner for
	// longer is cut off from all of them and refuses jobs at once.
	ownerWaitTimeout = heartbeat.SilenceTimeout + 300*time.Millisecond
)

// request is a job that is being dispatched.
type request struct {
	job     work.Job
	queue   work.Queue
	arrived time.Duration
	// wait is how long the caller waits; 0 means no bound.
	wait time.Duration
	// refusedBy holds the groups that have refused the job.
	refusedBy map[string]bool
	// latestStart is when the job has to start to be answered within its objective.
	latestStart time.Duration
	// last is the answer of the owner that was asked last, lastGroup its group; empty before.
	last      work.Outcome
	lastGroup string
	// handedAgain says that a line about another owner was logged.
	handedAgain bool
}

// Dispatch has a job run and returns its outcome, which it counts and logs. The job is given up
// when the context ends.
func (e *Entry) Dispatch(ctx context.Context, job work.Job, queue work.Queue, wait time.Duration) work.Outcome {
	arrived := bootclock.Now()
	r := &request{
		job: job, queue: queue, arrived: arrived, wait: wait, refusedBy: map[string]bool{},
		latestStart: arrived + queue.Objective(job.CriticalPath()) - job.CriticalPath(),
	}
	outcome := e.dispatch(ctx, r)
	if outcome.Result == work.Unknown && !job.Durable {
		outcome.RetryAfter = max(outcome.RetryAfter, e.options.ResendDelay)
	}
	e.options.Count("requests", outcome.Result.String())
	if outcome.Result == work.Refused || outcome.Result == work.Unknown {
		// The text after a colon has details that would make too many labels.
		cause, _, _ := strings.Cut(outcome.Reason, ":")
		e.options.Count("requests_"+outcome.Result.String(), cause)
	}
	if outcome.Result != work.Completed && outcome.Result != work.Accepted {
		e.options.Log.LogAttrs(ctx, slog.LevelWarn, "request not served",
			slog.String("job", job.ID), slog.String("queue", queue.Name), slog.String("result", outcome.Result.String()),
			slog.String("reason", outcome.Reason), slog.Duration("age", bootclock.Now()-arrived))
	}
	return outcome
}

// dispatch asks one owner after another until one runs the job or all have refused it.
func (e *Entry) dispatch(ctx context.Context, r *request) work.Outcome {
	refusal := work.Outcome{Result: work.Refused, Reason: "no owner of targets can be reached", RetryAfter: noOwnerRetryAfter}
	for {
		if ctx.Err() != nil {
			return work.Outcome{Result: work.Unknown, Reason: "the caller left"}
		}
		candidates := e.candidates(r)
		chosen := e.choose(candidates)
		if chosen >= 0 {
			e.lastOwnerSeen.Store(int64(bootclock.Now()))
		}
		if chosen < 0 && len(r.refusedBy) > 0 {
			return refusal
		}
		if chosen < 0 && e.allCordoned() {
			return work.Outcome{Result: work.Refused, Reason: "every failure domain is cordoned", RetryAfter: cordonedRetryAfter}
		}
		if chosen >= 0 {
			e.noteHandedAgain(r, candidates[chosen])
			outcome := e.runAt(ctx, r, candidates[chosen])
			r.last, r.lastGroup = outcome, candidates[chosen].Group
			switch outcome.Result {
			case work.Moved:
			case work.Refused:
				refusal = outcome
				r.refusedBy[candidates[chosen].Group] = true
				if noBetterOwner(candidates, chosen, outcome) || bootclock.Now()-r.arrived > reofferTimeout {
					return refusal
				}
				continue
			default:
				return outcome
			}
		}
		now := bootclock.Now()
		if now > r.latestStart || now-time.Duration(e.lastOwnerSeen.Load()) > ownerWaitTimeout {
			return refusal
		}
		select {
		case <-ctx.Done():
			return work.Outcome{Result: work.Unknown, Reason: "the caller left"}
		case <-time.After(ownerRetryInterval):
		}
	}
}

// choose returns the index of the owner to ask, or -1. It counts where balanced jobs go.
func (e *Entry) choose(candidates []Candidate) int {
	if !e.options.BalanceDomains {
		return Choose(candidates, rand.Float64())
	}
	choice := ChooseBalanced(candidates, rand.Float64())
	if choice.Index >= 0 {
		where := "far, "
		if candidates[choice.Index].Near {
			where = "near, "
		}
		e.options.Count("owner_chosen", where+choice.Reason)
	}
	return choice.Index
}

// noteHandedAgain counts that a job goes to an owner after another one has answered about it. After
// an answer other than a refusal it logs that, once for each request.
func (e *Entry) noteHandedAgain(r *request, to Candidate) {
	if r.lastGroup == "" {
		return
	}
	e.options.Count("handed_again", r.last.Result.String())
	if r.last.Result == work.Refused || r.handedAgain {
		return
	}
	r.handedAgain = true
	e.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "job handed to an owner again",
		slog.String("job", r.job.ID), slog.String("group", to.Group), slog.String("incarnation", strconv.FormatUint(to.Owner.Incarnation, 16)), slog.Bool("own", to.Self), slog.String("before", r.lastGroup),
		slog.String("result", r.last.Result.String()), slog.String("reason", r.last.Reason), slog.Duration("age", bootclock.Now()-r.arrived))
}

// noBetterOwner reports whether no other owner is worth asking after a refusal. One that has not
// refused the job itself is worth it if its forecast wait plus farPenalty is shorter than the
// refusal's forecast wait, which is its retry delay unless it names another one.
func noBetterOwner(candidates []Candidate, refused int, outcome work.Outcome) bool {
	wait := outcome.RetryAfter
	if outcome.ForecastWait > 0 {
		wait = outcome.ForecastWait
	}
	for i, c := range candidates {
		if i != refused && !c.HasRefused && c.Wait+farPenalty < wait {
			return false
		}
	}
	return true
}

// candidates lists the owners that can be asked: not cordoned and not silent.
func (e *Entry) candidates(r *request) []Candidate {
	var list []Candidate
	for _, held := range e.options.Claims() {
		if e.options.IsCordoned(e.options.DomainOf(held.Group)) {
			continue
		}
		c := Candidate{
			Group:      held.Group,
			Near:       e.options.DomainOf(held.Group) == e.options.FailureDomain,
			Self:       held.Claim.GetLife() == e.options.Incarnation,
			HasRefused: r.refusedBy[held.Group],
		}
		if !e.fillCandidate(&c, held, r) {
			continue
		}
		list = append(list, c)
	}
	return list
}

// allCordoned reports whether there are owners and all of them are in cordoned failure domains.
func (e *Entry) allCordoned() bool {
	claims := e.options.Claims()
	for _, held := range claims {
		if !e.options.IsCordoned(e.options.DomainOf(held.Group)) {
			return false
		}
	}
	return len(claims) > 0
}

// fillCandidate sets what is known of an owner, and reports whether the owner can be asked.
func (e *Entry) fillCandidate(c *Candidate, held ownership.GroupClaim, r *request) bool {
	if c.Self {
		local, ok := e.options.LocalOwner(c.Group)
		if !ok {
			return false
		}
		if load, ok := local.Loads()[r.queue.Service]; ok {
			c.Wait = load.Wait[min(max(r.queue.Priority, 0), scheduler.Priorities-1)]
			c.FreeShare = float64(load.FreeCPU) / float64(max(load.CPU, 1))
			c.HasReport, c.AnswerTime = true, load.AnswerTime
		}
		return true
	}
	view, ok := e.peers.View(held.Claim.GetLife())
	if !ok || view.Timestamp == 0 || view.Alive.Err() != nil {
		return false
	}
	c.View, c.Owner = view, view.Owner
	c.Unconfirmed = bootclock.Now()-view.LastHeard > unconfirmedAfter
	c.setLoad(view.Loads, r.queue.Service, r.queue.Priority)
	return true
}

// runAt has one owner run the job.
func (e *Entry) runAt(ctx context.Context, r *request, c Candidate) work.Outcome {
	age := bootclock.Now() - r.arrived
	if c.Self {
		local, ok := e.options.LocalOwner(c.Group)
		if !ok {
			return work.Outcome{Result: work.Moved, Reason: "this VM no longer owns the targets"}
		}
		return local.Submit(ctx, scheduler.Submission{Job: r.job, Queue: r.queue, Age: age, Wait: r.wait})
	}
	request := e.remote.NextRequest()
	outcome := e.remote.RunWhileAlive(ctx, c.View.Alive, c.Owner, link.Order{
		Group: c.Group, Entry: heartbeat.EntryID(e.options.VM, e.options.Incarnation), Timestamp: c.View.Timestamp,
		Job: r.job, Queue: r.queue, Age: age, Wait: r.wait, Request: request,
	})
	if outcome.Result == work.Unknown {
		e.peers.GiveUp(c.Owner.Incarnation, heartbeat.GivenUp{Job: r.job.ID, Request: request})
	}
	if ctx.Err() == nil && (outcome.Result == work.Unknown || outcome.Result == work.Moved) {
		e.options.OwnerLost(c.Owner)
	}
	return outcome
}
