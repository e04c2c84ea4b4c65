package scheduler

import "time"

// Summary counts what a State holds.
type Summary struct {
	// Jobs counts the jobs that have not ended, Waiting those of them that still have tasks to
	// place, and Runs the runs on all targets.
	Jobs, Waiting, Runs int
	// Targets counts all known targets; the others count subsets of them.
	Targets, Usable, Suspected, Draining int
	// CPU and FreeCPU are the processor of usable targets, in thousandths of a core.
	CPU, FreeCPU int64
	// TickLate is how late ticks come, and AnswerTime how long answers take until they are read, as
	// moving averages. Both grow when this process is short of processor.
	TickLate, AnswerTime time.Duration
	// PollWait is how long polls wait now; Copies counts the orders that were sent again.
	PollWait time.Duration
	Copies   int
	// Cordoned says that nothing may be started on the targets.
	Cordoned bool
}

// Summary counts what the State holds now.
func (s *State) Summary() Summary {
	sum := Summary{
		Jobs: len(s.jobs), Waiting: len(s.waiting), Targets: len(s.targets),
		TickLate: s.resend.tickDelay, AnswerTime: s.resend.slowMean, PollWait: s.pollWait(s.lastTick), Copies: s.resend.copiesSent,
		Cordoned: s.cordon.blocksStarts(),
	}
	for _, t := range s.targets {
		sum.Runs += len(t.runs)
		if t.health.suspected {
			sum.Suspected++
		}
		if t.Draining {
			sum.Draining++
		}
		if t.state == usable && !t.Draining {
			sum.Usable++
			sum.CPU += t.Capacity.CPU
			sum.FreeCPU += t.free.CPU
		}
	}
	return sum
}
