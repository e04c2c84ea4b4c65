package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
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

// Peers is what heartbeats tell of owners.
type Peers interface {
	View(life uint64) (heartbeat.View, bool)
	GiveUp(owner uint64, job string)
}

// Remote runs jobs at other VMs.
type Remote interface {
	// RunUntil gives the job up when the caller has left or the owner is silent.
	RunUntil(ctx, alive context.Context, to heartbeat.Owner, order link.Order) work.Outcome
	// State and Cancel ask an owner about kept jobs.
	State(ctx context.Context, address, id string) (work.State, error)
	Cancel(ctx context.Context, address, id string) (work.State, error)
}

// Local is the owner in this process.
type Local interface {
	Submit(ctx context.Context, sub scheduler.Submission) work.Outcome
	Loads() map[string]scheduler.Load
	// JobState and CancelJob report false where the owner doesn't know the job.
	JobState(ctx context.Context, id string) (work.State, bool)
	CancelJob(ctx context.Context, id string) (work.State, bool)
	PendingJobs() map[string]int32
}

// Options of an Entry.
type Options struct {
	VM            string
	Life          uint64
	FailureDomain string
	Log           *slog.Logger
	Count         func(what, label string)
	// Claims lists the owners.
	Claims func() []ownership.Held
	// Local is the owner in this process of a group, if any.
	Local func(group string) (Local, bool)
	// DomainOf gives the failure domain of a group.
	DomainOf func(group string) string
	// Cordoned reports whether nothing may be started in a failure domain; nil says that
	// there are no cordons.
	Cordoned func(domain string) bool
	// Lost is told of owners whose connection broke; it must not block.
	Lost func(owner heartbeat.Owner)
	// Find reads from the store how a kept job stands.
	Find func(ctx context.Context, id string) (work.State, error)
}

// Entry has jobs run.
type Entry struct {
	options Options
	peers   Peers
	remote  Remote
	// found is when an owner was last there to ask, on the boot clock.
	found atomic.Int64
}

// New makes an Entry.
func New(o Options, peers Peers, remote Remote) *Entry {
	if o.Cordoned == nil {
		o.Cordoned = func(string) bool { return false }
	}
	e := &Entry{options: o, peers: peers, remote: remote}
	e.found.Store(int64(bootclock.Now()))
	return e
}

// Times of an entry.
const (
	// offerTime is how long a refused job is offered to another owner: one that has
	// waited in a queue is told the truth instead of waiting in the next.
	offerTime = 10 * time.Millisecond
	// lookAgain paces the look for an owner while there is none.
	lookAgain = 10 * time.Millisecond
	// refusedRetry is told when no owner can be reached: about the time that
	// another VM takes to claim its place.
	refusedRetry = time.Second
	// cordonedRetry is told while every failure domain is cordoned: the operator decides
	// when one may be used again.
	cordonedRetry = 2 * time.Second
	// hopeTime is how long jobs wait for an owner after the last one was seen: a
	// silence, a claim and the first looks. A VM that has none for longer is cut
	// off, and says so at once.
	hopeTime = heartbeat.Silence + 300*time.Millisecond
)

// request is a job on its way.
type request struct {
	job     work.Job
	queue   work.Queue
	arrived time.Duration
	wait    time.Duration
	// full holds the groups that have refused the job.
	full map[string]bool
	// latest is when the job has to start to be answered within its objective.
	latest time.Duration
}

