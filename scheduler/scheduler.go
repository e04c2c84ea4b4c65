// Package scheduler decides which target runs which task, and when. A State takes the messages of
// callers, targets and the registry, each with the time, and returns effects for others to carry
// out. It reads no clock, opens no socket and starts no goroutine. Invariants:
//
//   - A task has at most one run that may be executing. It is placed again only when that run is
//     over: completed, in an ended incarnation, stopped before it began, or past its lease on the
//     target's own clock.
//   - The lease of a target covers all its runs. It is renewed only while the target answers and
//     no stop is overdue there.
//   - A target is used only after a poll under the owner's fencing token has shown that no run of
//     a previous owner is left there, except those that this owner continues.
//   - A submission is refused only while none of its tasks may have started.
package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// Ref identifies a submission within one State.
type Ref uint64

// Submission is a job that a caller hands in.
type Submission struct {
	Ref Ref
	// Entry is the VM that took the job from its caller and sends keepalives for it; empty means
	// this VM.
	Entry string
	// Origin is the VM that took the job of a part from its caller, if that is neither Entry nor this
	// VM. Its keepalives count as well as those of Entry.
	Origin string
	// Vouchers are further VMs whose keepalives count, for a job that was handed over.
	Vouchers []string
	// Handed says that the request is for a part that a leaving owner hands over with its runs.
	Handed bool
	// Request numbers the requests of Entry. A request and those that replace it after its
	// connection broke have the same number; 0 means that the entry VM doesn't number them.
	Request uint64
	// Expires is when the keepalive of the request itself ends, on the State's clock: from then on
	// the request starts nothing. 0 means never.
	Expires time.Duration
	Job     work.Job
	// Part names the tasks if another owner delegates a part of a job: its one step has just these
	// tasks. A part is accepted only if it can start at once.
	Part  []string
	Queue work.Queue
	// Age is the time since the caller sent the job.
	Age time.Duration
	// Wait is how long the caller waits from when it sent the job; 0 means no bound.
	Wait time.Duration
}

// Effect is an action or message that the State asks its caller to carry out.
type Effect interface{ effect() }

// StartRun orders the start of a run; the answer goes to HandleStartAnswer.
type StartRun struct {
	To work.TargetAddress
	work.StartOrder
}

// StopRun orders a run to stop; the answer goes to HandleStopAnswer.
type StopRun struct {
	To  work.TargetAddress
	Run work.RunID
}

// Poll asks a target for its runs and completions; the answer goes to HandlePollAnswer.
type Poll struct {
	To work.TargetAddress
	// SentAt is when its first copy was sent; it distinguishes this poll from others of the target.
	SentAt time.Duration
	// LeaseUntil is the lease end, on the target's clock, that the poll asks for; 0 leaves the
	// lease unchanged.
	LeaseUntil int64
	// AckUpTo acknowledges all completions up to this number.
	AckUpTo int64
	Wait    time.Duration
}

// Answer answers a submission.
type Answer struct {
	Ref     Ref
	Outcome work.Outcome
	// Times are set if the job has started.
	Times Times
}

// Times says how long a job waited for its first placement, and how long it ran from then on.
type Times struct{ Wait, Run time.Duration }

// Deposed reports that a target has seen the fencing token of another owner.
type Deposed struct{ Target string }

// LogEvent is a decision or a change of state, to be logged.
type LogEvent struct {
	// Failure marks lines that explain why a request failed, or that show that runs may have met.
	Failure bool
	Message string
	Job     string
	Task    string
	Target  string
	Detail  string
	// Age is how old the information behind the decision is, or how long its subject has existed; 0
	// where neither applies.
	Age time.Duration
	// Counter and Kind count the event; without them it is counted by its message.
	Counter, Kind string
	// Run describes the run that the event is about; nil where there is none.
	Run *RunFacts
}

func (StartRun) effect() {}
func (StopRun) effect()  {}
func (Poll) effect()     {}
func (Answer) effect()   {}
func (Deposed) effect()  {}
func (LogEvent) effect() {}

