// Package admission decides which submissions an entry VM takes in, in which
// order their tasks start, and when a submission is given up.
//
// Its input is the profiles and quotas in force, the usable capacity, and the
// starts and ends of tasks. Its output is a refusal with a failure, the next task
// to start, the submissions to give up, and the stragglers. A task is handed out
// again only after Requeue, and a submission is given up once.
//
// A State is plain data: every method takes what it needs, the time included, as
// arguments. One goroutine owns a State. Times are durations since the start of
// the process.
package admission

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

// ID identifies a submission; the daemon uses its key.
type ID string

// TaskRef names one task of a submission.
type TaskRef struct {
	ID   ID
	Task int
	// Profile is the name of the submission's profile.
	Profile string
}

// Submission is what admission needs to know of a submission.
type Submission struct {
	ID      ID
	Profile string
	// DeadlineAt is the latest time of the answer, since the start of the
	// process; 0 takes the profile's deadline.
	DeadlineAt time.Duration
	// Tasks holds the declared run time of each task; 0 is unknown.
	Tasks []time.Duration
}

// Capacity is the capacity that the VM can use.
type Capacity struct {
	// Slots is the number of usable slots in the failure domain.
	Slots int
	// Share is the fraction of the load, 0 to 1, that this VM carries.
	Share float64
}

// Outcome is how a task ended.
type Outcome int

// The outcomes of a task that was started, or may have been.
const (
	// OutcomeDone is a task that ran to its end.
	OutcomeDone Outcome = iota
	// OutcomeFailed is a task that the target reported as failed.
	OutcomeFailed
	// OutcomeStopped is a task that was stopped, by its limit or by request.
	OutcomeStopped
	// OutcomeLost is a task without an answer.
	OutcomeLost
)

// GivenUp is a submission that will not be completed, with its final answer.
type GivenUp struct {
	ID      ID
	Failure *api.Failure
	// Out holds the tasks that were handed out and have not finished. The caller
	// stops them, and still reports their end with RecordEnd.
	Out []TaskRef
}

// Config are the settings of a State.
type Config struct {
	// Domain is the failure domain of the VM, and Domains are all of them.
	// They determine each team's quota in Domain.
	Domain  string
	Domains []string
	// Order ranks the submissions of one profile; nil takes DefaultOrder.
	Order Order
	// MaxQueuedTasks bounds the waiting tasks of all profiles together; 0 takes
	// DefaultMaxQueuedTasks.
	MaxQueuedTasks int
}

// DefaultMaxQueuedTasks bounds the waiting tasks of one VM. A waiting submission of
// one task takes about 500 bytes, one of 100 tasks 4 kB.
const DefaultMaxQueuedTasks = 50_000

// State is the admission state of one entry VM.
type State struct {
	config      Config
	capacity    Capacity
	queues      map[string]*queue
	names       []string // of queues, sorted
	subs        map[ID]*submission
	waiting     int // tasks of all queues
	wantedSlots int // sum of the queues' wanted slots

	ready          indexHeap[queue]      // queues with waiting tasks, by band and tag
	leastServed    indexHeap[queue]      // the same queues, least recently served first
	setAsideQueues []*queue              // queues without free limit units
	giveUps        indexHeap[submission] // all submissions, by giveUpAt
	virtual        [bands]float64        // virtual time of each band
	picks          uint64
	arrivals       uint64
	refusals       refusalRing
}

// New makes an empty State. It admits nothing before SetProfiles.
func New(c Config) *State {
	if c.Order == nil {
		c.Order = DefaultOrder
	}
	if c.MaxQueuedTasks <= 0 {
		c.MaxQueuedTasks = DefaultMaxQueuedTasks
	}
	s := &State{config: c, capacity: Capacity{Share: 1}}
	s.queues = make(map[string]*queue)
	s.subs = make(map[ID]*submission)
	s.ready = indexHeap[queue]{less: readyBefore, place: func(q *queue) *int { return &q.readyPlace }}
	s.leastServed = indexHeap[queue]{less: servedBefore, place: func(q *queue) *int { return &q.servedPlace }}
	s.giveUps = indexHeap[submission]{less: givenUpBefore, place: func(u *submission) *int { return &u.giveUpPlace }}
	return s
}

// SetProfiles puts profiles and quotas in force. Queued work stays queued under
// the new settings. It removes the submissions of a removed profile of which no
// task was handed out, and returns them with their failure. Those that have begun
// continue under the old settings.
func (s *State) SetProfiles(now time.Duration, profiles []profile.Profile, teams []profile.Team) []GivenUp {
	quotas := s.teamQuotas(teams)
	listed := make(map[string]bool, len(profiles))
	for _, p := range profiles {
		listed[p.Name] = true
		s.setProfile(p, quotas)
	}
	var given []GivenUp
	s.sortNames()
	for _, name := range slices.Clone(s.names) {
		if q := s.queues[name]; !listed[name] {
			given = append(given, s.retire(now, q)...)
			s.forgetIdle(q)
		}
	}
	return given
}

// SetCapacity records the capacity from which guarantees and predictions are
// computed. Admit records it as well.
func (s *State) SetCapacity(c Capacity) {
	if s.capacity == c {
		return
	}
	s.capacity = c
	for _, name := range s.names {
		s.refresh(s.queues[name])
	}
}

// QueueLen returns the number of waiting tasks of all profiles.
func (s *State) QueueLen() int { return s.waiting }

// ProfileQueueLen returns the number of waiting tasks of a profile.
func (s *State) ProfileQueueLen(name string) int {
	if q := s.queues[name]; q != nil {
		return q.waiting
	}
	return 0
}

// ProfileWantedSlots returns the number of slots that a profile could use now:
// waiting tasks and those handed out, up to the profile's limit and its team's
// quota.
func (s *State) ProfileWantedSlots(name string) int {
	if q := s.queues[name]; q != nil {
		return q.wantedSlots
	}
	return 0
}

// WantedSlots returns the sum of ProfileWantedSlots over all profiles.
func (s *State) WantedSlots() int { return s.wantedSlots }