// Dispatch runs a job to its end. The end of the context gives it up.
func (e *Entry) Dispatch(ctx context.Context, job work.Job, queue work.Queue, wait time.Duration) work.Outcome {
	arrived := bootclock.Now()
	r := &request{
		job: job, queue: queue, arrived: arrived, wait: wait, full: map[string]bool{},
		latest: arrived + queue.Objective(job.Chain()) - job.Chain(),
	}
	outcome := e.dispatch(ctx, r)
	e.options.Count("requests", outcome.Result.String())
	if outcome.Result == work.Refused || outcome.Result == work.Unknown {
		// What follows a colon differs from case to case.
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

func (e *Entry) dispatch(ctx context.Context, r *request) work.Outcome {
	refusal := work.Outcome{Result: work.Refused, Reason: "no owner of targets can be reached", RetryAfter: refusedRetry}
	for {
		candidates := e.candidates(r)
		at := Choose(candidates, rand.Float64())
		if at >= 0 {
			e.found.Store(int64(bootclock.Now()))
		}
		if at < 0 && len(r.full) > 0 {
			return refusal
		}
		if at < 0 && e.allCordoned() {
			return work.Outcome{Result: work.Refused, Reason: "every failure domain is cordoned", RetryAfter: cordonedRetry}
		}
		if at >= 0 {
			outcome := e.run(ctx, r, candidates[at])
			switch outcome.Result {
			case work.Moved:
			case work.Refused:
				refusal = outcome
				r.full[candidates[at].Group] = true
				if worse(candidates, at, outcome) || bootclock.Now()-r.arrived > offerTime {
					return refusal
				}
				continue
			default:
				return outcome
			}
		}
		now := bootclock.Now()
		if now > r.latest || now-time.Duration(e.found.Load()) > hopeTime {
			return refusal
		}
		select {
		case <-ctx.Done():
			return work.Outcome{Result: work.Unknown, Reason: "the caller left"}
		case <-time.After(lookAgain):
		}
	}
}

// worse reports whether no other owner is likely to take a refused job.
func worse(candidates []Candidate, refused int, outcome work.Outcome) bool {
	for i, c := range candidates {
		if i != refused && !c.Full && c.Wait+farPenalty < outcome.RetryAfter {
			return false
		}
	}
	return true
}

// candidates lists the owners that answer.
func (e *Entry) candidates(r *request) []Candidate {
	var list []Candidate
	for _, held := range e.options.Claims() {
		if e.options.Cordoned(e.options.DomainOf(held.Group)) {
			continue
		}
		c := Candidate{
			Group: held.Group,
			Near:  e.options.DomainOf(held.Group) == e.options.FailureDomain,
			Self:  held.Claim.GetLife() == e.options.Life,
			Full:  r.full[held.Group],
		}
		if !e.fill(&c, held, r) {
			continue
		}
		list = append(list, c)
	}
	return list
}

// allCordoned reports whether there are owners, and none of them may start anything.
func (e *Entry) allCordoned() bool {
	claims := e.options.Claims()
	for _, held := range claims {
		if !e.options.Cordoned(e.options.DomainOf(held.Group)) {
			return false
		}
	}
	return len(claims) > 0
}

func (e *Entry) fill(c *Candidate, held ownership.Held, r *request) bool {
	if c.Self {
		local, ok := e.options.Local(c.Group)
		if !ok {
			return false
		}
		if load, ok := local.Loads()[r.queue.Service]; ok {
			c.Wait = load.Wait[min(max(r.queue.Priority, 0), scheduler.Priorities-1)]
			c.Free = float64(load.FreeCPU) / float64(max(load.CPU, 1))
		}
		return true
	}
	view, ok := e.peers.View(held.Claim.GetLife())
	if !ok || view.Stamp == 0 || view.Alive.Err() != nil {
		return false
	}
	c.View, c.Owner = view, view.Owner
	c.Doubted = bootclock.Now()-view.Heard > doubtTime
	c.measure(view.Loads, r.queue.Service, r.queue.Priority)
	return true
}

// run has one owner run the job.
func (e *Entry) run(ctx context.Context, r *request, c Candidate) work.Outcome {
	age := bootclock.Now() - r.arrived
	if c.Self {
		local, ok := e.options.Local(c.Group)
		if !ok {
			return work.Outcome{Result: work.Moved, Reason: "this VM no longer owns the targets"}
		}
		return local.Submit(ctx, scheduler.Submission{Job: r.job, Queue: r.queue, Age: age, Wait: r.wait})
	}
	outcome := e.remote.RunUntil(ctx, c.View.Alive, c.Owner, link.Order{
		Group: c.Group, Entry: heartbeat.EntryID(e.options.VM, e.options.Life), Stamp: c.View.Stamp,
		Job: r.job, Queue: r.queue, Age: age, Wait: r.wait,
	})
	if outcome.Result == work.Unknown {
		e.peers.GiveUp(c.Owner.Life, r.job.ID)
	}
	if ctx.Err() == nil && (outcome.Result == work.Unknown || outcome.Result == work.Moved) {
		e.options.Lost(c.Owner)
	}
	return outcome
}