// State is what the owner of a set of targets knows about them and about its jobs. It is not safe
// for concurrent use.
type State struct {
	options Options
	// profiles are the operator's profiles; nil before the first.
	profiles *shares.Profiles
	targets  map[string]*target
	pools    map[string]*pool
	jobs     map[Ref]*job
	// dirty holds the targets that changed since the last call of Effects.
	dirty []*target
	// jobsByKey holds the jobs that have not ended, by Submission.key.
	jobsByKey map[string]*job
	// jobBytes is about how much memory these jobs take.
	jobBytes int64
	// openByID holds the jobs and parts of callers that have not ended, by job ID, oldest first.
	openByID map[string][]*job
	// stoppingRuns counts, by job ID, the runs and withdrawn parts of ended jobs that may still
	// execute.
	stoppingRuns map[string]int
	// waiting holds jobs with tasks to place, sorted by compareJobs.
	waiting []*job
	// keepalives holds until when each entry VM's callers are presumed to wait; estimates holds the
	// run time estimate of each queue.
	keepalives map[string]time.Duration
	estimates  map[string]*queueEstimate
	outcomes   outcomes
	// reportedCapacity is the free capacity that other owners reported; parts holds the tasks
	// delegated to them.
	reportedCapacity map[capacityKey]capacityReport
	parts            map[Part]*delegatedPart
	lastPart         Part
	withdrawn        []withdrawal

	// endedJobs counts the jobs that have ended.
	endedJobs int
	leaving   bool
	// registryRead is set once the whole registry was read.
	registryRead bool
	lastTick     time.Duration
	// delayedTickAt is when Tick last came long after the one before it.
	delayedTickAt time.Duration
	// partialLists counts the targets that may have more completions than they have listed.
	partialLists int
	// claimConfirmedAt is the latest time as of which the claim is known to be this owner's.
	// claimAskedAt is when a confirmation was last requested; targetsAwaitingClaim wait for one.
	claimConfirmedAt, claimAskedAt time.Duration
	// listedAtStart holds the incarnations of the targets that were listed when this owner started.
	listedAtStart        map[string]int64
	targetsAwaitingClaim []*target
	// targetsAsked are those whose incarnation was asked for; awaitsIncarnation says that a task
	// would fit one of them in the present round of placing.
	targetsAsked      []*target
	awaitsIncarnation bool
	// lastMissedAnswer is when an answer was last found missing; 0 before the first.
	lastMissedAnswer time.Duration
	// pendingWrites counts the writes to the store that are not confirmed yet.
	pendingWrites int
	resend        resendPolicy
	handover      handover
	adoption      adoption
	cordon        cordon
	crashes       lossTracker
	foreign       foreignTargets
	evidence      evidence
	// lateCompletions holds, for each durable job whose end is being written to the store, the
	// completions that arrived after its end.
	lateCompletions map[string][]CompletionRef
	// unrecordedCompletions holds, by task, the completions that a previous owner did not write to
	// the store, until allResumed is set.
	unrecordedCompletions map[string][]unrecordedCompletion
	// inheritedStates is what previous owners' runs of durable jobs had saved, by task.
	inheritedStates map[string]inheritedState
	allResumed      bool
	succession      succession
	// dropped is when jobs were last left to another owner. The leases of their runs are renewed
	// for droppedRenewTime from then on.
	dropped, droppedRenewTime time.Duration
	// wallOffset is the Unix time at the State's time zero.
	wallOffset time.Duration
	// adviserRequests holds the steps with an unanswered request to the adviser, by name;
	// openAdviserRequests is their number.
	adviserRequests map[string]*step
	// recentOutcomes holds the outcomes of other VMs' jobs that ended lately.
	recentOutcomes map[jobRef]recentOutcome
	// superseded holds when a repeated request submitted a job in place of an earlier request,
	// which must not submit it any more.
	superseded map[jobRef]time.Duration
	// givenUp holds when entry VMs gave up requests, for outcomeRetention.
	givenUp map[givenUpRef]time.Duration
	// outcomeDiscardedAt is when an outcome was last not remembered for lack of space; 0 before the
	// first.
	outcomeDiscardedAt  time.Duration
	openAdviserRequests int
	// recurringJobs holds the jobs with occurrences that are not due yet.
	recurringJobs map[*job]bool
	lastRunNumber int64
	// runClockOffset is the shared clock at the State's time zero; runClockSet is set once
	// SetRunClock was called.
	runClockOffset time.Duration
	runClockSet    bool
	effects        []Effect
}

