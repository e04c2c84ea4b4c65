package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// A connection between two VMs may break while both go on. The entry VM then asks for its
// job's answer over another one: the job is running still, or has ended just now.

// Bounds of what is remembered of ended jobs.
const (
	// unclaimedTime is how long an outcome is remembered: its answer may be lost with the
	// connection, and the entry VM asks for it as soon as it learns of that.
	unclaimedTime = time.Second
	// maxUnclaimed bounds the outcomes that are remembered, to several times the jobs of a
	// grown failure domain in that time.
	maxUnclaimed = 4096
)

// jobRef names a job, or a part of one, of an entry VM.
type jobRef struct{ entry, key string }

func (sub Submission) ref() jobRef { return jobRef{entry: sub.Entry, key: sub.key()} }

// unclaimed is the outcome of a job that its entry VM may not have got.
type unclaimed struct {
	outcome work.Outcome
	at      time.Duration
}

// Presence is what is known of a job that is asked for again.
type Presence int

const (
	// Absent jobs never came, so that nothing of them was begun.
	Absent Presence = iota
	// Present jobs run, or have ended just now.
	Present
	// Forgotten jobs may have run, and are remembered no longer.
	Forgotten
)

// String implements fmt.Stringer.
func (p Presence) String() string { return [...]string{"absent", "present", "forgotten"}[p] }

// remember keeps the outcome of a job of another VM for a while.
func (s *State) remember(now time.Duration, sub Submission, outcome work.Outcome) {
	switch {
	case sub.Entry == "":
	case len(s.unclaimed) >= maxUnclaimed:
		s.forgot = now
	default:
		s.unclaimed[sub.ref()] = unclaimed{outcome: outcome, at: now}
	}
}

func (s *State) forgetUnclaimed(now time.Duration) {
	for job, past := range s.unclaimed {
		if now-past.at > unclaimedTime {
			delete(s.unclaimed, job)
		}
	}
	for job, at := range s.barred {
		if now-at > unclaimedTime {
			delete(s.barred, job)
		}
	}
}

// Rejoin answers a request that takes the place of one whose connection broke, which was
// sent some time ago: with the outcome of the job, or of the part of one, as soon as there
// is one. A job that is Absent is handed in where begin is set; the former request, which
// may still be on its way within this process, doesn't begin it any more. A Forgotten one has
// no answer.
func (s *State) Rejoin(now time.Duration, sub Submission, ago time.Duration, begin bool) Presence {
	if j := s.byID[sub.key()]; j != nil && !j.kept() && j.sub.Entry == sub.Entry {
		j.mark(now, "asked again", "", "", "its connection broke")
		s.attach(now, j, sub)
		return Present
	}
	if past, known := s.unclaimed[sub.ref()]; known {
		s.answer(sub, past.outcome)
		return Present
	}
	if ago >= unclaimedTime || s.forgot > 0 && now-s.forgot <= unclaimedTime || len(s.barred) >= maxUnclaimed {
		return Forgotten
	}
	if begin {
		s.barred[sub.ref()] = now
		s.submit(now, sub)
	}
	return Absent
}

// bars reports whether a submission comes after the request that took its place.
func (s *State) bars(now time.Duration, sub Submission) bool {
	at, asked := s.barred[sub.ref()]
	return asked && now-at <= unclaimedTime
}
