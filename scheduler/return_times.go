package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Parameters of return times (Options.ReturnTimes).
const (
	// returnSecond is the unit of return times: answers carry whole seconds.
	returnSecond = time.Second
	// maxReturnSeconds bounds return times, as maxForecast bounds forecasts.
	maxReturnSeconds = int64(maxForecast / returnSecond)
	// returnShare of the processor that a second frees is promised to callers that return in it. They
	// may all return at one instant, and newcomers come beside them.
	returnShare = 0.1
	// returnTolerance is by how much callers return later than their return time says: the answer, the
	// call, and the caller's own delay.
	returnTolerance = 100 * time.Millisecond
)

// returnPlan holds what is promised to refused callers, by the second of their return. It is of fixed
// size, and a new owner starts with an empty one.
type returnPlan [maxReturnSeconds + 1]promisedSecond

// promisedSecond is the processor that jobs promised to return in a second want.
type promisedSecond struct {
	second int64
	cpu    int64
}

// promise returns in how many seconds, from first on, a caller should return whose job wants some
// processor: the first second with less promised than budget, else that with the least.
func (r *returnPlan) promise(now time.Duration, first, cpu, budget int64) (seconds int64, within bool) {
	current := int64(now / returnSecond)
	var chosen *promisedSecond
	for ahead := min(first, maxReturnSeconds); ahead <= maxReturnSeconds; ahead++ {
		slot := &r[(current+ahead)%int64(len(r))]
		if slot.second != current+ahead {
			*slot = promisedSecond{second: current + ahead}
		}
		if chosen == nil || slot.cpu < chosen.cpu {
			chosen = slot
		}
		if slot.cpu == 0 || slot.cpu+cpu <= budget {
			chosen, within = slot, true
			break
		}
	}
	chosen.cpu += cpu
	return chosen.second - current, within
}

// withReturnTime gives the refused caller of a job its own time to return. The outcome keeps the
// forecast wait for the entry VM, which compares it with the waits of other owners.
func (s *State) withReturnTime(now time.Duration, j *job, outcome work.Outcome) work.Outcome {
	if !s.options.ReturnTimes || outcome.Result != work.Refused || outcome.RetryAfter <= 0 || j.sub.Part != nil {
		return outcome
	}
	_, rate := j.pool.supply(now, 0)
	budget := int64(returnShare * max(rate*float64(returnSecond/time.Millisecond), float64(j.pool.openCPU)))
	first := int64((outcome.RetryAfter + returnSecond - 1) / returnSecond)
	seconds, within := j.pool.returns.promise(now, first, max(j.initialNeed().total, 1), budget)
	if within {
		s.emit(Count{"return_times", "within the budget"})
	} else {
		s.emit(Count{"return_times", "beyond the budget"})
	}
	outcome.ForecastWait, outcome.RetryAfter = outcome.RetryAfter, time.Duration(seconds)*returnSecond
	return outcome
}

// isAtReturnTime reports whether a caller seems to come again at its return time: whole seconds after
// it first came. No VM has to remember the promise for that.
func (sub Submission) isAtReturnTime() bool {
	before := sub.waitedBefore()
	return before >= returnSecond && before%returnSecond <= returnTolerance
}