// New makes a State without targets.
func New(o Options) *State {
	return &State{
		options:               o.withDefaults(),
		targets:               map[string]*target{},
		pools:                 map[string]*pool{},
		jobs:                  map[Ref]*job{},
		jobsByKey:             map[string]*job{},
		openByID:              map[string][]*job{},
		stoppingRuns:          map[string]int{},
		keepalives:            map[string]time.Duration{},
		estimates:             map[string]*queueEstimate{},
		outcomes:              outcomes{},
		reportedCapacity:      map[capacityKey]capacityReport{},
		parts:                 map[Part]*delegatedPart{},
		unrecordedCompletions: map[string][]unrecordedCompletion{},
		lateCompletions:       map[string][]CompletionRef{},
		inheritedStates:       map[string]inheritedState{},
		recurringJobs:         map[*job]bool{},
		adviserRequests:       map[string]*step{},
		resend:                newResendPolicy(o.SendOnce),
		cordon:                cordon{known: !o.AwaitCordon},
		crashes:               newLossTracker(),
		foreign:               foreignTargets{targets: map[string]work.Target{}},
		evidence:              newEvidence(),
		listedAtStart:         map[string]int64{},
		succession:            succession{unsettled: map[string]work.Target{}},

		recentOutcomes: map[jobRef]recentOutcome{},
		superseded:     map[jobRef]time.Duration{},
		givenUp:        map[givenUpRef]time.Duration{},
	}
}

// SetRunClock sets the clock that all owners share. Run numbers derive from it, so that later runs
// of a task get higher numbers. Before the first call they derive from the State's own time.
func (s *State) SetRunClock(now, clock time.Duration) {
	if !s.runClockSet {
		s.runClockSet, s.runClockOffset = true, clock-now
	}
	s.runClockOffset = max(s.runClockOffset, clock-now)
}

// runNumbersPerMilli exceeds the starts that one VM can order in a millisecond, so that run numbers
// keep rising with the shared clock.
const runNumbersPerMilli = 32

// nextRunNumber returns a number higher than that of any run of the same task under an earlier
// owner, since a job is sent again a second or more later. The numbers of durable jobs' runs are
// odd, so that a successor knows which completions it has to write to the store.
func (s *State) nextRunNumber(now time.Duration, durable bool) int64 {
	s.lastRunNumber = max(s.lastRunNumber+2, (s.runClockOffset+now).Milliseconds()*runNumbersPerMilli) &^ 1
	if durable {
		return s.lastRunNumber + 1
	}
	return s.lastRunNumber
}

// isDurableRun reports whether a run belongs to a durable job, whoever ordered it.
func isDurableRun(run work.RunID) bool { return run.Number&1 == 1 }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Effects places what can be placed and returns all effects since the last call. Call it after each
// batch of messages.
func (s *State) Effects(now time.Duration) []Effect {
	s.placeWaiting(now)
	for _, t := range s.dirty {
		t.dirty = false
		if s.targets[t.ID] == t {
			s.pollIfNeeded(now, t)
		}
	}
	clear(s.dirty)
	s.dirty = s.dirty[:0]
	effects := s.effects
	s.effects = nil
	return effects
}

// EntryKeepalive records that an entry VM's callers still wait, until the given time.
func (s *State) EntryKeepalive(entry string, until time.Duration) {
	s.keepalives[entry] = max(s.keepalives[entry], until)
}

// LastKeepalive returns until when the newest keepalive of an entry VM counts; 0 if there was none lately.
func (s *State) LastKeepalive(entry string) time.Duration { return s.keepalives[entry] }

// hasKeepalive reports whether a job's caller is presumed to wait still. Durable jobs and those of
// this VM need no keepalive.
func (s *State) hasKeepalive(now time.Duration, j *job) bool {
	return j.isDurable() || j.sub.Entry == "" || now < s.lastKeepalive(j)
}

// TickInterval is the time between two calls of Tick: a fraction of the shortest timeout that Tick
// checks. Ticks that come later than that show that this process is short of processor.
const TickInterval = 20 * time.Millisecond

// Tick handles everything that changes by time alone. Call it every TickInterval.
func (s *State) Tick(now time.Duration) {
	if s.wasPaused(now) {
		s.endJobsAfterPause(now, now-s.lastTick)
	}
	if s.isTickDelayed(now) {
		s.delayedTickAt = now
	}
	if s.lastTick != 0 {
		s.resend.tick(now - s.lastTick)
	}
	if s.losesAnswers(now) {
		s.resend.adjustPollWait(s.options.PollWait)
	}
	s.lastTick = now
	s.expireCordonConfirmation(now)
	s.startDueOccurrences(now)
	for _, j := range s.sortedJobs() {
		s.expireJob(now, j)
	}
	for entry, until := range s.keepalives {
		if now > until+keepaliveRetention {
			delete(s.keepalives, entry)
		}
	}
	s.expireWithdrawn(now)
	s.expireOutcomes(now)
	s.expireWaiting(now)
	s.delegateToSuccessor(now)
	s.expireGivenUp(now)
	s.evidence.expire(now)
	s.tickLosses(now)
	s.moveMisplaced(now)
	s.expirePredecessors(now)
	s.checkClaim(now)
	s.retryAwaitingClaim(now)
	s.expireHolds(now)
	s.expireReservations(now)
	for _, p := range s.pools {
		p.medianSpeed = p.computeMedianSpeed()
	}
	for _, t := range s.sortedTargets() {
		s.tickTarget(now, t)
	}
}

