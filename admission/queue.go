package admission

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockward/burdockward/profile"
)

// Queues are served by bands: those that run fewer tasks than their guarantee
// come first, and within each half the more urgent ones come first.
const (
	urgencies = 10
	bands     = 2 * urgencies
)

// noQuota marks a profile without a team, unknownTeam one whose team is missing.
const (
	noQuota     = math.MaxInt
	unknownTeam = -1
)

// queue holds the submissions of one profile.
type queue struct {
	profile profile.Profile
	retired bool // no longer in force; submissions that have begun continue
	quota   int  // of the team in this failure domain

	subs        indexHeap[submission] // with waiting tasks, by rank
	waiting     int
	out         int // tasks handed out and not finished
	wantedSlots int // slots; see State.ProfileWantedSlots

	guarantee   int // in this VM
	band        int
	tag         [bands]float64 // start tags of fair queueing, in slot-seconds over weight
	servedAt    uint64         // number of its last pick, or of the newest one when its backlog began
	readyPlace  int
	servedPlace int
	isSetAside  bool

	runs    *runTimes
	sizes   jobSizes
	drain   drainRate
	started list.List // of *running, the longest running first
}

func newQueue(name string) *queue {
	q := &queue{runs: newRunTimes()}
	q.profile.Name = name
	q.subs = indexHeap[submission]{less: rankedBefore, place: func(u *submission) *int { return &u.rankPlace }}
	return q
}

// weight returns the queue's weight for fair queueing in its band.
func (q *queue) weight() float64 { return float64(max(1, q.profile.GuaranteedSlots)) }

// limit returns the most tasks that may run at once in the failure domain.
func (q *queue) limit() int {
	l := q.quota
	if q.profile.LimitSlots != 0 {
		l = min(l, q.profile.LimitSlots)
	}
	return l
}

// readyBefore orders queues by band, then by start tag.
func readyBefore(a, b *queue) bool {
	if a.band != b.band {
		return a.band < b.band
	}
	if a.tag[a.band] != b.tag[b.band] {
		return a.tag[a.band] < b.tag[b.band]
	}
	return a.profile.Name < b.profile.Name
}

func servedBefore(a, b *queue) bool {
	if a.servedAt != b.servedAt {
		return a.servedAt < b.servedAt
	}
	return a.profile.Name < b.profile.Name
}

// submission is an admitted submission. It stays in State.subs until the last task
// that was handed out has finished, also when it is gone.
type submission struct {
	id           ID
	queue        *queue
	arrival      uint64
	arrivedAt    time.Duration
	deadlineAt   time.Duration
	minTime      time.Duration // see runTimes.minTime
	longest      time.Duration
	smallerShare float64 // see Job.SmallerShare
	tasks        []task
	next         int   // index of the first task that was never handed out
	requeued     []int // tasks to be handed out again
	waiting      int
	out          int
	finished     int
	work         time.Duration // expected run time of the waiting tasks
	gone         bool          // removed or given up
	runObserved  bool          // a run time of one of its tasks was observed

	rank        time.Duration
	rankPlace   int
	giveUpAt    time.Duration
	giveUpPlace int
}

// task is one task of a submission.
type task struct {
	declared time.Duration
	expected time.Duration
	run      *running // nil unless handed out
}

// running is a task that was handed out.
type running struct {
	ref       TaskRef
	startedAt time.Duration
	band      int           // whose tag was charged
	charged   time.Duration // run time that was charged to the tag
	element   *list.Element // in queue.started
}

// hasBegun reports whether a task may have been started.
func (u *submission) hasBegun() bool { return u.out+u.finished > 0 }

func waitingTasks(u *submission) int { return u.waiting }

func rankedBefore(a, b *submission) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.arrival < b.arrival
}

func givenUpBefore(a, b *submission) bool {
	if a.giveUpAt != b.giveUpAt {
		return a.giveUpAt < b.giveUpAt
	}
	return a.arrival < b.arrival
}

// setProfile puts one profile in force.
func (s *State) setProfile(p profile.Profile, quotas map[string]int) {
	q := s.queues[p.Name]
	if q == nil {
		q = newQueue(p.Name)
		s.queues[p.Name] = q
		s.names = append(s.names, p.Name)
	}
	q.profile = p
	q.retired = false
	q.quota = noQuota
	if p.Team != "" {
		quota, known := quotas[p.Team]
		q.quota = quota
		if !known {
			q.quota = unknownTeam
		}
	}
	s.refresh(q)
}

// teamQuotas returns the quota of each team in this failure domain.
func (s *State) teamQuotas(teams []profile.Team) map[string]int {
	quotas := make(map[string]int, len(teams))
	for _, t := range teams {
		quotas[t.Name] = t.Share(s.config.Domain, s.config.Domains)
	}
	return quotas
}

// retire marks a profile as removed, drops its submissions that have not begun,
// and returns them with their failure.
func (s *State) retire(now time.Duration, q *queue) []GivenUp {
	q.retired = true
	queued := slices.Clone(q.subs.items)
	slices.SortFunc(queued, func(a, b *submission) int { return cmp.Compare(a.arrival, b.arrival) })
	var given []GivenUp
	for _, u := range queued {
		if u.hasBegun() {
			continue
		}
		given = append(given, GivenUp{ID: u.id, Failure: removedProfileFailure(u)})
		s.drop(now, u)
	}
	return given
}

// forgetIdle deletes the queue of a removed profile that has no work.
func (s *State) forgetIdle(q *queue) {
	if !q.retired || q.waiting > 0 || q.out > 0 {
		return
	}
	delete(s.queues, q.profile.Name)
	s.sortNames()
}

func (s *State) sortNames() { s.names = slices.Sorted(maps.Keys(s.queues)) }

// refresh recomputes a queue's wanted slots, guarantee, band and heap places.
func (s *State) refresh(q *queue) {
	wants := max(0, min(q.waiting+q.out, q.limit()))
	s.wantedSlots += wants - q.wantedSlots
	q.wantedSlots = wants
	q.guarantee = int(math.Ceil(float64(q.profile.GuaranteedSlots) * s.capacity.Share))
	if q.waiting == 0 {
		s.removeFromReady(q)
		return
	}
	s.updateBand(q)
	if q.isSetAside {
		return
	}
	s.ready.put(q)
	s.leastServed.put(q)
}

// updateBand sets the band of a queue. A queue that enters a band, or gets work
// again, gets no credit for the time without work in it.
func (s *State) updateBand(q *queue) {
	band := urgencies - 1 - min(max(q.profile.Urgency, 0), urgencies-1)
	if q.out >= q.guarantee {
		band += urgencies
	}
	if band != q.band || !s.ready.has(q) {
		q.tag[band] = max(q.tag[band], s.virtual[band])
	}
	q.band = band
}

// removeFromReady removes a queue without waiting tasks from the heaps and from the
// queues set aside.
func (s *State) removeFromReady(q *queue) {
	s.ready.remove(q)
	s.leastServed.remove(q)
	if q.isSetAside {
		q.isSetAside = false
		s.setAsideQueues = slices.DeleteFunc(s.setAsideQueues, func(o *queue) bool { return o == q })
	}
}
