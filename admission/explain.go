package admission

import (
	"math"
	"time"

	"github.com/burdockward/burdockward/api"
)

// maxRefusals is the number of refusals that Explain can report.
const maxRefusals = 1024

// Explanation says where a submission stands, or why it was refused.
type Explanation struct {
	ID      ID     `json:"id"`
	Profile string `json:"profile,omitempty"`
	// Known is set for a submission that is in the queues or running.
	Known bool `json:"known"`
	// Gone is set when it was cancelled, has failed or was given up, and tasks
	// of it have not ended.
	Gone bool `json:"gone,omitempty"`
	// Waiting, Out and Finished count its tasks.
	Waiting  int `json:"waiting"`
	Out      int `json:"out"`
	Finished int `json:"finished"`
	// Position is the number of tasks of the profile that go before it.
	Position int `json:"position"`
	// ExpectedStartMS is the time until its next task is likely to start, and
	// ExpectedEndMS that until its last one ends, in milliseconds.
	ExpectedStartMS int64 `json:"expected_start_ms"`
	ExpectedEndMS   int64 `json:"expected_end_ms"`
	// DeadlineMS and GiveUpMS are the times until its deadline, and until it is
	// given up because it could not finish any more, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	GiveUpMS   int64 `json:"give_up_ms"`
	// DrainRate is the rate of the profile's queue in tasks a second.
	DrainRate float64 `json:"drain_rate"`
	// UnderGuarantee says whether the profile runs less than its guaranteed
	// share here, and LimitReached that it had no free limit units.
	UnderGuarantee bool `json:"under_guarantee"`
	LimitReached   bool `json:"limit_reached"`
	// Refused is the failure of a submission that was refused recently.
	Refused *api.Failure `json:"refused,omitempty"`
}

// Explain says where a submission stands. It visits all submissions that go before
// it, which is too slow for anything but operators' queries.
func (s *State) Explain(now time.Duration, id ID) Explanation {
	u := s.subs[id]
	if u == nil {
		return Explanation{ID: id, Refused: s.refusals.find(id)}
	}
	q := u.queue
	rate := s.drainRate(now, q)
	e := Explanation{ID: id, Profile: q.profile.Name, Known: true, Gone: u.gone}
	e.Waiting, e.Out, e.Finished = u.waiting, u.out, u.finished
	e.DeadlineMS = (u.deadlineAt - now).Milliseconds()
	e.GiveUpMS = (u.giveUpAt - now).Milliseconds()
	e.DrainRate = rate
	e.UnderGuarantee = q.out < q.guarantee
	e.LimitReached = q.isSetAside
	if u.waiting > 0 {
		e.Position, _ = q.subs.sumBefore(u, math.MaxInt, waitingTasks)
	}
	e.ExpectedStartMS = seconds(float64(e.Position) / rate).Milliseconds()
	last := seconds(float64(e.Position+u.waiting) / rate)
	e.ExpectedEndMS = (last + u.longest).Milliseconds()
	return e
}

// refusalRing holds the newest refusals, at most maxRefusals.
type refusalRing struct {
	ids      []ID
	failures map[ID]*api.Failure
	oldest   int
}

// add stores a refusal, in place of the oldest one when there are maxRefusals.
func (r *refusalRing) add(id ID, f *api.Failure) {
	if r.failures == nil {
		r.failures = make(map[ID]*api.Failure, maxRefusals)
	}
	_, again := r.failures[id]
	r.failures[id] = f
	if again {
		return
	}
	if len(r.ids) < maxRefusals {
		r.ids = append(r.ids, id)
		return
	}
	delete(r.failures, r.ids[r.oldest])
	r.ids[r.oldest] = id
	r.oldest = (r.oldest + 1) % maxRefusals
}

func (r *refusalRing) find(id ID) *api.Failure { return r.failures[id] }
