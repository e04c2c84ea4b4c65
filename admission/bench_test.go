package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockward/burdockward/profile"
)

// benchState queues a number of tasks of ten profiles in jobs of ten.
func benchState(b *testing.B, queued int) (*State, []Submission) {
	b.Helper()
	var profiles []profile.Profile
	for i := range 10 {
		p := shareProfile(fmt.Sprint("p", i), i, i)
		p.QueueTasks, p.DeadlineMS, p.MaxDeadlineMS = 1<<30, 1<<40, 0
		profiles = append(profiles, p)
	}
	s := New(Config{MaxQueuedTasks: 1 << 30})
	s.SetProfiles(0, profiles, nil)
	for i := range queued / 10 {
		if f := s.Admit(0, job(fmt.Sprint("queued", i), fmt.Sprint("p", i%10), 10), wholeDomain); f != nil {
			b.Fatal(f)
		}
	}
	subs := make([]Submission, 0, b.N/10+1)
	for i := range b.N/10 + 1 {
		subs = append(subs, job(fmt.Sprint("s", i), fmt.Sprint("p", i%10), 10))
	}
	return s, subs
}

// BenchmarkTask measures Admit, Next, RecordStart and RecordEnd for each task, in
// jobs of ten tasks, beside a queue of a steady length.
func BenchmarkTask(b *testing.B) {
	for _, queued := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			s, subs := benchState(b, queued)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * 10 * time.Microsecond
				if i%10 == 0 {
					if f := s.Admit(now, subs[i/10], wholeDomain); f != nil {
						b.Fatal(f)
					}
				}
				ref, _ := s.Next(now, anyUsable)
				s.RecordStart(now, ref)
				s.RecordEnd(now, ref, 300*ms, OutcomeDone)
			}
		})
	}
}

// BenchmarkQueuedMemory reports the memory of queued submissions.
func BenchmarkQueuedMemory(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) {
			s, _ := benchState(b, 0)
			b.ReportAllocs()
			for i := range b.N {
				if f := s.Admit(0, job(fmt.Sprintf("hall-a.0123456789abcdef.%026d", i), "p1", n), wholeDomain); f != nil {
					b.Fatal(f)
				}
			}
		})
	}
}

// BenchmarkExpire measures Expire while no deadline has passed.
func BenchmarkExpire(b *testing.B) {
	s, _ := benchState(b, 100_000)
	for b.Loop() {
		if given := s.Expire(0); given != nil {
			b.Fatal("nothing is due")
		}
	}
}

// BenchmarkBlockedProfiles measures Next while most profiles have no units.
func BenchmarkBlockedProfiles(b *testing.B) {
	for _, blocked := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprint("blocked=", blocked), func(b *testing.B) {
			var profiles []profile.Profile
			for i := range blocked + 1 {
				p := shareProfile(fmt.Sprintf("p%04d", i), 0, 5)
				p.QueueTasks = 1 << 30
				profiles = append(profiles, p)
			}
			s := New(Config{MaxQueuedTasks: 1 << 30})
			s.SetProfiles(0, profiles, nil)
			for _, p := range profiles {
				if f := s.Admit(0, job(p.Name, p.Name, 100), wholeDomain); f != nil {
					b.Fatal(f)
				}
			}
			usable := func(name string) bool { return name == "p0000" }
			for b.Loop() {
				ref, _ := s.Next(0, usable)
				s.Requeue(ref)
			}
		})
	}
}
