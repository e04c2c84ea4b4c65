package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// An entry VM that no longer waits for a job says so in its pings, several times, as datagrams get
// lost. The last of them may arrive after a later request for the same job.

// GivenUp names a request that its entry VM has given up.
type GivenUp struct {
	Job string
	// Request is the request's number at its entry VM.
	Request uint64
}

// Bounds of what is remembered of requests that were given up.
const (
	// giveUpRepeatTime is for how long a VM that names the job alone may repeat that it gave it up:
	// three pings, and the time that a datagram may be late.
	giveUpRepeatTime = 400 * time.Millisecond
	// maxGivenUp bounds the requests that are remembered.
	maxGivenUp = 4096
)

// givenUpRef identifies what an entry VM has given up.
type givenUpRef struct {
	entry string
	GivenUp
}

// GiveUp ends all requests for a job that have arrived from an entry VM of an older build, which names
// the job alone when it gives a request up. If the VM says so again within giveUpRepeatTime, it means
// the same request, and those that have arrived since go on.
func (s *State) GiveUp(now time.Duration, entry, id string) {
	ref := givenUpRef{entry, GivenUp{Job: id}}
	if at, known := s.givenUp[ref]; known && now-at <= giveUpRepeatTime {
		s.emit(Count{"given_up", "repeated"})
		return
	}
	s.endGivenUp(now, ref)
}

// GiveUpRequest ends the request that an entry VM has given up, and no other one for the same job. If
// the request hasn't arrived yet, it starts nothing when it does. Durable jobs go on.
func (s *State) GiveUpRequest(now time.Duration, entry string, given GivenUp) {
	s.endGivenUp(now, givenUpRef{entry, given})
}

// endGivenUp ends what an entry VM has given up.
func (s *State) endGivenUp(now time.Duration, ref givenUpRef) {
	if len(s.givenUp) < maxGivenUp {
		s.givenUp[ref] = now
	}
	var matching []*job
	for _, j := range s.jobs {
		if j.isGivenUp(ref) {
			matching = append(matching, j)
		}
	}
	if len(matching) == 0 {
		s.emit(Count{"given_up", "not here"})
	}
	slices.SortFunc(matching, func(a, b *job) int { return cmp.Compare(a.sub.Ref, b.sub.Ref) })
	for _, j := range matching {
		s.emit(Count{"given_up", "ended"})
		s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "its entry VM has given it up"})
	}
}

// isGivenUp reports whether a job is here for a request that its entry VM has given up.
func (j *job) isGivenUp(ref givenUpRef) bool {
	if j.isDurable() || j.sub.Entry != ref.entry || j.sub.Job.ID != ref.Job {
		return false
	}
	return ref.Request == 0 || j.sub.Request == ref.Request
}

// wasGivenUp reports whether a request arrives after its entry VM has given it up.
func (s *State) wasGivenUp(now time.Duration, sub Submission) bool {
	if sub.Request == 0 || sub.Job.Durable {
		return false
	}
	at, known := s.givenUp[givenUpRef{sub.Entry, GivenUp{Job: sub.Job.ID, Request: sub.Request}}]
	return known && now-at <= outcomeRetention
}

// expireGivenUp drops the requests that were given up longer ago than outcomeRetention.
func (s *State) expireGivenUp(now time.Duration) {
	for ref, at := range s.givenUp {
		if now-at > outcomeRetention {
			delete(s.givenUp, ref)
		}
	}
}
