package scheduler

import (
	"fmt"
	"time"

	"github.com/burdockward/burdockward/work"
)

func (s *State) refuse(now time.Duration, j *job, wait time.Duration) {
	j.record(now, "refused", "", "", fmt.Sprintf("forecast wait %v, slack %v, %s",
		wait.Round(time.Millisecond), (j.latestStart-now).Round(time.Millisecond), s.describeLoad(j)))
	outcome := work.Outcome{Result: work.Refused, Reason: "too much work waits", RetryAfter: wait}
	outcome = s.withReturnTime(now, j, outcome)
	s.logHistory(now, j, outcome)
	s.answer(j.sub, outcome)
}

// refuseLate refuses a late job that, behind all jobs that can still be on time, would not start
// while its answer is of any use. So its caller need not wait until the end of that time for a
// refusal.
func (s *State) refuseLate(now time.Duration, j *job) {
	if j.isDurable() || j.sub.Part != nil {
		return
	}
	need := j.initialNeed()
	free, rate := j.pool.supply(now, need.each)
	if rate == 0 && s.isCapacityUnknown(j.pool) {
		return
	}
	// The job itself is among the waiting ones that cpuAhead counts.
	wait := drainTime(s.cpuAhead(j)-free-j.pool.arrivingCPU(need.each), rate*j.pool.shareLeft(now, Priorities))
	if j.pool.shares != nil {
		wait, _ = s.waitByShares(now, j, need, s.profileCPUAhead(j), Priorities)
	}
	if wait <= j.usefulUntil-j.expectedRuntime()-now {
		return
	}
	outcome := j.giveUpOutcome("late, and too much work goes first")
	outcome.RetryAfter = wait
	s.countProfileRefusal(j)
	s.finish(now, j, outcome)
}
