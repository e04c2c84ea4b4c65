package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// BenchmarkTask measures the decisions for one task, from the submission of its job to its
// completion, on nearly full targets that hold three tasks each.
func BenchmarkTask(b *testing.B) {
	for _, targets := range []int{16, 117, 1167} {
		b.Run(fmt.Sprintf("places=%d", 3*targets), func(b *testing.B) { benchmarkTasks(b, targets, Options{}, nil) })
		b.Run(fmt.Sprintf("places=%d/corrected", 3*targets), func(b *testing.B) {
			benchmarkTasks(b, targets, Options{CorrectAdmission: true, ReturnTimes: true}, nil)
		})
	}
}

const benchTasks = 8

func benchmarkTasks(b *testing.B, targets int, o Options, profiles *shares.Profiles) {
	s := New(o)
	s.RegistryRead()
	now := time.Second
	s.SetProfiles(now, profiles)
	for i := range targets {
		id := fmt.Sprintf("t%05d", i)
		s.TargetListed(now, work.Target{ID: id, Service: "s", Address: id, Capacity: work.Resources{CPU: 46000 + int64(i%7)*500}})
	}
	var running []StartRun
	completed := map[string]int64{}
	applyEffects := func() {
		for _, effect := range s.Effects(now) {
			switch e := effect.(type) {
			case Poll:
				if e.LeaseUntil == 0 && e.Wait == 0 {
					s.HandlePollAnswer(now, e.To.ID, e.SentAt, work.PollAnswer{ClockMS: now.Milliseconds()}, work.VerdictDone)
				}
			case StartRun:
				s.HandleStartAnswer(now, e.To.ID, e.Run, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: now.Milliseconds()})
				running = append(running, e)
			}
		}
	}
	applyEffects()
	submit := func(i int) {
		s.Submit(now, Submission{
			Ref: Ref(i + 1),
			Job: work.Job{ID: fmt.Sprintf("%016x", i), Steps: []work.Step{{
				Tasks: benchTasks, PerTask: work.Resources{CPU: 14000 + int64(i%5)*500}, DeclaredRunTime: 100 * time.Millisecond,
			}}},
			Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
		})
		applyEffects()
	}
	next := 0
	for ; next*benchTasks < 3*targets*9/10; next++ {
		submit(next)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N / benchTasks {
		now += 100 * time.Microsecond
		for range min(benchTasks, len(running)) {
			e := running[0]
			running = running[1:]
			completed[e.To.ID]++
			t := s.targets[e.To.ID]
			t.pollPending = true
			held := work.PollAnswer{ClockMS: now.Milliseconds(), Completions: []work.Completion{{Number: completed[e.To.ID], Run: e.Run, Kind: work.CompletionDone}}}
			for _, r := range t.runs {
				if r.RunID != e.Run {
					held.Running = append(held.Running, work.RunningRun{Run: r.RunID})
				}
			}
			s.HandlePollAnswer(now, e.To.ID, t.poll.SentAt, held, work.VerdictDone)
			applyEffects()
		}
		submit(next)
		next++
	}
}

// BenchmarkForecast measures the forecast for a job that comes behind half of the waiting ones.
func BenchmarkForecast(b *testing.B) {
	for _, waiting := range []int{100, 600, 2000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkForecast(b, waiting, Options{}) })
		b.Run(fmt.Sprintf("waiting=%d/corrected", waiting), func(b *testing.B) { benchmarkForecast(b, waiting, corrected) })
	}
}

func benchmarkForecast(b *testing.B, waiting int, o Options) {
	s := New(o)
	s.RegistryRead()
	now := time.Second
	newJob := func(i, priority int, slack time.Duration) *job {
		return s.newJob(now, Submission{
			Ref: Ref(i + 1),
			Job: work.Job{ID: fmt.Sprintf("j%d", i), Steps: []work.Step{{
				Tasks: 4, PerTask: work.Resources{CPU: 15000 + int64(i%5)*1000}, DeclaredRunTime: 100 * time.Millisecond,
			}}},
			Queue: work.Queue{Name: fmt.Sprintf("q%d", priority), Service: "s", Priority: priority, Stretch: 1, Allowance: slack},
		})
	}
	for i := range waiting {
		s.enqueue(newJob(i, i%3, time.Duration(i)*time.Millisecond))
	}
	s.poolOf("s").releaseRate = 1e5
	j := newJob(waiting, 1, time.Duration(waiting)*time.Millisecond/2)
	for b.Loop() {
		s.forecastStart(now, j)
	}
}
