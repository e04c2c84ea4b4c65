package link

import (
	"time"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/scheduler"
)

func handoverToWire(h *scheduler.Handover) *linkpb.Handover {
	if h == nil {
		return nil
	}
	wire := &linkpb.Handover{From: h.From, AgoUs: micros(h.Ago), LastRun: h.LastRun, KeepaliveUs: map[string]int64{}}
	for entry, left := range h.Keepalives {
		wire.KeepaliveUs[entry] = micros(left)
	}
	for _, t := range h.Targets {
		wire.Targets = append(wire.Targets, &linkpb.HandedTarget{
			Target: targetToWire(t.Target), Unlisted: t.Unlisted, ClockMs: t.Clock, UntilMs: t.LeaseUntil, AnsweredUs: micros(t.AnsweredAgo), AllRunsKnown: t.AllRunsKnown,
		})
	}
	for _, j := range h.Jobs {
		wire.Jobs = append(wire.Jobs, handedJobToWire(j))
	}
	return wire
}

func handedJobToWire(j scheduler.HandedJob) *linkpb.HandedJob {
	sub := j.Submission
	wire := &linkpb.HandedJob{
		Job: jobToWire(sub.Job), Queue: queueToWire(sub.Queue), Part: sub.Part, AgeUs: micros(sub.Age), WaitUs: micros(sub.Wait), Vouchers: sub.Vouchers,
		Ended: j.Ended, EndedUs: micros(j.EndedAgo), Fails: map[int32]int32{}, Saved: map[int32]string{},
	}
	for task, fails := range j.Fails {
		wire.Fails[int32(task)] = int32(fails)
	}
	for task, saved := range j.Saved {
		wire.Saved[int32(task)] = saved
	}
	for _, r := range j.Runs {
		wire.Runs = append(wire.Runs, &linkpb.HandedRun{
			Task: int32(r.Task), Number: r.Number, Target: r.Target, Phase: int32(r.Phase), UntilMs: r.LeaseUntil,
			OrderedUs: micros(r.OrderedAgo), RunningUs: micros(r.RunningAgo), ResumeFrom: r.ResumeFrom, Saved: r.Saved,
		})
	}
	return wire
}

// handoverFromWire returns nil if no jobs are handed over. A job whose steps have another number of
// tasks than it names is left out: the successor then stops its runs.
func handoverFromWire(wire *linkpb.Handover) *scheduler.Handover {
	if wire == nil {
		return nil
	}
	h := &scheduler.Handover{From: wire.GetFrom(), Ago: duration(wire.GetAgoUs()), LastRun: wire.GetLastRun(), Keepalives: map[string]time.Duration{}}
	for entry, left := range wire.GetKeepaliveUs() {
		h.Keepalives[entry] = duration(left)
	}
	for _, t := range wire.GetTargets() {
		h.Targets = append(h.Targets, scheduler.HandedTarget{
			Target: targetFromWire(t.GetTarget()), Unlisted: t.GetUnlisted(), Clock: t.GetClockMs(), LeaseUntil: t.GetUntilMs(), AnsweredAgo: duration(t.GetAnsweredUs()), AllRunsKnown: t.GetAllRunsKnown(),
		})
	}
	for _, j := range wire.GetJobs() {
		if handed := handedJobFromWire(j); len(handed.Submission.Part) > 0 && handed.Submission.Job.TaskCount() == len(handed.Submission.Part) {
			h.Jobs = append(h.Jobs, handed)
		}
	}
	return h
}

func handedJobFromWire(wire *linkpb.HandedJob) scheduler.HandedJob {
	j := scheduler.HandedJob{
		Submission: scheduler.Submission{
			Handed: true, Job: jobFromWire(wire.GetJob()), Queue: queueFromWire(wire.GetQueue()), Part: wire.GetPart(),
			Age: duration(wire.GetAgeUs()), Wait: duration(wire.GetWaitUs()), Vouchers: wire.GetVouchers(),
		},
		Ended: wire.GetEnded(), EndedAgo: duration(wire.GetEndedUs()), Fails: map[int]int{}, Saved: map[int]string{},
	}
	for task, fails := range wire.GetFails() {
		j.Fails[int(task)] = int(fails)
	}
	for task, saved := range wire.GetSaved() {
		j.Saved[int(task)] = saved
	}
	for _, r := range wire.GetRuns() {
		j.Runs = append(j.Runs, scheduler.HandedRun{
			Task: int(r.GetTask()), Number: r.GetNumber(), Target: r.GetTarget(), Phase: scheduler.RunPhase(r.GetPhase()), LeaseUntil: r.GetUntilMs(),
			OrderedAgo: duration(r.GetOrderedUs()), RunningAgo: duration(r.GetRunningUs()), ResumeFrom: r.GetResumeFrom(), Saved: r.GetSaved(),
		})
	}
	return j
}
