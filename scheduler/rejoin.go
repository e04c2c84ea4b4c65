package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// A connection between two VMs may break while both keep running. The entry VM then asks for its
// job's answer over another connection: the job may still run, or may have ended just now.

// Bounds of what is remembered of ended jobs.
const (
	// outcomeRetention is how long an outcome is remembered. Its answer may be lost with the
	// connection, and the entry VM asks for it as soon as it notices.
	outcomeRetention = time.Second
	// maxRecentOutcomes bounds the outcomes that are remembered: several times the jobs of a large
	// failure domain within outcomeRetention.
	maxRecentOutcomes = 4096
)

// jobRef identifies a request of an entry VM for a job, or for a part of one.
type jobRef struct {
	entry, key string
	request    uint64
}

// ref returns the reference of a submission's request.
func (sub Submission) ref() jobRef {
	return jobRef{entry: sub.Entry, key: sub.key(), request: sub.Request}
}

// recentOutcome is the outcome of a job that its entry VM may not have received.
type recentOutcome struct {
	outcome work.Outcome
	at      time.Duration
}

// isStale reports whether a request has waited so long at this VM that its entry VM may have given it
// up. Later keepalives don't vouch for it.
func (sub Submission) isStale(now time.Duration) bool { return sub.Expires > 0 && now >= sub.Expires }

// answers reports whether an outcome is that of a request sent some time ago. Without a number it
// may be that of an earlier request, whose outcome the entry VM had before it sent this one.
func (past recentOutcome) answers(now time.Duration, sub Submission, ago time.Duration) bool {
	return sub.Request != 0 || past.at >= now-ago
}

// Presence is what is known of a job that is asked for again.
type Presence int

const (
	// Absent jobs never arrived, so nothing of them has started.
	Absent Presence = iota
	// Present jobs run, or have ended just now.
	Present
	// Forgotten jobs may have run, but are no longer remembered.
	Forgotten
)

// String implements fmt.Stringer.
func (p Presence) String() string { return [...]string{"absent", "present", "forgotten"}[p] }

// rememberOutcome keeps the outcome of another VM's job for outcomeRetention. If there are too many
// already, it records instead when one was discarded.
func (s *State) rememberOutcome(now time.Duration, sub Submission, outcome work.Outcome) {
	switch {
	case sub.Entry == "":
	case len(s.recentOutcomes) >= maxRecentOutcomes:
		s.outcomeDiscardedAt = now
	default:
		s.recentOutcomes[sub.ref()] = recentOutcome{outcome: outcome, at: now}
	}
}

// expireOutcomes drops the outcomes and replaced requests that are older than outcomeRetention.
func (s *State) expireOutcomes(now time.Duration) {
	for job, past := range s.recentOutcomes {
		if now-past.at > outcomeRetention {
			delete(s.recentOutcomes, job)
		}
	}
	for job, at := range s.superseded {
		if now-at > outcomeRetention {
			delete(s.superseded, job)
		}
	}
}

// Rejoin takes a request that replaces one whose connection broke, and returns what is known of the
// job. ago is the time since the old request was sent. Rejoin answers the new request with the
// outcome of the job, or of the part of one, as soon as there is an outcome. If the job is Absent
// and begin is set, Rejoin hands the job in. The old request, and others that replaced it, may still
// be on their way within this process; they don't start the job any more. A Forgotten job gets no
// answer. The outcome of an earlier request for the same job says nothing: after it the entry VM may
// have handed the job to another owner.
func (s *State) Rejoin(now time.Duration, sub Submission, ago time.Duration, begin bool) Presence {
	if j := s.jobsByKey[sub.key()]; j != nil && !j.isDurable() && j.sub.ref() == sub.ref() {
		if ago < j.askedAgain {
			return Forgotten
		}
		j.askedAgain = ago
		j.record(now, "asked again", "", "", "its connection broke")
		s.attachCaller(now, j, sub)
		return Present
	}
	if past, known := s.recentOutcomes[sub.ref()]; known && past.answers(now, sub, ago) {
		s.answer(sub, past.outcome)
		return Present
	}
	if s.isSuperseded(now, sub) || s.wasGivenUp(now, sub) || begin && sub.isStale(now) {
		return Forgotten
	}
	if ago >= outcomeRetention || s.outcomeDiscardedAt > 0 && now-s.outcomeDiscardedAt <= outcomeRetention || len(s.superseded) >= maxRecentOutcomes {
		return Forgotten
	}
	if begin {
		s.superseded[sub.ref()] = now
		s.admit(now, sub)
	}
	return Absent
}

// isSuperseded reports whether a submission arrives after the request that replaced it.
func (s *State) isSuperseded(now time.Duration, sub Submission) bool {
	at, asked := s.superseded[sub.ref()]
	return asked && now-at <= outcomeRetention
}