// wasPaused reports whether this process was paused and has not ticked since.
func (s *State) wasPaused(now time.Duration) bool {
	return s.lastTick != 0 && now-s.lastTick > s.options.PauseThreshold
}

// keepaliveRetention keeps an entry VM's last keepalive for as long as a job of it may still
// arrive.
const keepaliveRetention = 10 * time.Second

// endJobsAfterPause ends all jobs that callers wait for after a pause of this process: their
// callers may have sent them to other owners meanwhile.
func (s *State) endJobsAfterPause(now, gap time.Duration) {
	s.emit(LogEvent{Failure: true, Message: "process stood still", Age: gap})
	s.requireCordonConfirmation(now)
	for _, j := range s.sortedJobs() {
		if !j.isDurable() {
			s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "the VM stood still"})
		}
	}
}

// Leave stops taking jobs and hands back those with nothing started. Durable jobs are left to the
// successor, which continues their runs.
func (s *State) Leave(now time.Duration) {
	s.leaving = true
	s.dropped, s.droppedRenewTime = now, handoverLease
	for _, j := range s.sortedJobs() {
		switch {
		case j.isDurable():
			s.handOver(j)
		case j.mayHaveStarted():
		default:
			s.finish(now, j, work.Outcome{Result: work.Moved, Reason: "another VM takes over"})
		}
	}
}

// Abandon ends all jobs, since another owner has taken the targets.
func (s *State) Abandon(now time.Duration) {
	s.leaving = true
	s.dropped, s.droppedRenewTime = now, 0
	for _, j := range s.sortedJobs() {
		if j.stored {
			s.drop(j)
			continue
		}
		result := work.Unknown
		if !j.mayHaveStarted() && !j.isDurable() {
			result = work.Moved
		}
		s.finish(now, j, work.Outcome{Result: result, Reason: "another VM has taken over"})
	}
}

// Jobs returns the number of jobs that have not ended.
func (s *State) Jobs() int { return len(s.jobs) }

// Targets returns the number of known targets.
func (s *State) Targets() int { return len(s.targets) }

// PendingWrites returns the number of writes to the store that are not confirmed yet.
func (s *State) PendingWrites() int { return s.pendingWrites }

// IsIdle reports whether there is no job, no run of this owner, no delegated part and no pending
// write left.
func (s *State) IsIdle() bool {
	for _, t := range s.targets {
		if !t.isIdle() {
			return false
		}
	}
	return len(s.jobs) == 0 && len(s.parts) == 0 && s.pendingWrites == 0
}

// Load is what other VMs need to know to choose an owner.
type Load struct {
	// Wait is the forecast wait of a typical task, by priority from 0 to 2.
	Wait [Priorities]time.Duration
	// FreeCPU is the free processor of usable targets, in thousandths of a core.
	FreeCPU int64
	// CPU is the total processor of usable targets, in thousandths of a core.
	CPU int64
	// FreeCapacity is what other owners may delegate here.
	FreeCapacity FreeCapacity
	// AnswerTime is a moving average of how long answers of targets take until they are read.
	AnswerTime time.Duration
	// Cordoned says that nothing may be started on the targets.
	Cordoned bool
}

// Priorities is the number of priorities that a Load distinguishes.
const Priorities = 3

// IdleTargets lists the targets with no runs; it is empty while a started job needs targets.
func (s *State) IdleTargets() []string {
	if s.hasStartedJobWaiting() {
		return nil
	}
	var idle []string
	for _, t := range s.sortedTargets() {
		if t.isIdle() && t.state != adopting {
			idle = append(idle, t.ID)
		}
	}
	return idle
}

// hasStartedJobWaiting reports whether a job that has started still has tasks to place.
func (s *State) hasStartedJobWaiting() bool {
	for _, j := range s.waiting {
		if j.mayHaveStarted() && !j.ended {
			return true
		}
	}
	return false
}

// ReleaseTargets removes idle targets that another owner takes over.
func (s *State) ReleaseTargets(ids []string) {
	for _, id := range ids {
		if t := s.targets[id]; t != nil && t.isIdle() {
			s.removeTarget(t)
		}
	}
}
